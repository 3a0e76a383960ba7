#include <cornelshore/dissemination/node.hpp>

#include <algorithm>
#include <vector>

#include <gtest/gtest.h>

#include <cornelshore/dissemination/fleet.hpp>

namespace cornelshore::dissemination {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kControl = 5;
constexpr std::size_t kBalancers = 20;
constexpr std::size_t kAgents = 40;
constexpr std::size_t kFirstAgent = kControl + kBalancers;
constexpr std::size_t kAll = kFirstAgent + kAgents;
constexpr ConfigVersion kVersion{ 3 };

void
AnnounceReady(Fleet& aFleet, std::size_t aAgent, std::uint64_t aSequence)
{
  aFleet.Feed(aAgent,
              HostAnnounced{ RecordOf(
                aFleet.Members()[aAgent], aSequence, HostState::Ready) });
}

void
AcceptConfiguration(Fleet& aFleet)
{
  for (std::size_t control = 0; control < kControl; ++control) {
    aFleet.Feed(control, ConfigAccepted{ kVersion, "routes" });
  }
}

/** All hosts are ready and known everywhere; a configuration is in force. */
Fleet
RunningFleet(std::uint64_t aSeed)
{
  Fleet fleet(aSeed);
  Fill(fleet, kControl, kBalancers, kAgents);
  for (std::size_t index = 0; index < kAll; ++index) {
    auto& settings = fleet.Members()[index].settings_;
    settings.joiningRoundInterval_ = milliseconds(100);
    settings.bytesPerSecond_ = 40'000;
    settings.burstBytes_ = 1'000'000;
    fleet.Restart(index);
  }
  for (std::size_t agent = kFirstAgent; agent < kAll; ++agent) {
    AnnounceReady(fleet, agent, 2);
  }
  AcceptConfiguration(fleet);
  fleet.Feed(0, ControlConfirmed{ kVersion, 1 });
  fleet.RunFor(seconds(20));
  return fleet;
}

std::size_t
CountSynchronised(Fleet& aFleet)
{
  std::size_t count = 0;
  for (std::size_t index = kControl; index < kFirstAgent; ++index) {
    count += aFleet.At(index).ConfirmedAt() ? 1U : 0U;
  }
  return count;
}

// Guards against open flows reset after a restart of all balancers and agents:
// while control could not be reached, balancers that knew no host agreed on
// that and counted as synchronised, so that a flow's host seemed not to exist.
TEST(NodeRecovery, BalancersThatHaveNotReachedControlAreNotSynchronised)
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    auto fleet = RunningFleet(seed);
    fleet.seeds_ = kControl + 3;
    fleet.fate_ = [](std::size_t aFrom, std::size_t aTo) {
      const bool cut = (aFrom < kControl) != (aTo < kControl);
      return Fleet::Fate{ cut ? 0U : 1U, milliseconds(1) };
    };
    for (std::size_t index = kControl; index < kAll; ++index) {
      fleet.Restart(index);
    }
    std::size_t early = 0;
    fleet.RunUntil(fleet.Now() + seconds(6), [&] {
      early = std::max(early, CountSynchronised(fleet));
      return false;
    });
    EXPECT_EQ(early, 0U) << "seed " << seed;
    fleet.fate_ = [](std::size_t, std::size_t) { return Fleet::Fate{}; };
    fleet.Feed(0, ControlConfirmed{ kVersion, 1 });
    fleet.RunFor(seconds(5));
    EXPECT_EQ(CountSynchronised(fleet), kBalancers) << "seed " << seed;
    for (std::size_t index = kControl; index < kFirstAgent; ++index) {
      EXPECT_EQ(fleet.At(index).Hosts().size(), kAgents) << "seed " << seed;
    }
  }
}

