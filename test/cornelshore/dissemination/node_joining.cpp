#include <cornelshore/dissemination/node.hpp>

#include <algorithm>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include <cornelshore/dissemination/fleet.hpp>

namespace cornelshore::dissemination {
namespace {

using membership::NodeRole;

/** Control and balancers start partitioned from each other. */
void
StartInHalves(Fleet& aFleet, Duration aCutFor)
{
  constexpr std::size_t kControl = 3;
  aFleet.fate_ = [](std::size_t aFrom, std::size_t aTo) {
    const bool apart = (aFrom < kControl) != (aTo < kControl);
    return Fleet::Fate{ apart ? 0U : 1U, std::chrono::milliseconds(1) };
  };
  aFleet.seeds_ = 2 * kControl;
  Fill(aFleet, kControl, 3, 4);
  aFleet.RunFor(aCutFor);
  EXPECT_EQ(aFleet.At(0).Peers().size(), kControl);
  EXPECT_EQ(aFleet.At(kControl).Peers().size(), kControl);
  aFleet.fate_ = [](std::size_t, std::size_t) { return Fleet::Fate{}; };
}

TEST(Node, HalvesThatStartedWithoutHearingEachOtherMeet)
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Fleet fleet(seed);
    StartInHalves(fleet, std::chrono::seconds(5));
    fleet.Feed(0, ConfigAccepted{ { 1 }, "routes" });
    fleet.Feed(0, ControlConfirmed{ { 1 }, 1 });
    constexpr auto kInForceWithin = std::chrono::seconds(8);
    fleet.RunFor(kInForceWithin);
    for (auto& member : fleet.Members()) {
      EXPECT_EQ(member.node_.Config().value_, 1U)
        << "seed " << seed << " node " << member.settings_.self_.value_;
    }
  }
}

TEST(Node, HalvesThatBothRunMeet)
{
  Fleet fleet(23);
  StartInHalves(fleet, std::chrono::seconds(5));
  fleet.Feed(0, ConfigAccepted{ { 1 }, "routes" });
  fleet.Feed(0, ControlConfirmed{ { 1 }, 1 });
  fleet.Feed(3, ConfigAccepted{ { 1 }, "routes" });
  fleet.RunFor(std::chrono::seconds(30));
  for (std::size_t index = 0; index < 6; ++index) {
    EXPECT_EQ(fleet.At(index).Peers().size(), 6U) << index;
  }
}

TEST(Node, AsksNoSeedsOnceAllAreItsPeers)
{
  Fleet fleet(29);
  Fill(fleet, 3, 4, 0);
  fleet.Feed(0, ConfigAccepted{ { 1 }, "routes" });
  fleet.Feed(0, ControlConfirmed{ { 1 }, 1 });
  fleet.RunFor(std::chrono::seconds(20));
  std::uint64_t rounds = 0;
  std::uint64_t toSeeds = 0;
  for (int second = 1; second <= 60; ++second) {
    const auto now = fleet.Now() + std::chrono::seconds(second);
    for (const auto& action : fleet.At(3).On(now, Tick{})) {
      const auto* send = std::get_if<Send>(&action);
      rounds += send != nullptr ? 1U : 0U;
      toSeeds += send != nullptr && send->to_ == NodeId{} ? 1U : 0U;
    }
  }
  EXPECT_GT(rounds, 0U);
  EXPECT_EQ(toSeeds, 0U);
}

TEST(Node, NewcomersAreInStepOnlyOnceTheyHoldEveryRecord)
{
  Fleet fleet(7);
  Fill(fleet, 3, 12, 30);
  std::vector<HostRecord> records;
  for (const auto& member : fleet.Members()) {
    if (member.settings_.role_ == NodeRole::Agent) {
      records.push_back(RecordOf(member, 1, HostState::Ready));
    }
  }
  for (std::size_t index = 0; index < records.size(); ++index) {
    fleet.Feed(15 + index, HostAnnounced{ records[index] });
  }
  fleet.RunFor(std::chrono::seconds(60));
  for (const std::size_t restarted : { 3U, 4U, 5U, 6U }) {
    fleet.Restart(restarted);
  }
  const auto end = fleet.Now() + std::chrono::seconds(30);
  std::size_t early = 0;
  fleet.RunUntil(end, [&] {
    for (const std::size_t restarted : { 3U, 4U, 5U, 6U }) {
      auto& node = fleet.At(restarted);
      early += node.ConfirmedAt() && node.Hosts().All().size() < records.size();
    }
    return early != 0;
  });
  EXPECT_EQ(early, 0U);
  for (const std::size_t restarted : { 3U, 4U, 5U, 6U }) {
    EXPECT_TRUE(fleet.At(restarted).ConfirmedAt());
  }
}

