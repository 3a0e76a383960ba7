#include <cornelshore/dissemination/outreach.hpp>

#include <gtest/gtest.h>

namespace cornelshore::dissemination {
namespace {

constexpr TimePoint kStart{ std::chrono::hours{ 1 } };
constexpr Duration kAnswerTimeout = std::chrono::milliseconds(300);

TEST(Outreach, AsksNobodyFurtherWhileAllAnswer)
{
  Outreach outreach(8, kAnswerTimeout);
  EXPECT_FALSE(outreach.Due());
  outreach.Start(kStart, 2);
  EXPECT_EQ(outreach.TakeDue(kStart), 2U);
  outreach.Asked(NodeId{ 1 });
  outreach.Asked(NodeId{ 2 });
  EXPECT_EQ(outreach.TakeDue(kStart), 0U);
  outreach.Answered(NodeId{ 1 });
  outreach.Answered(NodeId{ 1 });
  outreach.Answered(NodeId{ 9 });
  EXPECT_EQ(outreach.Due(), kStart + kAnswerTimeout);
  EXPECT_TRUE(outreach.HasAsked(NodeId{ 1 }));
  EXPECT_FALSE(outreach.HasAsked(NodeId{ 9 }));
  outreach.Answered(NodeId{ 2 });
  EXPECT_FALSE(outreach.Due());
}

// Load pattern: most of a fleet is lost, so most of the peers asked are dead.
TEST(Outreach, AsksTwiceAsManyAfterEachTimeoutUpToALimit)
{
  Outreach outreach(8, kAnswerTimeout);
  outreach.Start(kStart, 1);
  auto now = kStart;
  for (const std::size_t expected : { 1U, 2U, 4U, 8U, 8U }) {
    EXPECT_EQ(outreach.TakeDue(now), expected);
    now += kAnswerTimeout;
  }
  outreach.Stop();
  EXPECT_EQ(outreach.TakeDue(now), 0U);
  outreach.Start(now, 1);
  EXPECT_EQ(outreach.TakeDue(now), 1U);
}

// Guards against rounds that keep a full link full: their answers are lost, so
// each one is repeated to ever more peers.
TEST(Outreach, WaitsLongerWhileManyLeaveItWithoutAnAnswer)
{
  Outreach outreach(4, kAnswerTimeout);
  outreach.Start(kStart, 1);
  std::size_t asked = 0;
  for (auto now = kStart; now <= kStart + kAnswerTimeout * 60;
       now += kAnswerTimeout) {
    asked += outreach.TakeDue(now);
  }
  EXPECT_LE(asked, 4U * 18);
  EXPECT_GE(asked, 4U * 15);
}

TEST(Outreach, AsksNobodyWhenNoAnswerIsNeeded)
{
  Outreach outreach(8, kAnswerTimeout);
  outreach.Start(kStart, 0);
  EXPECT_FALSE(outreach.Due());
}

TEST(Outreach, AsksInPlaceOfThoseThatDidNotAnswer)
{
  Outreach outreach(64, kAnswerTimeout);
  outreach.Start(kStart, 6);
  EXPECT_EQ(outreach.TakeDue(kStart), 6U);
  for (std::uint64_t peer = 1; peer <= 6; ++peer) {
    outreach.Asked(NodeId{ peer });
  }
  for (std::uint64_t peer = 1; peer <= 5; ++peer) {
    outreach.Answered(NodeId{ peer });
  }
  EXPECT_EQ(outreach.TakeDue(kStart + kAnswerTimeout), 2U);
}

// A round trip between regions takes 190 ms; it is no silence at 1 s a round.
TEST(Outreach, WaitsLongerThanARoundTripBetweenRegions)
{
  EXPECT_GT(AnswerTimeoutOf(std::chrono::seconds(1)),
            std::chrono::milliseconds(190));
}

} // namespace
} // namespace cornelshore::dissemination
