#include <cornelshore/role/relay_agent.hpp>

#include <algorithm>
#include <optional>
#include <utility>

#include <cornelshore/relay/load_reports.hpp>
#include <cornelshore/role/figures.hpp>
#include <cornelshore/role/flow_log.hpp>
#include <cornelshore/role/host_dump.hpp>

namespace cornelshore::role {

namespace {

using Actions = std::vector<RelayAgentAction>;

} // namespace

struct RelayAgent::Parts
{
  Parts(dissemination::Node aNode, relay::Agent aFlows)
    : node_(std::move(aNode))
    , flows_(std::move(aFlows))
  {
  }

  void Feed(TimePoint aNow, const dissemination::Event& aEvent, Actions& aOut)
  {
    for (auto& action : node_.On(aNow, aEvent)) {
      std::visit([&](auto& aAction) { Execute(aNow, aAction, aOut); }, action);
    }
  }

  void Execute(TimePoint, dissemination::Send& aSend, Actions& aOut)
  {
    aOut.emplace_back(SendToNode{ aSend.address_, std::move(aSend.message_) });
  }

  /** A record of this host that is newer than the local one comes from an
   * earlier run whose clock was ahead; the next record must supersede it at
   * every node. */
  void Execute(TimePoint aNow,
               dissemination::HostsChanged& aChange,
               Actions& aOut)
  {
    for (const auto& record : aChange.records_) {
      if (record.id_ == record_.id_ &&
          membership::VersionOf(record) > membership::VersionOf(record_)) {
        record_.incarnation_ = Incarnation{ record.incarnation_.value_ + 1 };
        record_.sequence_ = 0;
        announcedState_.reset();
        Announce(aNow, aOut);
      }
    }
  }

  void Execute(TimePoint, dissemination::PeersChanged&, Actions&) {}

  void Execute(TimePoint, dissemination::ConfigChanged& aChange, Actions& aOut)
  {
    const auto version = std::to_string(aChange.version_.value_);
    const auto configuration = hooks_.decode_(aChange.bytes_);
    if (!configuration.ok()) {
      aOut.emplace_back(Log{ Severity::Error,
                             "configuration_unreadable",
                             { { "version", version } } });
      return;
    }
    flows_.UpdateRoutes(*configuration);
    aOut.emplace_back(
      Log{ Severity::Info,
           "configuration_in_force",
           { { "version", version },
             { "routes", std::to_string(configuration->routes_.size()) },
             { "confirmed", aChange.confirmed_ ? "yes" : "no" } } });
  }

  void Execute(TimePoint aNow, relay::Agent::Actions aActions, Actions& aOut)
  {
    for (auto& action : aActions) {
      if (auto* toBalancer = std::get_if<relay::ToBalancer>(&action)) {
        aOut.emplace_back(
          SendToNode{ toBalancer->balancer_,
                      relay::Message(std::move(toBalancer->answer_)) });
      } else if (auto* queryAnswer = std::get_if<relay::AnswerQuery>(&action)) {
        aOut.emplace_back(
          SendToNode{ queryAnswer->balancer_,
                      relay::Message(std::move(queryAnswer->answer_)) });
      } else if (const auto* decision =
                   std::get_if<relay::FlowDecision>(&action)) {
        for (auto& line : log_.LinesOf(aNow, *decision)) {
          aOut.emplace_back(std::move(line));
        }
      } else if (auto* toHost = std::get_if<relay::ToHost>(&action)) {
        aOut.emplace_back(std::move(*toHost));
      } else {
        aOut.emplace_back(std::get<relay::FromHost>(std::move(action)));
      }
    }
  }

  void Handle(TimePoint aNow, NodeMessage& aEvent, Actions& aOut)
  {
    if (auto* update = std::get_if<dissemination::Message>(&aEvent.message_)) {
      Feed(aNow,
           dissemination::Received{
             aEvent.from_, aEvent.address_, std::move(*update) },
           aOut);
      return;
    }
    auto* message = std::get_if<relay::Message>(&aEvent.message_);
    if (const auto* watch =
          message == nullptr ? nullptr : std::get_if<relay::Watch>(message)) {
      if (watch->earlierRunHeardAgo_) {
        flows_.NoteEarlierRun(
          aNow, *watch->earlierRunHeardAgo_, watch->earlierRunLeaving_);
      }
      if (reports_.Watch(aNow, aEvent.address_)) {
        aOut.emplace_back(
          SendToNode{ aEvent.address_, relay::Message(flows_.Load(aNow)) });
      }
      return;
    }
    if (const auto* query =
          message == nullptr ? nullptr : std::get_if<relay::Query>(message)) {
      relay::Agent::Actions actions;
      flows_.OnQuery(aNow, aEvent.address_, *query, actions);
      Execute(aNow, std::move(actions), aOut);
      return;
    }
    auto* carried =
      message == nullptr ? nullptr : std::get_if<relay::RelayedPacket>(message);
    if (carried == nullptr) {
      ++unexpectedMessages_;
      return;
    }
    if (carried->version_ > node_.Config()) {
      Feed(aNow,
           dissemination::VersionSeen{
             aEvent.from_, aEvent.address_, carried->version_ },
           aOut);
    }
    relay::Agent::Actions actions;
    flows_.OnRelayedPacket(aNow, aEvent.address_, std::move(*carried), actions);
    Execute(aNow, std::move(actions), aOut);
  }

