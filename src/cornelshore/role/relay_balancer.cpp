#include <cornelshore/role/relay_balancer.hpp>

#include <algorithm>
#include <optional>
#include <utility>

#include <cornelshore/role/figures.hpp>
#include <cornelshore/role/flow_log.hpp>
#include <cornelshore/role/host_dump.hpp>

namespace cornelshore::role {

namespace {

using Actions = std::vector<RelayBalancerAction>;

/** After a restart: maximum wait for the host records to be synchronised with
 * peers before packets are accepted regardless. */
constexpr Duration kHostSyncTimeout = std::chrono::seconds{ 3 };

/** Minimum time for which a stopping balancer keeps serving: the fabric checks
 * readiness twice a second and reacts to the second failed check. */
constexpr Duration kMinDrainTime = std::chrono::milliseconds{ 1700 };

/** Part of the stop limit reserved for the exit of the process itself. */
constexpr Duration kStopMargin = std::chrono::milliseconds{ 700 };

/** Rate limit of reset log events; a day with only planned changes has a few
 * resets, a flood thousands. */
constexpr std::uint32_t kMaxResetLogsPerSecond = 20;

/** Time without caller packets after which a stopping balancer exits. */
constexpr Duration kQuietPeriod = std::chrono::milliseconds{ 700 };

/** Bytes of a relayed message around its payload: IP and UDP headers, seal,
 * fields. */
constexpr std::size_t kEnvelopeBytes = 96;

} // namespace

struct RelayBalancer::Parts
{
  Parts(dissemination::Node aNode, relay::Balancer aFlows)
    : node_(std::move(aNode))
    , flows_(std::move(aFlows))
  {
  }

  void Feed(TimePoint aNow, const dissemination::Event& aEvent, Actions& aOut)
  {
    for (auto& action : node_.On(aNow, aEvent)) {
      std::visit([&](auto& aAction) { Execute(aNow, aAction, aOut); }, action);
    }
    if (const auto syncedAt = node_.ConfirmedAt()) {
      flows_.NoteSynced(*syncedAt);
      LogFirstSync(aNow, aOut);
    }
  }

  void Execute(TimePoint, dissemination::Send& aSend, Actions& aOut)
  {
    aOut.emplace_back(SendToNode{ aSend.address_, std::move(aSend.message_) });
  }

  void Execute(TimePoint aNow,
               dissemination::HostsChanged& aChange,
               Actions& aOut)
  {
    flows_.UpdateHosts(aNow, aChange.records_);
    for (const auto& record : aChange.records_) {
      aOut.emplace_back(
        Log{ Severity::Info,
             "host_changed",
             { { "host", internal::HexOf(record.id_.value_) },
               { "agent", ToString(record.agent_) },
               { "state", std::string(NameIn(kHostStateNames, record.state_)) },
               { "sequence", std::to_string(record.sequence_) } } });
    }
  }

  void Execute(TimePoint, dissemination::PeersChanged&, Actions&) {}

  void Execute(TimePoint aNow,
               dissemination::ConfigChanged& aChange,
               Actions& aOut)
  {
    const auto version = std::to_string(aChange.version_.value_);
    const auto configuration = hooks_.decode_(aChange.bytes_);
    if (!configuration.ok()) {
      aOut.emplace_back(Log{ Severity::Error,
                             "configuration_unreadable",
                             { { "version", version } } });
      return;
    }
    flows_.UpdateRoutes(aNow, *configuration);
    configuredAt_ = configuredAt_.value_or(aNow);
    aOut.emplace_back(
      Log{ Severity::Info,
           "configuration_in_force",
           { { "version", version },
             { "routes", std::to_string(configuration->routes_.size()) },
             { "confirmed", aChange.confirmed_ ? "yes" : "no" } } });
  }

  void Execute(TimePoint aNow, relay::Balancer::Actions aActions, Actions& aOut)
  {
    for (auto& action : aActions) {
      if (auto* send = std::get_if<relay::ToAgent>(&action)) {
        NoteSent(aNow, send->relayedPacket_.packet_.size());
        aOut.emplace_back(SendToNode{
          send->agent_, relay::Message(std::move(send->relayedPacket_)) });
      } else if (const auto* decision =
                   std::get_if<relay::FlowDecision>(&action)) {
        for (auto& line : log_.LinesOf(aNow, *decision)) {
          aOut.emplace_back(std::move(line));
        }
      } else if (auto* query = std::get_if<relay::QueryAgent>(&action)) {
        NoteSent(aNow,
                 query->query_.items_.size() * sizeof(relay::Query::Item));
        aOut.emplace_back(SendToNode{
          query->agent_, relay::Message(std::move(query->query_)) });
      } else if (const auto* watch = std::get_if<relay::WatchAgent>(&action)) {
        NoteSent(aNow, 0);
        aOut.emplace_back(
          SendToNode{ watch->agent_, relay::Message(watch->watch_) });
      } else {
        auto& reset = std::get<relay::ToCaller>(action);
        LogReset(aNow, reset, aOut);
        aOut.emplace_back(std::move(reset));
      }
    }
  }

