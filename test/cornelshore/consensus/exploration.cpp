#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <string>

#include <absl/container/flat_hash_map.h>
#include <gtest/gtest.h>

#include <cornelshore/consensus/replica.hpp>
#include <cornelshore/core/hash.hpp>
#include <cornelshore/wire/consensus_codec.hpp>
#include <cornelshore/wire/writer.hpp>

namespace cornelshore::consensus {
namespace {

constexpr std::size_t kVms = 3;
constexpr std::size_t kMostInFlight = 7;
const ReplicaSettings kSettings{};

/** Events that may still be injected on a path. */
struct Budget
{
  int timeouts_{};
  int crashes_{};
  int proposals_{};
  int memberships_{};
  int heartbeats_{};
};

/** Three replicas with their disks, and the messages between them. */
struct World
{
  std::vector<Replica> replicas_;
  std::array<DurableState, kVms> disks_;
  std::array<TimePoint, kVms> clocks_;
  std::vector<Message> flights_;
  std::map<Term, ReplicaId> leaders_;
  std::vector<Term> committed_{ Term{}, Term{ 1 } }; ///< By index.
  Budget budget_;
  bool broken_{};
};

Replica
StartFrom(const DurableState& aDisk, TimePoint aNow)
{
  return ReplicaBuilder()
    .Settings(kSettings)
    .State(aDisk)
    .VerificationMode(Verification::Continued)
    .Seed(aDisk.id_.node_.value_)
    .Build(aNow)
    .value();
}

Term
TermOn(const DurableState& aDisk, LogIndex aIndex)
{
  if (aDisk.snapshot_ == nullptr) {
    return Term{};
  }
  if (aIndex == aDisk.snapshot_->last_.index_) {
    return aDisk.snapshot_->last_.term_;
  }
  const auto place = aIndex.value_ - aDisk.snapshot_->last_.index_.value_ - 1;
  return place < aDisk.entries_.size()
           ? aDisk.entries_[static_cast<std::size_t>(place)].term_
           : Term{};
}

/** Checks leader completeness and agreement on committed entries (Raft 3.6.3).
 */
void
CheckWorld(World& aWorld, std::size_t aVm)
{
  const auto& disk = aWorld.disks_[aVm];
  const auto dump = aWorld.replicas_[aVm].Dump(aWorld.clocks_[aVm]);
  if (dump.role_ == Role::Leader) {
    const auto row = aWorld.leaders_.emplace(dump.term_, dump.id_).first;
    aWorld.broken_ = aWorld.broken_ || row->second != dump.id_;
    if (row->first == aWorld.leaders_.rbegin()->first) {
      for (std::size_t index = 1; index < aWorld.committed_.size(); ++index) {
        aWorld.broken_ = aWorld.broken_ || TermOn(disk, LogIndex{ index }) !=
                                             aWorld.committed_[index];
      }
    }
  }
  for (std::uint64_t index = 1; index <= dump.commit_.value_; ++index) {
    const auto term = TermOn(disk, LogIndex{ index });
    if (index == aWorld.committed_.size()) {
      aWorld.committed_.push_back(term);
    }
    aWorld.broken_ = aWorld.broken_ || term != aWorld.committed_[index];
  }
}

void
Tell(World& aWorld, std::size_t aVm, Event aEvent)
{
  auto actions =
    aWorld.replicas_[aVm].On(aWorld.clocks_[aVm], std::move(aEvent));
  std::optional<PersistId> synced;
  for (auto& action : actions) {
    if (auto* persist = std::get_if<Persist>(&action)) {
      aWorld.disks_[aVm].Apply(*persist);
      synced = persist->id_;
    } else if (auto* send = std::get_if<Send>(&action)) {
      if (send->message_.to_.node_.value_ < kVms) {
        aWorld.flights_.push_back(std::move(send->message_));
      }
    }
  }
  while (aWorld.flights_.size() > kMostInFlight) {
    aWorld.flights_.erase(aWorld.flights_.begin());
  }
  CheckWorld(aWorld, aVm);
  if (synced) {
    Tell(aWorld, aVm, Synced{ *synced });
  }
}

void
Deliver(World& aWorld, std::size_t aFlight)
{
  const auto message = aWorld.flights_[aFlight];
  aWorld.flights_.erase(aWorld.flights_.begin() +
                        static_cast<std::ptrdiff_t>(aFlight));
  Tell(aWorld,
       static_cast<std::size_t>(message.to_.node_.value_),
       Received{ message });
}

void
TimeOut(World& aWorld, std::size_t aVm)
{
  aWorld.clocks_[aVm] += 3 * kSettings.electionTimeout_;
  Tell(aWorld, aVm, Tick{});
}

void
Beat(World& aWorld, std::size_t aVm)
{
  aWorld.clocks_[aVm] += kSettings.heartbeat_;
  Tell(aWorld, aVm, Tick{});
}

void
CrashAndStart(World& aWorld, std::size_t aVm)
{
  aWorld.replicas_[aVm] = StartFrom(aWorld.disks_[aVm], aWorld.clocks_[aVm]);
}

World
FreshWorld(std::size_t aVoters)
{
  World world;
  std::vector<ReplicaId> voters;
  for (std::size_t vm = 0; vm < aVoters; ++vm) {
    voters.push_back({ NodeId{ vm }, Incarnation{ 1 } });
  }
  for (std::size_t vm = 0; vm < kVms; ++vm) {
    const ReplicaId id{ NodeId{ vm }, Incarnation{ 1 } };
    world.disks_[vm] =
      vm < aVoters ? BootstrapState(id, voters) : JoiningState(id);
    world.clocks_[vm] = TimePoint{ std::chrono::hours{ 1 + vm } };
    world.replicas_.push_back(StartFrom(world.disks_[vm], world.clocks_[vm]));
  }
  return world;
}

/** Delivers messages until none is in flight, so that every replica is
 * verified. */
void
Quiesce(World& aWorld)
{
  for (int round = 0; round < 200 && !aWorld.flights_.empty(); ++round) {
    Deliver(aWorld, 0);
  }
}

World
VerifiedWorld(std::size_t aVoters)
{
  auto world = FreshWorld(aVoters);
  for (std::size_t vm = 0; vm < kVms; ++vm) {
    world.clocks_[vm] += kSettings.electionTimeout_ * 21 / 20;
    Tell(world, vm, Tick{});
    Quiesce(world);
  }
  world.flights_.clear();
  return world;
}

std::uint64_t
FingerprintOf(Message aMessage)
{
  if (auto* request = std::get_if<AppendRequest>(&aMessage.body_)) {
    request->sentAt_ = {};
  } else if (auto* reply = std::get_if<AppendReply>(&aMessage.body_)) {
    reply->sentAt_ = {};
  }
  std::string out;
  wire::Writer writer(out);
  wire::Encode(writer, aMessage);
  return HashText(out);
}

std::uint64_t
FingerprintOf(const World& aWorld, std::size_t aVm)
{
  const auto dump = aWorld.replicas_[aVm].Dump(aWorld.clocks_[aVm]);
  const auto& disk = aWorld.disks_[aVm];
  std::string out;
  wire::Writer writer(out);
  wire::Encode(writer, disk.hard_);
  for (const auto& entry : disk.entries_) {
    writer.Write(entry.term_);
  }
  writer.Write(dump.membership_.index_);
  writer.Uint(dump.membership_.members_.size());
  writer.Uint(static_cast<std::uint8_t>(dump.role_));
  writer.Write(dump.commit_);
  writer.Write(dump.leader_.value_or(ReplicaId{}).node_);
  writer.Bool(dump.verified_);
  writer.Bool(dump.holdsLease_);
  writer.Bool(dump.knowsLeader_);
  writer.Uint(static_cast<std::uint8_t>(dump.fault_));
  for (const auto& vote : dump.votes_) {
    writer.Write(vote.node_);
  }
  for (const auto& row : dump.progress_) {
    writer.Write(row.match_);
    writer.Write(row.next_);
    writer.Bool(row.recent_);
  }
  return HashText(out);
}

std::uint64_t
FingerprintOf(const World& aWorld)
{
  const auto& budget = aWorld.budget_;
  std::uint64_t hash = 0;
  for (const auto left : { budget.timeouts_,
                           budget.crashes_,
                           budget.proposals_,
                           budget.memberships_,
                           budget.heartbeats_ }) {
    hash = HashPair(hash, static_cast<std::uint64_t>(left));
  }
  for (std::size_t vm = 0; vm < kVms; ++vm) {
    hash = HashPair(hash, FingerprintOf(aWorld, vm));
  }
  std::uint64_t flights = 0;
  for (const auto& message : aWorld.flights_) {
    flights += FingerprintOf(message);
  }
  return HashPair(hash, flights);
}

/** Depth-first search over all orders of events, up to a depth. */
class Exploration
{
public:
  void Visit(const World& aWorld, int aDepth)
  {
    broken_ += aWorld.broken_ ? 1 : 0;
    if (aDepth == 0 || broken_ != 0) {
      return;
    }
    auto& explored = seen_[FingerprintOf(aWorld)];
    if (explored >= aDepth) {
      return;
    }
    explored = aDepth;
    for (std::size_t flight = 0; flight < aWorld.flights_.size(); ++flight) {
      Try(aWorld, aDepth, [&](World& aNext) { Deliver(aNext, flight); });
    }
    for (std::size_t vm = 0; vm < kVms; ++vm) {
      VisitFaults(aWorld, aDepth, vm);
      VisitRequests(aWorld, aDepth, vm);
    }
  }

