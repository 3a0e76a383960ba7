#include <cstdint>

#include <gtest/gtest.h>

#include "group.hpp"

namespace cornelshore::consensus {
namespace {

constexpr std::uint64_t kSuccessor = 9;
const ReplicaId kSuccessorId{ NodeId{ kSuccessor }, Incarnation{ 200 } };

/** A planned stop is over well before a supervisor kills the process. */
constexpr Duration kStopLimit = milliseconds{ 500 };

Group
FiveVotersAndASuccessor()
{
  auto group = FiveVoters();
  group.Join(kSuccessor, kSuccessorId.disk_.value_);
  group.RunFor(seconds{ 1 });
  return group;
}

void
Acknowledge(Group& aGroup, std::uint64_t aVersion)
{
  const auto token = aGroup.Propose(*aGroup.Leader(), aVersion);
  const auto end = aGroup.Now() + seconds{ 2 };
  while (!aGroup.AnswerTo(token) && aGroup.Now() < end) {
    aGroup.RunFor(milliseconds{ 1 });
  }
  ASSERT_TRUE(aGroup.AnswerTo(token));
  ASSERT_EQ(aGroup.AnswerTo(token)->status_, ProposalStatus::Decided);
}

// A voter stops for good while its successor has caught up, and two others lose
// their disks right after. The group still counted the stopped voter, so that
// the two voters left could neither elect a leader nor admit anybody.
TEST(PlannedStop, CostsNoVoterWhenTwoDisksAreLostRightAfter)
{
  for (std::uint64_t stopped = 1; stopped <= 5; ++stopped) {
    for (std::uint64_t lost = 1; lost <= 5; ++lost) {
      const auto also = lost % 5 + 1;
      if (lost == stopped || also == stopped) {
        continue;
      }
      auto group = FiveVotersAndASuccessor();
      Acknowledge(group, 7);
      EXPECT_EQ(group.StopAndWait(stopped, kStopLimit), true) << stopped;
      for (const auto node : { lost, also }) {
        group.Kill(node);
        group.Join(node, 500);
      }
      group.RunFor(seconds{ 4 });
      ASSERT_TRUE(group.Leader()) << stopped << " " << lost;
      EXPECT_EQ(group.RegisterOf(*group.Leader()).Current().version_.value_,
                7U);
      EXPECT_EQ(group.Voters(), 5U);
      Acknowledge(group, 8);
    }
  }
}

// A leader that stops leaves no gap without a leader of an election timeout.
TEST(PlannedStop, OfTheLeaderTransfersItsLeadership)
{
  auto group = FiveVoters();
  Acknowledge(group, 7);
  const auto stopped = *group.Leader();
  EXPECT_EQ(group.StopAndWait(stopped, kStopLimit), false);
  group.RunFor(milliseconds{ 50 });
  ASSERT_TRUE(group.Leader());
  EXPECT_NE(*group.Leader(), stopped);
  Acknowledge(group, 8);
}

TEST(PlannedStop, WithoutASuccessorKeepsTheVoterForItsReturn)
{
  auto group = FiveVoters();
  const auto stopped = *group.Leader() % 5 + 1;
  EXPECT_EQ(group.StopAndWait(stopped, kStopLimit), false);
  EXPECT_EQ(group.Voters(), 5U);
  group.Restart(stopped);
  group.RunFor(seconds{ 2 });
  EXPECT_EQ(group.Voters(), 5U);
  EXPECT_TRUE(group.TakeFaulted().empty());
}

// Every VM is restarted in turn beside one successor: each comes back with an
// empty disk, since it was replaced, and no replica ends as a removed one.
TEST(PlannedStop, InTurnOfAllVotersKeepsFiveVoters)
{
  auto group = FiveVotersAndASuccessor();
  std::uint64_t disk = 1000;
  for (std::uint64_t stopped = 1; stopped <= 5; ++stopped) {
    const auto replaced = group.StopAndWait(stopped, seconds{ 3 });
    ASSERT_TRUE(replaced) << stopped;
    EXPECT_EQ(group.Voters(), 5U) << stopped;
    if (*replaced) {
      group.Join(stopped, ++disk);
    } else {
      group.Restart(stopped);
    }
    group.RunFor(milliseconds{ 600 });
    EXPECT_TRUE(group.TakeFaulted().empty()) << stopped;
  }
  Acknowledge(group, 7);
}

// Several stop at once beside one successor: one is replaced, the others end
// without being counted out.
TEST(PlannedStop, OfTwoAtOnceReplacesOne)
{
  auto group = FiveVotersAndASuccessor();
  const auto first = *group.Leader() % 5 + 1;
  const auto second = first % 5 + 1;
  group.Stop(first);
  group.Stop(second);
  group.RunFor(kStopLimit);
  const auto stopped = group.TakeStopped();
  ASSERT_EQ(stopped.size(), 2U);
  EXPECT_NE(stopped.at(first), stopped.at(second));
  EXPECT_EQ(group.Voters(), 5U);
}

TEST(PlannedStop, EndsWithoutAQuorum)
{
  auto group = FiveVotersAndASuccessor();
  for (std::uint64_t node = 1; node <= 3; ++node) {
    group.Kill(node);
  }
  EXPECT_EQ(group.StopAndWait(4, seconds{ 3 }), false);
}

TEST(PlannedStop, EndsOnAStalledDisk)
{
  auto group = FiveVotersAndASuccessor();
  const auto stopped = *group.Leader();
  group.Stall(stopped, true);
  EXPECT_TRUE(group.StopAndWait(stopped, seconds{ 3 }));
}

} // namespace
} // namespace cornelshore::consensus
