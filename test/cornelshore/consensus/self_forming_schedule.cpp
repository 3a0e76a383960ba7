#include <cstdlib>
#include <functional>
#include <map>

#include <gtest/gtest.h>

#include "group.hpp"

namespace cornelshore::consensus {
namespace {

/** Simultaneous losses that the group must tolerate. */
constexpr std::size_t kTolerated = 2;

/** Time for which a restarted VM still counts as lost. */
constexpr Duration kCatchUp = seconds{ 4 };

/** Durations of fault injection and of the recovery after it. */
constexpr Duration kFaultsFor = seconds{ 30 };
constexpr Duration kReplacementsFor = seconds{ 90 };
constexpr Duration kHealsFor = seconds{ 12 };

/** Latest repetition of a request to join. */
constexpr Duration kLatestRepetition = seconds{ 8 };

/** Within this time a planned stop ends. */
constexpr Duration kStopLimit = seconds{ 3 };

constexpr Duration kStep = milliseconds{ 10 };

/** Violations in a schedule. The reference register is the highest acknowledged
 * version, and the document first read of each version. */
struct Breaches
{
  std::size_t oldReads_{};   ///< Read a version below one acknowledged before.
  std::size_t otherTexts_{}; ///< Read two documents for one version.
  std::size_t wrongAnswers_{}; ///< Answered with a lower version than proposed.
  bool stuck_{};         ///< No leader or no accepted change after recovery.
  std::size_t voters_{}; ///< Voters after recovery.
  std::size_t notReplaced_{}; ///< Planned stops that left a voter behind.
  std::size_t acknowledged_{};
  std::size_t reads_{};
};

/** Injects random losses of at most two VMs at once, and power losses of all
 * VMs. Disks are numbered at random, requests to join arrive again seconds
 * later, and discovery names VMs that are gone. */
class Losses
{
public:
  explicit Losses(std::uint64_t aSeed)
    : random_(aSeed)
    , group_(FiveVoters())
  {
    group_.LoseOneOf(random_.Below(2) * 50, random_.Next());
    group_.RepeatJoinsOneOf(20, kLatestRepetition);
    group_.SetDiscovery([this] { return Discovered(); });
  }

  /** Replaces VMs by others at new addresses, two at a time as a rule, as soon
   * as those before have caught up. */
  Breaches RunReplacements()
  {
    const auto end = group_.Now() + kReplacementsFor;
    while (group_.Now() < end) {
      Work();
      const auto node = SomeNode();
      if (losses_.size() < kTolerated && !losses_.contains(node)) {
        group_.Kill(node);
        Replace(node, ++addresses_);
      }
      Advance();
    }
    Heal();
    Settle();
    return breaches_;
  }

  /** Replaces VMs as planned: a successor catches up, the old VM stops, and at
   * that moment as many others as is tolerated lose their disks. */
  Breaches RunPlannedReplacements()
  {
    const auto end = group_.Now() + kReplacementsFor;
    while (group_.Now() < end) {
      const auto old = SomeNode();
      const auto successor = ++addresses_;
      JoinAt(successor);
      Pass(kCatchUp);
      group_.Stop(old);
      const auto latest = group_.Now() + kStopLimit;
      auto stopped = group_.TakeStopped();
      while (stopped.empty() && group_.Now() < latest) {
        Pass(kStep);
        stopped = group_.TakeStopped();
      }
      breaches_.notReplaced_ += stopped[old] ? 0 : 1;
      group_.Kill(old);
      std::replace(nodes_.begin(), nodes_.end(), old, successor);
      known_.push_back(successor);
      LoseDisks();
      Pass(seconds{ 2 } + kCatchUp);
    }
    Heal();
    Settle();
    return breaches_;
  }

  Breaches Run()
  {
    const auto end = group_.Now() + kFaultsFor;
    while (group_.Now() < end) {
      Work();
      if (random_.Below(60) == 0) {
        Lose();
      }
      if (random_.Below(900) == 0) {
        LoseAllPower();
      }
      Advance();
    }
    Heal();
    Settle();
    return breaches_;
  }

private:
  struct Loss
  {
    std::function<void()> mend_;
    TimePoint backAt_;
    bool back_{};
  };

  struct Proposal
  {
    Token token_;
    std::uint64_t version_{};
  };

  struct PendingRead
  {
    Token token_;
    std::uint64_t least_{}; ///< Highest version acknowledged before the read.
  };

  /** As many nodes as a replica contacts, of all that ever were, others each
   * time. */
  std::vector<NodeId> Discovered()
  {
    std::vector<NodeId> nodes;
    for (std::size_t index = 0; index < kMaxMembers; ++index) {
      nodes.push_back(NodeId{ known_[random_.Below(known_.size())] });
    }
    return nodes;
  }

