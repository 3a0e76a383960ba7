#include <cornelshore/dissemination/node.hpp>

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include <cornelshore/dissemination/fleet.hpp>

namespace cornelshore::dissemination {
namespace {

constexpr std::size_t kControl = 5;
constexpr std::uint64_t kSeeds = 6;
constexpr std::uint32_t kThinLink = 250'000; ///< Bytes a second: 2 Mbit/s.

/** A confirmed configuration is in force everywhere within this time. */
constexpr Duration kPropagationLimit = std::chrono::seconds(3);

/** Control VMs, balancers and agents with the settings of the platform, all
 * joined and with a configuration in force. */
Fleet
RunningFleet(std::uint64_t aSeed, std::size_t aBalancers, std::size_t aAgents)
{
  Fleet fleet(aSeed);
  fleet.bytesPerSecond_ = [aBalancers](std::size_t aIndex) {
    return aIndex >= kControl && aIndex < kControl + aBalancers
             ? std::optional(kThinLink)
             : std::nullopt;
  };
  Fill(fleet, kControl, aBalancers, aAgents);
  for (std::size_t index = 0; index < fleet.Members().size(); ++index) {
    auto& settings = fleet.Members()[index].settings_;
    settings.round_ = std::chrono::milliseconds(500);
    settings.joiningRoundInterval_ = std::chrono::milliseconds(100);
    const std::uint32_t factor = index < kControl ? 10 : 1;
    settings.bytesPerSecond_ = 40'000 * factor;
    settings.burstBytes_ = 1'000'000 * factor;
    if (index >= kControl + aBalancers) {
      settings.maxPeers_ = 64;
    }
    fleet.Restart(index);
  }
  for (auto index = kControl + aBalancers; index < fleet.Members().size();
       ++index) {
    fleet.Feed(
      index,
      HostAnnounced{ RecordOf(fleet.Members()[index], 1, HostState::Ready) });
  }
  fleet.RunFor(std::chrono::seconds(2));
  for (std::size_t control = 0; control < kControl; ++control) {
    fleet.Feed(control, ConfigAccepted{ { 1 }, "version 1" });
    fleet.Feed(control, ControlConfirmed{ { 1 }, 1 });
  }
  fleet.RunFor(std::chrono::seconds(30));
  return fleet;
}

/** Time from the acceptance of a version by all of control until every live
 * process has it in force; the limit when that takes longer. */
Duration
TimeUntilInForce(Fleet& aFleet, std::uint64_t aVersion)
{
  const auto begin = aFleet.Now();
  for (std::size_t control = 0; control < kControl; ++control) {
    aFleet.Feed(
      control,
      ConfigAccepted{ { aVersion }, "version " + std::to_string(aVersion) });
  }
  aFleet.RunUntil(begin + kPropagationLimit, [&aFleet, aVersion] {
    return std::all_of(aFleet.Members().begin(),
                       aFleet.Members().end(),
                       [aVersion](const auto& aMember) {
                         return !aMember.up_ ||
                                aMember.node_.Config().value_ >= aVersion;
                       });
  });
  return aFleet.Now() - begin;
}

// 88 of 91 balancers are lost at once. Records of lost processes were kept for
// hours, changes were sent to random ones of all records, and agents, whose
// tables were full of lost balancers, learned no other: survivors followed an
// old configuration for more than 5 s.
TEST(NodeLosses, SurvivorsFollowAChangeAfterMostBalancersAreLost)
{
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    for (const auto calm : { 0, 7 }) {
      constexpr std::size_t kBalancers = 91;
      auto fleet = RunningFleet(seed, kBalancers, 40);
      for (std::size_t lost = kControl + 3; lost < kControl + kBalancers;
           ++lost) {
        fleet.Members()[lost].up_ = false;
      }
      fleet.RunFor(std::chrono::seconds(calm));
      for (std::uint64_t version = 2; version <= 6; ++version) {
        EXPECT_LT(TimeUntilInForce(fleet, version), kPropagationLimit)
          << "seed " << seed << ", version " << version << ", first change "
          << calm << " s after the loss";
        fleet.RunFor(std::chrono::seconds(1));
      }
    }
  }
}

// The table of an agent is full of balancers that were lost; it must make room
// for those that serve now.
TEST(NodeLosses, AnAgentWhoseKnownBalancersAreAllLostFindsOthers)
{
  constexpr std::size_t kFirstBalancers = 64;
  constexpr std::size_t kAgents = 10;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    auto fleet = RunningFleet(seed, kFirstBalancers, kAgents);
    fleet.RunFor(std::chrono::minutes(10));
    for (std::size_t lost = kControl; lost < kControl + kFirstBalancers;
         ++lost) {
      fleet.Members()[lost].up_ = false;
    }
    NodeSettings settings = fleet.Members()[kControl].settings_;
    for (int added = 0; added < 4; ++added) {
      fleet.Add(settings);
    }
    fleet.RunFor(std::chrono::seconds(3));
    for (std::uint64_t version = 2; version <= 4; ++version) {
      EXPECT_LT(TimeUntilInForce(fleet, version), kPropagationLimit)
        << "seed " << seed << ", version " << version;
    }
  }
}

