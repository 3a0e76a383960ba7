#include <cornelshore/request/backup.hpp>

#include <utility>

namespace cornelshore::request::internal {

Backup::Entry&
Backup::Add(Step& aStep, const RequestKey& aKey, Duration aRetention)
{
  auto& entry = entries_[aKey];
  entry.expiresAt_ = aStep.now_ + aRetention;
  auto& queue = aRetention == aStep.settings_.window_ ? refusals_ : consents_;
  queue.Push(entry.expiresAt_, aKey);
  return entry;
}

void
Backup::OnIntent(Step& aStep, HostId aFrom, const Intent& aIntent)
{
  const auto reason = aStep.IsSelf(aIntent.key_.ticket_.backup_)
                        ? Consent(aStep, aIntent.key_)
                        : Reason::BackupTimeout;
  aStep.ToHost(aFrom, IntentReply{ aIntent.key_, aIntent.attempt_, reason });
}

Reason
Backup::Consent(Step& aStep, const RequestKey& aKey)
{
  if (const auto found = entries_.find(aKey); found != entries_.end()) {
    return found->second.final_ ? found->second.outcome_.reason_ : Reason::None;
  }
  const auto stamp = aKey.ticket_.backup_.stamp_;
  switch (aStep.ClassifyStamp(fence_, stamp)) {
    case StampStatus::Invalid:
      return Reason::InvalidTicket;
    case StampStatus::Expired:
      return Reason::TicketExpired;
    case StampStatus::Refused:
      return fence_.ReasonFor(stamp);
    case StampStatus::Open:
      break;
  }
  if (entries_.size() >= aStep.settings_.backupLimit_) {
    return Reason::TableFull;
  }
  Add(aStep, aKey, aStep.settings_.retention_).consented_ = true;
  return Reason::None;
}

void
Backup::OnResult(Step& aStep, HostId aFrom, Result aResult)
{
  if (!aStep.IsSelf(aResult.key_.ticket_.backup_)) {
    return;
  }
  aStep.ToHost(aFrom, ResultAck{ aResult.key_, aResult.attempt_ });
  const auto found = entries_.find(aResult.key_);
  if (found == entries_.end() || !found->second.consented_ ||
      found->second.outcome_.verdict_ == Verdict::Answered) {
    return;
  }
  auto& entry = found->second;
  entry.final_ = true;
  entry.outcome_ = { aResult.verdict_, aResult.reason_, {}, aResult.attempt_ };
  const auto size = aResult.answer_.size();
  if (answerBytes_ + size > aStep.settings_.answerBytesLimit_) {
    entry.outcome_.verdict_ = Verdict::Unknown;
    entry.outcome_.reason_ = Reason::TableFull;
    return;
  }
  answerBytes_ += size;
  entry.answer_ = std::move(aResult.answer_);
}

void
Backup::AnswerForHome(Step& aStep,
                      const RequestKey& aKey,
                      const Route& aRoute,
                      Reason aReasonIfUnknown)
{
  const auto found = entries_.find(aKey);
  if (found == entries_.end()) {
    const auto outcome = ResolveUnknownId(aStep, aKey, aReasonIfUnknown);
    backupOutcomes_.Add(outcome.verdict_, outcome.reason_);
    SendOutcome(aStep, aKey, aRoute, outcome, {});
    return;
  }
  auto& entry = found->second;
  if (!entry.final_) {
    entry.final_ = true;
    entry.outcome_ = { Verdict::Unknown, Reason::HomeLost, {}, 0 };
  }
  backupOutcomes_.Add(entry.outcome_.verdict_, entry.outcome_.reason_);
  SendOutcome(aStep, aKey, aRoute, entry.outcome_, entry.answer_);
}

OutcomeInfo
Backup::ResolveUnknownId(Step& aStep, const RequestKey& aKey, Reason aReason)
{
  const auto stamp = aKey.ticket_.backup_.stamp_;
  switch (aStep.ClassifyStamp(fence_, stamp)) {
    case StampStatus::Invalid:
      return { Verdict::Unknown, Reason::InvalidTicket, {}, 0 };
    case StampStatus::Expired:
      return { Verdict::Unknown, Reason::RetentionPassed, {}, 0 };
    case StampStatus::Refused:
      return { Verdict::NotRun, fence_.ReasonFor(stamp), {}, 0 };
    case StampStatus::Open:
      break;
  }
  const OutcomeInfo outcome{ Verdict::NotRun, aReason, {}, 0 };
  if (entries_.size() >= aStep.settings_.backupLimit_) {
    fence_.Raise(stamp, aReason);
    return outcome;
  }
  auto& entry = Add(aStep, aKey, aStep.settings_.window_);
  entry.final_ = true;
  entry.outcome_ = outcome;
  return outcome;
}

void
Backup::OnTimers(Step& aStep)
{
  for (auto* queue : { &consents_, &refusals_ }) {
    while (const auto expired = queue->Pop(aStep.now_)) {
      const auto found = entries_.find(expired->second);
      if (found != entries_.end() &&
          found->second.expiresAt_ == expired->first) {
        answerBytes_ -= found->second.answer_.size();
        entries_.erase(found);
      }
    }
  }
}

std::optional<TimePoint>
Backup::NextTimer() const
{
  return Earlier(consents_.Next(), refusals_.Next());
}

} // namespace cornelshore::request::internal
