#include <cornelshore/relay/near_search.hpp>

#include <map>
#include <set>
#include <vector>

#include <gtest/gtest.h>

#include <cornelshore/relay/balancer_fixture.hpp>

namespace cornelshore::relay {
namespace {

using std::chrono::seconds;

class NearSearchTest : public testing::Test
{
protected:
  NearSearchTest()
    : hosts_({}, 1)
    , search_({})
  {
    for (std::uint64_t host = 1; host <= 30; ++host) {
      hosts_.Update(kStart, { RecordOf(host, kBoards) });
    }
  }

  static FlowKey KeyOf(std::uint16_t aPort)
  {
    return KeyFromCaller(FromCaller(aPort, kBoardAddress, false));
  }

  static std::size_t ItemsIn(const std::vector<FarSearch::Outgoing>& aSent)
  {
    std::size_t items = 0;
    for (const auto& query : aSent) {
      items += query.query_.items_.size();
    }
    return items;
  }

  HostTable hosts_;
  NearSearch search_;
};

TEST_F(NearSearchTest, FlowsOfOneHostShareAMessage)
{
  for (std::uint16_t port = 1; port <= 15; ++port) {
    search_.Add(kStart, KeyOf(port), port, { HostId{ 3 }, HostId{ 4 } });
  }
  EXPECT_TRUE(search_.Take(kStart, hosts_).empty());
  const auto sent = search_.Take(kStart + kGather, hosts_);
  ASSERT_EQ(sent.size(), 2U);
  EXPECT_EQ(sent[0].query_.items_.size(), 15U);
  EXPECT_TRUE(NearSearch::IsNearQuery(sent[0].query_.id_));
  EXPECT_FALSE(search_.IsQueued(KeyOf(1)));
}

TEST_F(NearSearchTest, TellsHeldDeniedAndUnsureFlowsApart)
{
  search_.Add(kStart, KeyOf(1), 1, { HostId{ 3 } });
  search_.Add(kStart, KeyOf(2), 2, { HostId{ 3 } });
  search_.Add(kStart, KeyOf(3), 3, { HostId{ 3 } });
  const auto sent = search_.Take(kStart + kGather, hosts_);
  ASSERT_EQ(sent.size(), 1U);
  const auto& query = sent.front().query_;
  const auto keyAt = [&](std::size_t aIndex) {
    std::uint16_t port = 1;
    while (ShortHashOf(KeyOf(port)) != query.items_[aIndex].flow_) {
      ++port;
    }
    return KeyOf(port);
  };
  const QueryAnswer answer{ query.id_,
                            { Holding::Yes, Holding::No, Holding::Unsure } };
  EXPECT_TRUE(search_.OnAnswer(HostId{ 4 }, answer).held_.empty());
  const auto findings = search_.OnAnswer(HostId{ 3 }, answer);
  EXPECT_EQ(findings.held_, std::vector{ keyAt(0) });
  EXPECT_EQ(findings.denied_, std::vector{ keyAt(1) });
  EXPECT_EQ(findings.unsure_, std::vector{ keyAt(2) });
  EXPECT_TRUE(search_.OnAnswer(HostId{ 3 }, answer).held_.empty());
}

TEST_F(NearSearchTest, IgnoresAnAnswerOfAnotherLength)
{
  search_.Add(kStart, KeyOf(1), 1, { HostId{ 3 } });
  const auto sent = search_.Take(kStart + kGather, hosts_);
  const auto findings = search_.OnAnswer(
    HostId{ 3 }, { sent.front().query_.id_, { Holding::Yes, Holding::Yes } });
  EXPECT_TRUE(findings.held_.empty());
}

// Load pattern: a balancer with thousands of flows restarts. Its queries stay
// within their share of the link, and every flow is asked for in the end.
TEST_F(NearSearchTest, SendsWithinItsByteBudgetAndForgetsNoFlow)
{
  constexpr std::uint16_t kFlows = 2000;
  constexpr std::size_t kItemBytes = 10;
  for (std::uint16_t port = 1; port <= kFlows; ++port) {
    search_.Add(kStart, KeyOf(port), port, { HostId{ 1U + port % 30U } });
  }
  std::size_t items = 0;
  const NearSearchSettings settings;
  for (auto now = kStart + kGather; now < kStart + seconds{ 1 };
       now += kGather) {
    items += ItemsIn(search_.Take(now, hosts_));
    EXPECT_LE(items * kItemBytes, settings.burst_ + settings.bytesPerSecond_);
  }
  for (auto now = kStart + seconds{ 1 }; now < kStart + seconds{ 5 };
       now += kGather) {
    items += ItemsIn(search_.Take(now, hosts_));
  }
  EXPECT_EQ(items, kFlows);
}

} // namespace
} // namespace cornelshore::relay
