#include <utility>

#include <cornelshore/net/upstream_flows.hpp>

#include <chrono>

#include <absl/container/flat_hash_map.h>
#include <boost/asio.hpp>

#include <cornelshore/net/udp_socket.hpp>
#include <cornelshore/wire/ip_packet.hpp>

namespace cornelshore::net {

namespace {

constexpr std::size_t kMostIpFlows = 256 * 1024;

/** One plain datagram flow. */
struct DatagramFlow
{
  std::unique_ptr<UdpSocket> socket_;
  Address returnPath_;
};

/** One flow of IP packets. */
struct IpFlow
{
  Address returnPath_;
  bool callerClosed_{};
  bool upstreamClosed_{};
};

Address
AnyPortLike(const Address& aAddress)
{
  auto any = IsIpv4(aAddress) ? MakeIpv4(0, 0) : Address{};
  any.port_ = 0;
  return any;
}

FlowKey
Reversed(const FlowKey& aKey)
{
  return { aKey.service_, aKey.caller_, aKey.transport_ };
}

} // namespace

class UpstreamFlows::Implementation
{
public:
  Implementation(boost::asio::io_context& aContext,
                 const Address& aFlows,
                 const Address& aGue,
                 Hooks aHooks)
    : context_(aContext)
    , flowsAt_(aFlows)
    , gueAt_(aGue)
    , hooks_(std::move(aHooks))
  {
  }

  absl::Status Open()
  {
    if (gueAt_.port_ == 0) {
      return absl::OkStatus();
    }
    auto socket = UdpSocket::Open(context_, AnyPortLike(gueAt_));
    if (!socket.ok()) {
      return socket.status();
    }
    gue_ = std::move(*socket);
    gue_->StartReceiving([this](const Address& aFrom, std::string_view aBytes) {
      if (aFrom == gueAt_) {
        FromUpstream(aBytes);
      }
    });
    return absl::OkStatus();
  }

  void DeliverDatagram(const FlowKey& aKey,
                       const Address& aReturnPath,
                       std::string_view aPayload)
  {
    auto flow = datagramFlows_.find(aKey);
    if (flow == datagramFlows_.end()) {
      auto socket = OpenFlowSocket(aKey);
      if (!socket) {
        hooks_.refused_(aKey, aReturnPath);
        return;
      }
      flow = datagramFlows_.emplace(aKey, DatagramFlow{}).first;
      flow->second.socket_ = std::move(socket);
    }
    flow->second.returnPath_ = aReturnPath;
    flow->second.socket_->Send(flowsAt_, aPayload);
  }

  void DeliverIpPacket(const FlowKey& aKey,
                       const Address& aReturnPath,
                       std::string_view aPacket)
  {
    if (!gue_ ||
        (ipFlows_.size() >= kMostIpFlows && !ipFlows_.contains(aKey))) {
      hooks_.refused_(aKey, aReturnPath);
      return;
    }
    auto& flow = ipFlows_[aKey];
    flow.returnPath_ = aReturnPath;
    gue_->Send(gueAt_, aPacket);
    if (aKey.transport_ == Transport::Tcp) {
      NoteClosing(aKey, flow, aPacket, flow.callerClosed_);
    }
  }

  void ResetIpPacket(const FlowKey& aKey, const Address& aReturnPath)
  {
    if (gue_ && aKey.transport_ == Transport::Tcp) {
      gue_->Send(aReturnPath,
                 wire::BuildIpPacket(aKey.service_,
                                     aKey.caller_,
                                     Transport::Tcp,
                                     wire::TcpFlags::Rst,
                                     ""));
    }
  }

  void Forget(const FlowKey& aKey)
  {
    datagramFlows_.erase(aKey);
    ipFlows_.erase(aKey);
  }

private:
  std::unique_ptr<UdpSocket> OpenFlowSocket(const FlowKey& aKey)
  {
    if (flowsAt_.port_ == 0 || datagramFlows_.size() >= kMostDatagramFlows) {
      return nullptr;
    }
    auto socket = UdpSocket::Open(context_, AnyPortLike(flowsAt_));
    if (!socket.ok()) {
      return nullptr;
    }
    (*socket)->StartReceiving(
      [this, aKey](const Address& aFrom, std::string_view aBytes) {
        const auto flow = datagramFlows_.find(aKey);
        if (aFrom == flowsAt_ && flow != datagramFlows_.end()) {
          hooks_.answer_(aKey, flow->second.returnPath_, aBytes);
        }
      });
    return std::move(*socket);
  }

  void FromUpstream(std::string_view aBytes)
  {
    const auto packet = wire::ParseIpPacket(aBytes);
    if (!packet.ok()) {
      return;
    }
    const auto key = Reversed(packet->key_);
    const auto flow = ipFlows_.find(key);
    if (flow == ipFlows_.end()) {
      return;
    }
    gue_->Send(flow->second.returnPath_, aBytes);
    if (key.transport_ == Transport::Tcp) {
      NoteClosing(key, flow->second, aBytes, flow->second.upstreamClosed_);
    }
  }

  void NoteClosing(const FlowKey& aKey,
                   IpFlow& aFlow,
                   std::string_view aPacket,
                   bool& aSide)
  {
    const auto packet = wire::ParseIpPacket(aPacket);
    if (!packet.ok() || !packet->closing_) {
      return;
    }
    aSide = true;
    if (packet->reset_ || (aFlow.callerClosed_ && aFlow.upstreamClosed_)) {
      const auto key = aKey;
      ipFlows_.erase(key);
      hooks_.ended_(key);
    }
  }

  boost::asio::io_context& context_;
  Address flowsAt_;
  Address gueAt_;
  Hooks hooks_;
  std::unique_ptr<UdpSocket> gue_;
  absl::flat_hash_map<FlowKey, DatagramFlow> datagramFlows_;
  absl::flat_hash_map<FlowKey, IpFlow> ipFlows_;
};

UpstreamFlows::UpstreamFlows(boost::asio::io_context& aContext,
                             const Address& aFlows,
                             const Address& aGue,
                             Hooks aHooks)
  : implementation_(std::make_shared<Implementation>(aContext,
                                                     aFlows,
                                                     aGue,
                                                     std::move(aHooks)))
{
}

UpstreamFlows::~UpstreamFlows() = default;

absl::Status
UpstreamFlows::Open()
{
  return implementation_->Open();
}

void
UpstreamFlows::DeliverDatagram(const FlowKey& aKey,
                               const Address& aReturnPath,
                               std::string_view aPayload)
{
  implementation_->DeliverDatagram(aKey, aReturnPath, aPayload);
}

void
UpstreamFlows::DeliverIpPacket(const FlowKey& aKey,
                               const Address& aReturnPath,
                               std::string_view aPacket)
{
  implementation_->DeliverIpPacket(aKey, aReturnPath, aPacket);
}

void
UpstreamFlows::ResetIpPacket(const FlowKey& aKey, const Address& aReturnPath)
{
  implementation_->ResetIpPacket(aKey, aReturnPath);
}

void
UpstreamFlows::Forget(const FlowKey& aKey)
{
  implementation_->Forget(aKey);
}

} // namespace cornelshore::net