  [[nodiscard]] std::uint64_t Broken() const { return broken_; }
  [[nodiscard]] std::size_t States() const { return seen_.size(); }
  [[nodiscard]] std::size_t MostLeaders() const { return mostLeaders_; }
  [[nodiscard]] std::size_t MostCommitted() const { return mostCommitted_; }

private:
  void VisitFaults(const World& aWorld, int aDepth, std::size_t aVm)
  {
    if (aWorld.budget_.timeouts_ > 0) {
      Try(aWorld, aDepth, [&](World& aNext) {
        --aNext.budget_.timeouts_;
        TimeOut(aNext, aVm);
      });
    }
    if (aWorld.budget_.crashes_ > 0) {
      Try(aWorld, aDepth, [&](World& aNext) {
        --aNext.budget_.crashes_;
        CrashAndStart(aNext, aVm);
      });
    }
  }

  void VisitRequests(const World& aWorld, int aDepth, std::size_t aVm)
  {
    if (!aWorld.replicas_[aVm].HoldsLease(aWorld.clocks_[aVm])) {
      return;
    }
    if (aWorld.budget_.heartbeats_ > 0) {
      Try(aWorld, aDepth, [&](World& aNext) {
        --aNext.budget_.heartbeats_;
        Beat(aNext, aVm);
      });
    }
    if (aWorld.budget_.proposals_ > 0) {
      Try(aWorld, aDepth, [&](World& aNext) {
        Change change;
        change.id_.low_ =
          static_cast<std::uint64_t>(aNext.budget_.proposals_--);
        Tell(aNext, aVm, Propose{ Token{ 1 }, change });
      });
    }
    for (std::size_t other = 0; other < kVms && aWorld.budget_.memberships_ > 0;
         ++other) {
      Try(aWorld, aDepth, [&](World& aNext) {
        --aNext.budget_.memberships_;
        Tell(aNext,
             aVm,
             ChangeMembership{ Token{ 2 },
                               MembershipChangeKind::Remove,
                               aNext.disks_[other].id_ });
      });
    }
  }