// A balancer knows nobody for a while, beside seeds that are down; rounds must
// go on once it knows others.
TEST(NodeLosses, ABalancerThatWasAloneTakesPartOnceOthersAreUp)
{
  Fleet fleet(3);
  Fill(fleet, 3, 2, 0);
  for (std::size_t index = 0; index < 4; ++index) {
    fleet.Members()[index].up_ = false;
  }
  fleet.RunFor(std::chrono::minutes(5));
  for (std::size_t index = 0; index < 4; ++index) {
    fleet.Restart(index);
  }
  fleet.Feed(0, ConfigAccepted{ { 1 }, "version 1" });
  fleet.Feed(0, ControlConfirmed{ { 1 }, 1 });
  fleet.RunFor(std::chrono::seconds(30));
  const auto begin = fleet.Now();
  ASSERT_EQ(fleet.At(4).Config().value_, 1U);
  EXPECT_EQ(fleet.At(4).Peers().size(), 5U);
  fleet.RunFor(std::chrono::seconds(10));
  ASSERT_TRUE(fleet.At(4).ConfirmedAt());
  EXPECT_GT(*fleet.At(4).ConfirmedAt(), begin);
}

// A process that was silent and has started again is used as soon as its new
// record is known, though it has sent no message here.
TEST(NodeLosses, ARestartedPeerIsNoLongerSilent)
{
  constexpr std::size_t kRestarted = kControl;
  auto fleet = RunningFleet(1, 3, 0);
  fleet.Members()[kRestarted].up_ = false;
  fleet.RunFor(std::chrono::seconds(20));
  ASSERT_TRUE(fleet.At(0).IsSilent(fleet.Now(), Fleet::IdAt(kRestarted)));
  Message news;
  news.header_.kind_ = MessageKind::Push;
  news.header_.role_ = membership::NodeRole::Control;
  PeerUpdate update;
  update.record_ = { Fleet::IdAt(kRestarted),
                     Incarnation{ 9 },
                     1,
                     membership::NodeRole::Balancer,
                     {},
                     Fleet::AddressAt(kRestarted),
                     false };
  news.peers_.push_back(update);
  fleet.Feed(0, Received{ Fleet::IdAt(1), Fleet::AddressAt(1), news });
  EXPECT_FALSE(fleet.At(0).IsSilent(fleet.Now(), Fleet::IdAt(kRestarted)));
}

// An agent that receives a packet routed by a newer version requests it from
// the balancer that relayed the packet, whatever partners it has.
TEST(NodeLosses, AnAgentRequestsTheVersionThatAPacketWasRoutedBy)
{
  constexpr std::size_t kBalancer = kControl;
  constexpr std::size_t kAgent = kControl + 3;
  auto fleet = RunningFleet(1, 3, 1);
  for (std::size_t index = 0; index < kAgent; ++index) {
    fleet.Members()[index].up_ = index == kBalancer;
  }
  fleet.fate_ = [](std::size_t, std::size_t) { return Fleet::Fate{ 0, {} }; };
  fleet.Feed(kBalancer, ConfigAccepted{ { 2 }, "version 2" });
  fleet.RunFor(std::chrono::seconds(10));
  ASSERT_EQ(fleet.At(kAgent).Config().value_, 1U);
  fleet.fate_ = [](std::size_t, std::size_t) { return Fleet::Fate{}; };
  fleet.Feed(
    kAgent,
    VersionSeen{ Fleet::IdAt(kBalancer), Fleet::AddressAt(kBalancer), { 2 } });
  fleet.RunFor(std::chrono::milliseconds(10));
  EXPECT_EQ(fleet.At(kAgent).Config().value_, 2U);
}

} // namespace
} // namespace cornelshore::dissemination
