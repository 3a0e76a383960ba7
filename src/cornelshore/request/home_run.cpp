#include <cornelshore/request/home.hpp>

#include <algorithm>

namespace cornelshore::request::internal {

void
Home::OnNotice(Step& aStep, Executor& aExecutor, Notice aNotice)
{
  const auto id = aNotice.key_.key_.id_;
  const auto found = open_.find(id);
  if (found == open_.end() || AttemptOf(id, found->second) != aNotice.key_) {
    return;
  }
  auto& progress = found->second;
  if (!aNotice.started_) {
    OnEnd(aStep, aExecutor, id, progress, std::move(aNotice.result_));
  } else if (records_.at(id).ticket_.backup_.host_.value_ == 0) {
    Dispatch(aStep, aExecutor, id, progress);
  } else {
    RequestConsent(aStep, id, progress);
  }
}

void
Home::RequestConsent(Step& aStep, RequestId aId, Progress& aProgress)
{
  aProgress.stage_ = Stage::Consenting;
  aProgress.consentRequested_ = true;
  aProgress.backoff_ = aStep.settings_.resendAfter_;
  aProgress.giveUpAt_ =
    std::min(aStep.now_ + aStep.settings_.consentWait_, aProgress.deadline_);
  const auto key = KeyOf(aId);
  aStep.ToHost(key.ticket_.backup_.host_, Intent{ key, aProgress.attempt_ });
  Schedule(aId,
           aProgress,
           std::min(aStep.now_ + aProgress.backoff_, aProgress.giveUpAt_));
}

void
Home::OnIntentReply(Step& aStep, Executor& aExecutor, const IntentReply& aReply)
{
  const auto id = aReply.key_.id_;
  const auto found = open_.find(id);
  if (found == open_.end() || KeyOf(id) != aReply.key_ ||
      found->second.stage_ != Stage::Consenting ||
      found->second.attempt_ != aReply.attempt_) {
    return;
  }
  if (aReply.reason_ == Reason::None) {
    Dispatch(aStep, aExecutor, id, found->second);
  } else {
    CloseIdle(aStep, aExecutor, id, aReply.reason_);
  }
}

void
Home::Dispatch(Step& aStep,
               Executor& aExecutor,
               RequestId aId,
               Progress& aProgress)
{
  aProgress.stage_ = Stage::Dispatched;
  aProgress.backoff_ = aStep.settings_.resendAfter_;
  if (aProgress.executor_.host_ == aStep.settings_.self_) {
    Schedule(aId, aProgress, aProgress.deadline_);
    aExecutor.Dispatch(aStep, AttemptOf(aId, aProgress), aProgress.body_);
    return;
  }
  Schedule(aId,
           aProgress,
           std::min(aStep.now_ + aProgress.backoff_, aProgress.deadline_));
  aStep.ToHost(aProgress.executor_.host_, RunOf(aStep, aId, aProgress));
}

Run
Home::RunOf(const Step& aStep, RequestId aId, const Progress& aProgress) const
{
  return { KeyOf(aId),
           aProgress.attempt_,
           aProgress.executor_,
           aProgress.work_,
           aProgress.deadline_ - aStep.now_,
           aProgress.body_ };
}

void
Home::OnRunResult(Step& aStep,
                  Executor& aExecutor,
                  HostId aFrom,
                  RunResult aResult)
{
  aStep.ToHost(aFrom, RunResultAck{ aResult.key_, aResult.attempt_ });
  const auto id = aResult.key_.id_;
  const auto found = open_.find(id);
  if (found == open_.end() || KeyOf(id) != aResult.key_ ||
      found->second.attempt_ != aResult.attempt_ ||
      found->second.stage_ != Stage::Dispatched ||
      found->second.executor_.host_ != aFrom) {
    return;
  }
  OnEnd(aStep, aExecutor, id, found->second, std::move(aResult));
}

void
Home::OnEnd(Step& aStep,
            Executor& aExecutor,
            RequestId aId,
            Progress& aProgress,
            RunResult aResult)
{
  switch (aResult.end_) {
    case RunEnd::Finished: {
      const bool fits = aResult.answer_.size() <= aStep.settings_.answerLimit_;
      const OutcomeInfo outcome{ fits ? Verdict::Answered : Verdict::Unknown,
                                 fits ? Reason::None : Reason::TooLarge,
                                 {},
                                 aProgress.attempt_ };
      Close(aStep, aId, outcome, fits ? std::move(aResult.answer_) : "");
      return;
    }
    case RunEnd::Refused:
      OnRefused(aStep, aExecutor, aId, aProgress, aResult);
      return;
    case RunEnd::Cancelled:
      Close(aStep,
            aId,
            { Verdict::Unknown,
              aProgress.cancelled_ ? Reason::CancelledInRun : Reason::NoAnswer,
              {},
              0 },
            {});
      return;
    case RunEnd::Lost:
      OnLost(aStep, aExecutor, aId, aProgress, aResult.reason_);
      return;
  }
}

void
Home::OnRefused(Step& aStep,
                Executor& aExecutor,
                RequestId aId,
                Progress& aProgress,
                const RunResult& aResult)
{
  if (TryAnotherHost(aStep, aExecutor, aId, aProgress)) {
    ++counts_.redispatches_;
    return;
  }
  const bool late = aProgress.deadline_ <= aStep.now_ && !aProgress.cancelled_;
  CloseIdle(aStep,
            aExecutor,
            aId,
            late ? Reason::DeadlinePassed : aResult.reason_,
            aResult.retryAfter_);
}

bool
Home::TryAnotherHost(Step& aStep,
                     Executor& aExecutor,
                     RequestId aId,
                     Progress& aProgress)
{
  if (aProgress.cancelled_ || aProgress.deadline_ <= aStep.now_ ||
      aProgress.attempt_ >= aStep.settings_.attemptLimit_) {
    return false;
  }
  const auto next = aStep.peers_.PickExecutor(
    aStep.now_, aId, aProgress.tried_, aStep.settings_);
  if (!next) {
    return false;
  }
  if (!budget_.Take()) {
    ++counts_.retriesDenied_;
    return false;
  }
  ++aProgress.attempt_;
  aProgress.executor_ = *next;
  aProgress.tried_.push_back(next->host_);
  if (records_.at(aId).ticket_.backup_.host_.value_ != 0) {
    RequestConsent(aStep, aId, aProgress);
  } else {
    Dispatch(aStep, aExecutor, aId, aProgress);
  }
  return true;
}

void
Home::OnLost(Step& aStep,
             Executor& aExecutor,
             RequestId aId,
             Progress& aProgress,
             Reason aReason)
{
  aProgress.mayHaveRun_ = true;
  const bool repeatable = records_.at(aId).repeatable_ &&
                          IsRepeatable(aProgress.work_.class_) &&
                          aReason != Reason::TooLarge;
  if (repeatable && TryAnotherHost(aStep, aExecutor, aId, aProgress)) {
    ++counts_.retries_;
    return;
  }
  Close(aStep, aId, { Verdict::Unknown, aReason, {}, 0 }, {});
}

void
Home::OnMembership(Step& aStep, Executor& aExecutor)
{
  std::vector<RequestId> lost;
  for (const auto& [id, progress] : open_) {
    if (progress.stage_ == Stage::Dispatched &&
        progress.executor_.host_ != aStep.settings_.self_ &&
        aStep.peers_.HasEnded(progress.executor_)) {
      lost.push_back(id);
    }
  }
  std::sort(lost.begin(), lost.end());
  for (const auto id : lost) {
    OnLost(aStep, aExecutor, id, open_.at(id), Reason::ExecutorLost);
  }
}

void
Home::StopRun(Step& aStep,
              Executor& aExecutor,
              RequestId aId,
              const Progress& aProgress)
{
  if (aProgress.executor_.host_ == aStep.settings_.self_) {
    aExecutor.Stop(aStep, AttemptOf(aId, aProgress));
    return;
  }
  aStep.ToHost(
    aProgress.executor_.host_,
    RunCancel{ KeyOf(aId), aProgress.attempt_, aProgress.executor_ });
}

void
Home::Schedule(RequestId aId, Progress& aProgress, TimePoint aAt)
{
  timers_.erase({ aProgress.due_, aId });
  aProgress.due_ = aAt;
  timers_.emplace(aAt, aId);
}

void
Home::OnTimers(Step& aStep, Executor& aExecutor)
{
  while (!timers_.empty() && timers_.begin()->first <= aStep.now_) {
    const auto id = timers_.begin()->second;
    timers_.erase(timers_.begin());
    OnDue(aStep, aExecutor, id);
  }
  while (!deliveryTimers_.empty() &&
         deliveryTimers_.begin()->first <= aStep.now_) {
    const auto id = deliveryTimers_.begin()->second;
    deliveryTimers_.erase(deliveryTimers_.begin());
    OnDeliveryDue(aStep, id);
  }
  Expire(aStep);
}

void
Home::OnDue(Step& aStep, Executor& aExecutor, RequestId aId)
{
  const auto found = open_.find(aId);
  if (found == open_.end() || found->second.due_ > aStep.now_) {
    return;
  }
  auto& progress = found->second;
  if (progress.stage_ == Stage::Dispatched) {
    OnDueDispatched(aStep, aExecutor, aId, progress);
  } else if (progress.deadline_ <= aStep.now_) {
    CloseIdle(aStep, aExecutor, aId, Reason::DeadlinePassed);
  } else if (progress.giveUpAt_ <= aStep.now_) {
    aStep.peers_.MarkUnresponsive(records_.at(aId).ticket_.backup_.host_);
    CloseIdle(aStep, aExecutor, aId, Reason::BackupTimeout);
  } else {
    const auto key = KeyOf(aId);
    aStep.ToHost(key.ticket_.backup_.host_, Intent{ key, progress.attempt_ });
    progress.backoff_ *= 2;
    Schedule(aId,
             progress,
             std::min(aStep.now_ + progress.backoff_, progress.giveUpAt_));
  }
}

void
Home::OnDueDispatched(Step& aStep,
                      Executor& aExecutor,
                      RequestId aId,
                      Progress& aProgress)
{
  const auto end = aProgress.deadline_ + aStep.settings_.cancelGrace_;
  if (end <= aStep.now_) {
    Close(aStep, aId, { Verdict::Unknown, Reason::NoAnswer, {}, 0 }, {});
    return;
  }
  const bool late = aProgress.deadline_ <= aStep.now_;
  const bool own = aProgress.executor_.host_ == aStep.settings_.self_;
  if (late || aProgress.cancelled_) {
    StopRun(aStep, aExecutor, aId, aProgress);
  } else if (!own) {
    aStep.ToHost(aProgress.executor_.host_, RunOf(aStep, aId, aProgress));
  }
  aProgress.backoff_ *= 2;
  const auto bound = late ? end : aProgress.deadline_;
  Schedule(aId,
           aProgress,
           own ? bound : std::min(aStep.now_ + aProgress.backoff_, bound));
}

} // namespace cornelshore::request::internal
