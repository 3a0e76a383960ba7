#include <cornelshore/flow/agent.hpp>

#include <algorithm>
#include <utility>

#include <absl/status/status.h>

namespace cornelshore::flow {

namespace {

constexpr Duration kSweepInterval = std::chrono::seconds(1);
constexpr Duration kIdleSweepInterval = std::chrono::minutes(1);
constexpr std::uint32_t kWholeLoad = 1000;

} // namespace

Agent::Agent(const HostRecord& aSelf,
             const Limits& aLimits,
             Admission aAdmission)
  : self_(aSelf)
  , limits_(aLimits)
  , admission_(std::move(aAdmission))
  , view_(aSelf.service_, aLimits.window_)
  , held_(aLimits.announceDelay_, aLimits.withdrawDelay_)
  , pointers_(aLimits.maxPointers_)
  , found_(aLimits.maxPointers_)
  , declined_(aLimits.maxPointers_)
  , refused_(aLimits.maxPointers_)
{
  self_.state_ = HostState::Starting;
  self_.sequence_ = 0;
  self_.held_.reset();
}

Agent::Actions
Agent::On(TimePoint aNow, Event&& aEvent)
{
  Actions out;
  if (!stopped_) {
    std::visit([&](auto& aAny) { Handle(aNow, aAny, out); }, aEvent);
  }
  return out;
}

void
Agent::Handle(TimePoint aNow, MembershipChanged& aEvent, Actions& aOut)
{
  auto& records = aEvent.records_;
  const auto others = std::partition(
    records.begin(), records.end(), [this](const HostRecord& aRecord) {
      return aRecord.id_ != self_.id_;
    });
  for (auto own = others; own != records.end(); ++own) {
    OnOwnRecord(*own, aOut);
  }
  records.erase(others, records.end());
  if (self_.sequence_ == 0) {
    records.push_back(self_);
    records.back().sequence_ = ++self_.sequence_;
  }
  view_.Apply(aNow, records);
  if (!confirmedAsOf_) {
    Recover(aNow);
  }
}

/** Recovers the buckets that the previous run announced, and those that it
 * owned and may have received flows of since. */
void
Agent::Recover(TimePoint aNow)
{
  if (!previousRecord_ || flowsListed_) {
    return;
  }
  auto buckets = previousRecord_->held_ | held_.Recovered();
  auto former = *previousRecord_;
  routing::View view(view_);
  former.incarnation_ = self_.incarnation_;
  former.sequence_ = self_.sequence_ + 1;
  view.Apply(aNow, { &former, 1 });
  for (std::size_t bucket = 0; bucket < kBucketCount; ++bucket) {
    const BucketId id{ static_cast<std::uint16_t>(bucket) };
    if (OwnsBucket(view, id)) {
      buckets.set(bucket);
    }
  }
  recoverUntil_ = aNow + limits_.recoveryPeriod_;
  held_.SetRecovered(aNow, buckets);
}

void
Agent::OnOwnRecord(const HostRecord& aRecord, Actions& aOut)
{
  if (aRecord.incarnation_ > self_.incarnation_) {
    superseded_ = true;
    return;
  }
  if (aRecord.incarnation_ < self_.incarnation_) {
    if (aRecord.service_ == self_.service_ && !confirmedAsOf_) {
      previousRecord_ = aRecord;
    }
    return;
  }
  const bool gone = aRecord.state_ == HostState::Gone;
  if (gone && !declaredGone_) {
    AnnounceNow(aOut);
  }
  declaredGone_ = gone;
}

void
Agent::Handle(TimePoint aNow, ViewConfirmed& aEvent, Actions& aOut)
{
  if (confirmedAsOf_) {
    confirmedAsOf_ = std::max(*confirmedAsOf_, aEvent.asOf_);
    return;
  }
  MembershipChanged none;
  Handle(aNow, none, aOut);
  confirmedAsOf_ = aEvent.asOf_;
  held_.Refresh(
    aNow, [this](BucketId aBucket) { return OwnsBucket(view_, aBucket); });
  self_.held_ = held_.Announced();
  AnnounceNow(aOut);
}

void
Agent::Handle(TimePoint aNow, FlowsListed& aEvent, Actions& aOut)
{
  flowsListed_ = true;
  recoverUntil_ = aNow + limits_.recoveryPeriod_;
  held_.SetRecovered(aNow, aEvent.recovered_);
  for (const auto& key : aEvent.keys_) {
    UpstreamOpened opened{ key };
    Handle(aNow, opened, aOut);
  }
}

void
Agent::Handle(TimePoint aNow, UpstreamOpened& aEvent, Actions& /*aOut*/)
{
  if (flows_.contains(aEvent.key_) || IsFull()) {
    return;
  }
  Envelope envelope;
  envelope.key_ = aEvent.key_;
  envelope.bucket_ = routing::BucketOf(aEvent.key_);
  Insert(aNow, envelope, true);
}

void
Agent::Handle(TimePoint aNow, UpstreamClosed& aEvent, Actions& aOut)
{
  CloseFlow(aNow, aEvent.key_);
  CheckLeaving(aNow, aOut);
}

void
Agent::Handle(TimePoint aNow, UpstreamRefused& aEvent, Actions& aOut)
{
  const auto found = flows_.find(aEvent.key_);
  if (found == flows_.end()) {
    return;
  }
  const bool adopted = found->second.adopted_;
  CloseFlow(aNow, aEvent.key_);
  if (adopted) {
    const Pointer pointer{ self_.id_,
                           PointerKind::Ceded,
                           aNow + limits_.recoveryPeriod_ };
    static_cast<void>(refused_.Put(aEvent.key_, pointer));
  } else {
    Reset reset;
    reset.key_ = aEvent.key_;
    reset.returnPath_ = aEvent.returnPath_;
    reset.reason_ = ResetReason::UpstreamRefused;
    aOut.emplace_back(std::move(reset));
    Count(Outcome::Reset);
  }
  CheckLeaving(aNow, aOut);
}

void
Agent::Handle(TimePoint aNow, ReadinessChanged& aEvent, Actions& aOut)
{
  if (self_.state_ == HostState::Leaving) {
    return;
  }
  ChangeState(
    aNow, aEvent.ready_ ? HostState::Ready : HostState::Starting, aOut);
}

void
Agent::Handle(TimePoint /*aNow*/, LoadReported& aEvent, Actions& /*aOut*/)
{
  reportedLoad_ = aEvent.load_;
}

void
Agent::Handle(TimePoint aNow, LeaveRequested& aEvent, Actions& aOut)
{
  const auto limit =
    aEvent.limit_ > Duration{} ? aEvent.limit_ : limits_.leaveLimit_;
  leaveDeadline_ = aNow + limit;
  if (self_.state_ == HostState::Leaving) {
    return;
  }
  leavingSince_ = aNow;
  ChangeState(aNow, HostState::Leaving, aOut);
  CheckLeaving(aNow, aOut);
}

void
Agent::Handle(TimePoint aNow, Tick& /*aEvent*/, Actions& aOut)
{
  if (sweepDue_ <= aNow) {
    sweepDue_ = aNow + kSweepInterval;
    pointers_.Expire(aNow);
    found_.Expire(aNow);
    declined_.Expire(aNow);
    refused_.Expire(aNow);
    absl::erase_if(peerLoads_, [aNow](const auto& aPeer) {
      return aPeer.second.until_ < aNow;
    });
    absl::erase_if(claims_, [&](const auto& aClaim) {
      return aClaim.second.since_ + limits_.claimTimeout_ < aNow;
    });
  }
  if (idleSweepDue_ <= aNow) {
    idleSweepDue_ = aNow + kIdleSweepInterval;
    SweepIdle(aNow);
  }
  if (recoverUntil_ && *recoverUntil_ <= aNow && held_.Recovered().any()) {
    held_.SetRecovered(aNow, {});
  }
  RefreshHeld(aNow, aOut);
  CheckLeaving(aNow, aOut);
}

void
Agent::SweepIdle(TimePoint aNow)
{
  std::vector<FlowKey> idle;
  for (const auto& [key, flow] : flows_) {
    const auto most =
      key.transport_ == Transport::Tcp ? limits_.tcpIdle_ : limits_.udpIdle_;
    if (flow.lastPacket_ + most <= aNow) {
      idle.push_back(key);
    }
  }
  for (const auto& key : idle) {
    CloseFlow(aNow, key);
  }
}

void
Agent::ChangeState(TimePoint aNow, HostState aState, Actions& aOut)
{
  if (self_.state_ == aState) {
    return;
  }
  if (aState != HostState::Ready) {
    claims_.clear();
  }
  self_.state_ = aState;
  ++self_.sequence_;
  view_.Apply(aNow, { &self_, 1 });
  if (confirmedAsOf_) {
    AnnounceNow(aOut);
  }
}

void
Agent::AnnounceNow(Actions& aOut) const
{
  aOut.emplace_back(Announce{ self_.state_, held_.Announced() });
}

void
Agent::RefreshHeld(TimePoint aNow, Actions& aOut)
{
  if (!confirmedAsOf_ || !held_.Due() || *held_.Due() > aNow) {
    return;
  }
  const bool changed = held_.Refresh(
    aNow, [this](BucketId aBucket) { return OwnsBucket(view_, aBucket); });
  if (changed) {
    AnnounceNow(aOut);
  }
}

void
Agent::CheckLeaving(TimePoint aNow, Actions& aOut)
{
  if (self_.state_ != HostState::Leaving) {
    return;
  }
  if (!flows_.empty()) {
    emptySince_.reset();
  } else if (!emptySince_) {
    emptySince_ = aNow;
  }
  const bool ended = emptySince_ && *emptySince_ + limits_.drainLinger_ <= aNow;
  const bool limitReached = *leaveDeadline_ <= aNow;
  if (ended || limitReached) {
    stopped_ = true;
    aOut.emplace_back(Stopped{ flows_.size(), !ended });
  }
}

void
Agent::CloseFlow(TimePoint aNow, const FlowKey& aKey)
{
  const auto found = flows_.find(aKey);
  if (found == flows_.end()) {
    return;
  }
  held_.Closed(aNow, found->second.bucket_);
  if (closing_ && !found->second.adopted_) {
    closing_(aNow, { found->second.class_, aKey });
  }
  flows_.erase(found);
}

TimePoint
Agent::NextTimer() const noexcept
{
  return held_.Due() ? std::min(*held_.Due(), sweepDue_) : sweepDue_;
}

Agent::State
Agent::Dump(TimePoint aNow) const
{
  State state;
  state.state_ = self_.state_;
  state.epoch_ = view_.Epoch();
  state.fresh_ = IsFresh(aNow);
  state.superseded_ = superseded_;
  state.flows_ = flows_.size();
  state.load_ = Load();
  state.pointers_ = pointers_.size() + found_.size();
  state.claims_ = claims_.size();
  state.heldBuckets_ = held_.Announced().count();
  state.recoveredBuckets_ = held_.Recovered().count();
  state.leavingSince_ = leavingSince_;
  state.leaveDeadline_ = leaveDeadline_;
  state.counters_ = counters_;
  return state;
}

FlowsListed
Agent::HandOver() const
{
  FlowsListed listed;
  listed.recovered_ = held_.Recovered();
  listed.keys_.reserve(flows_.size());
  for (const auto& [key, flow] : flows_) {
    listed.keys_.push_back(key);
  }
  return listed;
}

bool
Agent::Owns(const FlowKey& aKey) const
{
  return flows_.contains(aKey);
}

bool
Agent::KnowsPreviousFlows() const noexcept
{
  return flowsListed_ || confirmedAsOf_ || previousRecord_;
}

bool
Agent::IsFresh(TimePoint aNow) const noexcept
{
  return confirmedAsOf_ && *confirmedAsOf_ + limits_.maxViewAge_ >= aNow;
}

bool
Agent::CanClaim(TimePoint aNow) const noexcept
{
  return self_.state_ == HostState::Ready && IsFresh(aNow) && !declaredGone_ &&
         !superseded_;
}

bool
Agent::IsFull() const noexcept
{
  return self_.connectionLimit_ != 0 && flows_.size() >= self_.connectionLimit_;
}

std::uint32_t
Agent::Load() const noexcept
{
  const auto open = flows_.size() * kWholeLoad / self_.slots_;
  return std::max(static_cast<std::uint32_t>(open), reportedLoad_);
}

void
Agent::Count(Outcome aOutcome) noexcept
{
  ++counters_[static_cast<std::size_t>(aOutcome)];
}

AgentBuilder&
AgentBuilder::SetSelf(const HostRecord& aSelf)
{
  self_ = aSelf;
  return *this;
}

AgentBuilder&
AgentBuilder::SetLimits(const Limits& aLimits)
{
  limits_ = aLimits;
  return *this;
}

AgentBuilder&
AgentBuilder::SetAdmission(Admission aAdmission)
{
  admission_ = std::move(aAdmission);
  return *this;
}

AgentBuilder&
AgentBuilder::SetFlowEndedCallback(Closing aClosing)
{
  closing_ = std::move(aClosing);
  return *this;
}

absl::StatusOr<Agent>
AgentBuilder::Build() const
{
  if (self_.id_ == HostId{}) {
    return absl::InvalidArgumentError("host id is zero");
  }
  if (self_.slots_ == 0) {
    return absl::InvalidArgumentError("host has no slots");
  }
  if (2 * limits_.maxViewAge_ > limits_.window_) {
    return absl::InvalidArgumentError(
      "maximum view age exceeds half of the window");
  }
  if (2 * limits_.claimTimeout_ > limits_.cededLifetime_) {
    return absl::InvalidArgumentError(
      "claim timeout exceeds half of the lifetime of ceded pointers");
  }
  if (limits_.drainLinger_ < limits_.maxViewAge_) {
    return absl::InvalidArgumentError(
      "drain linger is shorter than the maximum view age");
  }
  Agent agent(self_, limits_, admission_);
  agent.closing_ = closing_;
  return agent;
}

} // namespace cornelshore::flow
