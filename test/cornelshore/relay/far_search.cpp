#include <cornelshore/relay/far_search.hpp>

#include <set>

#include <gtest/gtest.h>

namespace cornelshore::relay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{ std::chrono::hours{ 1 } };
constexpr auto kGather = milliseconds{ 10 };

FlowKey
KeyOf(std::uint16_t aPort)
{
  return { MakeIpv4(0x64400001U, aPort),
           MakeIpv4(0xC6120001U, 443),
           Transport::Tcp };
}

HostRecord
RecordOf(std::uint64_t aHost)
{
  HostRecord record;
  record.id_ = HostId{ aHost };
  record.incarnation_ = Incarnation{ 1 };
  record.agent_ = MakeIpv4(0x0A000000U + static_cast<std::uint32_t>(aHost), 7);
  record.state_ = HostState::Ready;
  return record;
}

class FarSearchTest : public testing::Test
{
protected:
  FarSearchTest()
    : hosts_(HostTableSettings{}, 1)
    , search_(FarSearchSettings{})
  {
    for (std::uint64_t host = 1; host <= 3; ++host) {
      hosts_.Update(kStart, { RecordOf(host) });
      hosts_.OnLoad(kStart, HostId{ host }, { 0, 0, 4, true, false });
    }
  }

  std::set<std::uint32_t> Asked(TimePoint aNow)
  {
    std::set<std::uint32_t> agents;
    auto due = search_.Take(aNow, hosts_);
    unresolved_ = std::move(due.unresolved_);
    for (auto& outgoing : due.queries_) {
      agents.insert(outgoing.agent_.ip_[15]);
      query_ = std::move(outgoing.query_);
    }
    return agents;
  }

  FarSearch::Findings Answer(std::uint64_t aHost, Holding aHolding)
  {
    QueryAnswer answer;
    answer.id_ = query_.id_;
    answer.holdings_.assign(query_.items_.size(), aHolding);
    return search_.OnAnswer(HostId{ aHost }, answer);
  }

  HostTable hosts_;
  FarSearch search_;
  Query query_;
  std::vector<FarSearch::Unresolved> unresolved_;
};

using Agents = std::set<std::uint32_t>;

TEST_F(FarSearchTest, DeniesAFlowOnceEveryHostDid)
{
  search_.Add(kStart, KeyOf(1), 7);
  EXPECT_EQ(search_.Next(), kStart + kGather);
  EXPECT_TRUE(Asked(kStart).empty());
  EXPECT_EQ(Asked(kStart + kGather), (Agents{ 1, 2, 3 }));
  EXPECT_TRUE(Answer(1, Holding::No).denied_.empty());
  EXPECT_TRUE(Answer(1, Holding::No).denied_.empty());
  EXPECT_TRUE(Answer(2, Holding::No).denied_.empty());
  EXPECT_EQ(Answer(3, Holding::No).denied_, std::vector{ KeyOf(1) });
  EXPECT_TRUE(Answer(3, Holding::No).denied_.empty());
}

// Failure guarded against: a host that cannot tell was sent packets before the
// others had answered, or counted as a host that denies the flow.
TEST_F(FarSearchTest, NamesUnsureHostsOnceAllOthersHaveDeniedTheFlow)
{
  search_.Add(kStart, KeyOf(1), 0);
  static_cast<void>(Asked(kStart + kGather));
  EXPECT_TRUE(Answer(1, Holding::Unsure).undecided_.empty());
  EXPECT_TRUE(Answer(2, Holding::No).undecided_.empty());
  const auto findings = Answer(3, Holding::No);
  EXPECT_TRUE(findings.denied_.empty());
  ASSERT_EQ(findings.undecided_.size(), 1U);
  EXPECT_EQ(findings.undecided_.front().key_, KeyOf(1));
  EXPECT_EQ(findings.undecided_.front().unsure_, std::vector{ HostId{ 1 } });
}

