#include <cornelshore/request/executor.hpp>

#include <algorithm>
#include <vector>

#include <cornelshore/request/step.hpp>

namespace cornelshore::request::internal {

namespace {

RunResult
RefusedResult(const AttemptKey& aKey, Reason aReason)
{
  RunResult result;
  result.key_ = aKey.key_;
  result.attempt_ = aKey.attempt_;
  result.end_ = RunEnd::Refused;
  result.reason_ = aReason;
  return result;
}

/** Drops the answer but keeps the fact that the attempt ran. */
void
DiscardAnswer(RunResult& aResult)
{
  if (aResult.end_ == RunEnd::Finished) {
    aResult.end_ = RunEnd::Lost;
    aResult.reason_ = Reason::ExecutorLost;
    std::string().swap(aResult.answer_);
  }
}

} // namespace

void
Executor::Queue(Step& aStep,
                const AttemptKey& aKey,
                const Work& aWork,
                TimePoint aDeadline)
{
  Entry entry;
  entry.own_ = true;
  entry.home_ = aStep.settings_.self_;
  entry.deadline_ = aDeadline;
  entry.work_ = aWork;
  Add(aStep, aKey, std::move(entry));
}

void
Executor::Add(Step& aStep, const AttemptKey& aKey, Entry aEntry)
{
  aEntry.run_ = RunId{ ++lastRun_ };
  aStep.actions_.emplace_back(
    Offer{ aEntry.run_, aEntry.work_, aEntry.deadline_ });
  bodyBytes_ += aEntry.body_.size();
  runs_.emplace(aEntry.run_, aKey);
  entries_.insert_or_assign(aKey, std::move(aEntry));
}

void
Executor::Dispatch(Step& aStep,
                   const AttemptKey& aKey,
                   const std::string& aBody)
{
  const auto found = entries_.find(aKey);
  if (found != entries_.end() && found->second.stage_ == Stage::Ready) {
    Start(aStep, aKey, found->second, aBody);
  }
}

void
Executor::Start(Step& aStep,
                const AttemptKey& aKey,
                Entry& aEntry,
                std::string aBody)
{
  aEntry.stage_ = Stage::Running;
  aStep.actions_.emplace_back(StartRun{ aEntry.run_,
                                        aKey.key_.id_,
                                        aEntry.work_,
                                        aEntry.deadline_ - aStep.now_,
                                        std::move(aBody) });
}

void
Executor::Withdraw(Step& aStep, const AttemptKey& aKey)
{
  const auto found = entries_.find(aKey);
  if (found == entries_.end() || found->second.stage_ >= Stage::Running) {
    return;
  }
  aStep.actions_.emplace_back(ReleaseSlot{ found->second.run_ });
  End(aStep, aKey, found->second, RefusedResult(aKey, Reason::Cancelled));
}

void
Executor::Stop(Step& aStep, const AttemptKey& aKey)
{
  const auto found = entries_.find(aKey);
  if (found == entries_.end() || found->second.stage_ != Stage::Running ||
      found->second.stopped_) {
    return;
  }
  found->second.stopped_ = true;
  aStep.actions_.emplace_back(CancelRun{ found->second.run_ });
}

bool
Executor::AdmitOrRefuse(Step& aStep,
                        HostId aHome,
                        const AttemptKey& aKey,
                        const Authority& aExecutor)
{
  const auto status = aStep.ClassifyStamp(fence_, aExecutor.stamp_);
  if (status == StampStatus::Invalid) {
    return false;
  }
  if (status == StampStatus::Open &&
      entries_.size() >= aStep.settings_.runLimit_) {
    fence_.Raise(aExecutor.stamp_, Reason::TableFull);
  } else if (status == StampStatus::Open) {
    return true;
  }
  auto refusal = RefusedResult(aKey, fence_.ReasonFor(aExecutor.stamp_));
  if (status == StampStatus::Expired) {
    refusal.end_ = RunEnd::Lost;
    refusal.reason_ = Reason::RetentionPassed;
  }
  aStep.ToHost(aHome, std::move(refusal));
  return false;
}

void
Executor::OnRun(Step& aStep, HostId aFrom, Run aRun)
{
  const AttemptKey key{ aRun.key_, aRun.attempt_ };
  if (!aStep.IsSelf(aRun.executor_)) {
    return;
  }
  if (const auto found = entries_.find(key); found != entries_.end()) {
    if (found->second.stage_ == Stage::Ended) {
      aStep.ToHost(aFrom, found->second.result_);
    }
    return;
  }
  if (!AdmitOrRefuse(aStep, aFrom, key, aRun.executor_)) {
    return;
  }
  if (aRun.timeLeft_ <= Duration::zero()) {
    AddTombstone(aStep, aFrom, key, Reason::DeadlinePassed);
    return;
  }
  if (bodyBytes_ + aRun.body_.size() > aStep.settings_.bodyBytesLimit_) {
    AddTombstone(aStep, aFrom, key, Reason::TableFull);
    return;
  }
  Entry entry;
  entry.home_ = aFrom;
  entry.deadline_ =
    aStep.now_ + std::min(aRun.timeLeft_, aStep.settings_.retention_);
  entry.work_ = aRun.work_;
  entry.body_ = std::move(aRun.body_);
  Add(aStep, key, std::move(entry));
}

void
Executor::AddTombstone(Step& aStep,
                       HostId aHome,
                       const AttemptKey& aKey,
                       Reason aReason)
{
  auto& entry = entries_[aKey];
  entry.home_ = aHome;
  End(aStep, aKey, entry, RefusedResult(aKey, aReason));
}

void
Executor::OnRunCancel(Step& aStep, HostId aFrom, const RunCancel& aCancel)
{
  const AttemptKey key{ aCancel.key_, aCancel.attempt_ };
  if (!aStep.IsSelf(aCancel.executor_)) {
    return;
  }
  const auto found = entries_.find(key);
  if (found == entries_.end()) {
    if (AdmitOrRefuse(aStep, aFrom, key, aCancel.executor_)) {
      AddTombstone(aStep, aFrom, key, Reason::Cancelled);
    }
    return;
  }
  if (found->second.stage_ == Stage::Ended) {
    aStep.ToHost(aFrom, found->second.result_);
    return;
  }
  Withdraw(aStep, key);
  Stop(aStep, key);
}

std::optional<Notice>
Executor::OnStarted(Step& aStep, RunId aRun)
{
  const auto run = runs_.find(aRun);
  if (run == runs_.end()) {
    return std::nullopt;
  }
  const auto key = run->second;
  auto& entry = entries_.at(key);
  if (entry.stage_ != Stage::Queued) {
    return std::nullopt;
  }
  if (entry.deadline_ <= aStep.now_) {
    return OnEnd(aStep, aRun, RefusedResult(key, Reason::DeadlinePassed), true);
  }
  entry.stage_ = Stage::Ready;
  if (entry.own_) {
    return Notice{ key, true, {} };
  }
  bodyBytes_ -= entry.body_.size();
  Start(aStep, key, entry, std::move(entry.body_));
  entry.body_.clear();
  return std::nullopt;
}

std::optional<Notice>
Executor::OnEnd(Step& aStep, RunId aRun, RunResult aResult, bool aHoldsSlot)
{
  const auto run = runs_.find(aRun);
  if (run == runs_.end()) {
    return std::nullopt;
  }
  const auto key = run->second;
  aResult.key_ = key.key_;
  aResult.attempt_ = key.attempt_;
  if (aHoldsSlot) {
    aStep.actions_.emplace_back(ReleaseSlot{ aRun });
  }
  auto& entry = entries_.at(key);
  const bool own = entry.own_;
  std::optional<Notice> notice;
  if (own) {
    notice = Notice{ key, false, aResult };
  }
  End(aStep, key, entry, std::move(aResult));
  return notice;
}

void
Executor::End(Step& aStep,
              const AttemptKey& aKey,
              Entry& aEntry,
              RunResult aResult)
{
  runs_.erase(aEntry.run_);
  bodyBytes_ -= aEntry.body_.size();
  aEntry.body_.clear();
  aEntry.stage_ = Stage::Ended;
  if (aEntry.own_) {
    entries_.erase(AttemptKey{ aKey });
    return;
  }
  if (aResult.answer_.size() > aStep.settings_.answerLimit_) {
    aResult.answer_.clear();
    aResult.end_ = RunEnd::Lost;
    aResult.reason_ = Reason::TooLarge;
  }
  aEntry.result_ = std::move(aResult);
  aEntry.backoff_ = aStep.settings_.resendAfter_;
  aEntry.expiresAt_ = aStep.now_ + aStep.settings_.retention_;
  expiry_.Push(aEntry.expiresAt_, aKey);
  Deliver(aStep, aKey, aEntry);
}

void
Executor::Deliver(Step& aStep, const AttemptKey& aKey, Entry& aEntry)
{
  if (aEntry.tries_ == kMaxResultSends) {
    DiscardAnswer(aEntry.result_);
    return;
  }
  const auto& ticket = aKey.key_.ticket_;
  const auto& result = aEntry.result_;
  const bool known = result.end_ == RunEnd::Finished;
  if (known && ticket.backup_.host_.value_ != 0 &&
      aStep.peers_.HasEnded(ticket.home_)) {
    aStep.ToHost(ticket.backup_.host_,
                 Result{ aKey.key_,
                         aKey.attempt_,
                         Verdict::Answered,
                         Reason::None,
                         result.answer_ });
  } else {
    aStep.ToHost(aEntry.home_, result);
  }
  ++aEntry.tries_;
  aEntry.due_ = aStep.now_ + aEntry.backoff_;
  aEntry.backoff_ *= 2;
  timers_.emplace(aEntry.due_, aKey);
}

void
Executor::OnResultAcknowledged(const AttemptKey& aKey)
{
  const auto found = entries_.find(aKey);
  if (found != entries_.end()) {
    timers_.erase({ found->second.due_, aKey });
    DiscardAnswer(found->second.result_);
  }
}

void
Executor::Leave(Step& aStep)
{
  fence_.Raise(StampOf(aStep.now_), Reason::Leaving);
  std::vector<AttemptKey> waiting;
  for (const auto& [run, key] : runs_) {
    const auto& entry = entries_.at(key);
    if (!entry.own_ && entry.stage_ == Stage::Queued) {
      waiting.push_back(key);
    }
  }
  std::sort(waiting.begin(), waiting.end());
  for (const auto& key : waiting) {
    auto& entry = entries_.at(key);
    aStep.actions_.emplace_back(ReleaseSlot{ entry.run_ });
    End(aStep, key, entry, RefusedResult(key, Reason::Leaving));
  }
}

void
Executor::OnTimers(Step& aStep)
{
  while (!timers_.empty() && timers_.begin()->first <= aStep.now_) {
    const auto key = timers_.begin()->second;
    timers_.erase(timers_.begin());
    Deliver(aStep, key, entries_.at(key));
  }
  while (const auto expired = expiry_.Pop(aStep.now_)) {
    const auto found = entries_.find(expired->second);
    if (found != entries_.end() && found->second.expiresAt_ == expired->first) {
      timers_.erase({ found->second.due_, expired->second });
      entries_.erase(found);
    }
  }
}

std::optional<TimePoint>
Executor::NextTimer() const
{
  std::optional<TimePoint> next;
  if (!timers_.empty()) {
    next = timers_.begin()->first;
  }
  return Earlier(next, expiry_.Next());
}

} // namespace cornelshore::request::internal
