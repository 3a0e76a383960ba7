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
constexpr Duration kHealsFor = seconds{ 12 };

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
  std::size_t acknowledged_{};
  std::size_t reads_{};
};

/** Injects random losses of at most two VMs at once, and power losses of all
 * VMs. */
class Losses
{
public:
  explicit Losses(std::uint64_t aSeed)
    : random_(aSeed)
    , group_(FiveVoters())
  {
    group_.LoseOneOf(random_.Below(2) * 50, random_.Next());
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
        Add(node, length, [this, node] { group_.Join(node, ++disks_); });
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

  /** Replaces a VM by another one at a new address. */
  void Replace(std::uint64_t aGone, std::uint64_t aNew)
  {
    std::replace(nodes_.begin(), nodes_.end(), aGone, aNew);
    Add(aNew, seconds{ 1 }, [this, aNew] { group_.Join(aNew, ++disks_); });
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
        Add(node, length, [this, node] { group_.Join(node, ++disks_); });
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
      group_.Join(node, ++disks_);
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
  std::map<std::uint64_t, Loss> losses_;
  std::vector<Proposal> proposals_;
  std::vector<PendingRead> reads_;
  std::map<std::uint64_t, std::string> texts_;
  std::uint64_t disks_{ 1000 };
  std::uint64_t addresses_{ 100 };
  std::uint64_t newest_{};
  std::uint64_t acknowledged_{};
  Breaches breaches_;
};

TEST(SelfFormingSchedule, KeepsWhatItAcknowledgedThroughEveryToleratedLoss)
{
  std::size_t acknowledged = 0;
  std::size_t reads = 0;
  const char* more = std::getenv("CORNELSHORE_SCHEDULES");
  const std::uint64_t schedules =
    more == nullptr ? 300 : std::strtoull(more, nullptr, 10);
  for (std::uint64_t seed = 1; seed <= schedules; ++seed) {
    const auto breaches = Losses(seed).Run();
    EXPECT_EQ(breaches.oldReads_, 0U) << "seed " << seed;
    EXPECT_EQ(breaches.otherTexts_, 0U) << "seed " << seed;
    EXPECT_EQ(breaches.wrongAnswers_, 0U) << "seed " << seed;
    EXPECT_FALSE(breaches.stuck_) << "seed " << seed;
    EXPECT_EQ(breaches.voters_, 5U) << "seed " << seed;
    acknowledged += breaches.acknowledged_;
    reads += breaches.reads_;
  }
  EXPECT_GT(acknowledged, 50 * schedules);
  EXPECT_GT(reads, 50 * schedules);
}

} // namespace
} // namespace cornelshore::consensus
