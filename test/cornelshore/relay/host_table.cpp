#include <cornelshore/relay/host_table.hpp>

#include <algorithm>
#include <map>
#include <set>

#include <gtest/gtest.h>

namespace cornelshore::relay {
namespace {

constexpr TimePoint kStart{ std::chrono::hours{ 1 } };
constexpr ServiceId kService{ 7 };
const DataCentreId kHere{ 1 };
const DataCentreId kThere{ 2 };

HostRecord
RecordOf(std::uint64_t aHost, DataCentreId aWhere)
{
  HostRecord record;
  record.id_ = HostId{ aHost };
  record.incarnation_ = Incarnation{ 1 };
  record.service_ = kService;
  record.dataCentre_ = aWhere;
  record.slots_ = 2;
  record.state_ = HostState::Ready;
  return record;
}

FlowKey
KeyOf(std::uint16_t aPort)
{
  return { MakeIpv4(0x64400001U, aPort),
           MakeIpv4(0xC6120001U, 443),
           Transport::Tcp };
}

/** 10 local and 40 remote hosts, in an order given by the seed. */
HostTable
LargeTable(std::uint64_t aSeed)
{
  HostTableSettings settings;
  settings.dataCentre_ = kHere;
  HostTable table(settings, aSeed);
  for (std::uint64_t host = 1; host <= 50; ++host) {
    const auto id = aSeed % 2 == 0 ? host : 51 - host;
    table.Update(kStart, { RecordOf(id, id <= 10 ? kHere : kThere) });
  }
  return table;
}

// Failure guarded against: a balancer did not know the host beside an agent
// that had just started, and offered nothing once the host reported.
TEST(HostTable, AHostIsOfferedFlowsOnceItsAgentHeardFromIt)
{
  HostTable table(HostTableSettings{}, 1);
  auto record = RecordOf(1, kHere);
  record.state_ = HostState::Starting;
  EXPECT_TRUE(table.Update(kStart, { record }));
  EXPECT_EQ(table.Near(kService, KeyOf(1), 0).size(), 1U);
  EXPECT_FALSE(table.Pick(kStart, kService, KeyOf(1), {}));
  EXPECT_TRUE(table.AwaitsHostOf(kStart, kService));
  EXPECT_FALSE(
    table.AwaitsHostOf(kStart + std::chrono::seconds{ 2 }, kService));
  table.OnLoad(kStart, HostId{ 1 }, { 0, 0, 2, true, false });
  EXPECT_TRUE(table.Pick(kStart, kService, KeyOf(1), {}));
  record.state_ = HostState::Ready;
  record.sequence_ = 2;
  EXPECT_TRUE(table.Update(kStart, { record }));
  EXPECT_FALSE(table.Update(kStart, { record }));
}

// An agent that has just started learns from its watchers whether an earlier
// run of it lived after its host's start.
TEST(HostTable, WatchesSayWhenAnEarlierRunOfTheAgentWasHeard)
{
  using std::chrono::milliseconds;
  HostTable table(HostTableSettings{}, 1);
  const auto earlierRunIn = [&](TimePoint aNow) {
    const auto watches = table.TakeDueWatches(aNow);
    EXPECT_EQ(watches.size(), 1U);
    return watches.front().watch_.earlierRunHeardAgo_;
  };
  auto record = RecordOf(1, kHere);
  table.Update(kStart, { record });
  EXPECT_EQ(earlierRunIn(kStart), std::nullopt);
  table.OnLoad(kStart, HostId{ 1 }, { 0, 0, 2, true, false });

  record.incarnation_ = Incarnation{ 2 };
  const auto second = kStart + milliseconds{ 500 };
  table.Update(second, { record });
  EXPECT_EQ(earlierRunIn(second), milliseconds{ 500 });

  record.incarnation_ = Incarnation{ 3 };
  const auto third = kStart + milliseconds{ 700 };
  table.Update(third, { record });
  EXPECT_EQ(earlierRunIn(third), milliseconds{ 700 });
}

// The same for a host that left: until it reports to the new run of its agent,
// it gets no new flow.
TEST(HostTable, AHostThatLeftGetsNoFlowRightAfterItsAgentsRestart)
{
  using std::chrono::milliseconds;
  HostTable table(HostTableSettings{}, 1);
  auto record = RecordOf(1, kHere);
  record.state_ = HostState::Leaving;
  table.Update(kStart, { record });
  table.OnLoad(kStart, HostId{ 1 }, { 0, 0, 2, false, false });
  record.incarnation_ = Incarnation{ 2 };
  record.state_ = HostState::Ready;
  table.Update(kStart, { record });
  table.OnLoad(kStart, HostId{ 1 }, { 0, 0, 2, true, false });
  EXPECT_FALSE(table.Pick(kStart, kService, KeyOf(1), {}));
  const auto watches = table.TakeDueWatches(kStart);
  ASSERT_EQ(watches.size(), 1U);
  EXPECT_TRUE(watches.front().watch_.earlierRunLeaving_);
  const auto later = kStart + milliseconds{ 1500 };
  EXPECT_TRUE(table.Pick(later, kService, KeyOf(1), {}));
}

TEST(HostTable, BalancersOfADataCentreAgreeOnTheHostsNearAFlow)
{
  const auto one = LargeTable(1);
  const auto other = LargeTable(2);
  std::map<HostId, std::size_t> flows;
  for (std::uint16_t port = 0; port < 2000; ++port) {
    const auto near = one.Near(kService, KeyOf(port), 0);
    ASSERT_EQ(near.size(), 6U);
    EXPECT_EQ(near, other.Near(kService, KeyOf(port), 0));
    EXPECT_EQ(std::count_if(near.begin(),
                            near.end(),
                            [](HostId aId) { return aId.value_ <= 10; }),
              3);
    for (const auto host : near) {
      ++flows[host];
    }
  }
  for (const auto& [host, count] : flows) {
    const auto expected = host.value_ <= 10 ? 600.0 : 150.0;
    EXPECT_NEAR(static_cast<double>(count), expected, expected * 0.4);
  }
}

TEST(HostTable, AFlowsHostStaysNearItWhenAnotherComesOrGoes)
{
  const auto before = LargeTable(1);
  auto after = LargeTable(1);
  auto gone = RecordOf(30, kThere);
  gone.state_ = HostState::Gone;
  after.Update(kStart, { gone, RecordOf(60, kThere), RecordOf(61, kHere) });
  for (std::uint16_t port = 0; port < 500; ++port) {
    const auto now = after.Near(kService, KeyOf(port), 1);
    for (const auto host : before.Near(kService, KeyOf(port), 0)) {
      const auto found = std::find(now.begin(), now.end(), host);
      EXPECT_TRUE(host == HostId{ 30 } || found != now.end()) << port;
    }
  }
}

TEST(HostTable, ASmallServiceOffersAFlowToAnyHost)
{
  HostTable table(HostTableSettings{}, 1);
  for (std::uint64_t host = 1; host <= 8; ++host) {
    table.Update(kStart, { RecordOf(host, kThere) });
  }
  EXPECT_EQ(table.Near(kService, KeyOf(1), 0).size(), 8U);
}

TEST(HostTable, PicksAnotherHostOnceTheNearbyHostsWereTried)
{
  auto table = LargeTable(1);
  std::vector<HostId> tried;
  std::set<HostId> all;
  while (const auto host = table.Pick(kStart, kService, KeyOf(1), tried)) {
    tried.push_back(*host);
    EXPECT_TRUE(all.insert(*host).second);
  }
  EXPECT_EQ(all.size(), 50U);
  auto near = table.Near(kService, KeyOf(1), 0);
  std::vector<HostId> first(tried.begin(), tried.begin() + 6);
  std::sort(near.begin(), near.end());
  std::sort(first.begin(), first.end());
  EXPECT_EQ(first, near);
}

} // namespace
} // namespace cornelshore::relay
