#include <cornelshore/daemon/targets_json.hpp>

#include <charconv>
#include <string_view>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <cornelshore/daemon/runtime.hpp>

namespace cornelshore::daemon {

namespace {

constexpr std::size_t kIdDigits = 32;
constexpr std::size_t kHalfDigits = kIdDigits / 2;

absl::Status
Wrong(const std::string& aField, const std::string& aAllowed)
{
  return absl::InvalidArgumentError(
    absl::StrCat(aField, " is missing or wrong; allowed is ", aAllowed));
}

bool
ReadHex(std::string_view aText, std::uint64_t& aOut)
{
  const auto* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, aOut, 16);
  return !aText.empty() && parsed.ec == std::errc{} && parsed.ptr == end;
}

bool
ReadHexField(const Json::Value& aParams,
             const char* aField,
             std::uint64_t& aOut)
{
  return aParams[aField].isString() &&
         ReadHex(aParams[aField].asString(), aOut);
}

bool
ReadId(const Json::Value& aValue, RequestId& aOut)
{
  if (!aValue.isString() || aValue.asString().size() != kIdDigits) {
    return false;
  }
  const auto text = aValue.asString();
  return ReadHex(std::string_view(text).substr(0, kHalfDigits), aOut.high_) &&
         ReadHex(std::string_view(text).substr(kHalfDigits), aOut.low_);
}

bool
IsShare(const Json::Value& aValue)
{
  return aValue.isUInt() && aValue.asUInt() <= kFullShare;
}

bool
ReadClass(const Json::Value& aValue,
          const ServiceTarget& aService,
          ClassTarget& aOut)
{
  if (!aValue.isObject() || !aValue["name"].isString() ||
      !aValue["urgency"].isUInt() || aValue["urgency"].asUInt() > kMaxUrgency ||
      !IsShare(aValue["most_share"]) || !IsShare(aValue["keeps_share"]) ||
      !aValue["repeatable"].isBool()) {
    return false;
  }
  aOut.name_ = aValue["name"].asString();
  aOut.id_ = ClassIdOf(aService.name_, aOut.name_);
  aOut.service_ = aService.id_;
  aOut.urgency_ = static_cast<std::uint8_t>(aValue["urgency"].asUInt());
  aOut.most_ = static_cast<std::uint16_t>(aValue["most_share"].asUInt());
  aOut.keeps_ = static_cast<std::uint16_t>(aValue["keeps_share"].asUInt());
  aOut.repeatable_ = aValue["repeatable"].asBool();
  return true;
}

bool
ReadService(const Json::Value& aValue, ServiceTarget& aOut)
{
  if (!aValue.isObject() || !aValue["name"].isString() ||
      !aValue["classes"].isArray()) {
    return false;
  }
  aOut.name_ = aValue["name"].asString();
  aOut.id_ = ServiceIdOf(aOut.name_);
  for (const auto& item : aValue["classes"]) {
    if (!ReadClass(item, aOut, aOut.classes_.emplace_back())) {
      return false;
    }
  }
  return true;
}

} // namespace

std::string
ChangeIdText(const RequestId& aId)
{
  return absl::StrFormat("%016x%016x", aId.high_, aId.low_);
}

absl::StatusOr<consensus::Change>
ReadChange(const Json::Value& aParams)
{
  consensus::Change change;
  if (!ReadId(aParams["change_id"], change.id_)) {
    return Wrong("change_id", "32 hexadecimal digits");
  }
  if (!aParams["version"].isUInt64()) {
    return Wrong("version", "the version that the change builds on");
  }
  change.expected_.value_ = aParams["version"].asUInt64();
  if (!aParams["operator"].isString()) {
    return Wrong("operator", "a name");
  }
  change.operator_ = aParams["operator"].asString();
  if (!aParams["services"].isArray()) {
    return Wrong("services", "a list of services with their classes");
  }
  for (const auto& item : aParams["services"]) {
    if (!ReadService(item, change.services_.emplace_back())) {
      return Wrong("services", "a list of services with their classes");
    }
  }
  change.wallMillis_ = WallMillis();
  return change;
}

absl::StatusOr<consensus::ReplicaId>
ReadReplica(const Json::Value& aParams)
{
  consensus::ReplicaId id;
  if (!ReadHexField(aParams, "node", id.node_.value_)) {
    return Wrong("node", "the hexadecimal id that `state` shows");
  }
  if (!ReadHexField(aParams, "disk", id.disk_.value_)) {
    return Wrong("disk", "the hexadecimal id that `state` shows");
  }
  return id;
}

Dump
DumpConfiguration(const Configuration& aConfiguration, bool aConfirmed)
{
  Dump::Items services;
  for (const auto& service : aConfiguration.services_) {
    Dump::Items classes;
    for (const auto& target : service.classes_) {
      classes.push_back(Dump()
                          .With("name", target.name_)
                          .With("urgency", std::uint64_t{ target.urgency_ })
                          .With("most_share", std::uint64_t{ target.most_ })
                          .With("keeps_share", std::uint64_t{ target.keeps_ })
                          .With("repeatable", target.repeatable_));
    }
    services.push_back(
      Dump().With("name", service.name_).With("classes", std::move(classes)));
  }
  return Dump()
    .With("version", aConfiguration.version_.value_)
    .With("confirmed", aConfirmed)
    .With("services", std::move(services));
}

} // namespace cornelshore::daemon
