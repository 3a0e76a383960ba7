#include <utility>

#include <cornelshore/daemon/processes.hpp>

#include <map>

#include <cornelshore/core/target.hpp>
#include <cornelshore/daemon/decider.hpp>
#include <cornelshore/daemon/operator_port.hpp>
#include <cornelshore/role/balancer.hpp>
#include <cornelshore/wire/ip_packet.hpp>
#include <cornelshore/wire/reader.hpp>
#include <cornelshore/wire/request_codec.hpp>
#include <cornelshore/wire/role_hooks.hpp>
#include <cornelshore/wire/writer.hpp>

namespace cornelshore::daemon {

namespace {

using BalancerDecider =
  Decider<role::Balancer, role::BalancerEvent, role::BalancerAction>;

/** Service and class that an address stands for. */
struct Listener
{
  Address address_;
  ServiceId service_;
  ClassId class_;
  std::unique_ptr<net::UdpSocket> socket_; ///< For plain datagrams.
};

/** Sockets of a balancer towards callers and the fabric. */
class CallerSide
{
public:
  CallerSide(Runtime& aRuntime, BalancerDecider::EventRing& aEvents)
    : runtime_(aRuntime)
    , events_(aEvents)
  {
  }

  absl::Status Open()
  {
    const auto& settings = runtime_.Settings().balancer_;
    for (const auto& listener : settings.listeners_) {
      auto status = OpenListener(listener);
      if (!status.ok()) {
        return status;
      }
    }
    const auto gue = OpenSocket(settings.gue_, gue_);
    return gue.ok() ? OpenSocket(settings.requests_, requests_) : gue;
  }

  void Start()
  {
    for (auto& [address, listener] : listeners_) {
      if (listener.socket_) {
        StartListener(listener);
      }
    }
    if (gue_) {
      gue_->StartReceiving(
        [this](const Address& aFrom, std::string_view aBytes) {
          OnIpPacket(aFrom, aBytes);
        });
    }
    if (requests_) {
      requests_->StartReceiving(
        [this](const Address& aFrom, std::string_view aBytes) {
          OnRequest(aFrom, aBytes);
        });
    }
  }

  /** Socket that answers the callers of an address; null when none does. */
  [[nodiscard]] net::UdpSocket* SocketOf(const Address& aService) const
  {
    const auto found = listeners_.find(aService);
    return found == listeners_.end() ? nullptr : found->second.socket_.get();
  }

  [[nodiscard]] net::UdpSocket* Requests() const { return requests_.get(); }

private:
  absl::Status OpenSocket(const Address& aAddress,
                          std::unique_ptr<net::UdpSocket>& aOut)
  {
    if (aAddress.port_ == 0) {
      return absl::OkStatus();
    }
    auto socket = net::UdpSocket::Open(runtime_.Context(), aAddress);
    if (!socket.ok()) {
      return socket.status();
    }
    aOut = std::move(*socket);
    return absl::OkStatus();
  }

  absl::Status OpenListener(const settings::FlowListener& aSettings)
  {
    auto& listener = listeners_[aSettings.address_];
    listener.address_ = aSettings.address_;
    listener.service_ = ServiceIdOf(aSettings.service_);
    listener.class_ = ClassIdOf(aSettings.service_, aSettings.class_);
    return OpenSocket(aSettings.listen_, listener.socket_);
  }

  void StartListener(const Listener& aListener)
  {
    aListener.socket_->StartReceiving(
      [this, &aListener](const Address& aFrom, std::string_view aBytes) {
        flow::Packet packet;
        packet.service_ = aListener.service_;
        packet.class_ = aListener.class_;
        packet.key_ = { aFrom, aListener.address_, Transport::Udp };
        packet.opening_ = flow::Opening::Maybe;
        packet.kind_ = flow::PayloadKind::Datagram;
        packet.returnPath_ = runtime_.Settings().node_;
        packet.payload_ = std::string(aBytes);
        events_.Push(std::move(packet));
      });
  }

