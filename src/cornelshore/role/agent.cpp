#include <cornelshore/role/agent.hpp>

#include <algorithm>
#include <utility>

#include <cornelshore/core/hash.hpp>
#include <cornelshore/role/agent_parts.hpp>
#include <cornelshore/role/figures.hpp>
#include <cornelshore/role/host_dump.hpp>

namespace cornelshore::role {

namespace {

/** Maximum wait for the record of an earlier run before the first record of
 * this run is published. */
constexpr Duration kFirstRecordTimeout = std::chrono::seconds{ 3 };

/** Minimum time between two records that differ in held buckets only. */
constexpr Duration kHeldBucketsInterval = std::chrono::seconds{ 2 };

constexpr std::int64_t kMicrosPerMilli = 1000;

admission::CallerId
CallerOf(const FlowKey& aKey)
{
  return admission::CallerId{ HashBytes(
    std::as_bytes(std::span(aKey.caller_.ip_))) };
}

Dump
DumpOutcomes(const request::OutcomeCounts& aCounts)
{
  Dump dump;
  for (const auto& verdict : request::kVerdictNames) {
    Dump reasons;
    reasons.With("total", aCounts.Of(verdict.value_));
    for (const auto& reason : request::kReasonNames) {
      const auto count = aCounts.Of(verdict.value_, reason.value_);
      if (count != 0) {
        reasons.With(reason.name_, count);
      }
    }
    dump.With(verdict.name_, std::move(reasons));
  }
  return dump;
}

Dump
DumpRequests(const request::AgentDump& aState)
{
  return Dump()
    .With("ids", std::uint64_t{ aState.ids_ })
    .With("in_progress", std::uint64_t{ aState.inProgress_ })
    .With("backup_ids", std::uint64_t{ aState.backupIds_ })
    .With("runs_in_progress", std::uint64_t{ aState.runsInProgress_ })
    .With("peers", std::uint64_t{ aState.peers_ })
    .With("retries", aState.retries_)
    .With("moves", aState.redispatches_)
    .With("retries_denied", aState.retriesDenied_)
    .With("tickets_given", aState.ticketsGiven_)
    .With("tickets_refused", aState.ticketsRefused_)
    .With("leaving", aState.leaving_)
    .With("outcomes", DumpOutcomes(aState.outcomes_))
    .With("spoken_for_lost_homes", DumpOutcomes(aState.backupOutcomes_));
}

Dump
DumpSlots(const admission::SchedulerDump& aState)
{
  Dump::Items classes;
  for (const auto& row : aState.classes_) {
    classes.push_back(Dump()
                        .With("class", row.name_)
                        .With("keeps", row.keeps_)
                        .With("most", row.most_)
                        .With("missing_in_fleet", row.missing_)
                        .With("running", row.running_)
                        .With("queued", row.queued_)
                        .With("started", row.started_)
                        .With("refused", row.refused_));
  }
  return Dump()
    .With("slots", aState.slots_)
    .With("concurrency", aState.concurrency_)
    .With("running", aState.running_)
    .With("classes", std::move(classes));
}

} // namespace

Agent::Agent(std::unique_ptr<Parts> aParts)
  : parts_(std::move(aParts))
{
}

Agent::~Agent() = default;

std::vector<AgentAction>
Agent::On(TimePoint aNow, AgentEvent aEvent)
{
  std::vector<AgentAction> out;
  std::visit([&](auto& aKind) { parts_->Handle(aNow, aKind, out); }, aEvent);
  return out;
}

TimePoint
Agent::NextTimer() const
{
  auto next = std::min(parts_->node_.NextTimer(), parts_->flows_.NextTimer());
  next = std::min(next, parts_->announcer_.NextTimer().value_or(next));
  next = std::min(next, parts_->requests_.NextTimer().value_or(next));
  return std::min(next, parts_->slots_.NextTimer().value_or(next));
}

Dump
Agent::Flows(TimePoint aNow) const
{
  const auto state = parts_->flows_.Dump(aNow);
  Dump outcomes;
  for (std::size_t index = 0; index < flow::kOutcomeNames.size(); ++index) {
    outcomes.With(flow::kOutcomeNames[index].name_, state.counters_[index]);
  }
  Dump dump;
  dump.With("state", NameIn(kHostStateNames, state.state_))
    .With("fresh", state.fresh_)
    .With("superseded", state.superseded_)
    .With("flows", std::uint64_t{ state.flows_ })
    .With("held_buckets", std::uint64_t{ state.heldBuckets_ })
    .With("recovered_buckets", std::uint64_t{ state.recoveredBuckets_ })
    .With("outcomes", std::move(outcomes));
  if (state.leavingSince_) {
    dump.With("leaving_since_ms",
              (aNow - *state.leavingSince_).count() / kMicrosPerMilli);
  }
  if (state.leaveDeadline_) {
    dump.With("leave_limit_in_ms",
              (*state.leaveDeadline_ - aNow).count() / kMicrosPerMilli);
  }
  return dump;
}

Dump
Agent::State(TimePoint aNow) const
{
  Dump::Items connections;
  for (const auto& row : parts_->connections_->Dump()) {
    connections.push_back(Dump()
                            .With("class", row.name_)
                            .With("keeps", row.keeps_)
                            .With("most", row.most_)
                            .With("open", row.open_)
                            .With("refused", row.refused_));
  }
  return Dump()
    .With("role", "agent")
    .With("stopping", parts_->stopping_)
    .With("node", internal::DumpNode(parts_->node_, aNow))
    .With("flows", Flows(aNow))
    .With("requests", DumpRequests(parts_->requests_.Dump(aNow)))
    .With("slots", DumpSlots(parts_->slots_.Dump(aNow)))
    .With("connections", std::move(connections))
    .With("resets", parts_->resets_)
    .With("messages_misplaced", parts_->unexpectedMessages_)
    .With("messages_unreachable", parts_->undeliverableMessages_);
}

Dump
Agent::Hosts() const
{
  return internal::DumpHosts(parts_->node_);
}

std::vector<MetricSample>
Agent::Figures(TimePoint aNow) const
{
  const auto flows = parts_->flows_.Dump(aNow);
  const auto requests = parts_->requests_.Dump(aNow);
  std::vector<MetricSample> samples{
    internal::Gauge(
      "cornelshore_agent_flows", "Flows open at this host.", flows.flows_),
    internal::Gauge("cornelshore_agent_requests_in_progress",
                    "Requests of this home without an outcome.",
                    requests.inProgress_),
    internal::Gauge("cornelshore_agent_request_ids",
                    "Request ids held as home.",
                    requests.ids_),
  };
  internal::AddNodeMetrics(parts_->node_.Dump(aNow), samples);
  for (std::size_t index = 0; index < flow::kOutcomeNames.size(); ++index) {
    samples.push_back(internal::Labelled(
      internal::Counter("cornelshore_agent_packets_total",
                        "Packets of flows by what became of them.",
                        flows.counters_[index]),
      "outcome",
      flow::kOutcomeNames[index].name_));
  }
  for (const auto& verdict : request::kVerdictNames) {
    samples.push_back(internal::Labelled(
      internal::Counter("cornelshore_agent_requests_total",
                        "Requests of this home by verdict.",
                        requests.outcomes_.Of(verdict.value_)),
      "verdict",
      verdict.name_));
  }
  for (const auto& row : parts_->slots_.Dump(aNow).classes_) {
    samples.push_back(
      internal::Labelled(internal::Gauge("cornelshore_agent_slots_running",
                                         "Slots in use, by class.",
                                         row.running_),
                         "class",
                         row.name_));
    samples.push_back(internal::Labelled(
      internal::Gauge("cornelshore_agent_slots_missing",
                      "Slots that the fleet lacks for the class's floor.",
                      row.missing_),
      "class",
      row.name_));
  }
  return samples;
}

Agent::Builder::Builder(dissemination::NodeSettings aNode, HostRecord aHost)
  : NodeBuilder(std::move(aNode), membership::NodeRole::Agent)
  , host_(std::move(aHost))
{
  node_.interest_ = host_.service_;
  host_.id_ = HostId{ node_.self_.value_ };
  host_.incarnation_ = node_.incarnation_;
  host_.dataCentre_ = node_.dataCentre_;
  host_.agent_ = node_.address_;
}

Agent::Builder&
Agent::Builder::WithStopLimit(Duration aLimit)
{
  stopLimit_ = aLimit;
  return *this;
}

absl::StatusOr<std::unique_ptr<Agent>>
Agent::Builder::Build(TimePoint aNow) const
{
  auto node = BuildNode();
  if (!node.ok()) {
    return node.status();
  }
  auto scheduler = admission::SlotScheduler::Builder()
                     .WithSeed(node_.seed_)
                     .WithIncarnation(node_.incarnation_)
                     .Build();
  if (!scheduler.ok()) {
    return scheduler.status();
  }
  auto connections =
    std::make_unique<admission::ConnectionLimiter>(node_.seed_);
  auto* const limiter = connections.get();
  auto flows =
    flow::AgentBuilder()
      .SetSelf(host_)
      .SetAdmission([limiter](TimePoint aAt, const flow::NewFlow& aFlow) {
        return limiter->Open(aAt, aFlow.class_, CallerOf(aFlow.key_)).accepted_;
      })
      .SetFlowEndedCallback(
        [limiter](TimePoint aAt, const flow::NewFlow& aFlow) {
          limiter->Close(aAt, aFlow.class_, CallerOf(aFlow.key_));
        })
      .Build();
  if (!flows.ok()) {
    return flows.status();
  }
  const auto classes =
    std::make_shared<absl::flat_hash_map<ClassId, ClassTarget>>();
  request::AgentSettings settings;
  settings.self_ = host_.id_;
  settings.incarnation_ = host_.incarnation_;
  settings.dataCentre_ = host_.dataCentre_;
  settings.service_ = host_.service_;
  auto requests =
    request::AgentBuilder()
      .With(settings)
      .WithRepeatable([classes](ClassId aClass) {
        const auto found = classes->find(aClass);
        return found != classes->end() && found->second.repeatable_;
      })
      .Build();
  if (!requests.ok()) {
    return requests.status();
  }
  auto announcer = membership::Announcer::Builder(host_)
                     .HeldInterval(kHeldBucketsInterval)
                     .Build();
  if (!announcer.ok()) {
    return announcer.status();
  }
  auto parts = std::make_unique<Parts>(std::move(*node),
                                       std::move(*flows),
                                       std::move(*requests),
                                       internal::Slots(std::move(*scheduler)),
                                       std::move(*announcer));
  parts->connections_ = std::move(connections);
  parts->classes_ = classes;
  parts->hooks_ = hooks_;
  parts->self_ = host_;
  parts->stopLimit_ = stopLimit_;
  parts->publishDeadline_ = aNow + kFirstRecordTimeout;
  Parts::Actions none;
  parts->FeedNode(aNow, dissemination::SeedsChanged{ seeds_ }, none);
  return std::unique_ptr<Agent>(new Agent(std::move(parts)));
}

} // namespace cornelshore::role
