#include <utility>

#include <cornelshore/daemon/processes.hpp>

#include <map>

#include <cornelshore/core/target.hpp>
#include <cornelshore/daemon/decider.hpp>
#include <cornelshore/daemon/operator_port.hpp>
#include <cornelshore/net/http_server.hpp>
#include <cornelshore/net/udp_socket.hpp>
#include <cornelshore/role/relay_agent.hpp>
#include <cornelshore/wire/role_hooks.hpp>
#include <platform/api.hpp>
#include <platform/heartbeat.hpp>
#include <platform/segment_codec.hpp>

namespace cornelshore::daemon {

namespace {

using RelayAgentDecider =
  Decider<role::RelayAgent, role::RelayAgentEvent, role::RelayAgentAction>;

/** Missed reports after which an upstream is taken for dead. */
constexpr int kReportsMissed = 3;

/** Maximum time in which the reports accepted before a stop get an answer. */
constexpr std::chrono::milliseconds kFinishLimit{ 100 };

/** Sockets between the agent and the host beside it. */
struct HostSide
{
  std::unique_ptr<net::UdpSocket> packets_; ///< Sends to callers.
  std::unique_ptr<net::UdpSocket> outbound_;
};

/** The upstream's reports that wait for the deciding thread's answer. */
class WaitingReports
{
public:
  using Done = platform::UpstreamApi::Done;

  std::uint64_t Add(Done aDone)
  {
    waiting_.emplace(++last_, std::move(aDone));
    return last_;
  }

  void Answer(const role::ReportResult& aAnswer)
  {
    const auto found = waiting_.find(aAnswer.token_);
    if (found != waiting_.end()) {
      const auto done = std::move(found->second);
      waiting_.erase(found);
      done(aAnswer.outcome_);
    }
  }

  /** Drops the reports; their callers get 503 and call elsewhere. */
  void Clear() { waiting_.clear(); }

private:
  std::uint64_t last_{};
  std::map<std::uint64_t, Done> waiting_;
};

/** Carries out the actions of an agent of flows of segments. */
class Carrier
{
public:
  Carrier(SendRing& aOut,
          const HostSide& aHost,
          const settings::RelaySettings& aSettings,
          WaitingReports& aReports)
    : out_(aOut)
    , host_(aHost)
    , settings_(aSettings)
    , reports_(aReports)
  {
  }

  void operator()(role::SendToNode& aAction)
  {
    out_.Push({ aAction.to_, std::move(aAction.message_) });
  }

  void operator()(relay::ToHost& aAction)
  {
    out_.Push(
      { settings_.upstream_,
        ToCaller{ host_.outbound_.get(), std::move(aAction.packet_) } });
  }

  void operator()(relay::FromHost& aAction)
  {
    auto caller = aAction.caller_;
    caller.port_ = settings_.packets_.port_;
    out_.Push(
      { caller, ToCaller{ host_.packets_.get(), std::move(aAction.packet_) } });
  }

  void operator()(role::ReportResult& aAction) { reports_.Answer(aAction); }
  void operator()(role::Log& aAction) { WriteLog(aAction); }

  void operator()(role::Ended& aAction)
  {
    ended_ = true;
    log::Write(log::Level::Info,
               log::Event("stopped").With("flows_left", aAction.flowsLeft_));
  }

  [[nodiscard]] bool HasEnded() const noexcept { return ended_; }

private:
  SendRing& out_;
  const HostSide& host_;
  const settings::RelaySettings& settings_;
  WaitingReports& reports_;
  bool ended_{};
};

platform::UpstreamApi::Hooks
ApiHooks(RelayAgentDecider& aDecider, WaitingReports& aReports)
{
  platform::UpstreamApi::Hooks hooks;
  hooks.report_ = [&](const relay::HostReport& aReport,
                      const WaitingReports::Done& aDone) {
    aDecider.Post([&aDecider, &aReports, aReport, aDone](auto, auto&) {
      aDecider.Feed(role::UpstreamReported{ aReports.Add(aDone), aReport });
    });
  };
  hooks.ended_ = [&](const std::string& aInstance,
                     const WaitingReports::Done& aDone) {
    aDecider.Post([&aDecider, &aReports, aInstance, aDone](auto, auto&) {
      aDecider.Feed(
        role::UpstreamInstanceEnded{ aReports.Add(aDone), aInstance });
    });
  };
  return hooks;
}

absl::Status
OpenSockets(Runtime& aRuntime, HostSide& aHost)
{
  const auto& relay = aRuntime.Settings().relay_;
  auto packets = net::UdpSocket::Open(aRuntime.Context(), relay.packets_);
  if (!packets.ok()) {
    return packets.status();
  }
  auto outbound = net::UdpSocket::Open(aRuntime.Context(), relay.outbound_);
  if (!outbound.ok()) {
    return outbound.status();
  }
  aHost.packets_ = *std::move(packets);
  aHost.outbound_ = *std::move(outbound);
  return absl::OkStatus();
}

} // namespace

absl::Status
RunRelayAgent(Runtime& aRuntime)
{
  const auto& settings = aRuntime.Settings();
  auto role =
    role::RelayAgent::Builder(aRuntime.NodeSettings(),
                              ServiceIdOf(settings.relay_.service_))
      .WithSeeds(settings.seeds_)
      .WithHooks(wire::RoleHooks())
      .WithCodec(platform::SegmentCodec())
      .WithHostSilence(settings.relay_.reportInterval_ * kReportsMissed)
      .WithReportInterval(settings.relay_.reportInterval_)
      .WithStart(WallMillis())
      .Build(Now());
  if (!role.ok()) {
    return role.status();
  }
  HostSide host;
  if (auto status = OpenSockets(aRuntime, host); !status.ok()) {
    return status;
  }
  WaitingReports reports;
  Carrier carrier(aRuntime.Sender().AddRing(), host, settings.relay_, reports);
  std::unique_ptr<RelayAgentDecider> decider;
  decider = std::make_unique<RelayAgentDecider>(
    aRuntime, *std::move(role), [&](role::RelayAgentAction& aAction) {
      std::visit([&](auto& aKind) { carrier(aKind); }, aAction);
      if (carrier.HasEnded()) {
        decider->End();
      }
    });
  auto& received = decider->AddRing();
  net::HttpLimits limits;
  limits.bodyBytes_ = platform::kMostHeartbeatBytes;
  const auto api =
    net::HttpServer::Listen(aRuntime.Context(),
                            settings.relay_.reports_,
                            limits,
                            platform::UpstreamApi(ApiHooks(*decider, reports)));
  const auto readiness =
    net::HttpServer::Listen(aRuntime.Context(),
                            settings.relay_.readiness_,
                            net::HttpLimits{},
                            platform::ReadinessApi([] { return true; }));
  OperatorPort port(settings, CommonMethods(*decider));
  for (const auto& status :
       { api.status(), readiness.status(), port.Start() }) {
    if (!status.ok()) {
      return status;
    }
  }
  host.outbound_->StartReceiving([&](const Address&, std::string_view aBytes) {
    received.Push(role::UpstreamPacket{ std::string(aBytes) });
  });
  aRuntime.Start(
    [&](role::NodeMessage aMessage) { received.Push(std::move(aMessage)); },
    [&] { received.Push(role::StopRequested{}); },
    SendBy::DecidingThread);
  decider->Run();
  reports.Clear();
  (*api)->Finish(kFinishLimit);
  port.Stop();
  aRuntime.Stop();
  return absl::OkStatus();
}

} // namespace cornelshore::daemon
