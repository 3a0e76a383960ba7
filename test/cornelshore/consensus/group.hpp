#ifndef CORNELSHORE_TEST_CONSENSUS_GROUP_HPP
#define CORNELSHORE_TEST_CONSENSUS_GROUP_HPP

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <cornelshore/consensus/replica.hpp>
#include <cornelshore/core/check.hpp>
#include <cornelshore/core/random.hpp>

namespace cornelshore::consensus {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** @brief A group with automatic membership, over a network with 1 ms of delay.
 */
class Group
{
public:
  explicit Group(std::size_t aSeeds)
  {
    for (std::size_t vm = 0; vm < aSeeds; ++vm) {
      first_.push_back({ NodeId{ vm + 1 }, Incarnation{ 1 } });
    }
    for (const auto& id : first_) {
      auto state = BootstrapState(id, first_);
      state.hard_.durabilityProven_ = true;
      Start(std::move(state));
    }
  }

  /** Starts a replica with an empty disk, replacing any replica of that node.
   */
  void Join(std::uint64_t aNode, std::uint64_t aDisk)
  {
    Start(JoiningState({ NodeId{ aNode }, Incarnation{ aDisk } }));
  }

  /** Seeds of replicas that start from now on. */
  void SetSeeds(std::vector<NodeId> aSeeds) { seeds_ = std::move(aSeeds); }

  /** What dissemination reports in place of the running nodes. */
  void SetDiscovery(std::function<std::vector<NodeId>()> aDiscovery)
  {
    discovery_ = std::move(aDiscovery);
  }

  /** Delivers one in `aOf` requests to join once more, up to this much later;
   * 0: none. */
  void RepeatJoinsOneOf(std::uint64_t aOf, Duration aLatest)
  {
    repeatOneOf_ = aOf;
    repeatLatest_ = aLatest;
  }

  void Kill(std::uint64_t aNode) { Vm(aNode).replica_.reset(); }

  /** Starts a planned stop; `TakeStopped` reports its end. */
  void Stop(std::uint64_t aNode) { Tell(aNode, Leave{}); }

  /** Nodes whose process may end since the last call, and whether the group has
   * replaced them. */
  std::map<std::uint64_t, bool> TakeStopped()
  {
    return std::exchange(stopped_, {});
  }

  /** Runs until the node's planned stop is over and kills it.
   * @return Whether it was replaced; nothing when it did not end in time. */
  std::optional<bool> StopAndWait(std::uint64_t aNode, Duration aLimit)
  {
    Stop(aNode);
    const auto end = now_ + aLimit;
    while (now_ < end && !stopped_.contains(aNode)) {
      RunFor(milliseconds{ 1 });
    }
    const auto found = stopped_.find(aNode);
    if (found == stopped_.end()) {
      return std::nullopt;
    }
    const auto replaced = found->second;
    stopped_.erase(found);
    Kill(aNode);
    return replaced;
  }

  /** Restarts a replica from its disk. */
  void Restart(std::uint64_t aNode)
  {
    auto state = Vm(aNode).disk_;
    Start(std::move(state));
  }

  /** While set, the node is partitioned from all others. */
  void Cut(std::uint64_t aNode, bool aIsCut)
  {
    if (aIsCut) {
      cut_.insert(aNode);
    } else {
      cut_.erase(aNode);
    }
  }

  /** Loses one in `aOf` messages at random; 0: none. */
  void LoseOneOf(std::uint64_t aOf, std::uint64_t aSeed)
  {
    loseOneOf_ = aOf;
    random_ = Random(aSeed);
  }

  /** While set, the node's writes are never synced. */
  void Stall(std::uint64_t aNode, bool aStalls) { Vm(aNode).stalls_ = aStalls; }

  void RunFor(Duration aLength)
  {
    const auto end = now_ + aLength;
    while (now_ < end) {
      now_ += milliseconds{ 1 };
      if (now_ >= discoveryDue_) {
        discoveryDue_ = now_ + seconds{ 1 };
        TellWhoIsUp();
      }
      auto due = std::exchange(network_, {});
      while (!repeated_.empty() && repeated_.begin()->first <= now_) {
        due.push_back(std::move(repeated_.begin()->second));
        repeated_.erase(repeated_.begin());
      }
      for (auto& message : due) {
        const auto to = message.to_.node_.value_;
        if (IsLost(message.from_.node_.value_, to)) {
          continue;
        }
        Tell(to, Received{ std::move(message) });
      }
      for (auto& [node, vm] : vms_) {
        if (vm.replica_ && vm.replica_->NextTimer() <= now_) {
          Tell(node, Tick{});
        }
      }
    }
  }

  [[nodiscard]] TimePoint Now() const { return now_; }

