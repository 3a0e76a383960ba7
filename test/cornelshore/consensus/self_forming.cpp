#include <algorithm>
#include <deque>
#include <map>

#include <gtest/gtest.h>

#include <cornelshore/consensus/replica.hpp>

namespace cornelshore::consensus {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** A group that forms itself, over a network with 1 ms of delay. */
class Group
{
public:
  explicit Group(std::size_t aSeeds)
  {
    for (std::size_t vm = 0; vm < aSeeds; ++vm) {
      first_.push_back({ NodeId{ vm + 1 }, Incarnation{ 1 } });
    }
    for (const auto& id : first_) {
      auto state = FirstState(id, first_);
      state.hard_.proven_ = true;
      Start(std::move(state));
    }
  }

  /** A replica on an empty disk; it replaces what ran on that node. */
  void Join(std::uint64_t aNode, std::uint64_t aDisk)
  {
    Start(JoiningState({ NodeId{ aNode }, Incarnation{ aDisk } }));
  }

  void Kill(std::uint64_t aNode) { Vm(aNode).replica_.reset(); }

  /** Starts again from the disk. */
  void Restart(std::uint64_t aNode)
  {
    auto state = Vm(aNode).disk_;
    Start(std::move(state));
  }

  /** While set, the node's writes are never synced. */
  void Stall(std::uint64_t aNode, bool aStalls) { Vm(aNode).stalls_ = aStalls; }

  void RunFor(Duration aLength)
  {
    const auto end = now_ + aLength;
    while (now_ < end) {
      now_ += milliseconds{ 1 };
      auto due = std::exchange(network_, {});
      for (auto& message : due) {
        const auto to = message.to_.node_.value_;
        Tell(to, Received{ std::move(message) });
      }
      for (auto& [node, vm] : vms_) {
        if (vm.replica_ && vm.replica_->NextTimer() <= now_) {
          Tell(node, Tick{});
        }
      }
    }
  }

  std::optional<std::uint64_t> Leader()
  {
    for (auto& [node, vm] : vms_) {
      if (vm.replica_ && vm.replica_->HoldsLease(now_)) {
        return node;
      }
    }
    return std::nullopt;
  }

  Membership Members()
  {
    const auto leader = Leader();
    return leader ? Vm(*leader).replica_->Standing().membership_ : Membership{};
  }

  std::size_t Voters() { return Members().Voters(); }

  /** Proposes a version at a node; what became of it so far. */
  Token Propose(std::uint64_t aNode, std::uint64_t aVersion)
  {
    Change change;
    change.id_ = { aVersion, ++changes_ };
    change.chosen_ = ConfigVersion{ aVersion };
    change.document_ = std::to_string(changes_);
    const Token token{ ++tokens_ };
    Tell(aNode, consensus::Propose{ token, change });
    return token;
  }

  std::optional<ProposalAnswered> AnswerTo(Token aToken) const
  {
    const auto found = answers_.find(aToken);
    return found == answers_.end() ? std::nullopt
                                   : std::optional(found->second);
  }

  Token Read(std::uint64_t aNode)
  {
    const Token token{ ++tokens_ };
    Tell(aNode, consensus::Read{ token });
    return token;
  }

  std::optional<bool> ReadOutcome(Token aToken) const
  {
    const auto found = reads_.find(aToken);
    return found == reads_.end() ? std::nullopt : std::optional(found->second);
  }

  const Register& RegisterOf(std::uint64_t aNode)
  {
    return Vm(aNode).replica_->AppliedRegister();
  }

  std::size_t DisksWith(std::uint64_t aVersion)
  {
    return static_cast<std::size_t>(
      std::count_if(vms_.begin(), vms_.end(), [&](const auto& aRow) {
        const auto& entries = aRow.second.disk_.entries_;
        return std::any_of(
          entries.begin(), entries.end(), [&](const Entry& aEntry) {
            const auto* change =
              std::get_if<std::shared_ptr<const Change>>(&aEntry.payload_);
            return change != nullptr && (*change)->chosen_.value_ == aVersion;
          });
      }));
  }

private:
  struct Machine
  {
    DurableState disk_;
    std::optional<Replica> replica_;
    bool stalls_{};
  };

  static ReplicaSettings SettingsOf()
  {
    ReplicaSettings settings;
    settings.heartbeat_ = milliseconds{ 60 };
    settings.electionTimeout_ = milliseconds{ 300 };
    settings.votersWanted_ = 5;
    settings.leastCopies_ = 3;
    settings.leaseReads_ = false;
    return settings;
  }

  Machine& Vm(std::uint64_t aNode) { return vms_.at(aNode); }

  void Start(DurableState aState)
  {
    std::vector<NodeId> seeds;
    for (const auto& id : first_) {
      seeds.push_back(id.node_);
    }
    auto& vm = vms_[aState.id_.node_.value_];
    vm.disk_ = aState;
    auto replica = ReplicaBuilder()
                     .Settings(SettingsOf())
                     .State(std::move(aState))
                     .HowVerified(Verification::Durable)
                     .Seeds(seeds)
                     .Seed(vm.disk_.id_.node_.value_ * 77 + ++starts_)
                     .Build(now_);
    ASSERT_TRUE(replica.ok()) << replica.status();
    vm.replica_.emplace(*std::move(replica));
  }

  void Tell(std::uint64_t aNode, Event aEvent)
  {
    const auto found = vms_.find(aNode);
    if (found == vms_.end() || !found->second.replica_) {
      return;
    }
    auto& vm = found->second;
    for (auto& action : vm.replica_->On(now_, std::move(aEvent))) {
      if (auto* send = std::get_if<Send>(&action)) {
        network_.push_back(std::move(send->message_));
      } else if (auto* persist = std::get_if<Persist>(&action)) {
        if (!vm.stalls_) {
          vm.disk_.Apply(*persist);
          Tell(aNode, Synced{ persist->id_ });
        }
      } else if (auto* answer = std::get_if<ProposalAnswered>(&action)) {
        answers_.insert_or_assign(answer->token_, *answer);
      } else if (auto* read = std::get_if<ReadAnswered>(&action)) {
        reads_[read->token_] = read->confirmed_;
      }
    }
  }

  std::vector<ReplicaId> first_;
  std::map<std::uint64_t, Machine> vms_;
  std::vector<Message> network_;
  std::map<Token, ProposalAnswered> answers_;
  std::map<Token, bool> reads_;
  TimePoint now_{ std::chrono::hours{ 1 } };
  std::uint64_t tokens_{};
  std::uint64_t changes_{};
  std::uint64_t starts_{};
};

/** Three seeds and two that joined. */
Group
FiveVoters()
{
  Group group(3);
  group.Join(4, 100);
  group.Join(5, 100);
  group.RunFor(seconds{ 3 });
  return group;
}

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
