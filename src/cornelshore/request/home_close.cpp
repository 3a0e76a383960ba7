#include <cornelshore/request/home.hpp>

namespace cornelshore::request::internal {

void
Home::CloseIdle(Step& aStep,
                Executor& aExecutor,
                RequestId aId,
                Reason aReason,
                Duration aRetryAfter)
{
  const auto& progress = open_.at(aId);
  if (progress.executor_.host_ == aStep.settings_.self_) {
    aExecutor.Withdraw(aStep, AttemptOf(aId, progress));
  }
  const auto verdict =
    progress.mayHaveRun_ ? Verdict::Unknown : Verdict::NotRun;
  Close(aStep, aId, { verdict, aReason, aRetryAfter, 0 }, {});
}

void
Home::Close(Step& aStep,
            RequestId aId,
            OutcomeInfo aOutcome,
            std::string aAnswer)
{
  const auto found = open_.find(aId);
  auto& record = records_.at(aId);
  record.open_ = false;
  record.outcome_ = aOutcome;
  record.answer_ = std::move(aAnswer);
  counts_.outcomes_.Add(aOutcome.verdict_, aOutcome.reason_);
  const auto& progress = found->second;
  SendOutcome(aStep, KeyOf(aId), progress.route_, aOutcome, record.answer_);
  timers_.erase({ progress.due_, aId });
  if (progress.consentRequested_) {
    Delivery delivery;
    delivery.result_ = { KeyOf(aId),
                         aOutcome.attempt_,
                         aOutcome.verdict_,
                         aOutcome.reason_,
                         record.answer_ };
    delivery.backoff_ = aStep.settings_.resendAfter_;
    if (const auto old = deliveries_.find(aId); old != deliveries_.end()) {
      deliveryTimers_.erase({ old->second.due_, aId });
    }
    auto& placed =
      deliveries_.insert_or_assign(aId, std::move(delivery)).first->second;
    Deliver(aStep, aId, placed);
  }
  bodyBytes_ -= progress.body_.size();
  open_.erase(found);
  Retain(aStep, aId, record);
}

void
Home::Retain(Step& aStep, RequestId aId, Record& aRecord)
{
  const auto& settings = aStep.settings_;
  if (answerBytes_ + aRecord.answer_.size() > settings.answerBytesLimit_) {
    std::string().swap(aRecord.answer_);
    aRecord.outcome_ = { Verdict::Unknown, Reason::TableFull, {}, 0 };
  }
  answerBytes_ += aRecord.answer_.size();
  const bool tombstone =
    aRecord.outcome_.verdict_ == Verdict::NotRun && !aRecord.mayHaveRunBefore_;
  aRecord.expiresAt_ =
    aStep.now_ + (tombstone ? settings.window_ : settings.retention_);
  (tombstone ? tombstones_ : retained_).Push(aRecord.expiresAt_, aId);
}

void
Home::Deliver(Step& aStep, RequestId aId, Delivery& aDelivery)
{
  if (aDelivery.tries_ == kMaxResultSends) {
    deliveries_.erase(aId);
    return;
  }
  aStep.ToHost(aDelivery.result_.key_.ticket_.backup_.host_, aDelivery.result_);
  ++aDelivery.tries_;
  aDelivery.due_ = aStep.now_ + aDelivery.backoff_;
  aDelivery.backoff_ *= 2;
  deliveryTimers_.emplace(aDelivery.due_, aId);
}

void
Home::OnDeliveryDue(Step& aStep, RequestId aId)
{
  const auto found = deliveries_.find(aId);
  if (found != deliveries_.end() && found->second.due_ <= aStep.now_) {
    Deliver(aStep, aId, found->second);
  }
}

void
Home::OnResultAck(const ResultAck& aAck)
{
  const auto found = deliveries_.find(aAck.key_.id_);
  if (found != deliveries_.end() && found->second.result_.key_ == aAck.key_) {
    deliveryTimers_.erase({ found->second.due_, aAck.key_.id_ });
    deliveries_.erase(found);
  }
}

void
Home::Expire(Step& aStep)
{
  for (auto* queue : { &retained_, &tombstones_ }) {
    while (const auto expired = queue->Pop(aStep.now_)) {
      const auto found = records_.find(expired->second);
      if (found != records_.end() && !found->second.open_ &&
          found->second.expiresAt_ == expired->first) {
        answerBytes_ -= found->second.answer_.size();
        records_.erase(found);
      }
    }
  }
}

std::optional<TimePoint>
Home::NextTimer() const
{
  std::optional<TimePoint> next;
  if (!timers_.empty()) {
    next = timers_.begin()->first;
  }
  if (!deliveryTimers_.empty()) {
    next = Earlier(next, deliveryTimers_.begin()->first);
  }
  return Earlier(next, Earlier(retained_.Next(), tombstones_.Next()));
}

} // namespace cornelshore::request::internal
