// Drives a balancer's state machine without a daemon: it learns of two hosts
// and names the same agent for every packet of a flow.
#include <chrono>
#include <cstdio>
#include <vector>

#include <cornelshore/core/target.hpp>
#include <cornelshore/flow/balancer.hpp>

using namespace cornelshore;

int
main()
{
  const auto service = ServiceIdOf("shop-floor");
  std::vector<HostRecord> hosts(2);
  for (std::size_t index = 0; index < hosts.size(); ++index) {
    hosts[index].id_ = HostId{ index + 1 };
    hosts[index].incarnation_ = Incarnation{ 1 };
    hosts[index].service_ = service;
    hosts[index].slots_ = 3;
    hosts[index].state_ = HostState::Ready;
  }
  flow::Balancer balancer;
  TimePoint now{ std::chrono::seconds(1) };
  balancer.Update(now, hosts);

  for (int packet = 0; packet < 3; ++packet) {
    now += std::chrono::milliseconds(20);
    flow::Packet arrived;
    arrived.service_ = service;
    arrived.key_.caller_ = MakeIpv4(0xC0000201U, 4000);
    arrived.key_.service_ = MakeIpv4(0xC633640AU, 443);
    arrived.payload_ = "alarm";
    const auto decision = balancer.OnPacket(now, std::move(arrived));
    const auto* send = std::get_if<flow::Send>(&decision);
    std::printf("packet=%d host=%d\n",
                packet,
                send == nullptr ? 0 : static_cast<int>(send->to_.value_));
  }
}
