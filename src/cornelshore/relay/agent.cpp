#include <cornelshore/relay/agent.hpp>

#include <algorithm>
#include <unordered_map>
#include <utility>

namespace cornelshore::relay {

namespace {

/** Interval at which expired flows are removed. */
constexpr Duration kSweepInterval = std::chrono::seconds{ 2 };

/** How long late packets of a closed flow are still passed to the host; the
 * peer's last retransmission arrives within this time. */
constexpr Duration kClosedFlowRetention = std::chrono::seconds{ 4 };

/** Maximum distance between the sequence numbers of a caller's packets that
 * follow each other: what one end may have in flight. */
constexpr std::uint32_t kMaxBytesInFlight = 1U << 20U;

/** Marks that record why a packet was passed to the host. */
constexpr std::uint32_t kOpenMark = 1;
constexpr std::uint32_t kHeldMark = 2;
constexpr std::uint32_t kProbeMark = 3;

/** Whether two sequence numbers may follow each other in one flow. */
bool
IsNear(std::uint32_t aOne, std::uint32_t aOther) noexcept
{
  return std::min(aOne - aOther, aOther - aOne) <= kMaxBytesInFlight;
}

/** Moves the highest sequence number of a flow on to a later one. */
void
Advance(std::optional<std::uint32_t>& aLast, std::uint32_t aSequence) noexcept
{
  if (aSequence - aLast.value_or(aSequence) <= kMaxBytesInFlight) {
    aLast = aSequence;
  }
}

bool
IsOpening(Purpose aPurpose) noexcept
{
  return aPurpose == Purpose::Open || aPurpose == Purpose::ForceOpen;
}

bool
IsSearching(Purpose aPurpose) noexcept
{
  return aPurpose == Purpose::Search || aPurpose == Purpose::Probe;
}

} // namespace

Agent::Agent(AgentSettings aSettings, Codec aCodec, TimePoint aStart)
  : settings_(aSettings)
  , codec_(std::move(aCodec))
  , start_(aStart)
  , sweepAt_(aStart + kSweepInterval)
{
}

void
Agent::OnRelayedPacket(TimePoint aNow,
                       const Address& aBalancer,
                       RelayedPacket aPacket,
                       Actions& aOut)
{
  const auto segment = codec_.parse_(aPacket.packet_);
  if (!segment) {
    Increment(AgentCount::Malformed);
    return;
  }
  const auto key = KeyFromCaller(*segment);
  if (segment->opening_) {
    Open(aNow, key, *segment, aBalancer, std::move(aPacket), aOut);
  } else if (!IsOpening(aPacket.purpose_)) {
    Deliver(aNow, key, *segment, aBalancer, std::move(aPacket), aOut);
  }
}

void
Agent::EmitDecision(TimePoint aNow,
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
  decision.reportAge_ = host_ ? aNow - lastReportAt_ : Duration{};
  decision.version_ = routes_.Version();
  aOut.emplace_back(decision);
}

bool
Agent::IsCopy(const Flow& aFlow,
              const Segment& aSegment,
              Purpose aPurpose) noexcept
{
  const auto same = aFlow.initialSequence_
                      ? *aFlow.initialSequence_ == aSegment.sequence_
                      : aPurpose == Purpose::Direct;
  return same && !aFlow.closed_;
}

void
Agent::Repeat(TimePoint aNow,
              const Address& aBalancer,
              RelayedPacket aPacket,
              Flow& aFlow,
              Actions& aOut)
{
  Increment(AgentCount::Opened);
  aFlow.balancer_ = aBalancer;
  aFlow.openedAt_ = aFlow.lastPacket_ = aNow;
  codec_.mark_(aPacket.packet_, kOpenMark);
  aOut.emplace_back(ToHost{ std::move(aPacket.packet_) });
}

void
Agent::Open(TimePoint aNow,
            const FlowKey& aKey,
            const Segment& aSegment,
            const Address& aBalancer,
            RelayedPacket aPacket,
            Actions& aOut)
{
  if (const auto found = flows_.find(aKey);
      found != flows_.end() &&
      IsCopy(found->second, aSegment, aPacket.purpose_)) {
    Repeat(aNow, aBalancer, std::move(aPacket), found->second, aOut);
    return;
  }
  const auto obstacle = ReasonToRefuse(aNow, aKey, aPacket);
  if (obstacle != FlowReason::None) {
    Increment(AgentCount::Refused);
    EmitDecision(aNow, FlowEvent::Refused, obstacle, aKey, aOut);
    SendAnswer(aNow, aBalancer, aKey, Verdict::Refused, aOut);
    return;
  }
  const auto perSlot = aPacket.purpose_ == Purpose::Open
                         ? settings_.busyPerSlot_
                         : settings_.forcedBusyPerSlot_;
  const auto occupied = static_cast<double>(Occupancy(aNow));
  const auto slots = static_cast<double>(host_->slots_);
  if (occupied >= perSlot * slots) {
    Increment(AgentCount::Busy);
    EmitDecision(aNow, FlowEvent::Refused, FlowReason::Busy, aKey, aOut);
    SendAnswer(aNow, aBalancer, aKey, Verdict::Busy, aOut);
    return;
  }
  Increment(AgentCount::Opened);
  EmitDecision(aNow,
               FlowEvent::Taken,
               occupied >= slots ? FlowReason::ForcedOpen : FlowReason::None,
               aKey,
               aOut);
  AddOpening(aNow, aKey, aSegment, aBalancer);
  codec_.mark_(aPacket.packet_, kOpenMark);
  aOut.emplace_back(ToHost{ std::move(aPacket.packet_) });
}

void
Agent::AddOpening(TimePoint aNow,
                  const FlowKey& aKey,
                  const Segment& aSegment,
                  const Address& aBalancer)
{
  expectedRequests_.emplace_back(aNow, aKey);
  unassigned_.erase(aKey);
  probes_.erase(aKey);
  const auto found = flows_.find(aKey);
  if (found != flows_.end() && found->second.open_ && !found->second.closed_) {
    found->second.reopening_ = { aBalancer, aSegment.sequence_ };
    return;
  }
  Forget(aKey);
  auto& flow = flows_[aKey];
  flow.balancer_ = aBalancer;
  flow.openedAt_ = flow.lastPacket_ = aNow;
  flow.initialSequence_ = flow.lastSequence_ = aSegment.sequence_;
}

std::uint32_t
Agent::Occupancy(TimePoint aNow)
{
  std::erase_if(expectedRequests_, [&](const auto& aExpected) {
    const auto found = flows_.find(aExpected.second);
    return found == flows_.end() || found->second.busy_ ||
           found->second.closed_ ||
           aNow - aExpected.first > settings_.firstRequestTimeout_;
  });
  return busy_ + static_cast<std::uint32_t>(expectedRequests_.size());
}

void
Agent::Deliver(TimePoint aNow,
               const FlowKey& aKey,
               const Segment& aSegment,
               const Address& aBalancer,
               RelayedPacket aPacket,
               Actions& aOut)
{
  const auto found = flows_.find(aKey);
  auto mark = kProbeMark;
  if (found != flows_.end()) {
    auto& flow = found->second;
    if (IsOfOtherFlow(flow, aSegment)) {
      Deny(aNow, aKey, aBalancer, std::move(aPacket), aOut);
      return;
    }
    flow.lastPacket_ = aNow;
    flow.balancer_ = aBalancer;
    flow.confirmed_ = true;
    Advance(flow.lastSequence_, aSegment.sequence_);
    if (aSegment.payload_ > 0 && !flow.closed_) {
      SetBusy(aNow, flow, true);
    }
    flow.callerFinished_ |= aSegment.finishing_;
    CloseIfFinished(aNow, aKey, flow, aSegment.reset_, aOut);
    if (IsSearching(aPacket.purpose_)) {
      SendAnswer(aNow, aBalancer, aKey, Verdict::Holds, aOut);
    }
    mark = kHeldMark;
  } else if (MayHold(aNow, aKey, aPacket.purpose_) &&
             (aPacket.service_ == settings_.service_ ||
              aPacket.service_ == kAnyService)) {
    if (aPacket.purpose_ == Purpose::Search) {
      SendAnswer(aNow, aBalancer, aKey, Verdict::Unsure, aOut);
      return;
    }
    probes_[aKey] = { aBalancer, aNow, aPacket.purpose_ == Purpose::Direct };
    EmitDecision(aNow, FlowEvent::Probed, FlowReason::None, aKey, aOut);
  } else {
    Deny(aNow, aKey, aBalancer, std::move(aPacket), aOut);
    return;
  }
  Increment(AgentCount::Delivered);
  codec_.mark_(aPacket.packet_, mark);
  aOut.emplace_back(ToHost{ std::move(aPacket.packet_) });
}

bool
Agent::IsAtOtherHost(const Flow& aFlow, std::uint32_t aAcknowledged) noexcept
{
  const auto initial = aFlow.hostInitialSequence_.value_or(aAcknowledged);
  const auto last = aFlow.lastHostSequence_.value_or(aAcknowledged);
  return !IsWithinFlow(initial, aAcknowledged) || !IsNear(last, aAcknowledged);
}

bool
Agent::IsInSequence(const Flow& aFlow, std::uint32_t aSequence) noexcept
{
  return IsNear(aFlow.lastSequence_.value_or(aSequence), aSequence);
}

bool
Agent::IsOfOtherFlow(const Flow& aFlow, const Segment& aSegment) noexcept
{
  const auto inSequence =
    aSegment.reset_ || IsInSequence(aFlow, aSegment.sequence_);
  return !inSequence || IsAtOtherHost(aFlow, aSegment.acknowledged_);
}

void
Agent::OnQuery(TimePoint aNow,
               const Address& aBalancer,
               const Query& aQuery,
               Actions& aOut) const
{
  QueryAnswer answer;
  answer.id_ = aQuery.id_;
  answer.holdings_.assign(aQuery.items_.size(),
                          MayHoldUnseenFlows(aNow) ? Holding::Unsure
                                                   : Holding::No);
  std::unordered_multimap<std::uint32_t, std::size_t> places;
  for (std::size_t index = 0; index < aQuery.items_.size(); ++index) {
    places.emplace(aQuery.items_[index].flow_, index);
  }
  const auto eachPlace = [&](const FlowKey& aKey, auto aDo) {
    const auto [first, last] = places.equal_range(ShortHashOf(aKey));
    for (auto place = first; place != last; ++place) {
      aDo(place->second);
    }
  };
  for (const auto& [key, unassigned] : unassigned_) {
    eachPlace(key, [&](std::size_t aIndex) {
      answer.holdings_[aIndex] = Holding::Unsure;
    });
  }
  for (const auto& [key, probe] : probes_) {
    eachPlace(key, [&, returned = probe.returned_](std::size_t aIndex) {
      if (returned) {
        answer.holdings_[aIndex] = Holding::No;
      }
    });
  }
  for (const auto& [key, flow] : flows_) {
    eachPlace(key, [&, &held = flow](std::size_t aIndex) {
      const auto acknowledged = aQuery.items_[aIndex].acknowledged_;
      answer.holdings_[aIndex] =
        IsAtOtherHost(held, acknowledged) ? Holding::No : Holding::Yes;
    });
  }
  aOut.emplace_back(AnswerQuery{ aBalancer, std::move(answer) });
}

void
Agent::Deny(TimePoint aNow,
            const FlowKey& aKey,
            const Address& aBalancer,
            RelayedPacket aPacket,
            Actions& aOut)
{
  Increment(AgentCount::Unknown);
  const auto searched = IsSearching(aPacket.purpose_);
  if (!searched) {
    EmitDecision(aNow, FlowEvent::Denied, FlowReason::None, aKey, aOut);
  }
  const auto found = flows_.find(aKey);
  const auto holdsOther = !searched && found != flows_.end() &&
                          found->second.confirmed_ && !found->second.closed_;
  SendAnswer(aNow,
             aBalancer,
             aKey,
             holdsOther ? Verdict::OtherFlow : Verdict::Unknown,
             aOut,
             searched ? std::string() : std::move(aPacket.packet_));
}

bool
Agent::MayHold(TimePoint aNow, const FlowKey& aKey, Purpose aPurpose) const
{
  const auto probe = probes_.find(aKey);
  const auto returned = probe != probes_.end() && probe->second.returned_;
  const auto namedByBalancer = aPurpose == Purpose::Direct && HostAlive(aNow);
  return !returned && (namedByBalancer || MayHoldUnseenFlows(aNow) ||
                       unassigned_.contains(aKey));
}

void
Agent::OnHostPacket(TimePoint aNow, std::string aPacket, Actions& aOut)
{
  const auto segment = codec_.parse_(aPacket);
  if (!segment) {
    Increment(AgentCount::Malformed);
    return;
  }
  if (segment->returned_) {
    OnReturned(aNow, *segment, std::move(aPacket), aOut);
    return;
  }
  Increment(AgentCount::Answered);
  const auto key = KeyFromHost(*segment);
  const auto found = flows_.find(key);
  auto* flow =
    found == flows_.end() ? Learn(aNow, key, *segment, aOut) : &found->second;
  if (flow != nullptr && segment->opening_ && flow->reopening_ &&
      flow->hostInitialSequence_ != segment->sequence_) {
    const auto accepted = *flow->reopening_;
    Forget(key);
    flow = &flows_[key];
    flow->balancer_ = accepted.balancer_;
    flow->openedAt_ = aNow;
    flow->initialSequence_ = flow->lastSequence_ = accepted.initialSequence_;
  }
  if (flow != nullptr) {
    flow->lastPacket_ = aNow;
    if (segment->opening_) {
      flow->hostInitialSequence_ = segment->sequence_;
      flow->lastHostSequence_ = segment->sequence_;
      if (!std::exchange(flow->open_, true)) {
        SendAnswer(aNow, flow->balancer_, key, Verdict::Opened, aOut);
      }
    }
    if (segment->payload_ > 0) {
      Advance(flow->lastHostSequence_, segment->sequence_);
      SetBusy(aNow, *flow, false);
    }
    flow->hostFinished_ |= segment->finishing_;
    CloseIfFinished(aNow, key, *flow, segment->reset_, aOut);
  }
  aOut.emplace_back(FromHost{ key.caller_, std::move(aPacket) });
}

Agent::Flow*
Agent::Learn(TimePoint aNow,
             const FlowKey& aKey,
             const Segment& aSegment,
             Actions& aOut)
{
  const auto unassigned = unassigned_.find(aKey);
  const auto isUnassigned = unassigned != unassigned_.end();
  const auto carriesData = aSegment.payload_ > 0 && !aSegment.finishing_;
  if (aSegment.reset_ ||
      !(isUnassigned || carriesData || MayHoldUnseenFlows(aNow))) {
    return nullptr;
  }
  auto& flow = flows_[aKey];
  flow.openedAt_ = aNow;
  flow.open_ = true;
  if (isUnassigned) {
    flow.balancer_ = unassigned->second.balancer_;
    flow.open_ = !aSegment.opening_;
    unassigned_.erase(unassigned);
  }
  const auto probe = probes_.find(aKey);
  if (probe != probes_.end()) {
    flow.balancer_ = probe->second.balancer_;
    SendAnswer(aNow, flow.balancer_, aKey, Verdict::Holds, aOut);
    probes_.erase(probe);
  }
  return &flow;
}

void
Agent::OnReturned(TimePoint aNow,
                  const Segment& aSegment,
                  std::string aPacket,
                  Actions& aOut)
{
  Increment(AgentCount::Returned);
  const auto key = KeyFromCaller(aSegment);
  EmitDecision(aNow, FlowEvent::Returned, FlowReason::None, key, aOut);
  const auto found = flows_.find(key);
  if (aSegment.mark_ == kProbeMark || found == flows_.end()) {
    OnProbeReturned(aNow, key, std::move(aPacket), aOut);
    return;
  }
  auto& flow = found->second;
  auto balancer = flow.balancer_;
  if (flow.reopening_ && aSegment.opening_ &&
      flow.reopening_->initialSequence_ == aSegment.sequence_) {
    balancer = flow.reopening_->balancer_;
    flow.reopening_.reset();
  } else if (!IsInSequence(flow, aSegment.sequence_)) {
    return;
  } else {
    Forget(key);
  }
  if (balancer.port_ == 0) {
    return;
  }
  if (aSegment.mark_ == kOpenMark) {
    SendAnswer(aNow, balancer, key, Verdict::Refused, aOut);
    return;
  }
  codec_.mark_(aPacket, 0);
  SendAnswer(aNow, balancer, key, Verdict::Unknown, aOut, std::move(aPacket));
}

void
Agent::OnProbeReturned(TimePoint aNow,
                       const FlowKey& aKey,
                       std::string aPacket,
                       Actions& aOut)
{
  const auto found = probes_.find(aKey);
  if (found == probes_.end() || found->second.returned_) {
    return;
  }
  auto& probe = found->second;
  codec_.mark_(aPacket, 0);
  SendAnswer(aNow,
             probe.balancer_,
             aKey,
             Verdict::Unknown,
             aOut,
             probe.direct_ ? std::move(aPacket) : std::string());
  probe.returned_ = true;
  probe.since_ = aNow;
  unassigned_.erase(aKey);
}

void
Agent::UpdateRoutes(const Configuration& aConfiguration)
{
  routes_.Update(aConfiguration);
}

bool
Agent::HostAlive(TimePoint aNow) const noexcept
{
  return host_ && aNow - lastReportAt_ < settings_.hostReportTimeout_;
}

HostLoad
Agent::Load(TimePoint aNow) const
{
  HostLoad load;
  load.flows_ = static_cast<std::uint32_t>(flows_.size()) - closed_;
  load.busy_ = busy_;
  if (host_) {
    load.slots_ = host_->slots_;
    load.accepts_ = !IsLeaving(aNow) && HostAlive(aNow);
    load.warmingUp_ = aNow - lastReportAt_ < host_->warmupRemaining_;
  }
  return load;
}

void
Agent::SendAnswer(TimePoint aNow,
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
Agent::SetBusy(TimePoint aNow, Flow& aFlow, bool aBusy) noexcept
{
  if (aFlow.busy_ != aBusy) {
    aFlow.busy_ = aBusy;
    aFlow.busySince_ = aNow;
    busy_ = aBusy ? busy_ + 1 : busy_ - 1;
  }
}

void
Agent::CloseIfFinished(TimePoint aNow,
                       const FlowKey& aKey,
                       Flow& aFlow,
                       bool aReset,
                       Actions& aOut)
{
  const auto done = aFlow.callerFinished_ && aFlow.hostFinished_;
  if (aFlow.closed_ || !(aReset || done)) {
    return;
  }
  aFlow.closed_ = true;
  ++closed_;
  SetBusy(aNow, aFlow, false);
  EmitDecision(aNow,
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
    SetBusy({}, found->second, false);
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
  sweepAt_ = aNow + kSweepInterval;
  absl::erase_if(probes_, [&](const auto& aRow) {
    const auto& probe = aRow.second;
    return aNow - probe.since_ >
           (probe.returned_ ? settings_.flowTimeout_ : kClosedFlowRetention);
  });
  const auto idle = routes_.FlowIdleTimeout();
  const auto life = idle > Duration::zero()
                      ? std::min(idle * 2, settings_.flowTimeout_)
                      : settings_.flowTimeout_;
  absl::erase_if(unassigned_, [&](const auto& aRow) {
    return aNow - aRow.second.openedAt_ > settings_.flowTimeout_;
  });
  for (auto row = flows_.begin(); row != flows_.end();) {
    const auto current = row++;
    auto& flow = current->second;
    if (aNow - flow.busySince_ > settings_.maxRequestTime_) {
      SetBusy(aNow, flow, false);
    }
    const auto kept = flow.closed_ ? kClosedFlowRetention : life;
    if (aNow - flow.lastPacket_ > kept) {
      Forget(FlowKey(current->first));
    }
  }
}

} // namespace cornelshore::relay
