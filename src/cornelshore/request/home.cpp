#include <cornelshore/request/home.hpp>

#include <algorithm>

#include <cornelshore/core/hash.hpp>

namespace cornelshore::request::internal {

namespace {

/** Never returns 0, which marks a tombstone without a submission. */
std::uint64_t
FingerprintOf(const Submit& aSubmit)
{
  const auto& work = aSubmit.work_;
  const auto seed =
    HashPair(HashPair(work.service_.value_, work.class_.value_), work.caller_);
  return HashText(aSubmit.body_, seed) | 1U;
}

} // namespace

Home::Home(const AgentSettings& aSettings, RepeatableHook aRepeatable)
  : repeatable_(std::move(aRepeatable))
  , budget_(aSettings.retryShare_, aSettings.retryBurst_)
{
}

bool
Home::IsRepeatable(ClassId aClass) const
{
  return repeatable_ && repeatable_(aClass);
}

bool
Home::IsReplaceable(const Record& aRecord)
{
  if (aRecord.open_) {
    return false;
  }
  const auto verdict = aRecord.outcome_.verdict_;
  return verdict == Verdict::NotRun ||
         (verdict == Verdict::Unknown && aRecord.repeatable_);
}

RequestKey
Home::KeyOf(RequestId aId) const
{
  return { aId, records_.at(aId).ticket_ };
}

AttemptKey
Home::AttemptOf(RequestId aId, const Progress& aProgress) const
{
  return { KeyOf(aId), aProgress.attempt_ };
}

void
Home::OnTicketRequest(Step& aStep, const TicketRequest& aRequest)
{
  TicketReply reply;
  reply.id_ = aRequest.id_;
  reply.repeatable_ = IsRepeatable(aRequest.work_.class_);
  reply.route_ = aRequest.route_;
  const auto found = records_.find(aRequest.id_);
  if (found != records_.end() && !IsReplaceable(found->second)) {
    reply.ticket_ = found->second.ticket_;
  } else if (leaving_ || aRequest.work_.service_ != aStep.settings_.service_) {
    reply.reason_ = leaving_ ? Reason::Leaving : Reason::NoHost;
  } else if (IsFull(aStep)) {
    reply.reason_ = Reason::TableFull;
  } else {
    lastStamp_ = std::max(StampOf(aStep.now_), Stamp{ lastStamp_.value_ + 1 });
    reply.ticket_.home_ = { aStep.settings_.self_,
                            aStep.settings_.incarnation_,
                            lastStamp_ };
    if (!reply.repeatable_) {
      reply.ticket_.backup_ =
        aStep.peers_.PickBackup(aStep.now_, aRequest.id_, aStep.settings_);
    }
  }
  ++(reply.reason_ == Reason::None ? counts_.ticketsGiven_
                                   : counts_.ticketsRefused_);
  aStep.ToCaller(reply);
}

bool
Home::AdmitOrRefuse(Step& aStep, const RequestKey& aKey, const Route& aRoute)
{
  const auto stamp = aKey.ticket_.home_.stamp_;
  OutcomeInfo outcome;
  switch (aStep.ClassifyStamp(fence_, stamp)) {
    case StampStatus::Open:
      if (!IsFull(aStep)) {
        return true;
      }
      fence_.Raise(stamp, Reason::TableFull);
      [[fallthrough]];
    case StampStatus::Refused:
      outcome.verdict_ = Verdict::NotRun;
      outcome.reason_ = fence_.ReasonFor(stamp);
      break;
    case StampStatus::Expired:
      outcome.reason_ = Reason::RetentionPassed;
      break;
    case StampStatus::Invalid:
      outcome.reason_ = Reason::InvalidTicket;
      break;
  }
  counts_.outcomes_.Add(outcome.verdict_, outcome.reason_);
  SendOutcome(aStep, aKey, aRoute, outcome, {});
  return false;
}

bool
Home::IsFull(const Step& aStep) const
{
  const auto limit = aStep.settings_.idLimit_;
  return records_.size() >= limit ||
         retained_.Size() + tombstones_.Size() >= 2 * limit;
}

Home::Record&
Home::Add(const RequestKey& aKey)
{
  auto& record = records_[aKey.id_];
  const bool mayHaveRunBefore =
    record.mayHaveRunBefore_ ||
    (!record.open_ && record.outcome_.verdict_ != Verdict::NotRun);
  record = Record{};
  record.mayHaveRunBefore_ = mayHaveRunBefore;
  record.ticket_ = aKey.ticket_;
  return record;
}

void
Home::OnSubmit(Step& aStep, Executor& aExecutor, Submit aSubmit)
{
  const auto found = records_.find(aSubmit.key_.id_);
  if (found == records_.end()) {
    if (AdmitOrRefuse(aStep, aSubmit.key_, aSubmit.route_)) {
      Accept(aStep, aExecutor, std::move(aSubmit));
    }
    return;
  }
  auto& record = found->second;
  const auto& ticket = aSubmit.key_.ticket_;
  if (ticket.home_.stamp_ < record.ticket_.home_.stamp_) {
    return;
  }
  if (ticket != record.ticket_ && IsReplaceable(record)) {
    if (AdmitOrRefuse(aStep, aSubmit.key_, aSubmit.route_)) {
      Accept(aStep, aExecutor, std::move(aSubmit));
    }
    return;
  }
  if (ticket != record.ticket_ ||
      (record.fingerprint_ != 0 &&
       record.fingerprint_ != FingerprintOf(aSubmit))) {
    const OutcomeInfo reused{ Verdict::Unknown, Reason::IdReused, {}, 0 };
    SendOutcome(aStep, aSubmit.key_, aSubmit.route_, reused, {});
  } else if (record.open_) {
    open_.at(aSubmit.key_.id_).route_ = aSubmit.route_;
  } else {
    SendOutcome(
      aStep, aSubmit.key_, aSubmit.route_, record.outcome_, record.answer_);
  }
}

std::optional<Reason>
Home::FindRejection(const Step& aStep, const Submit& aSubmit) const
{
  const auto& settings = aStep.settings_;
  if (aSubmit.work_.service_ != settings.service_) {
    return Reason::NoHost;
  }
  if (aSubmit.timeLeft_ <= Duration::zero()) {
    return Reason::DeadlinePassed;
  }
  if (aSubmit.body_.size() > settings.bodyLimit_) {
    return Reason::TooLarge;
  }
  if (bodyBytes_ + aSubmit.body_.size() > settings.bodyBytesLimit_ ||
      answerBytes_ >= settings.answerBytesLimit_) {
    return Reason::TableFull;
  }
  return std::nullopt;
}

void
Home::Accept(Step& aStep, Executor& aExecutor, Submit aSubmit)
{
  const auto id = aSubmit.key_.id_;
  const auto rejection = FindRejection(aStep, aSubmit);
  auto& record = Add(aSubmit.key_);
  record.fingerprint_ = FingerprintOf(aSubmit);
  record.repeatable_ = IsRepeatable(aSubmit.work_.class_);
  Progress progress;
  progress.work_ = aSubmit.work_;
  progress.route_ = aSubmit.route_;
  progress.deadline_ =
    aStep.now_ + std::min(aSubmit.timeLeft_, aStep.settings_.retention_);
  progress.executor_.host_ = aStep.settings_.self_;
  progress.tried_.push_back(aStep.settings_.self_);
  progress.mayHaveRun_ = record.mayHaveRunBefore_;
  if (!rejection) {
    progress.body_ = std::move(aSubmit.body_);
    bodyBytes_ += progress.body_.size();
  }
  auto& placed = open_.insert_or_assign(id, std::move(progress)).first->second;
  if (rejection) {
    CloseIdle(aStep, aExecutor, id, *rejection);
    return;
  }
  budget_.First();
  Schedule(id, placed, placed.deadline_);
  aExecutor.Queue(aStep, AttemptOf(id, placed), placed.work_, placed.deadline_);
}

void
Home::OnCancel(Step& aStep, Executor& aExecutor, const Cancel& aCancel)
{
  const auto id = aCancel.key_.id_;
  const auto found = records_.find(id);
  const bool held = found != records_.end();
  const auto& stamp = aCancel.key_.ticket_.home_.stamp_;
  if (held && stamp < found->second.ticket_.home_.stamp_) {
    return;
  }
  const bool same = held && found->second.ticket_ == aCancel.key_.ticket_;
  if (!held || (!same && IsReplaceable(found->second))) {
    if (AdmitOrRefuse(aStep, aCancel.key_, aCancel.route_)) {
      const auto& record = Add(aCancel.key_);
      auto& progress = open_[id];
      progress.route_ = aCancel.route_;
      progress.mayHaveRun_ = record.mayHaveRunBefore_;
      CloseIdle(aStep, aExecutor, id, Reason::Cancelled);
    }
    return;
  }
  if (!same) {
    return;
  }
  if (!found->second.open_) {
    const auto& record = found->second;
    SendOutcome(
      aStep, aCancel.key_, aCancel.route_, record.outcome_, record.answer_);
    return;
  }
  auto& progress = open_.at(id);
  progress.route_ = aCancel.route_;
  progress.cancelled_ = true;
  if (progress.stage_ == Stage::Dispatched) {
    StopRun(aStep, aExecutor, id, progress);
  } else {
    CloseIdle(aStep, aExecutor, id, Reason::Cancelled);
  }
}

void
Home::Leave(Step& aStep, Executor& aExecutor)
{
  leaving_ = true;
  // Several tickets of one microsecond bear stamps ahead of the clock.
  fence_.Raise(std::max(StampOf(aStep.now_), lastStamp_), Reason::Leaving);
  std::vector<RequestId> waiting;
  for (const auto& [id, progress] : open_) {
    if (progress.stage_ != Stage::Dispatched) {
      waiting.push_back(id);
    }
  }
  std::sort(waiting.begin(), waiting.end());
  for (const auto id : waiting) {
    CloseIdle(aStep, aExecutor, id, Reason::Leaving);
  }
}

void
Home::FillDump(AgentDump& aDump) const
{
  aDump = counts_;
  aDump.ids_ = records_.size();
  aDump.inProgress_ = open_.size();
  aDump.bodyBytes_ = bodyBytes_;
  aDump.answerBytes_ = answerBytes_;
  aDump.leaving_ = leaving_;
}

} // namespace cornelshore::request::internal