  void Handle(TimePoint aNow, UpstreamPacket& aEvent, Actions& aOut)
  {
    relay::Agent::Actions actions;
    flows_.OnHostPacket(aNow, std::move(aEvent.packet_), actions);
    Execute(aNow, std::move(actions), aOut);
  }

  void Handle(TimePoint aNow, UpstreamReported& aEvent, Actions& aOut)
  {
    const auto before = flows_.Host();
    const auto outcome = flows_.OnReport(aNow, aEvent.report_);
    if (outcome == relay::ReportOutcome::Taken) {
      LogReportChange(aNow, before, aEvent.report_, aOut);
      Announce(aNow, aOut);
    }
    aOut.emplace_back(ReportResult{ aEvent.token_, outcome });
  }

  void LogReportChange(TimePoint aNow,
                       const std::optional<relay::HostReport>& aBefore,
                       const relay::HostReport& aReport,
                       Actions& aOut) const
  {
    const auto same = aBefore && aBefore->instance_ == aReport.instance_ &&
                      aBefore->leaving_ == aReport.leaving_;
    if (same) {
      return;
    }
    aOut.emplace_back(Log{
      Severity::Info,
      aReport.leaving_ ? "upstream_leaving" : "upstream_ready",
      { { "instance", aReport.instance_ },
        { "sequence", std::to_string(aReport.sequence_) },
        { "slots", std::to_string(aReport.slots_) },
        { "knows_all_flows", flows_.KnowsAllFlows(aNow) ? "yes" : "no" },
        { "coverage",
          std::string(NameIn(relay::kCoverageNames, flows_.CoverageAt(aNow))) },
        { "uptime_ms", internal::MillisOf(aNow - startedAt_) } } });
  }

  void Handle(TimePoint aNow, UpstreamInstanceEnded& aEvent, Actions& aOut)
  {
    const auto ended = flows_.OnHostEnded(aNow, aEvent.instance_);
    if (ended) {
      aOut.emplace_back(Log{ Severity::Info,
                             "upstream_ended",
                             { { "instance", aEvent.instance_ } } });
      Announce(aNow, aOut);
    }
    aOut.emplace_back(ReportResult{ aEvent.token_,
                                    ended ? relay::ReportOutcome::Taken
                                          : relay::ReportOutcome::Late });
  }

  void Handle(TimePoint aNow, StopRequested&, Actions& aOut)
  {
    auto load = flows_.Load(aNow);
    load.accepts_ = false;
    SendLoad(aNow, load, true, aOut);
    aOut.emplace_back(Ended{ flows_.Load(aNow).flows_ });
  }

  void Handle(TimePoint aNow, Tick&, Actions& aOut)
  {
    if (!announcedState_) {
      Announce(aNow, aOut);
    }
    if (node_.NextTimer() <= aNow) {
      Feed(aNow, dissemination::Tick{}, aOut);
    }
    if (flows_.NextTimer() <= aNow) {
      flows_.Tick(aNow);
    }
    if (reports_.Next() <= aNow) {
      SendLoad(aNow, flows_.Load(aNow), false, aOut);
    }
  }

  void SendLoad(TimePoint aNow,
                const relay::HostLoad& aLoad,
                bool aForced,
                Actions& aOut)
  {
    for (const auto& balancer : reports_.Take(aNow, aLoad, aForced)) {
      aOut.emplace_back(SendToNode{ balancer, relay::Message(aLoad) });
    }
  }

  /** Announces the host's state when it has changed. An agent whose host has
   * not reported yet is announced too: the host may hold flows of an earlier
   * run. */
  void Announce(TimePoint aNow, Actions& aOut)
  {
    const auto& host = flows_.Host();
    auto state = hostReported_ ? HostState::Gone : HostState::Starting;
    if (host) {
      state = host->leaving_ ? HostState::Leaving : HostState::Ready;
      hostReported_ = true;
      record_.slots_ = host->slots_;
    }
    if (announcedState_ == state) {
      return;
    }
    announcedState_ = state;
    record_.state_ = state;
    ++record_.sequence_;
    Feed(aNow, dissemination::HostAnnounced{ record_ }, aOut);
    SendLoad(aNow, flows_.Load(aNow), true, aOut);
  }