  Incarnation NewDisk() { return Incarnation{ random_.Next() | 2U }; }

  /** The seeds come from a list that lags: besides one VM of the group it names
   * VMs that have just been lost. */
  void JoinAt(std::uint64_t aNode)
  {
    std::vector<NodeId> seeds;
    for (const auto node : nodes_) {
      if (!losses_.contains(node)) {
        seeds = { NodeId{ node } };
        if (random_.Below(2) == 0) {
          break;
        }
      }
    }
    const auto lost = std::min<std::size_t>(known_.size(), kTolerated);
    for (std::size_t back = 1; back <= lost; ++back) {
      seeds.push_back(NodeId{ known_[known_.size() - back] });
    }
    group_.SetSeeds(std::move(seeds));
    group_.Join(aNode, NewDisk().value_);
  }

  std::uint64_t SomeNode() { return nodes_[random_.Below(nodes_.size())]; }

  void Work()
  {
    if (random_.Below(12) == 0) {
      const auto above = 1 + random_.Below(3);
      const auto version = random_.Below(4) == 0
                             ? 1 + random_.Below(newest_ + 1)
                             : newest_ + above;
      newest_ = std::max(newest_, version);
      proposals_.push_back({ group_.Propose(SomeNode(), version), version });
    }
    if (random_.Below(12) == 0) {
      reads_.push_back({ group_.Read(SomeNode()), acknowledged_ });
    }
  }

  void Lose()
  {
    const auto node = SomeNode();
    if (losses_.size() >= kTolerated || losses_.contains(node)) {
      return;
    }
    const auto length = milliseconds{ 100 + random_.Below(6000) };
    switch (random_.Below(5)) {
      case 0:
        group_.Kill(node);
        Add(node, length, [this, node] { group_.Restart(node); });
        return;
      case 1:
        group_.Kill(node);
        Add(node, length, [this, node] { JoinAt(node); });
        return;
      case 2:
        group_.Stall(node, true);
        Add(node, length, [this, node] {
          group_.Kill(node);
          group_.Stall(node, false);
          group_.Restart(node);
        });
        return;
      case 3:
        group_.Cut(node, true);
        Add(node, length, [this, node] { group_.Cut(node, false); });
        return;
      default:
        group_.Kill(node);
        Replace(node, ++addresses_);
    }
  }

  void LoseDisks()
  {
    for (auto disks = random_.Below(kTolerated + 1); disks > 0; --disks) {
      const auto node = SomeNode();
      if (!losses_.contains(node)) {
        group_.Kill(node);
        Add(node, milliseconds{ 100 + random_.Below(900) }, [this, node] {
          JoinAt(node);
        });
      }
    }
  }

  /** Proposes, reads and checks for a while. */
  void Pass(Duration aLength)
  {
    const auto end = group_.Now() + aLength;
    while (group_.Now() < end) {
      Work();
      Advance();
    }
  }

  /** Replaces a VM by another one at a new address. */
  void Replace(std::uint64_t aGone, std::uint64_t aNew)
  {
    std::replace(nodes_.begin(), nodes_.end(), aGone, aNew);
    known_.push_back(aNew);
    Add(aNew, seconds{ 1 }, [this, aNew] { JoinAt(aNew); });
  }

  void Add(std::uint64_t aNode, Duration aLength, std::function<void()> aMend)
  {
    losses_[aNode] = { std::move(aMend), group_.Now() + aLength, false };
  }

  /** All VMs lose power; loses as many disks as is still tolerated. */
  void LoseAllPower()
  {
    auto disks = kTolerated - std::min(kTolerated, losses_.size());
    for (const auto node : nodes_) {
      const auto lost = losses_.find(node);
      if (lost != losses_.end() && !lost->second.back_) {
        continue;
      }
      group_.Kill(node);
      const auto length = milliseconds{ 900 + random_.Below(400) };
      if (disks > 0 && random_.Below(3) == 0) {
        --disks;
        Add(node, length, [this, node] { JoinAt(node); });
      } else {
        Add(node, length, [this, node] { group_.Restart(node); });
      }
    }
  }

  void Advance()
  {
    group_.RunFor(kStep);
    for (auto& [node, loss] : losses_) {
      if (!loss.back_ && loss.backAt_ <= group_.Now()) {
        loss.back_ = true;
        loss.mend_();
      }
    }
    std::erase_if(losses_, [&](const auto& aRow) {
      return aRow.second.back_ &&
             aRow.second.backAt_ + kCatchUp <= group_.Now();
    });
    for (const auto node : group_.TakeFaulted()) {
      group_.Kill(node);
      JoinAt(node);
    }
    Check();
  }

