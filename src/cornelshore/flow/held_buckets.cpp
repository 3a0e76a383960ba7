#include <cornelshore/flow/held_buckets.hpp>

#include <algorithm>

namespace cornelshore::flow {

void
HeldBuckets::DueAt(TimePoint aTime)
{
  due_ = due_ ? std::min(*due_, aTime) : aTime;
}

void
HeldBuckets::Opened(TimePoint aNow, BucketId aBucket)
{
  ++flows_[aBucket.value_];
  open_.set(aBucket.value_);
  if (!announced_[aBucket.value_]) {
    DueAt(aNow + announceDelay_);
  }
}

void
HeldBuckets::Closed(TimePoint aNow, BucketId aBucket)
{
  if (--flows_[aBucket.value_] == 0) {
    open_.reset(aBucket.value_);
    DueAt(aNow + withdrawDelay_);
  }
}

void
HeldBuckets::SetRecovered(TimePoint aNow, const BucketSet& aRecovered)
{
  recovered_ = aRecovered;
  DueAt(aRecovered.none() ? aNow + withdrawDelay_ : aNow);
}

bool
HeldBuckets::Refresh(TimePoint aNow, const std::function<bool(BucketId)>& aOwns)
{
  const auto wanted = open_ | recovered_;
  const auto old = announced_;
  const auto idle = announced_ & ~wanted;
  due_.reset();
  announced_ |= wanted;
  if (idle.none()) {
    withdrawFrom_.reset();
    return announced_ != old;
  }
  withdrawFrom_ = withdrawFrom_.value_or(aNow + withdrawDelay_);
  if (*withdrawFrom_ > aNow) {
    DueAt(*withdrawFrom_);
    return announced_ != old;
  }
  withdrawFrom_.reset();
  for (std::size_t bucket = 0; bucket < kBucketCount; ++bucket) {
    const BucketId id{ static_cast<std::uint16_t>(bucket) };
    if (idle[bucket] && !aOwns(id)) {
      announced_.reset(bucket);
    }
  }
  if ((announced_ & ~wanted).any()) {
    DueAt(aNow + withdrawDelay_);
  }
  return announced_ != old;
}

} // namespace cornelshore::flow