  void NoteSent(TimePoint aNow, std::size_t aPayloadBytes)
  {
    node_.NoteOtherTraffic(aNow, kEnvelopeBytes + aPayloadBytes);
  }

  void LogFirstSync(TimePoint aNow, Actions& aOut)
  {
    if (std::exchange(loggedFirstSync_, true)) {
      return;
    }
    aOut.emplace_back(
      Log{ Severity::Info,
           "host_records_synchronised",
           { { "hosts", std::to_string(flows_.Hosts()) },
             { "peers", std::to_string(node_.Dump(aNow).peers_) },
             { "uptime_ms", internal::MillisOf(aNow - startedAt_) } } });
  }

  /** Logs each reset up to a rate limit and counts the suppressed ones. */
  void LogReset(TimePoint aNow, const relay::ToCaller& aReset, Actions& aOut)
  {
    if (aNow - resetLogWindowStart_ >= std::chrono::seconds{ 1 }) {
      if (suppressedResetLogs_ > 0) {
        aOut.emplace_back(
          Log{ Severity::Warning,
               "resets_not_logged",
               { { "count", std::to_string(suppressedResetLogs_) } } });
      }
      resetLogWindowStart_ = aNow;
      resetLogs_ = suppressedResetLogs_ = 0;
    }
    if (resetLogs_ >= kMaxResetLogsPerSecond) {
      ++suppressedResetLogs_;
      return;
    }
    ++resetLogs_;
    Log line{
      Severity::Warning,
      "flow_reset",
      { { "caller", ToString(aReset.key_.caller_) },
        { "service_address", ToString(aReset.key_.service_) },
        { "reason",
          std::string(NameIn(relay::kResetReasonNames, aReset.reason_)) },
        { "config_version", std::to_string(flows_.Routes().Version().value_) },
        { "hosts", std::to_string(flows_.Hosts()) } }
    };
    if (const auto& search = aReset.search_) {
      line.fields_.emplace_back("searched_ms",
                                internal::MillisOf(search->searched_));
      line.fields_.emplace_back("sync_age_ms",
                                internal::MillisOf(search->syncAge_));
      line.fields_.emplace_back("uptime_ms",
                                internal::MillisOf(search->uptime_));
    }
    aOut.emplace_back(std::move(line));
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
    if (message == nullptr) {
      ++unexpectedMessages_;
      return;
    }
    const HostId host{ aEvent.from_.value_ };
    if (auto* answer = std::get_if<relay::Answer>(message)) {
      relay::Balancer::Actions actions;
      flows_.OnAnswer(aNow, host, std::move(*answer), actions);
      Execute(aNow, std::move(actions), aOut);
    } else if (const auto* queryAnswer =
                 std::get_if<relay::QueryAnswer>(message)) {
      relay::Balancer::Actions actions;
      flows_.OnAnswer(aNow, host, *queryAnswer, actions);
      Execute(aNow, std::move(actions), aOut);
    } else if (const auto* load = std::get_if<relay::HostLoad>(message)) {
      flows_.OnLoad(aNow, host, *load);
    } else {
      ++unexpectedMessages_;
    }
  }

  void Handle(TimePoint aNow, CallerPacket& aEvent, Actions& aOut)
  {
    if (flows_.Sheds(aNow, aEvent.receivedAt_, aEvent.packet_)) {
      return;
    }
    relay::Balancer::Actions actions;
    flows_.OnPacket(aNow, std::move(aEvent.packet_), actions);
    Execute(aNow, std::move(actions), aOut);
  }

  void Handle(TimePoint aNow, StopRequested&, Actions& aOut)
  {
    if (!stopRequestedAt_) {
      stopRequestedAt_ = aNow;
      Feed(aNow, dissemination::SelfAnnounced{ address_, true }, aOut);
    }
  }

  void Handle(TimePoint aNow, Tick&, Actions& aOut)
  {
    if (node_.NextTimer() <= aNow) {
      Feed(aNow, dissemination::Tick{}, aOut);
    }
    if (flows_.NextTimer() <= aNow) {
      relay::Balancer::Actions actions;
      flows_.Tick(aNow, actions);
      Execute(aNow, std::move(actions), aOut);
    }
    if (stopRequestedAt_ && StopDeadline() <= aNow) {
      aOut.emplace_back(Ended{});
    }
  }

  void CheckReady(TimePoint aNow, Actions& aOut)
  {
    const auto ready =
      !stopRequestedAt_ && configuredAt_ &&
      (node_.ConfirmedAt() || aNow - *configuredAt_ > kHostSyncTimeout);
    if (ready != ready_) {
      ready_ = ready;
      aOut.emplace_back(ReadyChanged{ ready });
      aOut.emplace_back(Log{ Severity::Info,
                             "readiness_changed",
                             { { "ready", ready ? "yes" : "no" } } });
    }
  }

