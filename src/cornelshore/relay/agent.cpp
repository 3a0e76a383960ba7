#include <cornelshore/relay/agent.hpp>

#include <algorithm>
#include <utility>

namespace cornelshore::relay {

namespace {

/** How often old flows are looked for. */
constexpr Duration kSweepEvery = std::chrono::seconds{ 2 };

/** Bytes that a host sends in one flow at most, to tell its sequence numbers
 * from another host's. */
constexpr std::uint32_t kMostFlowBytes = 1U << 28U;

/** How long a closed flow's late packets are still handed to the host; its
 * peer's last retransmission comes within. */
constexpr Duration kClosedLife = std::chrono::seconds{ 4 };

/** How long a host is shown no further packet of a flow that it gave back. It
 * could hold it later only by an opening, which comes through its agent; the
 * time bounds the memory of such flows. */
constexpr Duration kReturnedLife = std::chrono::seconds{ 20 };

/** Marks that say why a packet was handed to the host. */
constexpr std::uint32_t kOpenMark = 1;
constexpr std::uint32_t kHeldMark = 2;
constexpr std::uint32_t kGuessMark = 3;

bool
IsOpening(Purpose aPurpose) noexcept
{
  return aPurpose == Purpose::Open || aPurpose == Purpose::Insist;
}

} // namespace

Agent::Agent(AgentSettings aSettings, Codec aCodec, TimePoint aStart)
  : settings_(aSettings)
  , codec_(std::move(aCodec))
  , start_(aStart)
  , sweepAt_(aStart + kSweepEvery)
{
}

void
Agent::OnRelayedPacket(TimePoint aNow,
                       const Address& aBalancer,
                       RelayedPacket aCarried,
                       Actions& aOut)
{
  const auto segment = codec_.parse_(aCarried.packet_);
  if (!segment) {
    Note(AgentCount::Malformed);
    return;
  }
  const auto key = KeyFromCaller(*segment);
  if (segment->opening_) {
    Open(aNow, key, aBalancer, std::move(aCarried), aOut);
  } else if (!IsOpening(aCarried.purpose_)) {
    Deliver(aNow, key, *segment, aBalancer, std::move(aCarried), aOut);
  }
}

FlowReason
Agent::ObstacleTo(TimePoint aNow,
                  const FlowKey& aKey,
                  const RelayedPacket& aCarried) const
{
  if (!host_) {
    return FlowReason::NoReport;
  }
  if (host_->leaving_) {
    return FlowReason::Leaving;
  }
  if (!HostAlive(aNow)) {
    return FlowReason::Silent;
  }
  if (host_->service_ != aCarried.service_) {
    return FlowReason::OtherService;
  }
  const auto newerHere = routes_.Version() > aCarried.version_;
  return newerHere && !routes_.Leads(aKey.service_, aCarried.service_)
           ? FlowReason::NoRoute
           : FlowReason::None;
}

void
Agent::Note(TimePoint aNow,
            FlowEvent aEvent,
            FlowReason aReason,
            const FlowKey& aKey,
            Actions& aOut) const
{
  FlowDecision decision;
  decision.event_ = aEvent;
  decision.key_ = aKey;
  decision.reason_ = aReason;
  decision.load_ = Load(aNow);
  decision.reportAge_ = host_ ? aNow - heardAt_ : Duration{};
  decision.version_ = routes_.Version();
  aOut.emplace_back(decision);
}

void
Agent::Open(TimePoint aNow,
            const FlowKey& aKey,
            const Address& aBalancer,
            RelayedPacket aCarried,
            Actions& aOut)
{
  const auto known = flows_.contains(aKey);
  const auto obstacle =
    known ? FlowReason::None : ObstacleTo(aNow, aKey, aCarried);
  if (obstacle != FlowReason::None) {
    Note(AgentCount::Refused);
    Note(aNow, FlowEvent::Refused, obstacle, aKey, aOut);
    Tell(aNow, aBalancer, aKey, Verdict::Refused, aOut);
    return;
  }
  const auto full =
    !known && static_cast<double>(busy_) >=
                settings_.busyPerSlot_ * static_cast<double>(host_->slots_);
  if (full && aCarried.purpose_ == Purpose::Open) {
    Note(AgentCount::Busy);
    Note(aNow, FlowEvent::Refused, FlowReason::Busy, aKey, aOut);
    Tell(aNow, aBalancer, aKey, Verdict::Busy, aOut);
    return;
  }
  Note(AgentCount::Opened);
  if (!known) {
    Note(aNow,
         FlowEvent::Taken,
         full ? FlowReason::Insisted : FlowReason::None,
         aKey,
         aOut);
  }
  auto& flow = flows_[aKey];
  flow.balancer_ = aBalancer;
  flow.lastPacket_ = aNow;
  codec_.mark_(aCarried.packet_, kOpenMark);
  aOut.emplace_back(ToHost{ std::move(aCarried.packet_) });
}

void
Agent::Deliver(TimePoint aNow,
               const FlowKey& aKey,
               const Segment& aSegment,
               const Address& aBalancer,
               RelayedPacket aCarried,
               Actions& aOut)
{
  const auto found = flows_.find(aKey);
  auto mark = kGuessMark;
  if (found != flows_.end()) {
    auto& flow = found->second;
    if (IsOther(flow, aSegment.acknowledged_)) {
      Deny(aNow, aKey, aBalancer, std::move(aCarried), aOut);
      return;
    }
    flow.lastPacket_ = aNow;
    flow.balancer_ = aBalancer;
    if (aSegment.payload_ > 0 && !flow.closed_) {
      SetBusy(flow, true);
    }
    flow.callerDone_ |= aSegment.finishing_;
    CloseWhenDone(aNow, aKey, flow, aSegment.reset_, aOut);
    if (aCarried.purpose_ == Purpose::Search) {
      Tell(aNow, aBalancer, aKey, Verdict::Holds, aOut);
    }
    mark = kHeldMark;
  } else if (MayHold(aNow, aKey) && (aCarried.service_ == settings_.service_ ||
                                     aCarried.service_ == kAnyService)) {
    guesses_[aKey] = { aBalancer, aNow, aCarried.purpose_ == Purpose::Direct };
  } else {
    Deny(aNow, aKey, aBalancer, std::move(aCarried), aOut);
    return;
  }
  Note(AgentCount::Delivered);
  codec_.mark_(aCarried.packet_, mark);
  aOut.emplace_back(ToHost{ std::move(aCarried.packet_) });
}

bool
Agent::IsOther(const Flow& aFlow, std::uint32_t aAcknowledged) noexcept
{
  return aFlow.hostStart_ && aAcknowledged - *aFlow.hostStart_ > kMostFlowBytes;
}

Holding
Agent::HoldingOf(TimePoint aNow, const Query::Item& aItem) const
{
  const auto found = flows_.find(aItem.key_);
  if (found != flows_.end()) {
    return IsOther(found->second, aItem.acknowledged_) ? Holding::No
                                                       : Holding::Yes;
  }
  return MayHold(aNow, aItem.key_) ? Holding::Unsure : Holding::No;
}

void
Agent::OnQuery(TimePoint aNow,
               const Address& aBalancer,
               const Query& aQuery,
               Actions& aOut) const
{
  QueryAnswer answer;
  answer.id_ = aQuery.id_;
  for (const auto& item : aQuery.items_) {
    answer.holdings_.push_back(HoldingOf(aNow, item));
  }
  aOut.emplace_back(AnswerQuery{ aBalancer, std::move(answer) });
}

void
Agent::Deny(TimePoint aNow,
            const FlowKey& aKey,
            const Address& aBalancer,
            RelayedPacket aCarried,
            Actions& aOut)
{
  Note(AgentCount::Unknown);
  const auto searched = aCarried.purpose_ == Purpose::Search;
  if (!searched) {
    Note(aNow, FlowEvent::Denied, FlowReason::None, aKey, aOut);
  }
  Tell(aNow,
       aBalancer,
       aKey,
       Verdict::Unknown,
       aOut,
       searched ? std::string() : std::move(aCarried.packet_));
}

bool
Agent::MayHoldOthers(TimePoint aNow) const noexcept
{
  return !runBeganHere_ && aNow - start_ < settings_.flowLife_;
}

bool
Agent::MayHold(TimePoint aNow, const FlowKey& aKey) const
{
  const auto guess = guesses_.find(aKey);
  return MayHoldOthers(aNow) &&
         (guess == guesses_.end() || !guess->second.returned_);
}

void
Agent::OnHostPacket(TimePoint aNow, std::string aPacket, Actions& aOut)
{
  const auto segment = codec_.parse_(aPacket);
  if (!segment) {
    Note(AgentCount::Malformed);
    return;
  }
  if (segment->returned_) {
    OnReturned(aNow, *segment, std::move(aPacket), aOut);
    return;
  }
  Note(AgentCount::Answered);
  const auto key = KeyFromHost(*segment);
  auto found = flows_.find(key);
  if (found == flows_.end() && !segment->reset_ && MayHoldOthers(aNow)) {
    found = flows_.emplace(key, Flow{}).first;
    found->second.open_ = true;
    const auto guess = guesses_.find(key);
    if (guess != guesses_.end()) {
      found->second.balancer_ = guess->second.balancer_;
      Tell(aNow, guess->second.balancer_, key, Verdict::Holds, aOut);
      guesses_.erase(guess);
    }
  }
  if (found != flows_.end()) {
    auto& flow = found->second;
    flow.lastPacket_ = aNow;
    if (segment->opening_) {
      flow.hostStart_ = segment->sequence_;
      if (!std::exchange(flow.open_, true)) {
        Tell(aNow, flow.balancer_, key, Verdict::Opened, aOut);
      }
    }
    if (segment->payload_ > 0) {
      SetBusy(flow, false);
    }
    flow.hostDone_ |= segment->finishing_;
    CloseWhenDone(aNow, key, flow, segment->reset_, aOut);
  }
  aOut.emplace_back(FromHost{ key.caller_, std::move(aPacket) });
}

void
Agent::OnReturned(TimePoint aNow,
                  const Segment& aSegment,
                  std::string aPacket,
                  Actions& aOut)
{
  Note(AgentCount::Returned);
  const auto key = KeyFromCaller(aSegment);
  Note(aNow, FlowEvent::Returned, FlowReason::None, key, aOut);
  const auto found = flows_.find(key);
  if (aSegment.mark_ == kGuessMark || found == flows_.end()) {
    const auto guess = guesses_.find(key);
    if (guess != guesses_.end() && !guess->second.returned_) {
      codec_.mark_(aPacket, 0);
      Tell(aNow,
           guess->second.balancer_,
           key,
           Verdict::Unknown,
           aOut,
           guess->second.direct_ ? std::move(aPacket) : std::string());
      guess->second.returned_ = true;
      guess->second.since_ = aNow;
    }
    return;
  }
  const auto balancer = found->second.balancer_;
  Forget(key);
  if (balancer.port_ == 0) {
    return;
  }
  if (aSegment.mark_ == kOpenMark) {
    Tell(aNow, balancer, key, Verdict::Refused, aOut);
    return;
  }
  codec_.mark_(aPacket, 0);
  Tell(aNow, balancer, key, Verdict::Unknown, aOut, std::move(aPacket));
}

ReportOutcome
Agent::OnReport(TimePoint aNow, const HostReport& aReport)
{
  if (aReport.service_ != settings_.service_) {
    return ReportOutcome::Foreign;
  }
  const auto& last = host_ ? host_ : ended_;
  if (last) {
    const auto sameRun = last->startMillis_ == aReport.startMillis_ &&
                         last->instance_ == aReport.instance_;
    const auto late = sameRun ? aReport.sequence_ <= last->sequence_ || !host_
                              : aReport.startMillis_ < last->startMillis_;
    if (late) {
      return ReportOutcome::Late;
    }
    if (!sameRun) {
      StartRun(aReport);
    }
  } else {
    StartRun(aReport);
  }
  host_ = aReport;
  heardAt_ = aNow;
  return ReportOutcome::Taken;
}

void
Agent::StartRun(const HostReport& aReport)
{
  runBeganHere_ = host_ || ended_ || aReport.sequence_ <= 1;
  if (runBeganHere_) {
    flows_.clear();
    busy_ = 0;
    closed_ = 0;
  }
  ended_.reset();
}

bool
Agent::OnHostEnded(std::string_view aInstance)
{
  if (!host_ || host_->instance_ != aInstance) {
    return false;
  }
  ended_ = std::exchange(host_, std::nullopt);
  return true;
}

void
Agent::UpdateRoutes(const Configuration& aConfiguration)
{
  routes_.Update(aConfiguration);
}

bool
Agent::HostAlive(TimePoint aNow) const noexcept
{
  return host_ && aNow - heardAt_ < settings_.hostReportTimeout_;
}

HostLoad
Agent::Load(TimePoint aNow) const
{
  HostLoad load;
  load.flows_ = static_cast<std::uint32_t>(flows_.size()) - closed_;
  load.busy_ = busy_;
  if (host_) {
    load.slots_ = host_->slots_;
    load.accepts_ = !host_->leaving_ && HostAlive(aNow);
    load.warmingUp_ = aNow - heardAt_ < host_->warmupRemaining_;
  }
  return load;
}

void
Agent::Tell(TimePoint aNow,
            const Address& aBalancer,
            const FlowKey& aKey,
            Verdict aVerdict,
            Actions& aOut,
            std::string aPacket) const
{
  aOut.emplace_back(ToBalancer{
    aBalancer, Answer{ aKey, aVerdict, Load(aNow), std::move(aPacket) } });
}

void
Agent::SetBusy(Flow& aFlow, bool aBusy) noexcept
{
  if (aFlow.busy_ != aBusy) {
    aFlow.busy_ = aBusy;
    busy_ = aBusy ? busy_ + 1 : busy_ - 1;
  }
}

void
Agent::CloseWhenDone(TimePoint aNow,
                     const FlowKey& aKey,
                     Flow& aFlow,
                     bool aReset,
                     Actions& aOut)
{
  const auto done = aFlow.callerDone_ && aFlow.hostDone_;
  if (aFlow.closed_ || !(aReset || done)) {
    return;
  }
  aFlow.closed_ = true;
  ++closed_;
  SetBusy(aFlow, false);
  Note(aNow,
       FlowEvent::Closed,
       aReset ? FlowReason::Reset : FlowReason::Finished,
       aKey,
       aOut);
}

void
Agent::Forget(const FlowKey& aKey)
{
  const auto found = flows_.find(aKey);
  if (found != flows_.end()) {
    SetBusy(found->second, false);
    closed_ -= found->second.closed_ ? 1 : 0;
    flows_.erase(found);
  }
}

void
Agent::Tick(TimePoint aNow)
{
  if (sweepAt_ > aNow) {
    return;
  }
  sweepAt_ = aNow + kSweepEvery;
  absl::erase_if(guesses_, [&](const auto& aRow) {
    const auto& guess = aRow.second;
    return aNow - guess.since_ >
           (guess.returned_ ? kReturnedLife : kClosedLife);
  });
  const auto idle = routes_.FlowIdle();
  const auto life = idle > Duration::zero()
                      ? std::min(idle * 2, settings_.flowLife_)
                      : settings_.flowLife_;
  for (auto row = flows_.begin(); row != flows_.end();) {
    const auto current = row++;
    const auto& flow = current->second;
    const auto kept = flow.closed_ ? kClosedLife : life;
    if (aNow - flow.lastPacket_ > kept) {
      Forget(FlowKey(current->first));
    }
  }
}

} // namespace cornelshore::relay
