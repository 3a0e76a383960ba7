#ifndef CORNELSHORE_BENCH_SUPPORT_BALANCER_FLEET_HPP
#define CORNELSHORE_BENCH_SUPPORT_BALANCER_FLEET_HPP

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <cornelshore/core/target.hpp>
#include <cornelshore/role/balancer.hpp>
#include <cornelshore/wire/role_hooks.hpp>

namespace cornelshore::bench {

inline constexpr TimePoint kFleetStart{ std::chrono::hours{ 1 } };
inline constexpr std::uint16_t kFleetSlots = 4;

/** @brief Service of an address in the measured fleet. */
inline ServiceId
FleetService(std::size_t aAddress)
{
  return ServiceIdOf("service-" + std::to_string(aAddress));
}

/** @brief A ready host of one address; hosts are dealt to addresses in turn. */
inline HostRecord
FleetHost(std::size_t aIndex, std::size_t aAddresses)
{
  HostRecord record;
  record.id_ = HostId{ 1'000'000 + aIndex };
  record.incarnation_ = Incarnation{ 1 };
  record.sequence_ = 2;
  record.service_ = FleetService(aIndex % aAddresses);
  record.dataCentre_ = DataCentreId{ static_cast<std::uint32_t>(aIndex % 12) };
  record.agent_ =
    MakeIpv4(0x0A000000U + static_cast<std::uint32_t>(aIndex), 7000);
  record.slots_ = kFleetSlots;
  record.connectionLimit_ = 2000;
  record.state_ = HostState::Ready;
  return record;
}

/** @brief A balancer that has heard of all hosts by news of another process. */
inline std::unique_ptr<role::Balancer>
FleetBalancer(std::size_t aAddresses, std::size_t aHosts)
{
  constexpr std::size_t kHostsAMessage = 16;
  dissemination::NodeSettings node;
  node.self_ = NodeId{ 1 };
  node.incarnation_ = Incarnation{ 1 };
  node.dataCentre_ = DataCentreId{ 1 };
  node.address_ = MakeIpv4(0x7F000001U, 7000);
  node.seed_ = 1;
  auto balancer = *role::Balancer::Builder(node)
                     .WithSeeds({ MakeIpv4(0x7F000001U, 7001) })
                     .WithHooks(wire::RoleHooks())
                     .Build(kFleetStart);
  for (std::size_t first = 0; first < aHosts; first += kHostsAMessage) {
    dissemination::Message news;
    news.header_.incarnation_ = Incarnation{ 1 };
    news.header_.kind_ = dissemination::MessageKind::Push;
    const auto last = std::min(aHosts, first + kHostsAMessage);
    for (auto index = first; index < last; ++index) {
      news.hosts_.push_back({ FleetHost(index, aAddresses), Duration{} });
    }
    static_cast<void>(
      balancer->On(kFleetStart,
                   role::NodeMessage{ NodeId{ 2 },
                                      Incarnation{ 1 },
                                      MakeIpv4(0x7F000001U, 7001),
                                      std::move(news) }));
  }
  return balancer;
}

/** @brief Services of the first so many addresses, by address. */
inline std::vector<ServiceId>
FleetServices(std::size_t aAddresses)
{
  std::vector<ServiceId> services;
  services.reserve(aAddresses);
  for (std::size_t address = 0; address < aAddresses; ++address) {
    services.push_back(FleetService(address));
  }
  return services;
}

/** @brief Packet of one of many flows to one of the addresses. */
inline flow::Packet
FleetPacket(std::uint64_t aNumber,
            const std::vector<ServiceId>& aServices,
            std::string aPayload)
{
  flow::Packet packet;
  const auto address = aNumber % aServices.size();
  packet.service_ = aServices[address];
  packet.key_.caller_ =
    MakeIpv4(0xC0000200U + static_cast<std::uint32_t>(aNumber % 250),
             static_cast<std::uint16_t>(1024 + aNumber % 50'000));
  packet.key_.service_ =
    MakeIpv4(0xC6336400U, static_cast<std::uint16_t>(1 + address));
  packet.opening_ = flow::Opening::Maybe;
  packet.returnPath_ = MakeIpv4(0x7F000001U, 7000);
  packet.payload_ = std::move(aPayload);
  return packet;
}

} // namespace cornelshore::bench

#endif
