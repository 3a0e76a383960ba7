#include <cornelshore/admission/slot_scheduler.hpp>

#include <algorithm>
#include <utility>

namespace cornelshore::admission {

namespace {

using internal::ClassState;
using internal::FromSeconds;
using internal::Seconds;

/** Index for running work whose class was removed from the config. */
constexpr std::size_t kNoClass = ~std::size_t{};

constexpr double kMinRetrySeconds = 0.1;
constexpr double kMaxRetrySeconds = 30.0;

} // namespace

SlotScheduler::Builder&
SlotScheduler::Builder::WithSeed(std::uint64_t aSeed)
{
  seed_ = aSeed;
  return *this;
}

SlotScheduler::Builder&
SlotScheduler::Builder::WithIncarnation(Incarnation aIncarnation)
{
  incarnation_ = aIncarnation;
  return *this;
}

SlotScheduler::Builder&
SlotScheduler::Builder::WithQueueBound(std::uint32_t aBound)
{
  queueBound_ = aBound;
  return *this;
}

SlotScheduler::Builder&
SlotScheduler::Builder::WithLendingBound(Duration aBound)
{
  lendingBound_ = aBound;
  return *this;
}

SlotScheduler::Builder&
SlotScheduler::Builder::WithWaitBound(Duration aBound)
{
  waitBound_ = aBound;
  return *this;
}

absl::StatusOr<SlotScheduler>
SlotScheduler::Builder::Build() const
{
  if (queueBound_ == 0) {
    return absl::InvalidArgumentError("queue bound 0; what fits: 1 or more");
  }
  if (lendingBound_ <= Duration::zero() || waitBound_ <= Duration::zero()) {
    return absl::InvalidArgumentError(
      "lending or wait bound is 0 or less; what fits: 1 us or more");
  }
  return SlotScheduler(*this);
}

SlotScheduler::SlotScheduler(const Builder& aBuilder)
  : random_(aBuilder.seed_)
  , queueBound_(aBuilder.queueBound_)
  , lendingBound_(aBuilder.lendingBound_)
  , waitBound_(aBuilder.waitBound_)
  , meter_(aBuilder.incarnation_)
{
}

std::vector<QueueRelease>
SlotScheduler::Configure(TimePoint aNow,
                         const ServiceTarget& aTarget,
                         const FleetSlotRange& aSpan)
{
  std::vector<QueueRelease> released;
  if (classes_.empty()) {
    accruedAt_ = aNow;
  }
  AccrueCredits(aNow);
  span_ = aSpan;
  ReplaceClasses(aTarget, released);
  ApplyShares(aTarget);
  concurrency_.SetSlots(aSpan.slots_);
  if (aSpan.slots_ == 0) {
    for (auto& state : classes_) {
      RefuseAll(state, Refusal::NoCapacity, released);
    }
  }
  Dispatch(aNow, released);
  return released;
}

void
SlotScheduler::ReplaceClasses(const ServiceTarget& aTarget,
                              std::vector<QueueRelease>& aReleased)
{
  std::vector<ClassState> states;
  std::vector<ClassId> kept;
  std::vector<std::size_t> moved(classes_.size(), kNoClass);
  absl::flat_hash_map<ClassId, std::size_t> index;
  for (const auto& target : aTarget.classes_) {
    const auto old = index_.find(target.id_);
    if (old != index_.end()) {
      moved[old->second] = states.size();
      states.push_back(std::move(classes_[old->second]));
    } else {
      states.emplace_back();
    }
    states.back().target_ = target;
    index[target.id_] = states.size() - 1;
    kept.push_back(target.id_);
  }
  for (std::size_t old = 0; old < moved.size(); ++old) {
    if (moved[old] == kNoClass) {
      RefuseAll(classes_[old], Refusal::UnknownClass, aReleased);
    }
  }
  for (auto& [id, running] : running_) {
    running.class_ =
      running.class_ == kNoClass ? kNoClass : moved[running.class_];
  }
  for (auto& [id, waiting] : waiting_) {
    waiting.class_ = moved[waiting.class_];
  }
  classes_ = std::move(states);
  index_ = std::move(index);
  meter_.RetainClasses(kept);
}

void
SlotScheduler::RefuseAll(ClassState& aState,
                         Refusal aReason,
                         std::vector<QueueRelease>& aReleased)
{
  for (const bool isLong : { false, true }) {
    auto& queue = aState.QueueOf(isLong);
    while (!queue.Empty()) {
      const auto work = queue.Pop();
      waiting_.erase(work.id_);
      ++aState.refused_;
      aReleased.push_back(
        { work, Outcome::Refused, aReason, RetryAfter(aState) });
    }
  }
}

OfferResult
SlotScheduler::Offer(TimePoint aNow, const Work& aWork)
{
  const auto found = index_.find(aWork.class_);
  if (found == index_.end()) {
    return { Outcome::Refused, Refusal::UnknownClass, {}, {} };
  }
  AccrueCredits(aNow);
  auto& state = classes_[found->second];
  const auto isLong = IsLong(aNow, state, aWork);
  const auto refusal = CheckAdmission(aNow, state, aWork, isLong);
  if (refusal != Refusal::None) {
    return Refuse(aNow, state, refusal);
  }
  auto offered = Enqueue(aNow, found->second, aWork, isLong);
  if (offered.outcome_ != Outcome::Queued) {
    return offered;
  }
  Dispatch(aNow, offered.released_);
  const auto own = std::find_if(offered.released_.begin(),
                                offered.released_.end(),
                                [&aWork](const QueueRelease& aReleased) {
                                  return aReleased.work_.id_ == aWork.id_;
                                });
  if (own != offered.released_.end()) {
    offered.outcome_ = own->outcome_;
    offered.reason_ = own->reason_;
    offered.retryAfter_ = own->retryAfter_;
    offered.released_.erase(own);
  }
  return offered;
}

Refusal
SlotScheduler::CheckAdmission(TimePoint aNow,
                              const ClassState& aState,
                              const Work& aWork,
                              bool aLong) const
{
  if (waiting_.contains(aWork.id_) || running_.contains(aWork.id_)) {
    return Refusal::DuplicateId;
  }
  if (!CanEverStart(aState, aLong)) {
    return Refusal::NoCapacity;
  }
  const auto wait = aLong ? 0.0 : ExpectedWait(aState, aWork.caller_);
  if (IsDeadlineUnreachable(aNow, aState, aWork, wait)) {
    return Refusal::DeadlineUnreachable;
  }
  constexpr std::size_t kMinQueueLength = 2;
  const bool tooLong = wait > Seconds(waitBound_);
  if (tooLong && aState.short_.Size() >= kMinQueueLength) {
    return Refusal::QueueFull;
  }
  return Refusal::None;
}

OfferResult
SlotScheduler::Enqueue(TimePoint aNow,
                       std::size_t aClass,
                       const Work& aWork,
                       bool aLong)
{
  auto& state = classes_[aClass];
  OfferResult offered{ Outcome::Queued, Refusal::None, {}, {} };
  auto& queue = state.QueueOf(aLong);
  if (queue.Size() >= queueBound_) {
    const auto displaced = queue.Displace(aWork.caller_);
    if (!displaced) {
      return Refuse(aNow, state, Refusal::QueueFull);
    }
    offered.released_.push_back(
      RefuseQueued(aNow, state, *displaced, Refusal::CallerOverShare));
  }
  if (state.Queued() == 0) {
    state.waitingSince_ = aNow;
  }
  queue.Push(aWork);
  waiting_[aWork.id_] = { aClass, aLong };
  if (aWork.deadline_ != TimePoint::max()) {
    nextExpiry_ = std::min(nextExpiry_, aWork.deadline_);
  }
  meter_.RecordOffer(aNow, aWork.class_, false);
  return offered;
}

std::vector<QueueRelease>
SlotScheduler::Finish(TimePoint aNow, RequestId aId, Result aResult)
{
  std::vector<QueueRelease> released;
  const auto found = running_.find(aId);
  if (found == running_.end()) {
    return released;
  }
  AccrueCredits(aNow);
  const auto running = found->second;
  running_.erase(found);
  AccountFinished(aNow, running, aResult);
  Dispatch(aNow, released);
  return released;
}

std::vector<QueueRelease>
SlotScheduler::Cancel(TimePoint aNow, RequestId aId)
{
  const auto found = waiting_.find(aId);
  if (found == waiting_.end()) {
    return Finish(aNow, aId, Result::Cancelled);
  }
  auto& queue =
    classes_[found->second.class_].QueueOf(found->second.longLived_);
  static_cast<void>(queue.Remove(aId));
  waiting_.erase(found);
  return {};
}

std::vector<QueueRelease>
SlotScheduler::Tick(TimePoint aNow)
{
  std::vector<QueueRelease> released;
  AccrueCredits(aNow);
  MarkOverlong(aNow);
  Expire(aNow, released);
  Dispatch(aNow, released);
  return released;
}

std::optional<TimePoint>
SlotScheduler::NextTimer() const
{
  auto next = nextExpiry_;
  if (!waiting_.empty() && running_.size() >= concurrency_.Limit()) {
    next = std::min(next, concurrency_.NextGrowth());
  }
  for (const auto& state : classes_) {
    const bool waits = !state.short_.Empty() && state.limitCredit_ <= 0.0;
    const auto rate = state.limitShare_ - state.running_;
    if (waits && rate > 0.0) {
      const auto delay = FromSeconds(-state.limitCredit_ / rate);
      next = std::min(next, accruedAt_ + delay + Duration{ 1 });
    }
  }
  for (const auto& [id, running] : running_) {
    if (!running.longLived_ && !running.overlong_) {
      next = std::min(next, running.startedAt_ + lendingBound_);
    }
  }
  return next == TimePoint::max() ? std::nullopt : std::optional{ next };
}

void
SlotScheduler::MarkOverlong(TimePoint aNow)
{
  for (auto& [id, running] : running_) {
    const bool overlong = running.startedAt_ + lendingBound_ <= aNow;
    if (overlong && !running.longLived_ && !running.overlong_) {
      running.overlong_ = true;
      if (running.class_ != kNoClass) {
        ++classes_[running.class_].longRunning_;
      }
    }
  }
}

void
SlotScheduler::Expire(TimePoint aNow, std::vector<QueueRelease>& aReleased)
{
  if (aNow < nextExpiry_) {
    return;
  }
  nextExpiry_ = TimePoint::max();
  for (auto& state : classes_) {
    for (const bool isLong : { false, true }) {
      auto& queue = state.QueueOf(isLong);
      for (const auto& work : queue.RemoveDueBefore(aNow + Duration{ 1 })) {
        waiting_.erase(work.id_);
        aReleased.push_back(
          RefuseQueued(aNow, state, work, Refusal::DeadlineUnreachable));
      }
      nextExpiry_ = std::min(nextExpiry_, queue.EarliestDeadline());
    }
  }
}

OfferResult
SlotScheduler::Refuse(TimePoint aNow, ClassState& aState, Refusal aReason)
{
  ++aState.refused_;
  meter_.RecordOffer(aNow, aState.target_.id_, aReason != Refusal::DuplicateId);
  return { Outcome::Refused, aReason, RetryAfter(aState), {} };
}

QueueRelease
SlotScheduler::RefuseQueued(TimePoint aNow,
                            ClassState& aState,
                            const Work& aWork,
                            Refusal aReason)
{
  ++aState.refused_;
  waiting_.erase(aWork.id_);
  meter_.RecordLateRefusal(aNow, aState.target_.id_);
  return { aWork, Outcome::Refused, aReason, RetryAfter(aState) };
}

Duration
SlotScheduler::RetryAfter(const ClassState& aState)
{
  const auto wait = static_cast<double>(aState.short_.Size() + 1) *
                    aState.startInterval_.ValueOr(kMinRetrySeconds);
  const auto base = std::clamp(wait, kMinRetrySeconds, kMaxRetrySeconds);
  return FromSeconds(base * (1.0 + 2.0 * random_.Unit()));
}

std::optional<Pushback>
SlotScheduler::TakePushback(TimePoint aNow)
{
  auto pushback = meter_.Take(aNow);
  if (!pushback) {
    return pushback;
  }
  for (auto& load : pushback->classes_) {
    const auto found = index_.find(load.class_);
    if (found != index_.end()) {
      load.wait_ = FromSeconds(ExpectedWait(classes_[found->second], {}));
    }
  }
  return pushback;
}

SchedulerDump
SlotScheduler::Dump(TimePoint /*aNow*/) const
{
  SchedulerDump dump{ span_.slots_,
                      concurrency_.Limit(),
                      static_cast<std::uint32_t>(running_.size()),
                      host_.open_,
                      host_.unreserved_,
                      {} };
  for (const auto& state : classes_) {
    dump.classes_.push_back(
      { state.target_.name_,
        state.target_.id_,
        state.classSlots_.keeps_,
        state.classSlots_.most_,
        state.classSlots_.missing_,
        state.running_,
        state.longRunning_,
        static_cast<std::uint32_t>(state.Queued()),
        state.started_,
        state.refused_,
        FromSeconds(state.hold_.ValueOr(state.longHold_.ValueOr(0.0))),
        FromSeconds(ExpectedWait(state, {})) });
  }
  return dump;
}

} // namespace cornelshore::admission
