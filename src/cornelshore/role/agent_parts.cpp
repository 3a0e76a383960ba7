#include <cornelshore/role/agent_parts.hpp>

#include <algorithm>
#include <utility>

namespace cornelshore::role {

namespace {

admission::Result
ResultOf(UpstreamRunOutcome aEnd) noexcept
{
  switch (aEnd) {
    case UpstreamRunOutcome::Finished:
      return admission::Result::Done;
    case UpstreamRunOutcome::Shed:
      return admission::Result::Shed;
    case UpstreamRunOutcome::Lost:
      break;
  }
  return admission::Result::Failed;
}

request::Event
EventOf(UpstreamRunEnded& aEnded)
{
  switch (aEnded.end_) {
    case UpstreamRunOutcome::Finished:
      return request::UpstreamFinished{ aEnded.run_,
                                        std::move(aEnded.answer_) };
    case UpstreamRunOutcome::Shed:
      return request::UpstreamShed{ aEnded.run_, Duration::zero() };
    case UpstreamRunOutcome::Lost:
      break;
  }
  return request::UpstreamLost{ aEnded.run_ };
}

} // namespace

Agent::Parts::Parts(dissemination::Node aNode,
                    flow::Agent aFlows,
                    request::Agent aRequests,
                    internal::Slots aSlots,
                    membership::Announcer aAnnouncer)
  : node_(std::move(aNode))
  , flows_(std::move(aFlows))
  , requests_(std::move(aRequests))
  , slots_(std::move(aSlots))
  , announcer_(std::move(aAnnouncer))
{
}

void
Agent::Parts::Handle(TimePoint aNow, NodeMessage& aEvent, Actions& aOut)
{
  addressBook_.Insert(aEvent.from_, aEvent.address_);
  std::visit([&](auto& aMessage) { Receive(aNow, aEvent, aMessage, aOut); },
             aEvent.message_);
}

void
Agent::Parts::Handle(TimePoint aNow,
                     UpstreamReadinessChanged& aEvent,
                     Actions& aOut)
{
  aOut.emplace_back(Log{ Severity::Info,
                         "upstream_readiness",
                         { { "ready", aEvent.ready_ ? "yes" : "no" } } });
  upstreamReady_ = aEvent.ready_;
  CheckReady(aNow, aOut);
}

void
Agent::Parts::CheckReady(TimePoint aNow, Actions& aOut)
{
  const auto ready = upstreamReady_ && hasTargets_;
  if (ready != ready_) {
    ready_ = ready;
    FeedFlows(aNow, flow::ReadinessChanged{ ready }, aOut);
  }
}

void
Agent::Parts::Handle(TimePoint aNow, UpstreamFlowEnded& aEvent, Actions& aOut)
{
  FeedFlows(aNow, flow::UpstreamClosed{ aEvent.key_ }, aOut);
}

void
Agent::Parts::Handle(TimePoint aNow, UpstreamFlowRefused& aEvent, Actions& aOut)
{
  FeedFlows(
    aNow, flow::UpstreamRefused{ aEvent.key_, aEvent.returnPath_ }, aOut);
}

void
Agent::Parts::Handle(TimePoint aNow, UpstreamRunEnded& aEvent, Actions& aOut)
{
  if (runIds_.contains(aEvent.run_)) {
    slots_.RecordResult(aEvent.run_, ResultOf(aEvent.end_));
    FeedRequests(aNow, EventOf(aEvent), aOut);
  }
}

void
Agent::Parts::Handle(TimePoint aNow, StopRequested&, Actions& aOut)
{
  if (stopping_) {
    return;
  }
  stopping_ = true;
  FeedFlows(aNow, flow::LeaveRequested{ stopLimit_ }, aOut);
  FeedRequests(aNow, request::LeaveRequested{}, aOut);
  CheckStopped(aNow, aOut);
}

void
Agent::Parts::Handle(TimePoint aNow, Tick&, Actions& aOut)
{
  if (node_.NextTimer() <= aNow) {
    FeedNode(aNow, dissemination::Tick{}, aOut);
  }
  if (flows_.NextTimer() <= aNow) {
    FeedFlows(aNow, flow::Tick{}, aOut);
  }
  if (requests_.NextTimer().value_or(TimePoint::max()) <= aNow) {
    FeedRequests(aNow, request::Tick{}, aOut);
  }
  if (slots_.NextTimer().value_or(TimePoint::max()) <= aNow) {
    FeedRequests(aNow, slots_.Tick(aNow), aOut);
  }
  if (!published_ && (node_.ConfirmedAt() || publishDeadline_ <= aNow)) {
    PublishFirst(aNow, aOut);
  }
  if (published_ && announcer_.NextTimer().value_or(TimePoint::max()) <= aNow) {
    Publish(aNow, announcer_.Tick(aNow), aOut);
  }
  CheckStopped(aNow, aOut);
}

void
Agent::Parts::Receive(TimePoint aNow,
                      const NodeMessage&,
                      flow::Envelope& aMessage,
                      Actions& aOut)
{
  FeedFlows(aNow, flow::EnvelopeArrived{ std::move(aMessage) }, aOut);
}

void
Agent::Parts::Receive(TimePoint aNow,
                      const NodeMessage& aFrom,
                      request::Message& aMessage,
                      Actions& aOut)
{
  FeedRequests(
    aNow,
    request::Received{ aFrom.from_, aFrom.incarnation_, std::move(aMessage) },
    aOut);
}

void
Agent::Parts::Receive(TimePoint aNow,
                      const NodeMessage& aFrom,
                      dissemination::Message& aMessage,
                      Actions& aOut)
{
  FeedNode(
    aNow,
    dissemination::Received{ aFrom.from_, aFrom.address_, std::move(aMessage) },
    aOut);
}

void
Agent::Parts::Receive(TimePoint,
                      const NodeMessage& aFrom,
                      const membership::Message& aMessage,
                      Actions& aOut)
{
  if (const auto* probe = std::get_if<membership::Probe>(&aMessage)) {
    aOut.emplace_back(SendToNode{
      aFrom.address_,
      membership::Message(membership::ProbeAnswer{ probe->token_ }) });
  } else {
    ++unexpectedMessages_;
  }
}

void
Agent::Parts::FeedNode(TimePoint aNow,
                       const dissemination::Event& aEvent,
                       Actions& aOut)
{
  for (auto& action : node_.On(aNow, aEvent)) {
    std::visit([&](auto& aAction) { Execute(aNow, aAction, aOut); }, action);
  }
  CheckConfirmed(aNow, aOut);
}

void
Agent::Parts::FeedFlows(TimePoint aNow, flow::Event aEvent, Actions& aOut)
{
  for (auto& action : flows_.On(aNow, std::move(aEvent))) {
    std::visit([&](auto& aAction) { Execute(aNow, aAction, aOut); }, action);
  }
}

void
Agent::Parts::FeedRequests(TimePoint aNow, request::Event aEvent, Actions& aOut)
{
  for (auto& action : requests_.On(aNow, std::move(aEvent))) {
    std::visit([&](auto& aAction) { Execute(aNow, aAction, aOut); }, action);
  }
}

void
Agent::Parts::FeedRequests(TimePoint aNow,
                           internal::Slots::Events aEvents,
                           Actions& aOut)
{
  for (auto& event : aEvents) {
    FeedRequests(aNow, std::move(event), aOut);
  }
}

void
Agent::Parts::Execute(TimePoint, dissemination::Send& aAction, Actions& aOut)
{
  aOut.emplace_back(
    SendToNode{ aAction.address_, std::move(aAction.message_) });
}

void
Agent::Parts::Execute(TimePoint aNow,
                      dissemination::HostsChanged& aAction,
                      Actions& aOut)
{
  std::vector<HostRecord> ours;
  for (const auto& record : aAction.records_) {
    if (record.service_ == self_.service_ || record.id_ == self_.id_) {
      ours.push_back(record);
    }
  }
  if (ours.empty()) {
    return;
  }
  for (const auto& record : ours) {
    if (published_) {
      Publish(aNow, announcer_.Seen(aNow, record), aOut);
    }
  }
  hosts_ = node_.Hosts().OfService(self_.service_);
  FeedFlows(aNow, flow::MembershipChanged{ std::move(ours) }, aOut);
  FeedRequests(aNow, request::MembershipChanged{ hosts_ }, aOut);
  ApplyTargets(aNow, aOut);
}

void
Agent::Parts::Execute(TimePoint, dissemination::PeersChanged&, Actions&)
{
}

void
Agent::Parts::Execute(TimePoint aNow,
                      dissemination::ConfigChanged& aAction,
                      Actions& aOut)
{
  const auto version = std::to_string(aAction.version_.value_);
  auto configuration = hooks_.decode_(aAction.bytes_);
  if (!configuration.ok()) {
    aOut.emplace_back(Log{ Severity::Error,
                           "configuration_unreadable",
                           { { "version", version } } });
    return;
  }
  configuration_ = std::move(*configuration);
  aOut.emplace_back(
    Log{ Severity::Info,
         "configuration_in_force",
         { { "version", version },
           { "confirmed", aAction.confirmed_ ? "yes" : "no" } } });
  ApplyTargets(aNow, aOut);
}

void
Agent::Parts::Execute(TimePoint, flow::Deliver& aAction, Actions& aOut)
{
  aOut.emplace_back(std::move(aAction));
}

void
Agent::Parts::Execute(TimePoint, flow::Forward& aAction, Actions& aOut)
{
  const auto address = AddressOf(NodeId{ aAction.to_.value_ });
  if (!address) {
    ++undeliverableMessages_;
    return;
  }
  aOut.emplace_back(SendToNode{ *address, std::move(aAction.envelope_) });
}

void
Agent::Parts::Execute(TimePoint, flow::Reset& aAction, Actions& aOut)
{
  ++resets_;
  aOut.emplace_back(
    Log{ Severity::Debug,
         "flow_reset",
         { { "reason",
             std::string(NameIn(flow::kResetReasonNames, aAction.reason_)) },
           { "caller", ToString(aAction.key_.caller_) } } });
  aOut.emplace_back(std::move(aAction));
}

void
Agent::Parts::Execute(TimePoint aNow, flow::Announce& aAction, Actions& aOut)
{
  self_.state_ = aAction.state_;
  self_.held_ = aAction.held_;
  if (published_) {
    PublishChanges(aNow, aOut);
  }
}

void
Agent::Parts::Execute(TimePoint aNow, flow::Stopped& aAction, Actions& aOut)
{
  flowsStopped_ = true;
  flowsLeft_ = aAction.flowsLeft_;
  CheckStopped(aNow, aOut);
}

void
Agent::Parts::Execute(TimePoint, request::SendToHost& aAction, Actions& aOut)
{
  const auto address = AddressOf(NodeId{ aAction.to_.value_ });
  if (!address) {
    ++undeliverableMessages_;
    return;
  }
  aOut.emplace_back(SendToNode{ *address, std::move(aAction.message_) });
}

void
Agent::Parts::Execute(TimePoint aNow,
                      request::SendToBalancer& aAction,
                      Actions& aOut)
{
  const auto address = AddressOf(aAction.to_);
  if (!address) {
    ++undeliverableMessages_;
    return;
  }
  aOut.emplace_back(SendToNode{ *address, std::move(aAction.message_) });
  if (auto pushback = slots_.TakePushback(aNow)) {
    aOut.emplace_back(SendToNode{ *address, std::move(*pushback) });
  }
}

void
Agent::Parts::Execute(TimePoint aNow, request::Offer& aAction, Actions& aOut)
{
  FeedRequests(aNow, slots_.Offer(aNow, aAction), aOut);
}

void
Agent::Parts::Execute(TimePoint aNow,
                      request::ReleaseSlot& aAction,
                      Actions& aOut)
{
  runIds_.erase(aAction.run_);
  FeedRequests(aNow, slots_.Release(aNow, aAction.run_), aOut);
}

void
Agent::Parts::Execute(TimePoint, request::StartRun& aAction, Actions& aOut)
{
  runIds_[aAction.run_] = aAction.id_;
  const auto target = classes_->find(aAction.work_.class_);
  aOut.emplace_back(RunAtUpstream{
    aAction.run_,
    aAction.id_,
    target == classes_->end() ? std::string() : target->second.name_,
    aAction.timeLeft_,
    std::move(aAction.body_) });
}

void
Agent::Parts::Execute(TimePoint, request::CancelRun& aAction, Actions& aOut)
{
  const auto id = runIds_.find(aAction.run_);
  if (id != runIds_.end()) {
    aOut.emplace_back(CancelAtUpstream{ id->second });
  }
}

void
Agent::Parts::Execute(TimePoint aNow, request::Drained&, Actions& aOut)
{
  requestsDrained_ = true;
  CheckStopped(aNow, aOut);
}

void
Agent::Parts::Publish(TimePoint aNow,
                      const std::optional<HostRecord>& aRecord,
                      Actions& aOut)
{
  if (!aRecord) {
    return;
  }
  FeedNode(aNow, dissemination::HostAnnounced{ *aRecord }, aOut);
  hosts_ = node_.Hosts().OfService(self_.service_);
  ApplyTargets(aNow, aOut);
}

void
Agent::Parts::PublishFirst(TimePoint aNow, Actions& aOut)
{
  published_ = true;
  Publish(aNow, announcer_.Record(), aOut);
  PublishChanges(aNow, aOut);
}

void
Agent::Parts::PublishChanges(TimePoint aNow, Actions& aOut)
{
  Publish(aNow, announcer_.Enter(aNow, self_.state_), aOut);
  Publish(aNow, announcer_.Hold(aNow, self_.held_), aOut);
}

void
Agent::Parts::ApplyTargets(TimePoint aNow, Actions& aOut)
{
  for (const auto& service : configuration_.services_) {
    if (service.id_ != self_.service_) {
      continue;
    }
    classes_->clear();
    for (const auto& target : service.classes_) {
      classes_->emplace(target.id_, target);
    }
    connections_->Configure(service, self_.connectionLimit_);
    FeedRequests(
      aNow, slots_.Configure(aNow, service, self_.id_, hosts_), aOut);
    hasTargets_ = true;
  }
  CheckReady(aNow, aOut);
}

void
Agent::Parts::CheckConfirmed(TimePoint aNow, Actions& aOut)
{
  const auto confirmed = node_.ConfirmedAt();
  if (confirmed && confirmed != confirmedAt_) {
    confirmedAt_ = confirmed;
    FeedFlows(aNow, flow::ViewConfirmed{ *confirmed }, aOut);
  }
}

void
Agent::Parts::CheckStopped(TimePoint aNow, Actions& aOut)
{
  if (!stopping_ || !flowsStopped_ || !requestsDrained_ || ended_) {
    return;
  }
  ended_ = true;
  self_.state_ = HostState::Gone;
  PublishChanges(aNow, aOut);
  aOut.emplace_back(Ended{ flowsLeft_ });
}

std::optional<Address>
Agent::Parts::AddressOf(NodeId aNode) const
{
  if (const auto* host = node_.Hosts().Find(HostId{ aNode.value_ })) {
    return host->agent_;
  }
  const auto known = node_.AddressOf(aNode);
  return known ? known : addressBook_.Find(aNode);
}

} // namespace cornelshore::role
