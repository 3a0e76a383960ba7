#ifndef CORNELSHORE_TEST_DISSEMINATION_RESTART_FLEET_HPP
#define CORNELSHORE_TEST_DISSEMINATION_RESTART_FLEET_HPP

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include <cornelshore/dissemination/fleet.hpp>

namespace cornelshore::dissemination {

inline constexpr std::size_t kControl = 5;
inline constexpr std::size_t kBalancers = 91;
inline constexpr std::size_t kAgents = 204;
inline constexpr std::size_t kFirstAgent = kControl + kBalancers;
inline constexpr std::uint64_t kSeeds = 2;
inline constexpr std::uint32_t kThinLink =
  250'000; ///< Bytes a second: 2 Mbit/s.

inline bool
IsBalancer(std::size_t aIndex)
{
  return aIndex >= kControl && aIndex < kFirstAgent;
}

/** A fleet of hundreds of VMs whose balancers have thin links, with all hosts
 * known everywhere and a configuration in force.
 * @param aBudgetedLink Bandwidth that balancers' budgets know; 0: none. */
inline Fleet
RunningFleet(std::uint64_t aSeed, std::uint64_t aBudgetedLink = 0)
{
  Fleet fleet(aSeed);
  fleet.bytesPerSecond_ = [](std::size_t aIndex) {
    return IsBalancer(aIndex) ? std::optional(kThinLink) : std::nullopt;
  };
  Fill(fleet, kControl, kBalancers, kAgents);
  for (std::size_t index = 0; index < fleet.Members().size(); ++index) {
    auto& settings = fleet.Members()[index].settings_;
    settings.joiningRoundInterval_ = std::chrono::milliseconds(100);
    const std::uint32_t factor = index < kControl ? 4 : 1;
    settings.bytesPerSecond_ = 40'000 * factor;
    settings.burstBytes_ = 1'000'000 * factor;
    settings.linkBytesPerSecond_ = IsBalancer(index) ? aBudgetedLink : 0;
    fleet.Restart(index);
  }
  for (std::size_t agent = kFirstAgent; agent < kFirstAgent + kAgents;
       ++agent) {
    fleet.Feed(
      agent,
      HostAnnounced{ RecordOf(fleet.Members()[agent], 1, HostState::Ready) });
  }
  std::string routes;
  while (routes.size() < 12'000) {
    routes += std::to_string(fleet.Randomness().Next());
  }
  fleet.Feed(0, ConfigAccepted{ { 1 }, routes });
  fleet.Feed(0, ControlConfirmed{ { 1 }, 1 });
  fleet.RunFor(std::chrono::seconds(20));
  return fleet;
}

/** Restarted balancers that know a share of all hosts and have a configuration
 * in force. */
inline std::size_t
CountCaughtUp(Fleet& aFleet,
              const std::vector<std::size_t>& aRestarted,
              std::size_t aHosts)
{
  return static_cast<std::size_t>(
    std::count_if(aRestarted.begin(), aRestarted.end(), [&](std::size_t aNode) {
      auto& node = aFleet.At(aNode);
      return node.Hosts().All().size() >= aHosts &&
             node.Config() == ConfigVersion{ 1 };
    }));
}

/** @brief Restarts 15 of 91 balancers at once; 95 % of them know 95 % of the
 * hosts within a second, and all of them all hosts within three. */
inline void
RestartsTogether(const std::function<Fleet(std::uint64_t)>& aRunningFleet)
{
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    auto fleet = aRunningFleet(seed);
    std::vector<std::size_t> restarted;
    for (std::size_t index = 0; index < 15; ++index) {
      restarted.push_back(kControl + 6 * index);
      fleet.Restart(restarted.back());
    }
    constexpr auto kMostHosts = kAgents * 95 / 100;
    fleet.RunFor(std::chrono::seconds(1));
    EXPECT_GE(CountCaughtUp(fleet, restarted, kMostHosts) * 100,
              restarted.size() * 95)
      << "seed " << seed;
    fleet.RunFor(std::chrono::seconds(2));
    for (const auto node : restarted) {
      EXPECT_EQ(fleet.At(node).Hosts().All().size(), kAgents) << seed;
      EXPECT_TRUE(fleet.At(node).ConfirmedAt()) << "seed " << seed;
    }
  }
}

} // namespace cornelshore::dissemination

#endif
