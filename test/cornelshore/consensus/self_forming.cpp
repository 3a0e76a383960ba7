#include <algorithm>

#include <gtest/gtest.h>

#include "group.hpp"

namespace cornelshore::consensus {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::uint64_t
OtherThan(std::uint64_t aNode)
{
  return aNode % 5 + 1;
}

TEST(SelfForming, GrowsFromItsSeedsToTheVotersWanted)
{
  Group group(3);
  group.RunFor(seconds{ 2 });
  EXPECT_EQ(group.Voters(), 3U);
  group.Join(4, 100);
  group.Join(5, 100);
  group.Join(6, 100);
  group.RunFor(seconds{ 3 });
  EXPECT_EQ(group.Voters(), 5U);
  EXPECT_EQ(group.Members().members_.size(), 6U);
}

TEST(SelfForming, ReplacesAVoterThatIsGoneByOneAtAnotherAddress)
{
  auto group = FiveVoters();
  const auto gone = OtherThan(*group.Leader());
  group.Kill(gone);
  group.Join(9, 200);
  group.RunFor(seconds{ 4 });
  const auto members = group.Members();
  EXPECT_EQ(members.Voters(), 5U);
  EXPECT_TRUE(members.IsVoter({ NodeId{ 9 }, Incarnation{ 200 } }));
}

TEST(SelfForming, TakesAWipedVoterBackAsAnotherReplica)
{
  auto group = FiveVoters();
  const auto wiped = OtherThan(*group.Leader());
  group.Kill(wiped);
  group.Join(wiped, 300);
  group.RunFor(seconds{ 3 });
  const auto members = group.Members();
  EXPECT_EQ(members.Voters(), 5U);
  EXPECT_TRUE(members.IsVoter({ NodeId{ wiped }, Incarnation{ 300 } }));
}

// A VM loses its disk twice; the wall clock had stepped back in between, and
// the second disk got a lower number. It was ignored for good.
TEST(SelfForming, TakesAVoterBackWhateverTheNumberOfItsDisk)
{
  auto group = FiveVoters();
  const auto wiped = OtherThan(*group.Leader());
  for (const std::uint64_t disk : { 300U, 200U, 250U }) {
    group.Kill(wiped);
    group.Join(wiped, disk);
    group.RunFor(seconds{ 3 });
    const auto members = group.Members();
    EXPECT_EQ(members.Voters(), 5U);
    EXPECT_TRUE(members.IsVoter({ NodeId{ wiped }, Incarnation{ disk } }));
  }
}

// A VM that starts empty knows control VMs that are gone and one member, which
// does not lead. Only the leader acted on its request, and nobody passed it on.
TEST(SelfForming, AdmitsAReplicaThatReachesOnlyAMemberThatDoesNotLead)
{
  auto group = FiveVoters();
  const auto reached = OtherThan(*group.Leader());
  std::vector<NodeId> known;
  for (std::uint64_t gone = 60; gone < 60 + kMaxMembers - 1; ++gone) {
    known.push_back(NodeId{ gone });
  }
  known.push_back(NodeId{ reached });
  group.SetSeeds({ NodeId{ 90 }, NodeId{ 91 }, NodeId{ 92 } });
  group.SetDiscovery([known] { return known; });
  group.Join(9, 200);
  group.RunFor(seconds{ 2 });
  EXPECT_NE(group.Members().Find({ NodeId{ 9 }, Incarnation{ 200 } }), nullptr);
}

// Each VM that replaces others is lost again before it votes, until lost
// learners take all places of the group.
TEST(SelfForming, AdmitsAReplicaWhenLostLearnersTakeAllPlaces)
{
  auto group = FiveVoters();
  for (std::uint64_t node = 20; node < 40; ++node) {
    group.Join(node, 100);
    group.RunFor(milliseconds{ 500 });
    group.Kill(node);
  }
  group.Join(50, 100);
  group.RunFor(seconds{ 2 });
  EXPECT_NE(group.Members().Find({ NodeId{ 50 }, Incarnation{ 100 } }),
            nullptr);
  EXPECT_LE(group.Members().members_.size(), kMaxMembers);
}

TEST(SelfForming, KeepsAVoterThatIsSilentForAMomentOnly)
{
  auto group = FiveVoters();
  const auto silent = OtherThan(*group.Leader());
  group.Join(9, 200);
  group.RunFor(seconds{ 1 });
  group.Kill(silent);
  group.RunFor(seconds{ 1 });
  group.Restart(silent);
  group.RunFor(seconds{ 2 });
  const auto members = group.Members().members_;
  EXPECT_TRUE(
    std::any_of(members.begin(), members.end(), [&](const Member& aMember) {
      return aMember.id_.node_.value_ == silent &&
             aMember.role_ == MemberRole::Voter;
    }));
}

TEST(SelfForming, AcknowledgesOnlyWhatIsOnOneDiskMoreThanMayBeLost)
{
  Group group(3);
  group.RunFor(seconds{ 1 });
  const auto leader = *group.Leader();
  const auto stalled = leader % 3 + 1;
  group.Stall(stalled, true);
  const auto token = group.Propose(leader, 7);
  group.RunFor(milliseconds{ 300 });
  EXPECT_EQ(group.DisksWith(7), 2U);
  EXPECT_FALSE(group.AnswerTo(token));
  group.Join(4, 100);
  group.RunFor(seconds{ 1 });
  ASSERT_TRUE(group.AnswerTo(token));
  EXPECT_EQ(group.AnswerTo(token)->status_, ProposalStatus::Decided);
  EXPECT_GE(group.DisksWith(7), 3U);
}

// A change is committed by two of three voters and not yet on three disks. Sent
// again, to the leader or to another member, it was acknowledged at once.
TEST(SelfForming, AcknowledgesAChangeSentAgainOnlyOnceEnoughDisksHoldIt)
{
  Group group(3);
  group.RunFor(seconds{ 1 });
  const auto leader = *group.Leader();
  const auto stalled = leader % 3 + 1;
  const auto other = stalled % 3 + 1;
  group.Stall(stalled, true);
  const auto first = group.Propose(leader, 7);
  group.RunFor(milliseconds{ 200 });
  ASSERT_EQ(group.RegisterOf(leader).Current().version_.value_, 7U);
  const auto atLeader = group.Resend(leader);
  const auto atOther = group.Resend(other);
  group.RunFor(milliseconds{ 200 });
  for (const auto token : { first, atLeader, atOther }) {
    EXPECT_FALSE(group.AnswerTo(token));
  }
  group.Join(4, 100);
  group.RunFor(seconds{ 1 });
  for (const auto token : { first, atLeader, atOther }) {
    ASSERT_TRUE(group.AnswerTo(token));
    EXPECT_EQ(group.AnswerTo(token)->status_, ProposalStatus::Decided);
  }
}

TEST(SelfForming, KeepsWhatItAcknowledgedWhenTwoDisksAreLostAndAllLosePower)
{
  for (std::uint64_t lost = 1; lost <= 5; ++lost) {
    auto group = FiveVoters();
    const auto leader = *group.Leader();
    const auto token = group.Propose(leader, 7);
    while (!group.AnswerTo(token)) {
      group.RunFor(milliseconds{ 1 });
    }
    const auto also = OtherThan(lost);
    for (std::uint64_t node = 1; node <= 5; ++node) {
      group.Kill(node);
    }
    for (std::uint64_t node = 1; node <= 5; ++node) {
      if (node == lost || node == also) {
        group.Join(node, 500);
      } else {
        group.Restart(node);
      }
    }
    group.RunFor(seconds{ 4 });
    ASSERT_TRUE(group.Leader()) << lost;
    EXPECT_EQ(group.Voters(), 5U) << lost;
    EXPECT_EQ(group.RegisterOf(*group.Leader()).Current().version_.value_, 7U)
      << lost;
  }
}

TEST(SelfForming, ElectsSoonAfterAllRestarted)
{
  auto group = FiveVoters();
  for (std::uint64_t node = 1; node <= 5; ++node) {
    group.Kill(node);
    group.Restart(node);
  }
  group.RunFor(milliseconds{ 900 });
  EXPECT_TRUE(group.Leader());
}

TEST(SelfForming, ElectsAsSoonAsAQuorumIsBack)
{
  for (std::uint64_t third = 3; third <= 5; ++third) {
    auto group = FiveVoters();
    for (std::uint64_t node = 1; node <= 5; ++node) {
      group.Kill(node);
    }
    group.Restart(1);
    group.Restart(2);
    group.RunFor(milliseconds{ 2000 + 70 * third });
    EXPECT_FALSE(group.Leader());
    group.Restart(third);
    group.RunFor(milliseconds{ 180 });
    EXPECT_TRUE(group.Leader()) << third;
  }
}

// Load pattern: all lose power, two of five disks are lost. Every survivor's
// vote is needed; two that campaigned within milliseconds of each other voted
// for themselves, and callers waited for another election timeout.
TEST(SelfForming, SurvivorsOfTwoLostDisksDoNotSplitTheirVotes)
{
  auto group = FiveVoters();
  for (int run = 0; run < 300; ++run) {
    for (std::uint64_t node = 1; node <= 5; ++node) {
      group.Kill(node);
    }
    group.RunFor(milliseconds{ 20 });
    for (std::uint64_t node = 1; node <= 3; ++node) {
      group.Restart(node);
    }
    group.RunFor(milliseconds{ 250 });
    EXPECT_TRUE(group.Leader()) << "run " << run;
  }
}

// Load pattern: the disks of the voters are full one after another, never two
// at once, while changes come. A write that waits for room is a slow one.
TEST(SelfForming, AcknowledgesChangesWhileDisksAreFullInTurn)
{
  auto group = FiveVoters();
  std::uint64_t version = 0;
  const auto changeAt = [&](std::uint64_t aNode) {
    const auto token = group.Propose(aNode, ++version);
    group.RunFor(milliseconds{ 500 });
    const auto answer = group.AnswerTo(token);
    return answer && answer->status_ == ProposalStatus::Decided;
  };
  for (int round = 0; round < 3; ++round) {
    for (std::uint64_t full = 1; full <= 5; ++full) {
      group.Stall(full, true);
      for (int change = 0; change < 4; ++change) {
        EXPECT_TRUE(changeAt(OtherThan(full))) << round << " " << full;
      }
      group.Stall(full, false);
      EXPECT_TRUE(changeAt(full)) << round << " " << full;
    }
  }
  EXPECT_TRUE(group.Leader());
}

TEST(SelfForming, TheHighestVersionWinsAndLowerOnesChangeNothing)
{
  auto group = FiveVoters();
  const auto leader = *group.Leader();
  for (const std::uint64_t version : { 5U, 9U, 7U, 9U }) {
    const auto token = group.Propose(OtherThan(leader), version);
    group.RunFor(milliseconds{ 300 });
    ASSERT_TRUE(group.AnswerTo(token));
    EXPECT_EQ(group.AnswerTo(token)->status_, ProposalStatus::Decided);
  }
  EXPECT_EQ(group.RegisterOf(leader).Current().version_.value_, 9U);
  EXPECT_EQ(group.RegisterOf(leader).Document(), "2");
}

TEST(SelfForming, AReadNeedsAQuorumThatAnswersAfterIt)
{
  auto group = FiveVoters();
  const auto leader = *group.Leader();
  const auto good = group.Read(leader);
  group.RunFor(milliseconds{ 20 });
  EXPECT_EQ(group.ReadOutcome(good), true);
  for (std::uint64_t node = 1; node <= 5; ++node) {
    if (node != leader) {
      group.Kill(node);
    }
  }
  const auto alone = group.Read(leader);
  EXPECT_NE(group.ReadOutcome(alone), true);
  group.RunFor(seconds{ 2 });
  EXPECT_EQ(group.ReadOutcome(alone), false);
}

} // namespace
} // namespace cornelshore::consensus