TEST(Node, AFleetThatStartsAtOnceJoinsWithinItsBytes)
{
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    Fleet fleet(seed);
    Fill(fleet, 5, 20, 40);
    for (std::size_t index = 0; index < fleet.Members().size(); ++index) {
      auto& member = fleet.Members()[index];
      member.settings_.joiningRoundInterval_ = std::chrono::milliseconds(100);
      fleet.Restart(index);
      if (index >= 25) {
        fleet.Feed(index,
                   HostAnnounced{ RecordOf(member, 1, HostState::Ready) });
      }
    }
    fleet.RunFor(std::chrono::seconds(30));
    for (std::size_t control = 0; control < 5; ++control) {
      fleet.Feed(control, ConfigAccepted{ { 1 }, std::string(6000, 'r') });
    }
    fleet.Feed(0, ControlConfirmed{ { 1 }, 1 });
    fleet.RunFor(std::chrono::seconds(8));
    for (auto& member : fleet.Members()) {
      EXPECT_EQ(member.node_.Config().value_, 1U)
        << "seed " << seed << " node " << member.settings_.self_.value_;
    }
    for (std::size_t node = 0; node < 25; ++node) {
      EXPECT_EQ(fleet.At(node).Hosts().All().size(), 40U) << "seed " << seed;
      EXPECT_TRUE(fleet.At(node).ConfirmedAt()) << "seed " << seed;
    }
  }
}

TEST(Node, NewcomersThatStartTogetherDoNotTakeEachOthersLittleForAll)
{
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    Fleet fleet(seed);
    Fill(fleet, 5, 20, 40);
    for (auto& member : fleet.Members()) {
      member.settings_.joiningRoundInterval_ = std::chrono::milliseconds(100);
      member.settings_.bytesPerSecond_ = 40'000;
      member.settings_.burstBytes_ = 1'000'000;
    }
    for (std::size_t index = 0; index < fleet.Members().size(); ++index) {
      fleet.Restart(index);
    }
    for (std::size_t agent = 25; agent < 65; ++agent) {
      fleet.Feed(
        agent,
        HostAnnounced{ RecordOf(fleet.Members()[agent], 1, HostState::Ready) });
    }
    fleet.Feed(0, ConfigAccepted{ { 1 }, "routes" });
    fleet.Feed(0, ControlConfirmed{ { 1 }, 1 });
    fleet.RunFor(std::chrono::seconds(20));
    const std::vector<std::size_t> newcomers{ 20, 21, 22, 23, 24 };
    for (const auto newcomer : newcomers) {
      fleet.Restart(newcomer);
    }
    std::size_t early = 0;
    fleet.RunUntil(fleet.Now() + std::chrono::seconds(10), [&] {
      for (const auto newcomer : newcomers) {
        auto& node = fleet.At(newcomer);
        early += node.ConfirmedAt() && node.Hosts().All().size() < 40 ? 1U : 0U;
      }
      return early != 0;
    });
    EXPECT_EQ(early, 0U) << "seed " << seed;
    for (const auto newcomer : newcomers) {
      EXPECT_TRUE(fleet.At(newcomer).ConfirmedAt()) << "seed " << seed;
    }
  }
}

TEST(Node, BringsAConfigurationInForceSoonOnceControlConfirmsIt)
{
  Fleet fleet(11);
  Fill(fleet, 5, 12, 0);
  for (auto& member : fleet.Members()) {
    member.settings_.joiningRoundInterval_ = std::chrono::milliseconds(100);
  }
  for (std::size_t index = 0; index < fleet.Members().size(); ++index) {
    fleet.Restart(index);
  }
  for (std::size_t control = 0; control < 5; ++control) {
    fleet.Feed(control, ConfigAccepted{ ConfigVersion{ 3 }, "routes" });
  }
  fleet.RunFor(std::chrono::milliseconds(900));
  for (std::size_t index = 5; index < 17; ++index) {
    EXPECT_EQ(fleet.At(index).Config(), ConfigVersion{});
  }
  fleet.Feed(2, ControlConfirmed{ ConfigVersion{ 3 }, 1 });
  fleet.RunFor(std::chrono::milliseconds(150));
  for (std::size_t index = 5; index < 17; ++index) {
    EXPECT_EQ(fleet.At(index).Config(), ConfigVersion{ 3 }) << index;
  }
}

