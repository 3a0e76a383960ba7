#include <cornelshore/membership/view.hpp>

#include <algorithm>

#include <absl/status/status.h>

namespace cornelshore::membership {

View::View(std::size_t aMostHosts, Duration aTombstoneLife)
  : mostHosts_(aMostHosts)
  , tombstoneLife_(aTombstoneLife)
{
}

MergeOutcome
View::Merge(TimePoint aNow, const HostRecord& aRecord, Duration aAge)
{
  const bool gone = aRecord.state_ == HostState::Gone;
  const auto found = hosts_.find(aRecord.id_);
  if (found != hosts_.end() &&
      VersionOf(aRecord) <= VersionOf(found->second.record_)) {
    return MergeOutcome::Known;
  }
  if (gone && aAge >= tombstoneLife_) {
    return MergeOutcome::Expired;
  }
  if (found == hosts_.end()) {
    if (hosts_.size() >= mostHosts_) {
      return MergeOutcome::Full;
    }
    Index(aRecord);
  } else if (found->second.record_.service_ != aRecord.service_) {
    Unindex(found->second.record_);
    Index(aRecord);
  }
  auto& entry = hosts_[aRecord.id_];
  tombstones_ -= entry.record_.state_ == HostState::Gone ? 1U : 0U;
  tombstones_ += gone ? 1U : 0U;
  entry = { aRecord, aNow - aAge };
  ++epoch_.value_;
  return MergeOutcome::Changed;
}

std::vector<HostRecord>
View::Expire(TimePoint aNow)
{
  std::vector<HostRecord> expired;
  if (tombstones_ == 0) {
    return expired;
  }
  for (const auto& [id, entry] : hosts_) {
    if (entry.record_.state_ == HostState::Gone &&
        aNow - entry.goneSince_ >= tombstoneLife_) {
      expired.push_back(entry.record_);
    }
  }
  for (const auto& record : expired) {
    Unindex(record);
    hosts_.erase(record.id_);
    --tombstones_;
    ++epoch_.value_;
  }
  return expired;
}

const HostRecord*
View::Find(HostId aHost) const noexcept
{
  const auto found = hosts_.find(aHost);
  return found == hosts_.end() ? nullptr : &found->second.record_;
}

Duration
View::AgeOf(TimePoint aNow, HostId aHost) const noexcept
{
  const auto found = hosts_.find(aHost);
  if (found == hosts_.end() ||
      found->second.record_.state_ != HostState::Gone) {
    return Duration::zero();
  }
  return aNow - found->second.goneSince_;
}

std::vector<HostRecord>
View::OfServiceWithGone(ServiceId aService) const
{
  std::vector<HostRecord> records;
  const auto found = byService_.find(aService);
  if (found != byService_.end()) {
    for (const auto id : found->second) {
      records.push_back(hosts_.find(id)->second.record_);
    }
  }
  return records;
}

std::vector<HostRecord>
View::OfService(ServiceId aService) const
{
  auto records = OfServiceWithGone(aService);
  std::erase_if(records, [](const HostRecord& aRecord) {
    return aRecord.state_ == HostState::Gone;
  });
  return records;
}

std::vector<HostRecord>
View::All() const
{
  std::vector<HostRecord> records;
  records.reserve(hosts_.size());
  for (const auto& [id, entry] : hosts_) {
    records.push_back(entry.record_);
  }
  std::sort(
    records.begin(), records.end(), [](const auto& aOne, const auto& aOther) {
      return aOne.id_ < aOther.id_;
    });
  return records;
}

void
View::Index(const HostRecord& aRecord)
{
  auto& ids = byService_[aRecord.service_];
  ids.insert(std::lower_bound(ids.begin(), ids.end(), aRecord.id_),
             aRecord.id_);
}

void
View::Unindex(const HostRecord& aRecord)
{
  const auto found = byService_.find(aRecord.service_);
  auto& ids = found->second;
  ids.erase(std::lower_bound(ids.begin(), ids.end(), aRecord.id_));
  if (ids.empty()) {
    byService_.erase(found);
  }
}

View::Builder&
View::Builder::MostHosts(std::size_t aMostHosts)
{
  mostHosts_ = aMostHosts;
  return *this;
}

View::Builder&
View::Builder::TombstoneLife(Duration aLife)
{
  tombstoneLife_ = aLife;
  return *this;
}

absl::StatusOr<View>
View::Builder::Build() const
{
  if (mostHosts_ == 0) {
    return absl::InvalidArgumentError("view: host limit is 0");
  }
  if (tombstoneLife_ <= Duration::zero()) {
    return absl::InvalidArgumentError("view: tombstone life is not positive");
  }
  return View(mostHosts_, tombstoneLife_);
}

} // namespace cornelshore::membership
