#include <algorithm>
#include <cmath>

#include <cornelshore/admission/slot_scheduler.hpp>

namespace cornelshore::admission {

namespace {

using internal::ClassState;
using internal::Seconds;

/** Time over which a floor is kept: unused parts are saved up so long. */
constexpr double kFloorSeconds = 30.0;
/** Time over which a limit is kept. */
constexpr double kMostSeconds = 0.5;
/** Most that a class's use runs ahead of its weight, and most debt. */
constexpr double kLeadSeconds = 2.0;
constexpr Duration kStarvationBound = std::chrono::seconds{ 10 };
/** Slots above a limit that work may take for a moment. */
constexpr double kMostMargin = 1.0;
/** Slots above a floor that saved-up parts take at once. */
constexpr double kFloorMargin = 1.0;
constexpr double kDebtHolds = 4.0;
constexpr Duration kHoldEvidenceAge = std::chrono::seconds{ 1 };
/** Samples before a class is judged by its tendency, and how long it is. */
constexpr std::uint32_t kTendencySamples = 8;
constexpr Duration kTendencyAge = std::chrono::seconds{ 30 };
constexpr std::size_t kNoClass = ~std::size_t{};

/** Lowest credit that a class sinks to. */
double
MostDebt(const ClassState& aState)
{
  return -(kDebtHolds * aState.hold_.Or(0.0) + kLeadSeconds);
}

} // namespace

void
SlotScheduler::ApplyShares(const ServiceTarget& aTarget)
{
  host_ = ApportionHost(aTarget, span_);
  const double slots = span_.slots_;
  for (std::size_t index = 0; index < classes_.size(); ++index) {
    auto& state = classes_[index];
    state.whole_ = host_.classes_[index];
    state.weight_ = std::ldexp(1.0, state.target_.urgency_);
    state.floorShare_ = slots * state.target_.keeps_ / kFullShare;
    state.mostShare_ = slots * state.target_.most_ / kFullShare;
    if (state.fresh_ && slots > 0) {
      state.fresh_ = false;
      state.floorCredit_ = state.floorShare_ * kMostSeconds;
      state.mostCredit_ = state.mostShare_ * kMostSeconds;
    }
  }
}

void
SlotScheduler::Accrue(TimePoint aNow)
{
  const auto elapsed = std::max(0.0, Seconds(aNow - accruedAt_));
  accruedAt_ = std::max(accruedAt_, aNow);
  concurrency_.OnTime(aNow, running_.size() >= concurrency_.Limit());
  const auto slots = std::max<double>(span_.slots_, 1.0);
  const auto inUse = concurrency_.Limit() / slots;
  double longestHold = 0.0;
  for (const auto& state : classes_) {
    longestHold = std::max(longestHold, state.hold_.Or(0.0));
  }
  const auto mostSeconds = kMostSeconds + 2.0 * longestHold;
  for (auto& state : classes_) {
    const auto floor = state.floorShare_ * inUse;
    const auto owed = (floor - state.floorRunning_) * elapsed;
    const auto left = (state.mostShare_ - state.running_) * elapsed;
    const auto debt = MostDebt(state);
    state.floorCredit_ =
      std::clamp(state.floorCredit_ + owed, debt, floor * kFloorSeconds);
    state.mostCredit_ = std::clamp(
      state.mostCredit_ + left, debt, state.mostShare_ * mostSeconds);
  }
}

bool
SlotScheduler::IsLong(TimePoint aNow,
                      const ClassState& aState,
                      const Work& aWork) const
{
  const bool judged = aState.undeclared_ >= kTendencySamples &&
                      aNow - aState.lastFinish_ < kTendencyAge;
  const bool tends = aState.tendency_.Exceeds(Seconds(lendingBound_));
  return aWork.longLived_ || (judged && tends);
}

bool
SlotScheduler::MayStart(const ClassState& aState, bool aLong) const
{
  if (aLong) {
    return aState.running_ < aState.whole_.most_ && LongMayStart(aState);
  }
  return aState.running_ < std::ceil(aState.mostShare_ + kMostMargin) &&
         aState.mostCredit_ > 0.0;
}

bool
SlotScheduler::LongMayStart(const ClassState& aState) const
{
  if (aState.longRunning_ < aState.whole_.keeps_) {
    return true;
  }
  std::uint32_t drawn = 0;
  for (const auto& state : classes_) {
    const auto keeps = state.whole_.keeps_;
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
  const bool hasWhole = aState.whole_.keeps_ > 0 || host_.unreserved_ > 0;
  return !aLong || (aState.whole_.most_ > 0 && hasWhole);
}

double
SlotScheduler::ExpectedWait(const ClassState& aState, CallerId aCaller) const
{
  if (aState.short_.Empty()) {
    return 0.0;
  }
  const auto slots = std::max(1U, concurrency_.Limit());
  const auto interval = aState.startInterval_.Or(aState.hold_.Or(0.0) / slots);
  return static_cast<double>(aState.short_.Ahead(aCaller) + 1) * interval;
}

bool
SlotScheduler::Unreachable(TimePoint aNow,
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
  const auto hold = aState.hold_.Or(0.0);
  const bool stale =
    aState.running_ == 0 &&
    aNow - aState.lastFinish_ > kHoldEvidenceAge + internal::FromSeconds(hold);
  return !stale && left < aWait + hold;
}

bool
SlotScheduler::Waits(const ClassState& aState, bool aLong) const
{
  return !aState.QueueOf(aLong).Empty() && MayStart(aState, aLong);
}

std::optional<SlotScheduler::Candidate>
SlotScheduler::PickOwed() const
{
  std::optional<Candidate> best;
  TimePoint oldest;
  for (std::size_t index = 0; index < classes_.size(); ++index) {
    const auto& state = classes_[index];
    const bool below =
      state.running_ < std::ceil(state.floorShare_) + kFloorMargin;
    const bool shortOwed =
      below && state.floorCredit_ > 0.0 && Waits(state, false);
    const bool longOwed =
      state.longRunning_ < state.whole_.keeps_ && Waits(state, true);
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
    if (since < oldest && Waits(state, false)) {
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
    const bool waitsShort = Waits(state, false);
    if (!waitsShort && !Waits(state, true)) {
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
  if (const auto owed = PickOwed()) {
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
    if (Unreachable(aNow, state, work, 0.0)) {
      aReleased.push_back(
        Break(aNow, state, work, Refusal::DeadlineUnreachable));
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
  const auto lead = kLeadSeconds * span_.slots_ / aState.weight_;
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
  const auto seconds = isLong ? std::min(state.longHold_.Or(0.0), kLeadSeconds)
                              : state.hold_.Or(0.0);
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
SlotScheduler::Settle(TimePoint aNow, const Running& aRunning, Result aResult)
{
  const auto hold = Seconds(aNow - aRunning.startedAt_);
  if (aRunning.class_ == kNoClass) {
    return;
  }
  auto& state = classes_[aRunning.class_];
  if (!aRunning.longLived_) {
    const auto usual = internal::FromSeconds(state.tendency_.Or(0.0));
    concurrency_.OnFinish(aNow, aResult, aNow - aRunning.startedAt_, usual);
  }
  --state.running_;
  state.longRunning_ -= aRunning.longLived_ || aRunning.overlong_ ? 1 : 0;
  state.floorRunning_ -= aRunning.byFloor_ && !aRunning.longLived_ ? 1 : 0;
  const auto used = aRunning.longLived_ ? std::min(hold, kLeadSeconds) : hold;
  const auto correction = used - aRunning.charged_;
  state.virtualTime_ += correction / state.weight_;
  if (aResult == Result::Done || aResult == Result::Failed) {
    (aRunning.longLived_ ? state.longHold_ : state.hold_).Add(hold);
    if (!aRunning.declared_) {
      state.tendency_.Add(hold);
      state.undeclared_ = std::min(state.undeclared_ + 1, kTendencySamples);
    }
    state.lastFinish_ = aNow;
  }
}

} // namespace cornelshore::admission
