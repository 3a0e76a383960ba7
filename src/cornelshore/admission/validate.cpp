#include <cornelshore/admission/validate.hpp>

#include <algorithm>
#include <string>

#include <absl/container/flat_hash_set.h>
#include <absl/strings/str_cat.h>

namespace cornelshore::admission {

namespace {

/** Error message prefix with the service and class. */
std::string
ErrorPrefix(const ServiceTarget& aService, const ClassTarget& aClass)
{
  return absl::StrCat(
    "service=", aService.name_, " class=", aClass.name_, ": ");
}

absl::Status
CheckIdentity(const ServiceTarget& aService, const ClassTarget& aClass)
{
  if (aClass.name_.empty()) {
    return absl::InvalidArgumentError(
      absl::StrCat(ErrorPrefix(aService, aClass), "class name is empty"));
  }
  if (aClass.service_ != aService.id_ ||
      aClass.id_ != ClassIdOf(aService.name_, aClass.name_)) {
    return absl::InvalidArgumentError(
      absl::StrCat(ErrorPrefix(aService, aClass),
                   "unknown class: its id is not that of this service and "
                   "name; what fits: id=",
                   ClassIdOf(aService.name_, aClass.name_).value_));
  }
  return absl::OkStatus();
}

absl::Status
CheckRanges(const ServiceTarget& aService, const ClassTarget& aClass)
{
  if (aClass.urgency_ > kMaxUrgency) {
    return absl::InvalidArgumentError(
      absl::StrCat(ErrorPrefix(aService, aClass),
                   "urgency=",
                   aClass.urgency_,
                   "; what fits: 0 to ",
                   kMaxUrgency));
  }
  if (aClass.most_ == 0 || aClass.most_ > kFullShare) {
    return absl::InvalidArgumentError(
      absl::StrCat(ErrorPrefix(aService, aClass),
                   "most=",
                   aClass.most_,
                   "/1000; what fits: 1 to ",
                   kFullShare));
  }
  if (aClass.keeps_ > aClass.most_) {
    return absl::InvalidArgumentError(
      absl::StrCat(ErrorPrefix(aService, aClass),
                   "keeps=",
                   aClass.keeps_,
                   "/1000 is above most=",
                   aClass.most_,
                   "/1000; what fits: keeps of at most ",
                   aClass.most_,
                   ", or most of at least ",
                   aClass.keeps_));
  }
  return absl::OkStatus();
}

absl::Status
CheckClasses(const ServiceTarget& aService)
{
  if (aService.classes_.size() > kMaxClassesPerService) {
    return absl::InvalidArgumentError(absl::StrCat("service=",
                                                   aService.name_,
                                                   ": classes=",
                                                   aService.classes_.size(),
                                                   "; what fits: at most ",
                                                   kMaxClassesPerService));
  }
  absl::flat_hash_set<ClassId> seen;
  for (const auto& target : aService.classes_) {
    if (auto status = CheckIdentity(aService, target); !status.ok()) {
      return status;
    }
    if (auto status = CheckRanges(aService, target); !status.ok()) {
      return status;
    }
    if (!seen.insert(target.id_).second) {
      return absl::InvalidArgumentError(
        absl::StrCat(ErrorPrefix(aService, target), "duplicate class"));
    }
  }
  return absl::OkStatus();
}

absl::Status
CheckFloors(const ServiceTarget& aService)
{
  std::uint32_t sum = 0;
  std::string figures;
  for (const auto& target : aService.classes_) {
    sum += target.keeps_;
    if (target.keeps_ > 0) {
      absl::StrAppend(&figures, " ", target.name_, "=", target.keeps_);
    }
  }
  if (sum <= kFullShare) {
    return absl::OkStatus();
  }
  return absl::InvalidArgumentError(
    absl::StrCat("service=",
                 aService.name_,
                 ": the classes keep",
                 figures,
                 ", together ",
                 sum,
                 "/1000 of the fleet; what fits: ",
                 sum - kFullShare,
                 " less"));
}

absl::Status
CheckFleet(const ServiceTarget& aService, const FleetCapacity& aFleet)
{
  const auto floors =
    std::count_if(aService.classes_.begin(),
                  aService.classes_.end(),
                  [](const ClassTarget& aClass) { return aClass.keeps_ > 0; });
  if (aFleet.slots_ == 0 || floors <= std::int64_t{ aFleet.slots_ }) {
    return absl::OkStatus();
  }
  return absl::FailedPreconditionError(
    absl::StrCat("service=",
                 aService.name_,
                 ": ",
                 floors,
                 " classes keep a part of the fleet, which has hosts=",
                 aFleet.hosts_,
                 " slots=",
                 aFleet.slots_,
                 "; what fits: ",
                 aFleet.slots_,
                 " classes that keep a slot each"));
}

absl::Status
CheckService(const ServiceTarget& aService,
             std::span<const FleetCapacity> aFleet)
{
  if (aService.name_.empty() || aService.id_ != ServiceIdOf(aService.name_)) {
    return absl::InvalidArgumentError(
      absl::StrCat("service=",
                   aService.name_,
                   ": unknown service: its id is not that of its name"));
  }
  if (auto status = CheckClasses(aService); !status.ok()) {
    return status;
  }
  if (auto status = CheckFloors(aService); !status.ok()) {
    return status;
  }
  const auto fleet = std::find_if(
    aFleet.begin(), aFleet.end(), [&aService](const FleetCapacity& aCapacity) {
      return aCapacity.service_ == aService.id_;
    });
  return fleet == aFleet.end() ? absl::OkStatus()
                               : CheckFleet(aService, *fleet);
}

} // namespace

absl::Status
Validate(const Configuration& aConfiguration,
         std::span<const FleetCapacity> aFleet)
{
  if (aConfiguration.services_.size() > kMaxServices) {
    return absl::InvalidArgumentError(
      absl::StrCat("services=",
                   aConfiguration.services_.size(),
                   "; what fits: at most ",
                   kMaxServices));
  }
  absl::flat_hash_set<ServiceId> seen;
  absl::flat_hash_set<ClassId> classes;
  for (const auto& service : aConfiguration.services_) {
    if (auto status = CheckService(service, aFleet); !status.ok()) {
      return status;
    }
    if (!seen.insert(service.id_).second) {
      return absl::InvalidArgumentError(
        absl::StrCat("service=", service.name_, ": duplicate service"));
    }
    for (const auto& target : service.classes_) {
      if (!classes.insert(target.id_).second) {
        return absl::InvalidArgumentError(absl::StrCat(
          ErrorPrefix(service, target),
          "class id collides with another class; choose another name"));
      }
    }
  }
  return absl::OkStatus();
}

} // namespace cornelshore::admission