TEST(Node, IsInStepSoonAfterAllRestarted)
{
  Fleet fleet(13);
  Fill(fleet, 5, 11, 15);
  for (auto& member : fleet.Members()) {
    member.settings_.joiningRoundInterval_ = std::chrono::milliseconds(100);
  }
  fleet.RunFor(std::chrono::seconds(5));
  for (int run = 0; run < 20; ++run) {
    for (std::size_t index = 0; index < fleet.Members().size(); ++index) {
      fleet.Restart(index);
    }
    for (std::size_t control = 0; control < 5; ++control) {
      fleet.Feed(control, ConfigAccepted{ ConfigVersion{ 3 }, "routes" });
    }
    fleet.RunFor(std::chrono::milliseconds(300));
    for (std::size_t agent = 16; agent < 31; ++agent) {
      fleet.Feed(
        agent,
        HostAnnounced{ RecordOf(fleet.Members()[agent], 1, HostState::Ready) });
    }
    fleet.Feed(2, ControlConfirmed{ ConfigVersion{ 3 }, 1 });
    constexpr auto kLastFirstTick = std::chrono::milliseconds(1000);
    constexpr auto kSettles = std::chrono::milliseconds(2000);
    fleet.RunFor(kLastFirstTick + kSettles + std::chrono::milliseconds(100));
    for (std::size_t balancer = 5; balancer < 16; ++balancer) {
      EXPECT_TRUE(fleet.At(balancer).ConfirmedAt()) << run << " " << balancer;
    }
  }
}

TEST(Node, GoesBackToNormalRoundsWhenItMeetsTooFewOthers)
{
  Fleet fleet(17);
  Fill(fleet, 3, 5, 0);
  for (auto& member : fleet.Members()) {
    member.settings_.joiningRoundInterval_ = std::chrono::milliseconds(100);
  }
  fleet.Feed(0, ConfigAccepted{ ConfigVersion{ 1 }, "routes" });
  fleet.Feed(0, ControlConfirmed{ ConfigVersion{ 1 }, 1 });
  fleet.RunFor(std::chrono::seconds(5));
  constexpr std::size_t kRestarted = 6;
  constexpr std::size_t kOnlyOther = 0;
  fleet.fate_ = [](std::size_t aFrom, std::size_t aTo) {
    const auto cut = (aTo == kRestarted && aFrom != kOnlyOther) ||
                     (aFrom == kRestarted && aTo != kOnlyOther);
    return Fleet::Fate{ cut ? 0U : 1U, std::chrono::milliseconds(1) };
  };
  fleet.Restart(kRestarted);
  fleet.RunFor(std::chrono::seconds(5));
  EXPECT_EQ(fleet.At(kRestarted).Config(), ConfigVersion{ 1 });
  EXPECT_FALSE(fleet.At(kRestarted).ConfirmedAt());
  const auto before = fleet.Members()[kRestarted].sent_;
  fleet.RunFor(std::chrono::seconds(10));
  constexpr std::uint64_t kRounds = 10;
  constexpr std::uint64_t kMostARound = 3 * 250;
  EXPECT_LE(fleet.Members()[kRestarted].sent_ - before, kRounds * kMostARound);
}

// Guards against seeds that spend all their bytes on comparing records with
// newcomers: most of a fleet that started at once knew the seeds only, for
// good.
TEST(NodeJoining, AFleetThatItsSeedsCannotServeAtOnceKnowsAllHosts)
{
  constexpr std::size_t kControl = 5;
  constexpr std::size_t kBalancers = 300;
  constexpr std::size_t kAgents = 600;
  constexpr std::size_t kFirstAgent = kControl + kBalancers;
  for (const std::uint64_t link : { 0, 250'000 }) {
    Fleet fleet(5);
    Fill(fleet, kControl, kBalancers, kAgents);
    for (std::size_t index = 0; index < fleet.Members().size(); ++index) {
      auto& settings = fleet.Members()[index].settings_;
      settings.round_ = std::chrono::milliseconds(500);
      settings.joiningRoundInterval_ = std::chrono::milliseconds(100);
      settings.bytesPerSecond_ = index < kControl ? 10'000 : 40'000;
      settings.burstBytes_ = index < kControl ? 250'000 : 1'000'000;
      settings.linkBytesPerSecond_ = link;
      settings.ownRecordOnly_ = index >= kFirstAgent;
      fleet.Restart(index);
    }
    for (auto agent = kFirstAgent; agent < kFirstAgent + kAgents; ++agent) {
      fleet.Feed(
        agent,
        HostAnnounced{ RecordOf(fleet.Members()[agent], 1, HostState::Ready) });
    }
    fleet.RunFor(std::chrono::seconds(30));
    std::size_t complete = 0;
    for (std::size_t index = kControl; index < kFirstAgent; ++index) {
      complete += fleet.At(index).Hosts().size() == kAgents ? 1U : 0U;
    }
    EXPECT_EQ(complete, kBalancers) << "link " << link;
  }
}

} // namespace
} // namespace cornelshore::dissemination
