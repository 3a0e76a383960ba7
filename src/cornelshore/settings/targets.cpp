#include <cornelshore/settings/targets.hpp>

#include <algorithm>
#include <cmath>

#include <absl/strings/str_cat.h>

#include <cornelshore/settings/table.hpp>

namespace cornelshore::settings {

namespace {

using internal::Problems;
using internal::Table;

constexpr double kWholePercent = 100.0;

std::uint16_t
ShareOf(double aPercent)
{
  return static_cast<std::uint16_t>(
    std::lround(aPercent * kFullShare / kWholePercent));
}

ClassTarget
ReadClass(Table& aTable, const ServiceTarget& aService)
{
  ClassTarget target;
  target.name_ = aTable.Text("name");
  target.id_ = ClassIdOf(aService.name_, target.name_);
  target.service_ = aService.id_;
  target.urgency_ = static_cast<std::uint8_t>(
    aTable.Integer("urgency", kMinUrgency, kMaxUrgency));
  target.most_ =
    ShareOf(aTable.RealOr("most_percent", 0.1, kWholePercent, kWholePercent));
  target.keeps_ =
    ShareOf(aTable.RealOr("keeps_percent", 0.0, kWholePercent, 0.0));
  target.repeatable_ = aTable.BoolOr("repeatable", false);
  if (target.keeps_ > target.most_) {
    aTable.Problem("keeps_percent",
                   "is above most_percent; a class cannot keep more than the "
                   "most it may claim");
  }
  return target;
}

ServiceTarget
ReadService(Table& aTable)
{
  ServiceTarget service;
  service.name_ = aTable.Text("name");
  service.id_ = ServiceIdOf(service.name_);
  aTable.Children("class", [&](Table& aChild) {
    auto target = ReadClass(aChild, service);
    const auto same = [&](const ClassTarget& aOther) {
      return aOther.id_ == target.id_;
    };
    if (std::any_of(service.classes_.begin(), service.classes_.end(), same)) {
      aChild.Problem("name", absl::StrCat("'", target.name_, "' stands twice"));
    }
    service.classes_.push_back(std::move(target));
  });
  if (service.classes_.empty()) {
    aTable.Problem("class", "is missing; write at least one [[service.class]]");
  }
  return service;
}

} // namespace

absl::StatusOr<std::vector<ServiceTarget>>
LoadTargets(const std::string& aFile)
{
  const auto parsed = internal::ParseFile(aFile);
  if (!parsed.ok()) {
    return parsed.status();
  }
  Problems problems(aFile);
  Table root(**parsed, "", problems);
  std::vector<ServiceTarget> services;
  root.Children("service", [&](Table& aTable) {
    auto service = ReadService(aTable);
    const auto same = [&](const ServiceTarget& aOther) {
      return aOther.id_ == service.id_;
    };
    if (std::any_of(services.begin(), services.end(), same)) {
      aTable.Problem("name",
                     absl::StrCat("'", service.name_, "' stands twice"));
    }
    services.push_back(std::move(service));
  });
  root.Finish();
  if (services.empty()) {
    root.Problem("service", "is missing; write at least one [[service]]");
  }
  const auto status = problems.ToStatus();
  if (!status.ok()) {
    return status;
  }
  return services;
}

} // namespace cornelshore::settings