// Guards against an agent that takes a newcomer's word: it agrees with a
// balancer that has never been synchronised itself, counts as confirmed, though
// long ago, and concludes that no record of its earlier run exists.
TEST(NodeRecovery, AgentsBesideBalancersThatWereNeverSynchronisedAreNotEither)
{
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    auto fleet = RunningFleet(seed);
    fleet.seeds_ = kControl + 3;
    fleet.fate_ = [](std::size_t aFrom, std::size_t aTo) {
      const bool cut = (aFrom < kControl) != (aTo < kControl);
      return Fleet::Fate{ cut ? 0U : 1U, milliseconds(1) };
    };
    for (std::size_t index = kControl; index < kAll; ++index) {
      fleet.Restart(index);
    }
    fleet.RunFor(seconds(6));
    std::size_t confirmed = 0;
    for (std::size_t agent = kFirstAgent; agent < kAll; ++agent) {
      confirmed += fleet.At(agent).ConfirmedAt() ? 1U : 0U;
    }
    EXPECT_EQ(CountSynchronised(fleet), 0U) << "seed " << seed;
    EXPECT_EQ(confirmed, 0U) << "seed " << seed;
  }
}

/** What a control VM holds, as its disk keeps it. */
std::vector<HostUpdate>
RecordsOf(const Node& aNode, TimePoint aNow)
{
  std::vector<HostUpdate> kept;
  for (const auto& record : aNode.Hosts().All()) {
    kept.push_back({ record, aNode.Hosts().AgeOf(aNow, record.id_) });
  }
  return kept;
}

/** Restarts all control VMs, which get their configuration back, and the first
 * ones their records. */
void
RestartControl(Fleet& aFleet,
               const std::vector<HostUpdate>& aKept,
               std::size_t aWithRecords = kControl)
{
  for (std::size_t control = 0; control < kControl; ++control) {
    aFleet.Restart(control);
    if (control < aWithRecords) {
      aFleet.Feed(control, HostsRecovered{ aKept, seconds(1) });
    }
  }
  AcceptConfiguration(aFleet);
}

HostState
StateAt(Fleet& aFleet, std::size_t aNode, std::size_t aAgent)
{
  const auto* record =
    aFleet.At(aNode).Hosts().Find(HostId{ Fleet::IdAt(aAgent).value_ });
  return record == nullptr ? HostState::Gone : record->state_;
}

std::size_t
CountReady(Fleet& aFleet, std::size_t aNode)
{
  std::size_t ready = 0;
  for (std::size_t agent = kFirstAgent; agent < kAll; ++agent) {
    ready += StateAt(aFleet, aNode, agent) == HostState::Ready ? 1U : 0U;
  }
  return ready;
}

/** All processes restart, the agents up to 4 s later than the others.
 * @param aWithRecords Control VMs that get their host records back.
 * @param aLostOneIn Messages of which one is lost; 0: none. */
void
RestartEverything(std::uint64_t aSeed,
                  std::size_t aWithRecords,
                  std::uint64_t aLostOneIn)
{
  auto fleet = RunningFleet(aSeed);
  RestartControl(fleet, RecordsOf(fleet.At(0), fleet.Now()), aWithRecords);
  fleet.fate_ = [&fleet, aLostOneIn](std::size_t, std::size_t) {
    const bool lost =
      aLostOneIn != 0 && fleet.Randomness().Below(aLostOneIn) == 0;
    return Fleet::Fate{ lost ? 0U : 1U, milliseconds(20) };
  };
  for (std::size_t index = kControl; index < kAll; ++index) {
    fleet.Restart(index);
    fleet.Members()[index].up_ = index < kFirstAgent;
  }
  std::vector<TimePoint> startAt;
  for (std::size_t agent = kFirstAgent; agent < kAll; ++agent) {
    startAt.push_back(fleet.Now() + milliseconds(static_cast<int>(
                                      fleet.Randomness().Below(4000))));
  }
  const auto confirmAt = fleet.Now() + milliseconds(300);
  bool confirmed = false;
  std::size_t early = 0;
  const auto step = [&] {
    if (!confirmed && fleet.Now() >= confirmAt) {
      confirmed = true;
      fleet.Feed(0, ControlConfirmed{ kVersion, 2 });
    }
    for (std::size_t agent = kFirstAgent; agent < kAll; ++agent) {
      if (!fleet.Members()[agent].up_ &&
          fleet.Now() >= startAt[agent - kFirstAgent]) {
        fleet.Restart(agent);
        AnnounceReady(fleet, agent, 1);
      }
    }
    for (std::size_t index = kControl; index < kFirstAgent; ++index) {
      early += fleet.At(index).ConfirmedAt() &&
                   fleet.At(index).Hosts().size() < kAgents
                 ? 1U
                 : 0U;
    }
    return false;
  };
  fleet.RunUntil(fleet.Now() + seconds(2), step);
  for (std::size_t index = kControl; index < kFirstAgent; ++index) {
    if (aWithRecords > 0) {
      EXPECT_EQ(fleet.At(index).Hosts().size(), kAgents) << "seed " << aSeed;
    }
  }
  fleet.RunUntil(fleet.Now() + seconds(8), step);
  EXPECT_EQ(early, 0U) << "seed " << aSeed;
  EXPECT_EQ(CountSynchronised(fleet), kBalancers) << "seed " << aSeed;
  for (std::size_t index = 0; index < kFirstAgent; ++index) {
    EXPECT_EQ(CountReady(fleet, index), kAgents) << "seed " << aSeed;
  }
}

