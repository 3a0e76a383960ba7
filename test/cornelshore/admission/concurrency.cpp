#include <cornelshore/admission/concurrency.hpp>

#include <gtest/gtest.h>

#include "support.hpp"

namespace cornelshore::admission {
namespace {

constexpr Duration kHold{ 100 * kMillisecond };

/** Keeps as many work items running as the limit allows. */
TimePoint
Work(Concurrency& aConcurrency,
     TimePoint aNow,
     int aRounds,
     double aSlowness,
     bool aThrashes = false)
{
  for (int round = 0; round < aRounds; ++round) {
    const auto limit = aConcurrency.Limit();
    const auto factor =
      aThrashes ? aSlowness * limit * limit / 16.0 : aSlowness;
    const auto hold = internal::FromSeconds(internal::Seconds(kHold) * factor);
    aNow += hold;
    for (std::uint32_t slot = 0; slot < limit; ++slot) {
      aConcurrency.OnFinish(aNow, Result::Done, hold, kHold);
    }
  }
  return aNow;
}

TEST(Concurrency, DoublesFromOneSlotInAColdStart)
{
  Concurrency concurrency;
  concurrency.SetSlots(4);
  EXPECT_EQ(concurrency.Limit(), 1U);
  auto now = Work(concurrency, At(0), 1, 1.0);
  EXPECT_EQ(concurrency.Limit(), 2U);
  Work(concurrency, now, 1, 1.0);
  EXPECT_EQ(concurrency.Limit(), 4U);
}

TEST(Concurrency, HalvesOnceARoundWhenTheUpstreamShedsAndReturns)
{
  Concurrency concurrency;
  concurrency.SetSlots(4);
  auto now = Work(concurrency, At(0), 20, 1.0);
  concurrency.OnFinish(now, Result::Shed, Duration{}, kHold);
  concurrency.OnFinish(now, Result::Shed, Duration{}, kHold);
  EXPECT_EQ(concurrency.Limit(), 2U);
  now += kHold + kHold;
  concurrency.OnFinish(now, Result::Shed, Duration{}, kHold);
  EXPECT_EQ(concurrency.Limit(), 1U);
  concurrency.OnFinish(now + kHold * 2, Result::Shed, Duration{}, kHold);
  EXPECT_EQ(concurrency.Limit(), 1U);
  Work(concurrency, now, 20, 1.0);
  EXPECT_EQ(concurrency.Limit(), 4U);
}

TEST(Concurrency, KeepsHalfOnlyWhereTheUpstreamThrashes)
{
  for (const bool thrashes : { false, true }) {
    Concurrency concurrency;
    concurrency.SetSlots(4);
    auto now = Work(concurrency, At(0), 50, 1.0);
    now = Work(concurrency, now, 12, 10.0, thrashes);
    EXPECT_EQ(concurrency.Limit(), thrashes ? 2U : 4U);
  }
}

TEST(Concurrency, GrowsWhileNothingFinishesAndIgnoresNonsense)
{
  Concurrency concurrency;
  concurrency.SetSlots(3);
  concurrency.OnFinish(At(0), Result::Done, Duration{ -5 }, kHold);
  concurrency.OnFinish(At(0), Result::Cancelled, Duration{ 5 }, kHold);
  EXPECT_EQ(concurrency.Limit(), 1U);
  concurrency.OnTimer(concurrency.NextGrowth(), false);
  EXPECT_EQ(concurrency.Limit(), 1U);
  concurrency.OnTimer(concurrency.NextGrowth(), true);
  concurrency.OnTimer(concurrency.NextGrowth(), true);
  EXPECT_EQ(concurrency.Limit(), 3U);
  EXPECT_EQ(concurrency.NextGrowth(), TimePoint::max());
  concurrency.SetSlots(0);
  EXPECT_EQ(concurrency.Limit(), 0U);
}

} // namespace
} // namespace cornelshore::admission
