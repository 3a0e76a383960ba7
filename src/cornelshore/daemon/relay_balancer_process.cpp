#include <utility>

#include <cornelshore/daemon/processes.hpp>

#include <atomic>

#include <cornelshore/daemon/decider.hpp>
#include <cornelshore/daemon/operator_port.hpp>
#include <cornelshore/net/http_server.hpp>
#include <cornelshore/net/udp_socket.hpp>
#include <cornelshore/role/relay_balancer.hpp>
#include <cornelshore/wire/role_hooks.hpp>
#include <platform/api.hpp>
#include <platform/segment_codec.hpp>

namespace cornelshore::daemon {

namespace {

using RelayBalancerDecider = Decider<role::RelayBalancer,
                                     role::RelayBalancerEvent,
                                     role::RelayBalancerAction>;

/** Carries out the actions of a balancer of flows of segments. */
class Carrier
{
public:
  Carrier(SendRing& aOut, net::UdpSocket& aPackets, std::atomic<bool>& aReady)
    : out_(aOut)
    , packets_(aPackets)
    , callerPort_(aPackets.Local().port_)
    , ready_(aReady)
  {
  }

  void operator()(role::SendToNode& aAction)
  {
    out_.Push({ aAction.to_, std::move(aAction.message_) });
  }

  void operator()(relay::ToCaller& aAction)
  {
    auto caller = aAction.key_.caller_;
    caller.port_ = callerPort_;
    out_.Push({ caller, ToCaller{ &packets_, std::move(aAction.packet_) } });
  }

  void operator()(role::ReadyChanged& aAction) { ready_ = aAction.ready_; }
  void operator()(role::Log& aAction) { WriteLog(aAction); }
  void operator()(role::Ended&) { ended_ = true; }

  [[nodiscard]] bool HasEnded() const noexcept { return ended_; }

private:
  SendRing& out_;
  net::UdpSocket& packets_;
  std::uint16_t callerPort_;
  std::atomic<bool>& ready_;
  bool ended_{};
};

} // namespace

absl::Status
RunRelayBalancer(Runtime& aRuntime)
{
  const auto& settings = aRuntime.Settings();
  auto role = role::RelayBalancer::Builder(aRuntime.NodeSettings())
                .WithSeeds(settings.seeds_)
                .WithHooks(wire::RoleHooks())
                .WithCodec(platform::SegmentCodec())
                .WithLink(settings.LinkBytesPerSecond())
                .WithStopLimit(settings.relay_.stopLimit_)
                .Build(Now());
  if (!role.ok()) {
    return role.status();
  }
  const auto packets =
    net::UdpSocket::Open(aRuntime.Context(), settings.relay_.packets_);
  if (!packets.ok()) {
    return packets.status();
  }
  std::atomic<bool> ready{ false };
  const auto readiness = net::HttpServer::Listen(
    aRuntime.Context(),
    settings.relay_.readiness_,
    net::HttpLimits{},
    platform::ReadinessApi([&ready] { return ready.load(); }));
  Carrier carrier(aRuntime.Sender().AddRing(), **packets, ready);
  std::unique_ptr<RelayBalancerDecider> decider;
  decider = std::make_unique<RelayBalancerDecider>(
    aRuntime, *std::move(role), [&](role::RelayBalancerAction& aAction) {
      std::visit([&](auto& aKind) { carrier(aKind); }, aAction);
      if (carrier.HasEnded()) {
        decider->End();
      }
    });
  auto& received = decider->AddRing();
  OperatorPort port(settings, CommonMethods(*decider));
  for (const auto& status : { readiness.status(), port.Start() }) {
    if (!status.ok()) {
      return status;
    }
  }
  (*packets)->StartReceiving([&](const Address&, std::string_view aBytes) {
    received.Push(role::CallerPacket{ std::string(aBytes), Now() });
  });
  aRuntime.Start(
    [&](role::NodeMessage aMessage) { received.Push(std::move(aMessage)); },
    [&] { received.Push(role::StopRequested{}); },
    SendBy::DecidingThread);
  decider->Run();
  port.Stop();
  aRuntime.Stop();
  return absl::OkStatus();
}

} // namespace cornelshore::daemon
