#include <cornelshore/membership/announcer.hpp>

#include <algorithm>
#include <utility>

#include <absl/status/status.h>

#include <cornelshore/membership/record.hpp>

namespace cornelshore::membership {

namespace {

constexpr Duration kMaxRefuteDelay = std::chrono::minutes(5);
constexpr Duration kRefuteResetAfter = std::chrono::minutes(15);

} // namespace

Announcer::Announcer(HostRecord aRecord,
                     Duration aHeldInterval,
                     Duration aRefuteDelay)
  : record_(aRecord)
  , heldInterval_(aHeldInterval)
  , refuteDelay_(aRefuteDelay)
  , held_(record_.held_)
{
}

HostRecord
Announcer::Next(TimePoint aNow, std::uint64_t aAfter)
{
  record_.sequence_ = std::max(record_.sequence_, aAfter) + 1;
  if (record_.held_ != held_) {
    heldAt_ = aNow;
  }
  record_.held_ = held_;
  heldDue_.reset();
  return record_;
}

std::optional<HostRecord>
Announcer::Enter(TimePoint aNow, HostState aState)
{
  const bool final = record_.state_ >= HostState::Leaving;
  if (aState == record_.state_ || (final && aState < record_.state_)) {
    return std::nullopt;
  }
  record_.state_ = aState;
  return Next(aNow, refuteDue_ ? refuteAfter_ : 0);
}

std::optional<HostRecord>
Announcer::Hold(TimePoint aNow, const BucketSet& aHeld)
{
  held_ = aHeld;
  if (held_ == record_.held_) {
    heldDue_.reset();
    return std::nullopt;
  }
  const auto due = heldAt_ ? *heldAt_ + heldInterval_ : aNow;
  if (aNow < due) {
    heldDue_ = due;
    return std::nullopt;
  }
  return Next(aNow, 0);
}

std::optional<HostRecord>
Announcer::Seen(TimePoint aNow, const HostRecord& aRecord)
{
  if (aRecord.id_ != record_.id_) {
    return std::nullopt;
  }
  superseded_ |= aRecord.incarnation_ > record_.incarnation_;
  const bool wrong = aRecord.incarnation_ == record_.incarnation_ &&
                     VersionOf(aRecord) > VersionOf(record_);
  if (!wrong || superseded_) {
    return std::nullopt;
  }
  refuteAfter_ = std::max(refuteAfter_, aRecord.sequence_);
  if (!refuteDue_) {
    if (aNow >= refuteResetAt_) {
      nextRefuteDelay_ = Duration::zero();
    }
    refuteDue_ = aNow + nextRefuteDelay_;
    nextRefuteDelay_ =
      std::clamp(2 * nextRefuteDelay_, refuteDelay_, kMaxRefuteDelay);
    refuteResetAt_ = *refuteDue_ + kRefuteResetAfter;
  }
  return Tick(aNow);
}

std::optional<HostRecord>
Announcer::Tick(TimePoint aNow)
{
  if (refuteDue_ && aNow >= *refuteDue_) {
    refuteDue_.reset();
    return Next(aNow, std::exchange(refuteAfter_, 0));
  }
  if (heldDue_ && aNow >= *heldDue_) {
    return Next(aNow, 0);
  }
  return std::nullopt;
}

std::optional<TimePoint>
Announcer::NextTimer() const noexcept
{
  if (heldDue_ && refuteDue_) {
    return std::min(*heldDue_, *refuteDue_);
  }
  return heldDue_ ? heldDue_ : refuteDue_;
}

Announcer::Builder::Builder(HostRecord aRecord)
  : record_(aRecord)
{
  record_.sequence_ = 1;
}

Announcer::Builder&
Announcer::Builder::HeldInterval(Duration aInterval)
{
  heldInterval_ = aInterval;
  return *this;
}

Announcer::Builder&
Announcer::Builder::RefuteDelay(Duration aDelay)
{
  refuteDelay_ = aDelay;
  return *this;
}

absl::StatusOr<Announcer>
Announcer::Builder::Build() const
{
  if (record_.id_ == HostId{} || record_.incarnation_ == Incarnation{}) {
    return absl::InvalidArgumentError("announcer: id or incarnation is 0");
  }
  if (record_.service_ == ServiceId{}) {
    return absl::InvalidArgumentError("announcer: the service is 0");
  }
  if (heldInterval_ < Duration::zero() || refuteDelay_ <= Duration::zero()) {
    return absl::InvalidArgumentError("announcer: a length of time is bad");
  }
  return Announcer(record_, heldInterval_, refuteDelay_);
}

} // namespace cornelshore::membership