  /** Time at which a stopping balancer may exit. */
  [[nodiscard]] TimePoint StopDeadline() const
  {
    const auto quiet = std::max(*stopRequestedAt_ + kMinDrainTime,
                                flows_.LastPacket() + kQuietPeriod);
    return std::min(quiet, *stopRequestedAt_ + stopLimit_ - kStopMargin);
  }

  dissemination::Node node_;
  relay::Balancer flows_;
  Hooks hooks_;
  Address address_;
  Duration stopLimit_{};
  std::optional<TimePoint> configuredAt_;
  std::optional<TimePoint> stopRequestedAt_;
  bool ready_{};
  TimePoint startedAt_{};
  bool loggedFirstSync_{};
  std::uint64_t unexpectedMessages_{};
  internal::FlowLog log_;
  TimePoint resetLogWindowStart_{};
  std::uint32_t resetLogs_{};
  std::uint32_t suppressedResetLogs_{};
};

RelayBalancer::RelayBalancer(std::unique_ptr<Parts> aParts)
  : parts_(std::move(aParts))
{
}

RelayBalancer::~RelayBalancer() = default;

std::vector<RelayBalancerAction>
RelayBalancer::On(TimePoint aNow, RelayBalancerEvent aEvent)
{
  Actions out;
  std::visit([&](auto& aKind) { parts_->Handle(aNow, aKind, out); }, aEvent);
  parts_->CheckReady(aNow, out);
  return out;
}

TimePoint
RelayBalancer::NextTimer() const
{
  const auto next =
    std::min(parts_->node_.NextTimer(), parts_->flows_.NextTimer());
  return parts_->stopRequestedAt_ ? std::min(next, parts_->StopDeadline())
                                  : next;
}

Dump
RelayBalancer::State(TimePoint aNow) const
{
  Dump packets;
  for (const auto& row : relay::kBalancerCountNames) {
    packets.With(row.name_, parts_->flows_.Count(row.value_));
  }
  return Dump()
    .With("role", "balancer")
    .With("ready", parts_->ready_)
    .With("stopping", parts_->stopRequestedAt_.has_value())
    .With("node", internal::DumpNode(parts_->node_, aNow))
    .With("flows", std::uint64_t{ parts_->flows_.Flows() })
    .With("version", parts_->flows_.Routes().Version().value_)
    .With("packets", std::move(packets))
    .With("messages_misplaced", parts_->unexpectedMessages_);
}

Dump
RelayBalancer::Hosts() const
{
  return internal::DumpHosts(parts_->node_);
}

std::vector<MetricSample>
RelayBalancer::Figures(TimePoint aNow) const
{
  std::vector<MetricSample> samples{
    internal::Gauge("cornelshore_balancer_flows",
                    "Flows that a host is remembered for.",
                    parts_->flows_.Flows()),
    internal::Gauge("cornelshore_balancer_ready",
                    "1 when the fabric should send packets here.",
                    parts_->ready_ ? 1 : 0),
  };
  internal::AddNodeMetrics(parts_->node_.Dump(aNow), samples);
  for (const auto& row : relay::kBalancerCountNames) {
    samples.push_back(internal::Labelled(
      internal::Counter("cornelshore_balancer_packets_total",
                        "Packets of callers by what became of them.",
                        parts_->flows_.Count(row.value_)),
      "outcome",
      row.name_));
  }
  return samples;
}

RelayBalancer::Builder::Builder(dissemination::NodeSettings aNode)
  : NodeBuilder(std::move(aNode), membership::NodeRole::Balancer)
{
}

RelayBalancer::Builder&
RelayBalancer::Builder::WithCodec(relay::Codec aCodec)
{
  codec_ = std::move(aCodec);
  return *this;
}

RelayBalancer::Builder&
RelayBalancer::Builder::WithLink(std::uint64_t aBytesPerSecond)
{
  node_.linkBytesPerSecond_ = aBytesPerSecond;
  return *this;
}

RelayBalancer::Builder&
RelayBalancer::Builder::WithStopLimit(Duration aLimit)
{
  stopLimit_ = aLimit;
  return *this;
}

absl::StatusOr<std::unique_ptr<RelayBalancer>>
RelayBalancer::Builder::Build(TimePoint aNow) const
{
  auto node = BuildNode();
  if (!node.ok()) {
    return node.status();
  }
  relay::BalancerSettings settings;
  settings.hosts_.dataCentre_ = node_.dataCentre_;
  settings.seed_ = node_.seed_;
  if (node_.linkBytesPerSecond_ > 0) {
    relay::ScaleSearchTo(node_.linkBytesPerSecond_, settings);
  }
  auto parts = std::make_unique<Parts>(std::move(*node),
                                       relay::Balancer(settings, codec_));
  parts->hooks_ = hooks_;
  parts->address_ = node_.address_;
  parts->stopLimit_ = stopLimit_;
  parts->startedAt_ = aNow;
  Actions none;
  parts->Feed(aNow, dissemination::SeedsChanged{ seeds_ }, none);
  return std::unique_ptr<RelayBalancer>(new RelayBalancer(std::move(parts)));
}

} // namespace cornelshore::role
