#include <cornelshore/dissemination/node.hpp>

#include <algorithm>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include <cornelshore/dissemination/restart_fleet.hpp>

namespace cornelshore::dissemination {
namespace {

// Load pattern: a planned restart of 15 of 91 balancers at once while the
// others serve. Control VMs were the only senders that the restarted ones knew,
// and had spent their bytes: most knew 4 of 204 hosts for several seconds.
TEST(NodeRestart, BalancersRestartedTogetherKnowTheFleetWithinASecond)
{
  RestartsTogether([](std::uint64_t aSeed) { return RunningFleet(aSeed); });
}

// Load pattern: most of the fleet is killed at once and starts again at once.
TEST(NodeRestart, MostOfTheFleetKilledTogetherIsBackWithinThreeSeconds)
{
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    auto fleet = RunningFleet(seed);
    std::vector<std::size_t> restarted;
    for (std::size_t index = kControl; index < kFirstAgent + kAgents; ++index) {
      if (index % 5 >= 2) {
        continue;
      }
      fleet.Restart(index);
      if (IsBalancer(index)) {
        restarted.push_back(index);
      } else {
        fleet.Feed(index,
                   HostAnnounced{
                     RecordOf(fleet.Members()[index], 1, HostState::Ready) });
      }
    }
    for (std::size_t index = kControl; index < kFirstAgent; ++index) {
      if (index % 5 == 2) {
        fleet.Restart(index);
        restarted.push_back(index);
      }
    }
    fleet.RunFor(std::chrono::seconds(3));
    EXPECT_EQ(CountCaughtUp(fleet, restarted, kAgents), restarted.size())
      << "seed " << seed;
  }
}

// A batch of the snapshot that arrives in part is requested again, from another
// node, and nothing of it is taken for whole.
TEST(NodeRestart, ALossyLinkDelaysTheSnapshotAndLosesNoRecord)
{
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    auto fleet = RunningFleet(seed);
    fleet.fate_ = [&fleet](std::size_t, std::size_t) {
      return Fleet::Fate{ fleet.Randomness().Below(5) == 0 ? 0U : 1U,
                          std::chrono::milliseconds(1) };
    };
    const std::vector<std::size_t> restarted{ 10, 20, 30, 40 };
    for (const auto node : restarted) {
      fleet.Restart(node);
    }
    std::size_t early = 0;
    fleet.RunUntil(fleet.Now() + std::chrono::seconds(10), [&] {
      for (const auto node : restarted) {
        early += fleet.At(node).ConfirmedAt() &&
                     fleet.At(node).Hosts().All().size() < kAgents
                   ? 1U
                   : 0U;
      }
      return early != 0;
    });
    EXPECT_EQ(early, 0U) << "seed " << seed;
    EXPECT_EQ(CountCaughtUp(fleet, restarted, kAgents), restarted.size())
      << "seed " << seed;
  }
}

// A process restarts beside a node that was cut off while a host left. That
// node still holds the host as ready; its snapshot must not count as in step,
// and the host must not stay in use once others are reached.
TEST(NodeRestart, ASnapshotOfACutOffNodeBringsNoHostBackThatHasLeft)
{
  constexpr std::size_t kCutOff = 0;
  constexpr std::size_t kRestarted = kControl + 4;
  auto fleet = RunningFleet(4);
  fleet.fate_ = [](std::size_t aFrom, std::size_t aTo) {
    const bool cut = aFrom == kCutOff || aTo == kCutOff;
    return Fleet::Fate{ cut ? 0U : 1U, std::chrono::milliseconds(1) };
  };
  const auto left = RecordOf(fleet.Members()[kFirstAgent], 2, HostState::Gone);
  fleet.Feed(kFirstAgent, HostAnnounced{ left });
  fleet.RunFor(std::chrono::seconds(6));
  const auto stateAt = [&](std::size_t aNode) {
    const auto* host = fleet.At(aNode).Hosts().Find(left.id_);
    return host == nullptr ? HostState::Gone : host->state_;
  };
  ASSERT_EQ(stateAt(kCutOff), HostState::Ready);
  ASSERT_EQ(stateAt(kRestarted), HostState::Gone);
  fleet.fate_ = [](std::size_t aFrom, std::size_t aTo) {
    const bool pair = (aFrom == kCutOff && aTo == kRestarted) ||
                      (aFrom == kRestarted && aTo == kCutOff);
    const bool cut = aFrom == kCutOff || aTo == kCutOff ||
                     aFrom == kRestarted || aTo == kRestarted;
    return Fleet::Fate{ cut && !pair ? 0U : 1U, std::chrono::milliseconds(1) };
  };
  fleet.Restart(kRestarted);
  fleet.RunFor(std::chrono::seconds(5));
  EXPECT_EQ(stateAt(kRestarted), HostState::Ready);
  EXPECT_FALSE(fleet.At(kRestarted).ConfirmedAt());
  fleet.fate_ = [](std::size_t, std::size_t) { return Fleet::Fate{}; };
  fleet.RunFor(std::chrono::seconds(5));
  EXPECT_EQ(stateAt(kRestarted), HostState::Gone);
  EXPECT_TRUE(fleet.At(kRestarted).ConfirmedAt());
}

// While control has no leader the fleet waits for a configuration; that must
// not use up the bytes which the restarts after it need.
TEST(NodeRestart, WaitingForAConfigurationLeavesMostOfTheBudget)
{
  Fleet fleet(9);
  Fill(fleet, kControl, 20, 40);
  for (std::size_t index = 0; index < fleet.Members().size(); ++index) {
    auto& settings = fleet.Members()[index].settings_;
    settings.joiningRoundInterval_ = std::chrono::milliseconds(100);
    settings.bytesPerSecond_ = 40'000;
    settings.burstBytes_ = 1'000'000;
    fleet.Restart(index);
  }
  fleet.RunFor(std::chrono::seconds(10));
  for (auto& member : fleet.Members()) {
    EXPECT_EQ(member.node_.Dump(fleet.Now()).sendsThrottled_, 0U)
      << member.settings_.self_.value_;
  }
}

} // namespace
} // namespace cornelshore::dissemination
