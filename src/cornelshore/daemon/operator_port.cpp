#include <cornelshore/daemon/operator_port.hpp>

#include <utility>
#include <vector>

#include <absl/strings/str_cat.h>

namespace cornelshore::daemon {

namespace {

Json::Value ToValue(const Dump& aDump);

Json::Value
ToValue(const Dump::Fields& aFields)
{
  Json::Value value(Json::objectValue);
  for (const auto& [name, field] : aFields) {
    value[name] = ToValue(field);
  }
  return value;
}

Json::Value
ToValue(const Dump::Items& aItems)
{
  Json::Value value(Json::arrayValue);
  for (const auto& item : aItems) {
    value.append(ToValue(item));
  }
  return value;
}

Json::Value
ToValue(std::uint64_t aNumber)
{
  return Json::UInt64{ aNumber };
}

Json::Value
ToValue(std::int64_t aNumber)
{
  return Json::Int64{ aNumber };
}

Json::Value
ToValue(double aNumber)
{
  return aNumber;
}

Json::Value
ToValue(bool aFlag)
{
  return aFlag;
}

Json::Value
ToValue(const std::string& aText)
{
  return aText;
}

Json::Value
ToValue(const Dump& aDump)
{
  return std::visit([](const auto& aValue) { return ToValue(aValue); },
                    aDump.Get());
}

std::vector<std::string>
NamesOf(const Methods& aMethods)
{
  std::vector<std::string> names;
  for (const auto& [name, method] : aMethods) {
    names.push_back(name);
  }
  return names;
}

std::string
IpOf(const Address& aAddress)
{
  auto text = ToString(aAddress);
  text.resize(text.rfind(':'));
  return text.front() == '[' ? text.substr(1, text.size() - 2) : text;
}

} // namespace

std::string
ToJson(const Dump& aDump)
{
  Json::StreamWriterBuilder writer;
  writer["indentation"] = "";
  return Json::writeString(writer, ToValue(aDump));
}

Json::Value
ParseJson(const std::string& aText)
{
  Json::Value value;
  const std::unique_ptr<Json::CharReader> reader(
    Json::CharReaderBuilder().newCharReader());
  if (!reader->parse(
        aText.data(), aText.data() + aText.size(), &value, nullptr)) {
    return {};
  }
  return value;
}

rpc::Reply
Refused(std::string aWhy)
{
  return { rpc::ErrorCode::Refused, "", std::move(aWhy) };
}

rpc::Reply
Unavailable(std::string aWhy)
{
  return { rpc::ErrorCode::Unavailable, "", std::move(aWhy) };
}

OperatorPort::OperatorPort(const settings::Settings& aSettings,
                           Methods aMethods)
  : methods_(std::move(aMethods))
  , address_(aSettings.operator_)
{
  const rpc::TlsFiles tls{ aSettings.tls_.certificate_,
                           aSettings.tls_.privateKey_,
                           aSettings.tls_.authority_ };
  server_ = std::make_unique<rpc::Server>(
    rpc::Endpoint{ IpOf(address_), address_.port_ },
    tls,
    NamesOf(methods_),
    [this](const std::string& aMethod, const std::string& aParams) {
      const auto params = ParseJson(aParams);
      if (!params.isNull() && !params.isObject()) {
        return Refused("the parameters must be an object");
      }
      return methods_.at(aMethod)(params);
    });
}

absl::Status
OperatorPort::Start()
{
  std::string error;
  if (!server_->Start(error)) {
    return absl::UnavailableError(absl::StrCat(
      "cannot serve operators at ", ToString(address_), ": ", error));
  }
  return absl::OkStatus();
}

void
OperatorPort::Stop()
{
  server_->Stop();
}

} // namespace cornelshore::daemon
