#include <cornelshore/consensus/entry.hpp>

#include <algorithm>
#include <utility>

#include <absl/strings/str_cat.h>

namespace cornelshore::consensus {

namespace {

constexpr std::size_t kEntryBytes = 64;
constexpr std::size_t kNamedItemBytes = 24;
constexpr std::size_t kMemberBytes = 24;
constexpr std::size_t kRouteBytes = 48;
constexpr std::size_t kShareBytes = 8;

std::size_t
SizeOf(const Change& aChange) noexcept
{
  auto size = kEntryBytes + aChange.operator_.size() + aChange.document_.size();
  for (const auto& route : aChange.routes_) {
    size += kRouteBytes + route.name_.size() + kShareBytes * route.to_.size();
  }
  for (const auto& service : aChange.services_) {
    size += kNamedItemBytes + service.name_.size();
    for (const auto& target : service.classes_) {
      size += kNamedItemBytes + target.name_.size();
    }
  }
  return size;
}

template<typename Value>
bool
PointeesEqual(const std::shared_ptr<const Value>& aLeft,
              const std::shared_ptr<const Value>& aRight) noexcept
{
  return aLeft == aRight ||
         (aLeft != nullptr && aRight != nullptr && *aLeft == *aRight);
}

absl::Status
CheckClass(const ServiceTarget& aService, const ClassTarget& aClass)
{
  if (aClass.name_.empty() || aClass.name_.size() > kMaxNameBytes) {
    return absl::InvalidArgumentError(
      "class name is empty or exceeds the length limit");
  }
  if (aClass.service_ != aService.id_ ||
      aClass.id_ != ClassIdOf(aService.name_, aClass.name_)) {
    return absl::InvalidArgumentError(
      "class id does not match the class and service names");
  }
  if (aClass.urgency_ > kMaxUrgency || aClass.most_ > kFullShare ||
      aClass.keeps_ > kFullShare) {
    return absl::InvalidArgumentError("class urgency or share is out of range");
  }
  return absl::OkStatus();
}

absl::Status
CheckService(const ServiceTarget& aService)
{
  if (aService.name_.empty() || aService.name_.size() > kMaxNameBytes) {
    return absl::InvalidArgumentError(
      "service name is empty or exceeds the length limit");
  }
  if (aService.id_ != ServiceIdOf(aService.name_)) {
    return absl::InvalidArgumentError(
      "service id does not match the service name");
  }
  if (aService.classes_.size() > kMaxClassesPerService) {
    return absl::InvalidArgumentError("service exceeds the limit on classes");
  }
  for (const auto& target : aService.classes_) {
    if (auto status = CheckClass(aService, target); !status.ok()) {
      return status;
    }
  }
  return absl::OkStatus();
}

} // namespace

bool
Entry::operator==(const Entry& aOther) const noexcept
{
  if (At() != aOther.At() || payload_.index() != aOther.payload_.index()) {
    return false;
  }
  if (const auto* change =
        std::get_if<std::shared_ptr<const Change>>(&payload_)) {
    return PointeesEqual(
      *change, std::get<std::shared_ptr<const Change>>(aOther.payload_));
  }
  if (const auto* members =
        std::get_if<std::shared_ptr<const Membership>>(&payload_)) {
    return PointeesEqual(
      *members, std::get<std::shared_ptr<const Membership>>(aOther.payload_));
  }
  return true;
}

std::size_t
SizeOf(const Entry& aEntry) noexcept
{
  if (const auto* change =
        std::get_if<std::shared_ptr<const Change>>(&aEntry.payload_)) {
    return kEntryBytes + SizeOf(**change);
  }
  if (const auto* members =
        std::get_if<std::shared_ptr<const Membership>>(&aEntry.payload_)) {
    return kEntryBytes + (*members)->members_.size() * kMemberBytes;
  }
  return kEntryBytes;
}

void
DurableState::Apply(const Persist& aPersist)
{
  if (aPersist.snapshot_ != nullptr) {
    const auto last = aPersist.snapshot_->last_;
    const auto lastCovered =
      std::find_if(entries_.begin(), entries_.end(), [&](const Entry& aEntry) {
        return aEntry.At() == last;
      });
    entries_.erase(entries_.begin(),
                   lastCovered == entries_.end() ? lastCovered
                                                 : std::next(lastCovered));
    snapshot_ = aPersist.snapshot_;
  }
  if (!aPersist.entries_.empty()) {
    const auto first = aPersist.entries_.front().index_;
    while (!entries_.empty() && entries_.back().index_ >= first) {
      entries_.pop_back();
    }
    entries_.insert(
      entries_.end(), aPersist.entries_.begin(), aPersist.entries_.end());
  }
  if (aPersist.hard_) {
    hard_ = *aPersist.hard_;
  }
}

absl::Status
DurableState::Check() const
{
  auto last = snapshot_ == nullptr ? Position{} : snapshot_->last_;
  for (const auto& entry : entries_) {
    if (entry.index_.value_ != last.index_.value_ + 1 ||
        entry.term_ < last.term_) {
      return absl::DataLossError(
        absl::StrCat("entry ",
                     entry.index_.value_,
                     " breaks the sequence of indices and terms"));
    }
    last = entry.At();
  }
  if (last.term_ > hard_.term_ || hard_.commit_ > last.index_) {
    return absl::DataLossError(
      "hard state has a lower term or a higher commit index than the log");
  }
  return absl::OkStatus();
}

DurableState
BootstrapState(const ReplicaId& aId,
               const std::vector<ReplicaId>& aVoters,
               RegisterState aRegister)
{
  const Position first{ Term{ 1 }, LogIndex{ 1 } };
  Snapshot snapshot{ first, { first.index_, {} }, std::move(aRegister) };
  for (const auto& voter : aVoters) {
    snapshot.membership_.Set(voter, MemberRole::Voter);
  }
  DurableState state;
  state.id_ = aId;
  state.hard_ = { first.term_, std::nullopt, first.index_, false };
  state.snapshot_ = std::make_shared<const Snapshot>(std::move(snapshot));
  return state;
}

DurableState
JoiningState(const ReplicaId& aId)
{
  DurableState state;
  state.id_ = aId;
  return state;
}

absl::Status
CheckChange(const Change& aChange)
{
  if (aChange.operator_.size() > kMaxOperatorNameBytes) {
    return absl::InvalidArgumentError("operator name exceeds the length limit");
  }
  if (aChange.services_.size() > kMaxServicesPerChange) {
    return absl::InvalidArgumentError(
      "configuration exceeds the limit on services");
  }
  for (const auto& service : aChange.services_) {
    if (auto status = CheckService(service); !status.ok()) {
      return status;
    }
  }
  for (const auto& route : aChange.routes_) {
    if (route.name_.size() > kMaxNameBytes ||
        route.to_.size() > kMaxRouteShares) {
      return absl::InvalidArgumentError(
        "route exceeds the limit on name length or shares");
    }
  }
  if (aChange.routes_.size() > kMaxRoutes) {
    return absl::InvalidArgumentError(
      "configuration exceeds the limit on routes");
  }
  if (SizeOf(aChange) > kMaxChangeBytes) {
    return absl::InvalidArgumentError("configuration exceeds the size limit");
  }
  return absl::OkStatus();
}

} // namespace cornelshore::consensus