// Guards against open flows reset after a restart of all processes: agents
// start up to 4 s after the balancers, and until then nobody knew their hosts,
// so that balancers agreed on too few and counted as synchronised.
TEST(NodeRecovery, NoBalancerIsSynchronisedWithoutAHostThatControlKnew)
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    RestartEverything(seed, kControl, 0);
  }
}

// Guards against the same where only one disk has the records and messages are
// lost.
TEST(NodeRecovery, TheRecordsOfOneDiskAreEnoughOnALossyNetwork)
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    RestartEverything(seed, 1, 5);
  }
}

// Guards against open flows reset after a restart of all processes where no
// control VM has records of an earlier run: at the first start of this release,
// or with a file that cannot be read.
TEST(NodeRecovery, NoBalancerIsSynchronisedEarlyWhereNoDiskHasRecords)
{
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    RestartEverything(seed, 0, 0);
  }
}

// Guards against hosts that stay out of use when control and the balancers
// restart beside agents that run on and have no reason to announce themselves.
TEST(NodeRecovery, HostsAreReadyAgainWhenOnlyTheirAgentsRanOn)
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    auto fleet = RunningFleet(seed);
    RestartControl(fleet, RecordsOf(fleet.At(0), fleet.Now()));
    for (std::size_t index = kControl; index < kFirstAgent; ++index) {
      fleet.Restart(index);
    }
    fleet.Feed(0, ControlConfirmed{ kVersion, 2 });
    fleet.RunFor(seconds(6));
    for (std::size_t index = 0; index < kFirstAgent; ++index) {
      EXPECT_EQ(CountReady(fleet, index), kAgents)
        << "seed " << seed << " node " << index;
    }
  }
}

// Guards against old records on control's disks that replace newer ones: hosts
// in use at a survivor become unusable, or a host that has left is used again.
TEST(NodeRecovery, OldRecordsReplaceNothingThatSurvivorsHold)
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    auto fleet = RunningFleet(seed);
    const auto kept = RecordsOf(fleet.At(0), fleet.Now());
    const std::size_t left = kFirstAgent;
    const std::size_t restarted = kFirstAgent + 1;
    fleet.Feed(
      left,
      HostAnnounced{ RecordOf(fleet.Members()[left], 3, HostState::Gone) });
    fleet.Restart(restarted);
    AnnounceReady(fleet, restarted, 1);
    fleet.RunFor(seconds(10));
    RestartControl(fleet, kept);
    const std::size_t newcomer = kControl + 3;
    fleet.Restart(newcomer);
    fleet.Feed(0, ControlConfirmed{ kVersion, 2 });
    std::size_t replaced = 0;
    fleet.RunUntil(fleet.Now() + seconds(5), [&] {
      for (std::size_t index = kControl; index < kFirstAgent; ++index) {
        const bool whole = CountReady(fleet, index) == kAgents - 1;
        const bool hasLeft = StateAt(fleet, index, left) == HostState::Gone;
        replaced += index != newcomer && !(whole && hasLeft) ? 1U : 0U;
      }
      return false;
    });
    EXPECT_EQ(replaced, 0U) << "seed " << seed;
    for (std::size_t index = 0; index < kFirstAgent; ++index) {
      EXPECT_EQ(CountReady(fleet, index), kAgents - 1)
        << "seed " << seed << " node " << index;
      EXPECT_EQ(StateAt(fleet, index, left), HostState::Gone)
        << "seed " << seed << " node " << index;
    }
  }
}

