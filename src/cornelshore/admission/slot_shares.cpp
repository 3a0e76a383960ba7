#include <algorithm>
#include <cmath>

#include <cornelshore/admission/slot_scheduler.hpp>

namespace cornelshore::admission {

namespace {

using internal::ClassState;
using internal::Seconds;

/** Time for which unused floor credit accumulates. */
constexpr double kFloorSeconds = 30.0;
/** Time for which unused limit credit accumulates. */
constexpr double kLimitSeconds = 0.5;
/** Bounds a class's lead in virtual time and its credit debt. */
constexpr double kMaxLeadSeconds = 2.0;
constexpr Duration kStarvationBound = std::chrono::seconds{ 10 };
/** Slots by which running work may briefly exceed a limit. */
constexpr double kLimitMargin = 1.0;
/** Slots above a floor that accumulated credit may use at once. */
constexpr double kFloorMargin = 1.0;
constexpr double kMaxDebtHolds = 4.0;
constexpr Duration kHoldMaxAge = std::chrono::seconds{ 1 };
/** Samples needed, and their maximum age, to classify work as long. */
constexpr std::uint32_t kMinLongTermSamples = 8;
constexpr Duration kLongTermHoldMaxAge = std::chrono::seconds{ 30 };
constexpr std::size_t kNoClass = ~std::size_t{};

/** Lower bound of a class's credit, in slot seconds. */
double
MinCredit(const ClassState& aState)
{
  return -(kMaxDebtHolds * aState.hold_.ValueOr(0.0) + kMaxLeadSeconds);
}

} // namespace

void
SlotScheduler::ApplyShares(const ServiceTarget& aTarget)
{
  host_ = ApportionHost(aTarget, span_);
  const double slots = span_.slots_;
  for (std::size_t index = 0; index < classes_.size(); ++index) {
    auto& state = classes_[index];
    state.classSlots_ = host_.classes_[index];
    state.weight_ = std::ldexp(1.0, state.target_.urgency_);
    state.floorShare_ = slots * state.target_.keeps_ / kFullShare;
    state.limitShare_ = slots * state.target_.most_ / kFullShare;
    if (state.uncredited_ && slots > 0) {
      state.uncredited_ = false;
      state.floorCredit_ = state.floorShare_ * kLimitSeconds;
      state.limitCredit_ = state.limitShare_ * kLimitSeconds;
    }
  }
}

void
SlotScheduler::AccrueCredits(TimePoint aNow)
{
  const auto elapsed = std::max(0.0, Seconds(aNow - accruedAt_));
  accruedAt_ = std::max(accruedAt_, aNow);
  concurrency_.OnTimer(aNow, running_.size() >= concurrency_.Limit());
  const auto slots = std::max<double>(span_.slots_, 1.0);
  const auto inUse = concurrency_.Limit() / slots;
  double longestHold = 0.0;
  for (const auto& state : classes_) {
    longestHold = std::max(longestHold, state.hold_.ValueOr(0.0));
  }
  const auto limitSeconds = kLimitSeconds + 2.0 * longestHold;
  for (auto& state : classes_) {
    const auto floor = state.floorShare_ * inUse;
    const auto owed = (floor - state.floorRunning_) * elapsed;
    const auto left = (state.limitShare_ - state.running_) * elapsed;
    const auto debt = MinCredit(state);
    state.floorCredit_ =
      std::clamp(state.floorCredit_ + owed, debt, floor * kFloorSeconds);
    state.limitCredit_ = std::clamp(
      state.limitCredit_ + left, debt, state.limitShare_ * limitSeconds);
  }
}

bool
SlotScheduler::IsLong(TimePoint aNow,
                      const ClassState& aState,
                      const Work& aWork) const
{
  const bool hasSamples = aState.undeclaredSamples_ >= kMinLongTermSamples &&
                          aNow - aState.lastFinish_ < kLongTermHoldMaxAge;
  const bool tendsLong = aState.longTermHold_.Exceeds(Seconds(lendingBound_));
  return aWork.longLived_ || (hasSamples && tendsLong);
}

bool
SlotScheduler::MayStart(const ClassState& aState, bool aLong) const
{
  if (aLong) {
    return aState.running_ < aState.classSlots_.most_ && LongMayStart(aState);
  }
  return aState.running_ < std::ceil(aState.limitShare_ + kLimitMargin) &&
         aState.limitCredit_ > 0.0;
}

bool
SlotScheduler::LongMayStart(const ClassState& aState) const
{
  if (aState.longRunning_ < aState.classSlots_.keeps_) {
    return true;
  }
  std::uint32_t drawn = 0;
  for (const auto& state : classes_) {
    const auto keeps = state.classSlots_.keeps_;
    drawn += std::max(state.longRunning_, keeps) - keeps;
  }
  return drawn < host_.unreserved_;
}

bool
SlotScheduler::CanEverStart(const ClassState& aState, bool aLong) const
{
  if (span_.slots_ == 0) {
    return false;
  }
  const bool hasSlots = aState.classSlots_.keeps_ > 0 || host_.unreserved_ > 0;
  return !aLong || (aState.classSlots_.most_ > 0 && hasSlots);
}

double
SlotScheduler::ExpectedWait(const ClassState& aState, CallerId aCaller) const
{
  if (aState.short_.Empty()) {
    return 0.0;
  }
  const auto slots = std::max(1U, concurrency_.Limit());
  const auto interval =
    aState.startInterval_.ValueOr(aState.hold_.ValueOr(0.0) / slots);
  return static_cast<double>(aState.short_.CountAhead(aCaller) + 1) * interval;
}

bool
SlotScheduler::IsDeadlineUnreachable(TimePoint aNow,
                                     const ClassState& aState,
                                     const Work& aWork,
                                     double aWait) const
{
  if (aWork.deadline_ == TimePoint::max()) {
    return false;
  }
  const auto left = Seconds(aWork.deadline_ - aNow);
  if (left <= aWait) {
    return true;
  }
  const auto hold = aState.hold_.ValueOr(0.0);
  const bool stale =
    aState.running_ == 0 &&
    aNow - aState.lastFinish_ > kHoldMaxAge + internal::FromSeconds(hold);
  return !stale && left < aWait + hold;
}

bool
SlotScheduler::HasStartable(const ClassState& aState, bool aLong) const
{
  return !aState.QueueOf(aLong).Empty() && MayStart(aState, aLong);
}

std::optional<SlotScheduler::Candidate>
SlotScheduler::PickBelowFloor() const
{
  std::optional<Candidate> best;
  TimePoint oldest;
  for (std::size_t index = 0; index < classes_.size(); ++index) {
    const auto& state = classes_[index];
    const bool below =
      state.running_ < std::ceil(state.floorShare_) + kFloorMargin;
    const bool shortOwed =
      below && state.floorCredit_ > 0.0 && HasStartable(state, false);
    const bool longOwed = state.longRunning_ < state.classSlots_.keeps_ &&
                          HasStartable(state, true);
    if (!shortOwed && !longOwed) {
      continue;
    }
    if (!best || state.lastStart_ < oldest) {
      best = Candidate{ index, !shortOwed, true };
      oldest = state.lastStart_;
    }
  }
  return best;
}

std::optional<SlotScheduler::Candidate>
SlotScheduler::PickStarved(TimePoint aNow) const
{
  std::optional<Candidate> best;
  auto oldest = aNow - kStarvationBound;
  for (std::size_t index = 0; index < classes_.size(); ++index) {
    const auto& state = classes_[index];
    const auto since = std::max(state.lastStart_, state.waitingSince_);
    if (since < oldest && HasStartable(state, false)) {
      best = Candidate{ index, false, false };
      oldest = since;
    }
  }
  return best;
}

std::optional<SlotScheduler::Candidate>
SlotScheduler::PickShared() const
{
  std::optional<Candidate> best;
  double least = 0.0;
  for (std::size_t index = 0; index < classes_.size(); ++index) {
    const auto& state = classes_[index];
    const bool waitsShort = HasStartable(state, false);
    if (!waitsShort && !HasStartable(state, true)) {
      continue;
    }
    const auto tag = std::max(state.virtualTime_, virtualTime_);
    if (!best || tag < least) {
      best = Candidate{ index, !waitsShort, false };
      least = tag;
    }
  }
  return best;
}

std::optional<SlotScheduler::Candidate>
SlotScheduler::Pick(TimePoint aNow) const
{
  if (running_.size() >= concurrency_.Limit()) {
    return std::nullopt;
  }
  if (const auto owed = PickBelowFloor()) {
    return owed;
  }
  if (const auto starved = PickStarved(aNow)) {
    return starved;
  }
  return PickShared();
}

Work
SlotScheduler::Dequeue(const Candidate& aCandidate)
{
  auto& state = classes_[aCandidate.class_];
  const auto work = state.QueueOf(aCandidate.longLived_).Pop();
  waiting_.erase(work.id_);
  return work;
}

void
SlotScheduler::Dispatch(TimePoint aNow, std::vector<QueueRelease>& aReleased)
{
  while (const auto candidate = Pick(aNow)) {
    auto& state = classes_[candidate->class_];
    const auto work = Dequeue(*candidate);
    if (IsDeadlineUnreachable(aNow, state, work, 0.0)) {
      aReleased.push_back(
        RefuseQueued(aNow, state, work, Refusal::DeadlineUnreachable));
      continue;
    }
    Start(aNow, work, *candidate);
    aReleased.push_back({ work, Outcome::Started, Refusal::None, {} });
  }
}

void
SlotScheduler::Charge(ClassState& aState,
                      const Candidate& aCandidate,
                      double aSeconds)
{
  const auto tag = std::max(aState.virtualTime_, virtualTime_);
  if (!aCandidate.byFloor_) {
    virtualTime_ = tag;
  }
  const auto lead = kMaxLeadSeconds * span_.slots_ / aState.weight_;
  aState.virtualTime_ =
    std::min(tag + aSeconds / aState.weight_, virtualTime_ + lead);
}

void
SlotScheduler::Start(TimePoint aNow,
                     const Work& aWork,
                     const Candidate& aCandidate)
{
  auto& state = classes_[aCandidate.class_];
  const bool isLong = aCandidate.longLived_;
  const auto seconds =
    isLong ? std::min(state.longHold_.ValueOr(0.0), kMaxLeadSeconds)
           : state.hold_.ValueOr(0.0);
  Charge(state, aCandidate, seconds);
  if (!isLong && state.lastStart_ >= state.waitingSince_) {
    state.startInterval_.Add(Seconds(aNow - state.lastStart_));
  }
  if (state.short_.Empty()) {
    state.startInterval_.Reset();
  }
  state.lastStart_ = aNow;
  ++state.started_;
  ++state.running_;
  state.longRunning_ += isLong ? 1 : 0;
  state.floorRunning_ += aCandidate.byFloor_ && !isLong ? 1 : 0;
  running_[aWork.id_] = { aCandidate.class_,  aNow,   seconds,
                          aWork.longLived_,   isLong, false,
                          aCandidate.byFloor_ };
}

void
SlotScheduler::AccountFinished(TimePoint aNow,
                               const RunningWork& aRunning,
                               Result aResult)
{
  const auto hold = Seconds(aNow - aRunning.startedAt_);
  if (aRunning.class_ == kNoClass) {
    return;
  }
  auto& state = classes_[aRunning.class_];
  if (!aRunning.longLived_) {
    const auto usual = internal::FromSeconds(state.longTermHold_.ValueOr(0.0));
    concurrency_.OnFinish(aNow, aResult, aNow - aRunning.startedAt_, usual);
  }
  --state.running_;
  state.longRunning_ -= aRunning.longLived_ || aRunning.overlong_ ? 1 : 0;
  state.floorRunning_ -= aRunning.byFloor_ && !aRunning.longLived_ ? 1 : 0;
  const auto used =
    aRunning.longLived_ ? std::min(hold, kMaxLeadSeconds) : hold;
  const auto correction = used - aRunning.charged_;
  state.virtualTime_ += correction / state.weight_;
  if (aResult == Result::Done || aResult == Result::Failed) {
    (aRunning.longLived_ ? state.longHold_ : state.hold_).Add(hold);
    if (!aRunning.declaredLong_) {
      state.longTermHold_.Add(hold);
      state.undeclaredSamples_ =
        std::min(state.undeclaredSamples_ + 1, kMinLongTermSamples);
    }
    state.lastFinish_ = aNow;
  }
}

} // namespace cornelshore::admission