// Failure guarded against: a host that is gone without a word held searches
// back at unsure hosts, or counted as one that denies the flow.
TEST_F(FarSearchTest, NamesUnsureHostsWithoutASilentOneAndDeniesNothing)
{
  const auto now = kStart + seconds{ 10 };
  for (const std::uint64_t host : { 1U, 2U }) {
    hosts_.OnLoad(now, HostId{ host }, { 0, 0, 4, true, false });
  }
  search_.Add(now, KeyOf(1), 0);
  EXPECT_EQ(Asked(now + kGather), (Agents{ 1, 2, 3 }));
  EXPECT_TRUE(Answer(1, Holding::Unsure).undecided_.empty());
  const auto findings = Answer(2, Holding::No);
  EXPECT_TRUE(findings.denied_.empty());
  ASSERT_EQ(findings.undecided_.size(), 1U);
  EXPECT_TRUE(findings.undecided_.front().silentLeft_);
}

TEST_F(FarSearchTest, NeverDeniesAFlowThatOneHostHolds)
{

  search_.Add(kStart + seconds{ 1 }, KeyOf(2), 0);
  static_cast<void>(Asked(kStart + seconds{ 1 } + kGather));
  EXPECT_EQ(Answer(1, Holding::Yes).held_, std::vector{ KeyOf(2) });
  EXPECT_TRUE(Answer(2, Holding::No).denied_.empty());
  EXPECT_TRUE(Answer(3, Holding::No).denied_.empty());
}

TEST_F(FarSearchTest, RetriesAnUnresponsiveHostAndThenReportsItUnresolved)
{
  search_.Add(kStart, KeyOf(1), 0);
  auto now = kStart + kGather;
  static_cast<void>(Asked(now));
  Answer(1, Holding::No);
  Answer(2, Holding::No);
  now += milliseconds{ 300 };
  EXPECT_EQ(Asked(now), Agents{ 3 });
  search_.Add(now, KeyOf(1), 0);
  now += milliseconds{ 500 };
  EXPECT_TRUE(Asked(now).empty());
  ASSERT_EQ(unresolved_.size(), 1U);
  EXPECT_TRUE(unresolved_.front().unsure_.empty());
  EXPECT_EQ(unresolved_.front().key_, KeyOf(1));
  EXPECT_EQ(unresolved_.front().unresponsive_, std::vector{ HostId{ 3 } });
  EXPECT_TRUE(Answer(3, Holding::No).denied_.empty());
  search_.Add(now, KeyOf(1), 0);
  EXPECT_EQ(Asked(now + kGather), (Agents{ 1, 2, 3 }));
}

// Failure guarded against: each host that a restarted fleet announced began the
// queries anew at the same host, so that others were never asked.
TEST_F(FarSearchTest, AsksANewHostWithoutAskingTheOthersAgain)
{
  search_.Add(kStart, KeyOf(1), 0);
  static_cast<void>(Asked(kStart + kGather));
  Answer(1, Holding::No);
  hosts_.Update(kStart, { RecordOf(4) });
  search_.AddHosts({ HostId{ 4 } });
  EXPECT_EQ(Asked(kStart + 2 * kGather), Agents{ 4 });
  Answer(2, Holding::No);
  EXPECT_TRUE(Answer(3, Holding::No).denied_.empty());
  EXPECT_EQ(Answer(4, Holding::No).denied_, std::vector{ KeyOf(1) });
}

TEST_F(FarSearchTest, BeginsEachQueryAtAnotherHost)
{
  std::set<std::uint32_t> first;
  auto now = kStart;
  for (std::uint16_t port = 1; port <= 3; ++port) {
    now += seconds{ 1 };
    search_.Add(now, KeyOf(port), 0);
    const auto due = search_.Take(now + kGather, hosts_);
    ASSERT_EQ(due.queries_.size(), 3U);
    first.insert(due.queries_.front().agent_.ip_[15]);
    search_.Forget(KeyOf(port));
  }
  EXPECT_EQ(first, (Agents{ 1, 2, 3 }));
}