  void OnIpPacket(const Address& aFrom, std::string_view aBytes)
  {
    const auto facts = wire::ParseIpPacket(aBytes);
    if (!facts.ok()) {
      ++malformed_;
      return;
    }
    const auto listener = listeners_.find(facts->key_.service_);
    if (listener == listeners_.end()) {
      ++malformed_;
      return;
    }
    flow::Packet packet;
    packet.service_ = listener->second.service_;
    packet.class_ = listener->second.class_;
    packet.key_ = facts->key_;
    packet.opening_ = OpeningOf(*facts);
    packet.kind_ = flow::PayloadKind::IpPacket;
    packet.returnPath_ = aFrom;
    packet.payload_ = std::string(aBytes);
    events_.Push(std::move(packet));
  }

  static flow::Opening OpeningOf(const wire::IpPacket& aPacket)
  {
    if (aPacket.key_.transport_ == Transport::Udp) {
      return flow::Opening::Maybe;
    }
    return aPacket.opening_ ? flow::Opening::Yes : flow::Opening::No;
  }

  void OnRequest(const Address& aFrom, std::string_view aBytes)
  {
    wire::Reader reader(aBytes);
    auto message = request::Decode(reader);
    if (!message.ok()) {
      ++malformed_;
      return;
    }
    events_.Push(role::CallerMessage{ aFrom, *std::move(message) });
  }

  Runtime& runtime_;
  BalancerDecider::EventRing& events_;
  std::map<Address, Listener> listeners_;
  std::unique_ptr<net::UdpSocket> gue_;
  std::unique_ptr<net::UdpSocket> requests_;
  std::uint64_t malformed_{};
};

/** Carries out a balancer's actions. */
class Carrier
{
public:
  Carrier(SendRing& aOut, const std::unique_ptr<CallerSide>& aCallers)
    : out_(aOut)
    , callers_(aCallers)
  {
  }

  void operator()(role::SendToNode& aAction)
  {
    out_.Push({ aAction.to_, std::move(aAction.message_) });
  }

  void operator()(role::SendFlowAnswer& aAction)
  {
    auto& answer = aAction.answer_;
    if (auto* socket = callers_->SocketOf(answer.key_.service_)) {
      out_.Push({ answer.key_.caller_,
                  ToCaller{ socket, std::move(answer.payload_) } });
    }
  }

  void operator()(request::SendToCaller& aAction)
  {
    if (auto* socket = callers_->Requests()) {
      std::string bytes;
      wire::Writer writer(bytes);
      request::Encode(writer, aAction.message_);
      out_.Push({ aAction.to_, ToCaller{ socket, std::move(bytes) } });
    }
  }

  void operator()(role::Log& aAction) { WriteLog(aAction); }

  void operator()(role::Ended&) { ended_ = true; }

  [[nodiscard]] bool HasEnded() const noexcept { return ended_; }

private:
  SendRing& out_;
  const std::unique_ptr<CallerSide>& callers_;
  bool ended_{};
};

Methods
MethodsOf(BalancerDecider& aDecider)
{
  auto methods = CommonMethods(aDecider);
  methods["flows"] = methods["state"];
  return methods;
}

} // namespace

absl::Status
RunBalancer(Runtime& aRuntime)
{
  auto role = role::Balancer::Builder(aRuntime.NodeSettings())
                .WithSeeds(aRuntime.Settings().seeds_)
                .WithHooks(wire::RoleHooks())
                .Build(Now());
  if (!role.ok()) {
    return role.status();
  }
  std::unique_ptr<CallerSide> callers;
  Carrier carrier(aRuntime.Sender().AddRing(), callers);
  std::unique_ptr<BalancerDecider> decider;
  decider = std::make_unique<BalancerDecider>(
    aRuntime, *std::move(role), [&](role::BalancerAction& aAction) {
      std::visit([&](auto& aKind) { carrier(aKind); }, aAction);
      if (carrier.HasEnded()) {
        decider->End();
      }
    });
  auto& received = decider->AddRing();
  callers = std::make_unique<CallerSide>(aRuntime, received);
  OperatorPort port(aRuntime.Settings(), MethodsOf(*decider));
  for (const auto& status : { callers->Open(), port.Start() }) {
    if (!status.ok()) {
      return status;
    }
  }
  callers->Start();
  aRuntime.Start(
    [&](role::NodeMessage aMessage) { received.Push(std::move(aMessage)); },
    [&] { received.Push(role::StopRequested{}); });
  decider->Run();
  port.Stop();
  aRuntime.Stop();
  return absl::OkStatus();
}

} // namespace cornelshore::daemon