  void Try(const World& aWorld,
           int aDepth,
           const std::function<void(World&)>& aEvent)
  {
    auto next = aWorld;
    aEvent(next);
    mostLeaders_ = std::max(mostLeaders_, next.leaders_.size());
    mostCommitted_ = std::max(mostCommitted_, next.committed_.size());
    Visit(next, aDepth - 1);
  }

  absl::flat_hash_map<std::uint64_t, int> seen_;
  std::uint64_t broken_{};
  std::size_t mostLeaders_{};
  std::size_t mostCommitted_{};
};

void
Print(const Exploration& aExploration)
{
  std::printf("states=%zu leaders=%zu committed=%zu\n",
              aExploration.States(),
              aExploration.MostLeaders(),
              aExploration.MostCommitted());
}

TEST(Exploration, EveryOrderOfElectionEventsKeepsOneLeaderATerm)
{
  auto world = VerifiedWorld(kVms);
  world.budget_ = { 3, 1, 1, 0, 0 };
  Exploration exploration;
  exploration.Visit(world, 10);
  EXPECT_EQ(exploration.Broken(), 0U);
  EXPECT_GE(exploration.MostLeaders(), 1U);
  Print(exploration);
}

TEST(Exploration, EveryOrderOfMembershipChangesKeepsWhatIsCommitted)
{
  auto world = VerifiedWorld(2);
  TimeOut(world, 0);
  Quiesce(world);
  ASSERT_TRUE(world.replicas_[0].HoldsLease(world.clocks_[0]));
  Tell(world,
       0,
       ChangeMembership{
         Token{ 1 }, MembershipChangeKind::AddLearner, world.disks_[2].id_ });
  Quiesce(world);
  Beat(world, 0);
  Quiesce(world);
  ASSERT_EQ(world.disks_[2].entries_.size(), world.disks_[0].entries_.size());
  world.budget_ = { 2, 1, 1, 1, 2 };
  Exploration exploration;
  exploration.Visit(world, 7);
  EXPECT_EQ(exploration.Broken(), 0U);
  Print(exploration);
}

} // namespace
} // namespace cornelshore::consensus