TEST_F(FarSearchTest, BoundsTheConcurrentQueries)
{
  for (std::uint16_t port = 0; port < 100; ++port) {
    search_.Add(kStart, KeyOf(port), 0);
  }
  auto now = kStart + kGather;
  EXPECT_EQ(search_.Take(now, hosts_).queries_.size(), 2 * 3U);
  EXPECT_TRUE(search_.Take(now + kGather, hosts_).queries_.empty());
  std::set<std::uint32_t> asked;
  for (int step = 0; step < 400; ++step) {
    now += kGather;
    for (const auto& outgoing : search_.Take(now, hosts_).queries_) {
      for (const auto& item : outgoing.query_.items_) {
        asked.insert(item.flow_);
      }
    }
  }
  EXPECT_EQ(asked.size(), 100U);
  EXPECT_EQ(search_.Next(), TimePoint::max());
}

TEST_F(FarSearchTest, BoundsItsMessagesPerSecond)
{
  std::size_t messages = 0;
  for (std::uint16_t port = 0; port < 20'000; ++port) {
    const auto now = kStart + milliseconds{ port };
    search_.Add(now, KeyOf(port), 0);
    auto due = search_.Take(now, hosts_);
    messages += due.queries_.size();
    for (auto& outgoing : due.queries_) {
      query_ = std::move(outgoing.query_);
      Answer(outgoing.agent_.ip_[15], Holding::No);
    }
  }
  EXPECT_GE(messages, 90U + 1'700U);
  EXPECT_LE(messages, 90U + 1'800U + 2 * 3U);
}

// Load pattern: a search among hundreds of hosts from behind a slow link. Sent
// at once, its messages blocked the link for seconds, with all that followed.
TEST_F(FarSearchTest, SpreadsAQueryToManyHostsOverTime)
{
  constexpr std::size_t kHosts = 270;
  constexpr std::size_t kMostAtOnce = 91;
  for (std::uint64_t host = 1; host <= kHosts; ++host) {
    auto record = RecordOf(host);
    record.agent_ = MakeIpv4(0x0A000000U + static_cast<std::uint32_t>(host), 7);
    hosts_.Update(kStart, { record });
    hosts_.OnLoad(kStart, HostId{ host }, { 0, 0, 4, true, false });
  }
  search_.Add(kStart, KeyOf(1), 0);
  std::set<Address> asked;
  std::vector<FlowKey> denied;
  for (auto now = kStart + kGather; now < kStart + seconds{ 4 };
       now += kGather) {
    const auto due = search_.Take(now, hosts_);
    EXPECT_LE(due.queries_.size(), kMostAtOnce);
    EXPECT_TRUE(due.unresolved_.empty());
    for (const auto& outgoing : due.queries_) {
      asked.insert(outgoing.agent_);
      const auto host = std::uint64_t{ outgoing.agent_.ip_[14] } << 8U |
                        outgoing.agent_.ip_[15];
      const auto findings = search_.OnAnswer(
        HostId{ host }, { outgoing.query_.id_, { Holding::No } });
      denied.insert(
        denied.end(), findings.denied_.begin(), findings.denied_.end());
    }
  }
  EXPECT_EQ(asked.size(), kHosts);
  EXPECT_EQ(denied, std::vector{ KeyOf(1) });
}

TEST_F(FarSearchTest, SkipsHostsThatAreGoneOrLongUnresponsive)
{
  auto gone = RecordOf(1);
  gone.state_ = HostState::Gone;
  hosts_.Update(kStart, { gone });
  const auto now = kStart + seconds{ 80 };
  hosts_.OnLoad(now, HostId{ 2 }, { 0, 0, 4, true, false });
  search_.Add(now, KeyOf(1), 0);
  EXPECT_EQ(Asked(now + kGather), Agents{ 2 });
  EXPECT_EQ(Answer(2, Holding::No).denied_, std::vector{ KeyOf(1) });
}

} // namespace
} // namespace cornelshore::relay