Node
ControlNode()
{
  NodeSettings settings;
  settings.self_ = NodeId{ 1 };
  settings.incarnation_ = Incarnation{ 9 };
  settings.role_ = membership::NodeRole::Control;
  settings.tombstoneLife_ = std::chrono::hours(6);
  return *Node::Builder(settings).Build();
}

HostUpdate
UpdateOf(std::uint64_t aHost, HostState aState, Duration aAge = {})
{
  HostRecord record;
  record.id_ = HostId{ aHost };
  record.incarnation_ = Incarnation{ 4 };
  record.sequence_ = 7;
  record.service_ = kService;
  record.agent_ = Fleet::AddressAt(aHost);
  record.state_ = aState;
  record.held_.set(5);
  return { record, aAge };
}

// Guards against flows opened at a host that no agent has confirmed since.
TEST(NodeRecovery, RecoveredHostsAreStartingAndTombstonesKeepTheirAge)
{
  auto node = ControlNode();
  const TimePoint now{ std::chrono::hours(50) };
  const auto actions =
    node.On(now,
            HostsRecovered{ { UpdateOf(20, HostState::Ready),
                              UpdateOf(21, HostState::Leaving),
                              UpdateOf(22, HostState::Gone, seconds(100)) },
                            seconds(30) });
  std::size_t changed = 0;
  for (const auto& action : actions) {
    EXPECT_FALSE(std::holds_alternative<Send>(action));
    const auto* hosts = std::get_if<HostsChanged>(&action);
    changed += hosts == nullptr ? 0 : hosts->records_.size();
  }
  EXPECT_EQ(changed, 3U);
  for (const std::uint64_t host : { 20U, 21U }) {
    const auto* record = node.Hosts().Find(HostId{ host });
    ASSERT_NE(record, nullptr);
    EXPECT_EQ(record->state_, HostState::Starting);
    EXPECT_EQ(record->incarnation_, Incarnation{ 4 });
    EXPECT_EQ(record->sequence_, 0U);
    EXPECT_TRUE(record->held_.none());
  }
  const auto* gone = node.Hosts().Find(HostId{ 22 });
  ASSERT_NE(gone, nullptr);
  EXPECT_EQ(gone->state_, HostState::Gone);
  EXPECT_EQ(gone->sequence_, 7U);
  EXPECT_EQ(node.Hosts().AgeOf(now, HostId{ 22 }), seconds(130));
}

// Guards against a host that left while a control VM was off for so long that
// every tombstone has expired: nothing would contradict the VM's old record.
TEST(NodeRecovery, RecordsOlderThanATombstonesLifeAreDropped)
{
  auto node = ControlNode();
  const TimePoint now{ std::chrono::hours(50) };
  static_cast<void>(node.On(now,
                            HostsRecovered{ { UpdateOf(20, HostState::Ready) },
                                            std::chrono::hours(6) }));
  EXPECT_EQ(node.Hosts().size(), 0U);
}

// Guards against a late recovery that takes back what the node has learned.
TEST(NodeRecovery, ARecoveredRecordLosesAgainstOneLearnedBefore)
{
  auto node = ControlNode();
  const TimePoint now{ std::chrono::hours(50) };
  auto known = UpdateOf(20, HostState::Ready);
  known.record_.sequence_ = 1;
  static_cast<void>(node.On(now, HostAnnounced{ known.record_ }));
  static_cast<void>(
    node.On(now, HostsRecovered{ { UpdateOf(20, HostState::Ready) }, {} }));
  EXPECT_EQ(*node.Hosts().Find(HostId{ 20 }), known.record_);
}

} // namespace
} // namespace cornelshore::dissemination