  [[nodiscard]] bool IsUp(std::uint64_t aNode) const
  {
    const auto found = vms_.find(aNode);
    return found != vms_.end() && found->second.replica_.has_value();
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

  /** Proposes an explicit version at a node; see `AnswerTo` for the outcome. */
  Token Propose(std::uint64_t aNode, std::uint64_t aVersion)
  {
    Change change;
    change.id_ = { aVersion, ++changes_ };
    change.chosen_ = ConfigVersion{ aVersion };
    change.document_ = std::to_string(changes_);
    lastChange_ = change;
    return Resend(aNode);
  }

  /** Sends the last proposed change again, with its id. */
  Token Resend(std::uint64_t aNode)
  {
    const Token token{ ++tokens_ };
    Tell(aNode, consensus::Propose{ token, lastChange_ });
    return token;
  }

  std::optional<ProposalResponse> AnswerTo(Token aToken) const
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

  /** Result of a read. */
  struct ReadResult
  {
    bool confirmed_{};
    std::uint64_t version_{};
    std::string document_;
  };

  std::optional<ReadResult> ResultOf(Token aToken) const
  {
    const auto found = reads_.find(aToken);
    return found == reads_.end() ? std::nullopt : std::optional(found->second);
  }

  std::optional<bool> ReadOutcome(Token aToken) const
  {
    const auto result = ResultOf(aToken);
    return result ? std::optional(result->confirmed_) : std::nullopt;
  }

  /** Nodes whose replica has faulted since the last call. */
  std::vector<std::uint64_t> TakeFaulted()
  {
    return std::exchange(faulted_, {});
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
    settings.targetVoters_ = 5;
    settings.minCopies_ = 3;
    settings.leaseReads_ = false;
    return settings;
  }

  /** Reports the running nodes, as dissemination does in a deployment. */
  void TellWhoIsUp()
  {
    PeersDiscovered known;
    for (const auto& [node, vm] : vms_) {
      if (vm.replica_) {
        known.nodes_.push_back(NodeId{ node });
      }
    }
    if (discovery_) {
      known.nodes_ = discovery_();
    }
    for (const auto& [node, vm] : vms_) {
      Tell(node, known);
    }
  }

  void RepeatLater(const Message& aMessage)
  {
    if (repeatOneOf_ != 0 &&
        std::holds_alternative<consensus::Join>(aMessage.body_) &&
        random_.Below(repeatOneOf_) == 0) {
      const auto wait =
        random_.Below(static_cast<std::uint64_t>(repeatLatest_.count()));
      repeated_.emplace(now_ + Duration{ static_cast<std::int64_t>(wait) },
                        aMessage);
    }
  }

  bool IsLost(std::uint64_t aFrom, std::uint64_t aTo)
  {
    return cut_.contains(aFrom) || cut_.contains(aTo) ||
           (loseOneOf_ != 0 && random_.Below(loseOneOf_) == 0);
  }

  Machine& Vm(std::uint64_t aNode) { return vms_.at(aNode); }

  void Start(DurableState aState)
  {
    auto seeds = seeds_;
    if (seeds.empty()) {
      for (const auto& id : first_) {
        seeds.push_back(id.node_);
      }
    }
    auto& vm = vms_[aState.id_.node_.value_];
    vm.disk_ = aState;
    auto replica = ReplicaBuilder()
                     .Settings(SettingsOf())
                     .State(std::move(aState))
                     .VerificationMode(Verification::Durable)
                     .Seeds(seeds)
                     .Seed(vm.disk_.id_.node_.value_ * 77 + ++starts_)
                     .Build(now_);
    CheckInvariant(replica.ok(), "a replica starts from its disk");
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
        RepeatLater(send->message_);
        network_.push_back(std::move(send->message_));
      } else if (auto* persist = std::get_if<Persist>(&action)) {
        if (!vm.stalls_) {
          vm.disk_.Apply(*persist);
          Tell(aNode, Synced{ persist->id_ });
        }
      } else if (auto* answer = std::get_if<ProposalResponse>(&action)) {
        answers_.insert_or_assign(answer->token_, *answer);
      } else if (auto* read = std::get_if<ReadResponse>(&action)) {
        const auto& held = vm.replica_->AppliedRegister();
        reads_[read->token_] = { read->confirmed_,
                                 held.Current().version_.value_,
                                 held.Document() };
      } else if (auto* finished = std::get_if<LeaveFinished>(&action)) {
        stopped_[aNode] = finished->replaced_;
      } else if (std::holds_alternative<ReplicaFaulted>(action)) {
        faulted_.push_back(aNode);
      }
    }
  }

  std::vector<ReplicaId> first_;
  std::vector<NodeId> seeds_;
  std::function<std::vector<NodeId>()> discovery_;
  std::uint64_t repeatOneOf_{};
  Duration repeatLatest_{};
  std::multimap<TimePoint, Message> repeated_;
  std::map<std::uint64_t, Machine> vms_;
  std::vector<Message> network_;
  std::set<std::uint64_t> cut_;
  std::uint64_t loseOneOf_{};
  Random random_{ 0 };
  std::map<Token, ProposalResponse> answers_;
  std::map<Token, ReadResult> reads_;
  std::vector<std::uint64_t> faulted_;
  std::map<std::uint64_t, bool> stopped_;
  TimePoint now_{ std::chrono::hours{ 1 } };
  TimePoint discoveryDue_{};
  std::uint64_t tokens_{};
  std::uint64_t changes_{};
  Change lastChange_;
  std::uint64_t starts_{};
};

/** @brief Three seeds and two replicas that joined. */
inline Group
FiveVoters()
{
  Group group(3);
  group.Join(4, 100);
  group.Join(5, 100);
  group.RunFor(seconds{ 3 });
  return group;
}

} // namespace cornelshore::consensus

#endif
