#include <cornelshore/dissemination/node.hpp>

#include <algorithm>

#include <gtest/gtest.h>

#include <cornelshore/dissemination/fleet.hpp>

namespace cornelshore::dissemination {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kControl = 3;
constexpr std::size_t kBalancers = 8;
constexpr std::size_t kAgents = 12;
constexpr std::size_t kFirstAgent = kControl + kBalancers;

/** A fleet whose agents hold their own host's record only, with all hosts
 * ready. */
Fleet
RunningFleet()
{
  Fleet fleet(5);
  Fill(fleet, kControl, kBalancers, kAgents);
  for (std::size_t agent = kFirstAgent; agent < kFirstAgent + kAgents;
       ++agent) {
    auto& member = fleet.Members()[agent];
    member.settings_.ownRecordOnly_ = true;
    fleet.Restart(agent);
    fleet.Feed(agent, HostAnnounced{ RecordOf(member, 1, HostState::Ready) });
  }
  fleet.RunFor(seconds(15));
  return fleet;
}

std::size_t
CountKnowing(Fleet& aFleet, const HostRecord& aRecord)
{
  std::size_t count = 0;
  for (std::size_t index = 0; index < kFirstAgent; ++index) {
    const auto* held = aFleet.At(index).Hosts().Find(aRecord.id_);
    count += held != nullptr && held->state_ == aRecord.state_ ? 1U : 0U;
  }
  return count;
}

TEST(NodeOwnRecord, AnAgentHoldsItsOwnRecordAndBalancersHoldAll)
{
  auto fleet = RunningFleet();
  for (std::size_t index = 0; index < kFirstAgent; ++index) {
    EXPECT_EQ(fleet.At(index).Hosts().size(), kAgents) << index;
  }
  for (std::size_t agent = kFirstAgent; agent < kFirstAgent + kAgents;
       ++agent) {
    EXPECT_EQ(fleet.At(agent).Hosts().size(), 1U) << agent;
    EXPECT_TRUE(fleet.At(agent).ConfirmedAt()) << agent;
  }
}

// Guards against a cost of each change that grows with the number of agents.
TEST(NodeOwnRecord, AChangeOfOneHostCostsTheAgentsOfOthersNothing)
{
  auto fleet = RunningFleet();
  const auto receivedByOthers = [&fleet] {
    std::uint64_t bytes = 0;
    for (std::size_t agent = kFirstAgent + 1; agent < kFirstAgent + kAgents;
         ++agent) {
      bytes += fleet.Members()[agent].received_;
    }
    return bytes;
  };
  const auto before = receivedByOthers();
  fleet.RunFor(seconds(10));
  const auto calm = receivedByOthers() - before;
  for (std::uint64_t change = 0; change < 10; ++change) {
    const auto state = change % 2 == 0 ? HostState::Leaving : HostState::Ready;
    fleet.Feed(kFirstAgent,
               HostAnnounced{
                 RecordOf(fleet.Members()[kFirstAgent], 2 + change, state) });
    fleet.RunFor(seconds(1));
  }
  EXPECT_LE(receivedByOthers() - before - calm, calm * 11 / 10);
}

// Guards against a record that stays unknown because its pushes were lost.
TEST(NodeOwnRecord, ARecordWhosePushesWereLostIsRepaired)
{
  auto fleet = RunningFleet();
  const auto leaving =
    RecordOf(fleet.Members()[kFirstAgent], 2, HostState::Leaving);
  fleet.fate_ = [](std::size_t aFrom, std::size_t) {
    return Fleet::Fate{ aFrom == kFirstAgent ? 0U : 1U, milliseconds(1) };
  };
  fleet.Feed(kFirstAgent, HostAnnounced{ leaving });
  fleet.RunFor(seconds(5));
  ASSERT_EQ(CountKnowing(fleet, leaving), 0U);
  fleet.fate_ = [](std::size_t, std::size_t) { return Fleet::Fate{}; };
  fleet.RunFor(seconds(8));
  EXPECT_EQ(CountKnowing(fleet, leaving), kFirstAgent);
}

// An agent's clock stepped back between two runs: the record of the earlier one
// supersedes that of the later one until the agent learns of it.
TEST(NodeOwnRecord, AnAgentLearnsOfANewerRecordOfItself)
{
  auto fleet = RunningFleet();
  auto& member = fleet.Members()[kFirstAgent];
  auto ahead = RecordOf(member, 1, HostState::Ready);
  ahead.incarnation_ = Incarnation{ 1'000 };
  fleet.Feed(0, HostAnnounced{ ahead });
  fleet.RunFor(seconds(8));
  const auto* held = fleet.At(kFirstAgent).Hosts().Find(ahead.id_);
  ASSERT_NE(held, nullptr);
  EXPECT_EQ(held->incarnation_, ahead.incarnation_);
}

/** Bytes that a balancer sends more because of one host that joins, on links of
 * 2 Mbit/s. */
std::uint64_t
BytesOfAJoin(std::size_t aBalancers, std::size_t aAgents)
{
  constexpr std::size_t kJoins = 10;
  Fleet fleet(5);
  Fill(fleet, kControl, aBalancers, aAgents + kJoins);
  const auto firstAgent = kControl + aBalancers;
  const auto start = [&](std::size_t aIndex) {
    fleet.Restart(aIndex);
    if (aIndex >= firstAgent) {
      fleet.Feed(aIndex,
                 HostAnnounced{
                   RecordOf(fleet.Members()[aIndex], 1, HostState::Ready) });
    }
  };
  for (std::size_t index = 0; index < fleet.Members().size(); ++index) {
    auto& settings = fleet.Members()[index].settings_;
    settings.round_ = milliseconds(500);
    settings.joiningRoundInterval_ = milliseconds(100);
    settings.bytesPerSecond_ = index < kControl ? 400'000 : 40'000;
    settings.burstBytes_ = index < kControl ? 4'000'000 : 1'000'000;
    settings.linkBytesPerSecond_ = index < kControl ? 0 : 250'000;
    settings.ownRecordOnly_ = index >= firstAgent;
    fleet.Members()[index].up_ = index < firstAgent + aAgents;
    if (fleet.Members()[index].up_) {
      start(index);
    }
  }
  fleet.RunFor(seconds(25));
  const auto sentIn = [&](Duration aLength) {
    const auto total = [&] {
      std::uint64_t bytes = 0;
      for (auto index = kControl; index < firstAgent; ++index) {
        bytes += fleet.Members()[index].sent_;
      }
      return bytes;
    };
    const auto before = total();
    fleet.RunFor(aLength);
    return total() - before;
  };
  const auto calm = sentIn(seconds(6));
  for (std::size_t join = 0; join < kJoins; ++join) {
    start(firstAgent + aAgents + join);
  }
  const auto busy = sentIn(seconds(6));
  for (std::size_t index = 0; index < firstAgent; ++index) {
    EXPECT_EQ(fleet.At(index).Hosts().size(), aAgents + kJoins);
  }
  return (busy - std::min(busy, calm)) / aBalancers / kJoins;
}

// Guards against a cost of joins that grows with the fleet.
TEST(NodeOwnRecord, AJoinCostsEachBalancerTheSameInFleetsOfAnySize)
{
  const auto small = BytesOfAJoin(10, 20);
  EXPECT_GT(small, 0U);
  EXPECT_LE(BytesOfAJoin(91, 204), small * 5 / 4);
  EXPECT_LE(BytesOfAJoin(300, 700), small * 5 / 4);
}

} // namespace
} // namespace cornelshore::dissemination
