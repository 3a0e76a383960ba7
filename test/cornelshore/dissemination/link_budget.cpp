#include <cornelshore/dissemination/link_budget.hpp>

#include <gtest/gtest.h>

namespace cornelshore::dissemination {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{ seconds{ 3600 } };
constexpr std::uint32_t kOwnRate = 40'000;
constexpr std::uint32_t kOwnBurst = 1'000'000;

/** Bytes spent in messages of 500 bytes each millisecond for a time. */
std::size_t
SpendFor(LinkBudget& aBudget,
         TimePoint& aNow,
         Duration aLength,
         Priority aPriority,
         std::size_t aOtherPerMillisecond = 0)
{
  constexpr std::size_t kMessage = 500;
  std::size_t spent = 0;
  for (const auto end = aNow + aLength; aNow < end; aNow += milliseconds{ 1 }) {
    aBudget.NoteOther(aNow, aOtherPerMillisecond);
    while (aBudget.TrySpend(aNow, kMessage, aPriority)) {
      spent += kMessage;
    }
  }
  return spent;
}

TEST(LinkBudget, UsesNoMoreThanAQuarterOfAnyLinkInASecond)
{
  for (const std::uint64_t link : { 125'000, 250'000, 1'250'000 }) {
    LinkBudget budget(kOwnRate, kOwnBurst, link);
    auto now = kStart;
    for (int second = 0; second < 5; ++second) {
      EXPECT_LE(SpendFor(budget, now, seconds{ 1 }, Priority::Normal), link / 4)
        << link;
    }
  }
}

TEST(LinkBudget, KeepsItsOwnRateOnAFastLink)
{
  LinkBudget fast(kOwnRate, kOwnBurst, 125'000'000);
  LinkBudget unknown(kOwnRate, kOwnBurst, 0);
  auto now = kStart;
  const auto first = SpendFor(fast, now, seconds{ 1 }, Priority::Normal);
  EXPECT_GE(first, kOwnBurst);
  now = kStart;
  EXPECT_EQ(SpendFor(unknown, now, seconds{ 1 }, Priority::Normal), first);
}

// Callers' packets are sent whatever is left; records wait for room.
TEST(LinkBudget, YieldsToOtherTrafficOnAFullLink)
{
  constexpr std::uint64_t kLink = 250'000;
  LinkBudget budget(kOwnRate, kOwnBurst, kLink);
  auto now = kStart;
  SpendFor(budget, now, seconds{ 1 }, Priority::Normal, 300);
  EXPECT_EQ(SpendFor(budget, now, seconds{ 2 }, Priority::Normal, 300), 0U);
  SpendFor(budget, now, seconds{ 2 }, Priority::Normal, 40);
  EXPECT_GE(SpendFor(budget, now, seconds{ 2 }, Priority::Normal, 40),
            kLink / 8);
}

} // namespace
} // namespace cornelshore::dissemination