  TimePoint startedAt_{};
  dissemination::Node node_;
  relay::Agent flows_;
  Hooks hooks_;
  HostRecord record_;
  internal::FlowLog log_;
  std::optional<HostState> announcedState_;
  bool hostReported_{}; ///< A host has reported to this run of the agent.
  relay::LoadReports reports_{ relay::LoadReportsSettings{} };
  std::uint64_t unexpectedMessages_{};
};

RelayAgent::RelayAgent(std::unique_ptr<Parts> aParts)
  : parts_(std::move(aParts))
{
}

RelayAgent::~RelayAgent() = default;

std::vector<RelayAgentAction>
RelayAgent::On(TimePoint aNow, RelayAgentEvent aEvent)
{
  Actions out;
  std::visit([&](auto& aKind) { parts_->Handle(aNow, aKind, out); }, aEvent);
  return out;
}

TimePoint
RelayAgent::NextTimer() const
{
  return std::min({ parts_->node_.NextTimer(),
                    parts_->flows_.NextTimer(),
                    parts_->reports_.Next() });
}

Dump
RelayAgent::State(TimePoint aNow) const
{
  Dump packets;
  for (const auto& row : relay::kAgentCountNames) {
    packets.With(row.name_, parts_->flows_.Count(row.value_));
  }
  const auto load = parts_->flows_.Load(aNow);
  const auto& host = parts_->flows_.Host();
  return Dump()
    .With("role", "agent")
    .With("node", internal::DumpNode(parts_->node_, aNow))
    .With("upstream",
          Dump()
            .With("instance", host ? host->instance_ : std::string())
            .With("alive", parts_->flows_.HostAlive(aNow))
            .With("accepts", load.accepts_)
            .With("slots", std::uint64_t{ load.slots_ })
            .With("busy", std::uint64_t{ load.busy_ })
            .With("flows", std::uint64_t{ load.flows_ }))
    .With("packets", std::move(packets))
    .With("messages_misplaced", parts_->unexpectedMessages_);
}

Dump
RelayAgent::Hosts() const
{
  return internal::DumpHosts(parts_->node_);
}

std::vector<MetricSample>
RelayAgent::Figures(TimePoint aNow) const
{
  const auto load = parts_->flows_.Load(aNow);
  std::vector<MetricSample> samples{
    internal::Gauge(
      "cornelshore_agent_flows", "Flows open at this host.", load.flows_),
    internal::Gauge("cornelshore_agent_requests_in_progress",
                    "Requests that the host has not answered.",
                    load.busy_),
    internal::Gauge("cornelshore_agent_accepts",
                    "1 when the host takes new flows.",
                    load.accepts_ ? 1 : 0),
  };
  internal::AddNodeMetrics(parts_->node_.Dump(aNow), samples);
  for (const auto& row : relay::kAgentCountNames) {
    samples.push_back(internal::Labelled(
      internal::Counter("cornelshore_agent_packets_total",
                        "Packets of flows by what became of them.",
                        parts_->flows_.Count(row.value_)),
      "outcome",
      row.name_));
  }
  return samples;
}

RelayAgent::Builder::Builder(dissemination::NodeSettings aNode,
                             ServiceId aService)
  : NodeBuilder(std::move(aNode), membership::NodeRole::Agent)
  , service_(aService)
{
  node_.interest_ = aService;
  node_.ownRecordOnly_ = true;
}

RelayAgent::Builder&
RelayAgent::Builder::WithCodec(relay::Codec aCodec)
{
  codec_ = std::move(aCodec);
  return *this;
}

RelayAgent::Builder&
RelayAgent::Builder::WithHostSilence(Duration aSilence)
{
  hostReportTimeout_ = aSilence;
  return *this;
}

RelayAgent::Builder&
RelayAgent::Builder::WithReportInterval(Duration aInterval)
{
  reportInterval_ = aInterval;
  return *this;
}

RelayAgent::Builder&
RelayAgent::Builder::WithStart(std::uint64_t aMillis)
{
  startMillis_ = aMillis;
  return *this;
}

absl::StatusOr<std::unique_ptr<RelayAgent>>
RelayAgent::Builder::Build(TimePoint aNow) const
{
  auto node = BuildNode();
  if (!node.ok()) {
    return node.status();
  }
  relay::AgentSettings settings;
  settings.service_ = service_;
  settings.hostReportTimeout_ = hostReportTimeout_;
  settings.startMillis_ = startMillis_;
  settings.reportInterval_ = reportInterval_;
  auto parts = std::make_unique<Parts>(std::move(*node),
                                       relay::Agent(settings, codec_, aNow));
  parts->startedAt_ = aNow;
  parts->hooks_ = hooks_;
  parts->record_.id_ = HostId{ node_.self_.value_ };
  parts->record_.incarnation_ = node_.incarnation_;
  parts->record_.service_ = service_;
  parts->record_.dataCentre_ = node_.dataCentre_;
  parts->record_.agent_ = node_.address_;
  Actions none;
  parts->Feed(aNow, dissemination::SeedsChanged{ seeds_ }, none);
  return std::unique_ptr<RelayAgent>(new RelayAgent(std::move(parts)));
}

} // namespace cornelshore::role