  void Check()
  {
    std::erase_if(proposals_, [&](const Proposal& aProposal) {
      const auto answer = group_.AnswerTo(aProposal.token_);
      if (answer && answer->status_ == ProposalStatus::Decided) {
        ++breaches_.acknowledged_;
        acknowledged_ = std::max(acknowledged_, aProposal.version_);
        breaches_.wrongAnswers_ +=
          answer->answer_.version_.value_ < aProposal.version_ ? 1 : 0;
      }
      return answer.has_value();
    });
    std::erase_if(reads_, [&](const PendingRead& aRead) {
      const auto result = group_.ResultOf(aRead.token_);
      if (result && result->confirmed_) {
        ++breaches_.reads_;
        breaches_.oldReads_ += result->version_ < aRead.least_ ? 1 : 0;
        const auto [text, added] =
          texts_.emplace(result->version_, result->document_);
        breaches_.otherTexts_ += text->second != result->document_ ? 1 : 0;
      }
      return result.has_value();
    });
  }

  void Heal()
  {
    for (auto& [node, loss] : losses_) {
      loss.backAt_ = std::min(loss.backAt_, group_.Now());
    }
    group_.LoseOneOf(0, 0);
    const auto end = group_.Now() + kHealsFor;
    while (group_.Now() < end) {
      Advance();
    }
  }

  void Settle()
  {
    const auto leader = group_.Leader();
    breaches_.stuck_ = !leader;
    if (!leader) {
      return;
    }
    breaches_.voters_ = group_.Voters();
    reads_.push_back({ group_.Read(*leader), acknowledged_ });
    const auto last = group_.Propose(*leader, newest_ + 1);
    for (int step = 0; step < 100; ++step) {
      Advance();
    }
    const auto answer = group_.AnswerTo(last);
    breaches_.stuck_ = !answer || answer->status_ != ProposalStatus::Decided;
  }

  Random random_;
  Group group_;
  std::vector<std::uint64_t> nodes_{ 1, 2, 3, 4, 5 };
  std::vector<std::uint64_t> known_{ nodes_ }; ///< Those that are gone too.
  std::map<std::uint64_t, Loss> losses_;
  std::vector<Proposal> proposals_;
  std::vector<PendingRead> reads_;
  std::map<std::uint64_t, std::string> texts_;
  std::uint64_t addresses_{ 100 };
  std::uint64_t newest_{};
  std::uint64_t acknowledged_{};
  Breaches breaches_;
};

std::uint64_t
Schedules(std::uint64_t aDefault)
{
  const char* more = std::getenv("CORNELSHORE_SCHEDULES");
  return more == nullptr ? aDefault : std::strtoull(more, nullptr, 10);
}

void
ExpectNone(const Breaches& aBreaches, std::uint64_t aSeed)
{
  EXPECT_EQ(aBreaches.oldReads_, 0U) << "seed " << aSeed;
  EXPECT_EQ(aBreaches.otherTexts_, 0U) << "seed " << aSeed;
  EXPECT_EQ(aBreaches.wrongAnswers_, 0U) << "seed " << aSeed;
  EXPECT_FALSE(aBreaches.stuck_) << "seed " << aSeed;
  EXPECT_EQ(aBreaches.voters_, 5U) << "seed " << aSeed;
  EXPECT_EQ(aBreaches.notReplaced_, 0U) << "seed " << aSeed;
}

TEST(SelfFormingSchedule, KeepsWhatItAcknowledgedThroughEveryToleratedLoss)
{
  std::size_t acknowledged = 0;
  std::size_t reads = 0;
  const auto schedules = Schedules(300);
  for (std::uint64_t seed = 1; seed <= schedules; ++seed) {
    const auto breaches = Losses(seed).Run();
    ExpectNone(breaches, seed);
    acknowledged += breaches.acknowledged_;
    reads += breaches.reads_;
  }
  EXPECT_GT(acknowledged, 50 * schedules);
  EXPECT_GT(reads, 50 * schedules);
}

// Every VM is replaced many times over: most VMs that were ever known are gone,
// and a new one must be admitted in time all the same.
TEST(SelfFormingSchedule, KeepsWhatItAcknowledgedWhileEveryVmIsReplaced)
{
  const auto schedules = Schedules(20);
  for (std::uint64_t seed = 1; seed <= schedules; ++seed) {
    ExpectNone(Losses(seed).RunReplacements(), seed);
  }
}

// Planned stops beside caught-up successors: none of them costs the group a
// voter, so that two disks lost right after leave a quorum.
TEST(SelfFormingSchedule, KeepsWhatItAcknowledgedThroughPlannedReplacements)
{
  const auto schedules = Schedules(20);
  for (std::uint64_t seed = 1; seed <= schedules; ++seed) {
    ExpectNone(Losses(seed).RunPlannedReplacements(), seed);
  }
}

} // namespace
} // namespace cornelshore::consensus
