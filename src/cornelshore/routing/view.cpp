#include <cornelshore/routing/view.hpp>

#include <algorithm>
#include <tuple>
#include <utility>

#include <cornelshore/membership/record.hpp>

namespace cornelshore::routing {

View::View(ServiceId aService, Duration aWindow)
  : service_(aService)
  , window_(aWindow)
{
}

bool
View::MakeRoom()
{
  if (hosts_.size() >= kMaxHosts) {
    absl::erase_if(hosts_, [](const auto& aHost) {
      return aHost.second.state_ == HostState::Gone;
    });
  }
  return hosts_.size() < kMaxHosts;
}

bool
View::Take(const HostRecord& aRecord, std::vector<Weight>& aChanges)
{
  const auto found = hosts_.find(aRecord.id_);
  const bool known = found != hosts_.end();
  if (known &&
      membership::VersionOf(aRecord) <= membership::VersionOf(found->second)) {
    return false;
  }
  if (!known && (aRecord.service_ != service_ || hosts_.size() >= kMaxHosts)) {
    return false;
  }
  auto& record = hosts_[aRecord.id_];
  record = aRecord;
  if (record.service_ != service_) {
    record.state_ = HostState::Gone;
    record.held_.reset();
  }
  const bool owns = record.state_ == HostState::Ready;
  aChanges.push_back({ record.id_, owns ? record.slots_ : std::uint16_t{ 0 } });
  return true;
}

bool
View::Apply(TimePoint aNow, std::span<const HostRecord> aRecords)
{
  bool changed = false;
  std::vector<Weight> weights;
  for (const auto& record : aRecords) {
    changed = Take(record, weights) || changed;
  }
  if (changed) {
    since_ = since_.value_or(aNow);
  }
  if (table_.Apply(weights)) {
    RecordOwnerChanges(aNow);
  }
  return changed;
}

void
View::RecordOwnerChanges(TimePoint aNow)
{
  std::vector<Former> left;
  const auto leave = [&](std::size_t aBucket, HostId aHost) {
    if (aHost != HostId{}) {
      left.push_back(
        { { static_cast<std::uint16_t>(aBucket) }, aHost, aNow + window_ });
    }
  };
  std::erase_if(
    former_, [aNow](const Former& aFormer) { return aFormer.until_ < aNow; });
  for (std::size_t bucket = 0; bucket < kBucketCount; ++bucket) {
    const auto owners =
      table_.Owners(BucketId{ static_cast<std::uint16_t>(bucket) });
    const Pair pair{ owners.empty() ? HostId{} : owners[0],
                     owners.size() < 2 ? HostId{} : owners[1] };
    const auto old = std::exchange(top_[bucket], pair);
    if (old == pair) {
      continue;
    }
    topSince_[bucket] = aNow;
    if (old.first_ != pair.first_) {
      firstSince_[bucket] = aNow;
    }
    leave(bucket, old.first_);
    leave(bucket, old.second_);
  }
  ++epoch_.value_;
  AddFormerOwners(std::move(left));
}

void
View::AddFormerOwners(std::vector<Former> aLeft)
{
  const auto before = [](const Former& aOne, const Former& aOther) {
    return std::tuple(aOne.bucket_, aOne.host_, aOther.until_) <
           std::tuple(aOther.bucket_, aOther.host_, aOne.until_);
  };
  std::sort(aLeft.begin(), aLeft.end(), before);
  const auto middle = former_.insert(former_.end(), aLeft.begin(), aLeft.end());
  std::inplace_merge(former_.begin(), middle, former_.end(), before);
  const auto same = [](const Former& aOne, const Former& aOther) {
    return aOne.bucket_ == aOther.bucket_ && aOne.host_ == aOther.host_;
  };
  former_.erase(std::unique(former_.begin(), former_.end(), same),
                former_.end());
}

bool
View::IsCold(TimePoint aNow) const noexcept
{
  return !since_ || *since_ + window_ > aNow;
}

std::vector<HostId>
View::NotReady() const
{
  std::vector<HostId> hosts;
  for (const auto& [id, record] : hosts_) {
    if (record.state_ != HostState::Gone && record.state_ != HostState::Ready) {
      hosts.push_back(id);
    }
  }
  std::sort(hosts.begin(), hosts.end());
  return hosts;
}

TimePoint
View::FirstSince(BucketId aBucket) const noexcept
{
  return firstSince_[aBucket.value_ % kBucketCount];
}

bool
View::IsSettled(TimePoint aNow, BucketId aBucket) const noexcept
{
  return topSince_[aBucket.value_ % kBucketCount] + window_ <= aNow;
}

std::vector<HostId>
View::FormerOwners(TimePoint aNow, BucketId aBucket) const
{
  std::vector<HostId> hosts;
  auto place = std::lower_bound(former_.begin(),
                                former_.end(),
                                aBucket,
                                [](const Former& aFormer, BucketId aOther) {
                                  return aFormer.bucket_ < aOther;
                                });
  for (; place != former_.end() && place->bucket_ == aBucket; ++place) {
    if (place->until_ >= aNow && !IsKnownGone(place->host_)) {
      hosts.push_back(place->host_);
    }
  }
  return hosts;
}

std::vector<HostId>
View::Holders(BucketId aBucket) const
{
  std::vector<HostId> hosts;
  for (const auto& [id, record] : hosts_) {
    if (record.state_ != HostState::Gone &&
        record.held_[aBucket.value_ % kBucketCount]) {
      hosts.push_back(id);
    }
  }
  std::sort(hosts.begin(), hosts.end());
  return hosts;
}

const HostRecord*
View::Find(HostId aHost) const
{
  const auto found = hosts_.find(aHost);
  return found == hosts_.end() ? nullptr : &found->second;
}

bool
View::IsKnownGone(HostId aHost) const
{
  const auto* record = Find(aHost);
  return record != nullptr && record->state_ == HostState::Gone;
}

} // namespace cornelshore::routing
