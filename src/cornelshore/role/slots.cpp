#include <cornelshore/role/slots.hpp>

#include <algorithm>

namespace cornelshore::role::internal {

namespace {

RequestId
IdOf(request::RunId aRun) noexcept
{
  return { 0, aRun.value_ };
}

admission::FleetSlotRange
SpanOf(HostId aSelf, std::span<const HostRecord> aHosts)
{
  admission::FleetSlotRange span;
  for (const auto& host : aHosts) {
    if (host.state_ != HostState::Ready) {
      continue;
    }
    span.total_ += host.slots_;
    if (host.id_ < aSelf) {
      span.before_ += host.slots_;
    }
    if (host.id_ == aSelf) {
      span.slots_ = host.slots_;
    }
  }
  return span;
}

} // namespace

request::Reason
ReasonOf(admission::Refusal aRefusal) noexcept
{
  if (aRefusal == admission::Refusal::DeadlineUnreachable) {
    return request::Reason::DeadlinePassed;
  }
  return aRefusal == admission::Refusal::QueueFull
           ? request::Reason::TableFull
           : request::Reason::Overloaded;
}

Slots::Slots(admission::SlotScheduler aScheduler)
  : scheduler_(std::move(aScheduler))
{
}

Slots::Events
Slots::Configure(TimePoint aNow,
                 const ServiceTarget& aTarget,
                 HostId aSelf,
                 std::span<const HostRecord> aHosts)
{
  const auto span = SpanOf(aSelf, aHosts);
  if (span.slots_ == 0) {
    return {};
  }
  return ToEvents(scheduler_.Configure(aNow, aTarget, span));
}

Slots::Events
Slots::Offer(TimePoint aNow, const request::Offer& aOffer)
{
  admission::Work work;
  work.id_ = IdOf(aOffer.run_);
  work.class_ = aOffer.work_.class_;
  work.caller_ = admission::CallerId{ aOffer.work_.caller_ };
  work.deadline_ = aOffer.deadline_;
  const auto offered = scheduler_.Offer(aNow, work);
  auto events = ToEvents(offered.released_);
  if (offered.outcome_ == admission::Outcome::Started) {
    events.emplace_back(request::RunStarted{ aOffer.run_ });
  } else if (offered.outcome_ == admission::Outcome::Refused) {
    events.emplace_back(request::RunRefused{
      aOffer.run_, ReasonOf(offered.reason_), offered.retryAfter_ });
  }
  return events;
}

void
Slots::RecordResult(request::RunId aRun, admission::Result aResult)
{
  results_[aRun] = aResult;
}

Slots::Events
Slots::Release(TimePoint aNow, request::RunId aRun)
{
  const auto result = results_.find(aRun);
  if (result == results_.end()) {
    return ToEvents(scheduler_.Cancel(aNow, IdOf(aRun)));
  }
  const auto ended = result->second;
  results_.erase(result);
  return ToEvents(scheduler_.Finish(aNow, IdOf(aRun), ended));
}

Slots::Events
Slots::Tick(TimePoint aNow)
{
  return ToEvents(scheduler_.Tick(aNow));
}

std::optional<TimePoint>
Slots::NextTimer() const
{
  return scheduler_.NextTimer();
}

std::optional<admission::Pushback>
Slots::TakePushback(TimePoint aNow)
{
  return scheduler_.TakePushback(aNow);
}

admission::SchedulerDump
Slots::Dump(TimePoint aNow) const
{
  return scheduler_.Dump(aNow);
}

Slots::Events
Slots::ToEvents(const std::vector<admission::QueueRelease>& aReleased)
{
  Events events;
  for (const auto& released : aReleased) {
    const request::RunId run{ released.work_.id_.low_ };
    if (released.outcome_ == admission::Outcome::Started) {
      events.emplace_back(request::RunStarted{ run });
    } else {
      events.emplace_back(request::RunRefused{
        run, ReasonOf(released.reason_), released.retryAfter_ });
    }
  }
  return events;
}

} // namespace cornelshore::role::internal
