#include <cornelshore/admission/shedder.hpp>

#include <algorithm>

#include <gtest/gtest.h>

#include "support.hpp"

namespace cornelshore::admission {
namespace {

constexpr std::uint32_t kHosts = 7;

/** Simulated balancer and hosts with a bounded total capacity. */
class Flood
{
public:
  Flood()
    : service_(MakeService({ { "a", 5, 1000, 0 } }))
    , shedder_(3)
  {
    shedder_.Configure({ ConfigVersion{ 1 }, { service_ } });
  }

  /** Runs for some seconds; returns the admitted work per second. */
  double Run(int aSeconds, double aRate, double aTaken)
  {
    const auto steps = aSeconds * 100;
    std::uint64_t passed = 0;
    for (int step = 0; step < steps; ++step) {
      now_ += Duration{ 10 * kMillisecond };
      due_ += aRate / 100;
      for (; due_ >= 1.0; due_ -= 1.0) {
        const CallerId caller{ ++next_ % callers_ };
        const auto answer =
          shedder_.Admit(now_, service_.id_, service_.classes_[0].id_, caller);
        passed += answer.passed_ ? 1 : 0;
        window_ += answer.passed_ ? 1.0 : 0.0;
        if (!answer.passed_) {
          shortest_ = std::min(shortest_, answer.retryAfter_);
          longest_ = std::max(longest_, answer.retryAfter_);
        }
      }
      if (step % 30 == 0) {
        Report(aTaken * 0.3);
      }
    }
    return static_cast<double>(passed) / aSeconds;
  }

  std::uint64_t callers_{ 40 };
  std::uint32_t liars_{};
  std::uint16_t lie_{};
  bool lost_{};
  Duration shortest_{ Duration::max() };
  Duration longest_{};

private:
  void Report(double aTaken)
  {
    const auto refused = std::max(0.0, 1.0 - aTaken / std::max(window_, 1e-9));
    window_ = 0.0;
    ++sequence_;
    for (std::uint32_t host = 1; host <= kHosts && !lost_; ++host) {
      const auto said =
        host <= liars_ ? lie_ : static_cast<std::uint16_t>(refused * 1000);
      const auto id = service_.classes_[0].id_;
      shedder_.OnPushback(
        now_, HostId{ host }, { {}, sequence_, { { id, said, {} } } });
      const Pushback old{ {}, sequence_ - 1, { { id, 1000, {} } } };
      shedder_.OnPushback(now_, HostId{ host }, old);
    }
  }

  ServiceTarget service_;
  Shedder shedder_;
  TimePoint now_{ At(kSecond) };
  double due_{};
  double window_{};
  std::uint64_t next_{};
  std::uint64_t sequence_{ 1 };
};

TEST(Shedder, PassesAllWhileHostsTakeItAll)
{
  Flood flood;
  EXPECT_EQ(flood.Run(10, 100.0, 200.0), 100.0);
}

TEST(Shedder, FollowsWhatHostsTakeInAFloodAndLetsGoAfterIt)
{
  for (const double times : { 10.0, 100.0 }) {
    Flood flood;
    flood.Run(5, 100.0 * times, 100.0);
    for (const auto callers : { 40U, 4000U }) {
      flood.callers_ = callers;
      flood.Run(5, 100.0 * times, 100.0);
      const auto passed = flood.Run(20, 100.0 * times, 100.0);
      EXPECT_GT(passed, 100.0);
      EXPECT_LT(passed, 160.0);
    }
    EXPECT_GE(flood.longest_, 2 * flood.shortest_);
    flood.Run(10, 50.0, 100.0);
    EXPECT_EQ(flood.Run(5, 50.0, 100.0), 50.0);
  }
}

TEST(Shedder, MinorityOfLiarsMovesNothing)
{
  for (const auto lie : { std::uint16_t{ 0 }, std::uint16_t{ 1000 } }) {
    Flood flood;
    flood.liars_ = 3;
    flood.lie_ = lie;
    EXPECT_EQ(flood.Run(10, 50.0, 100.0), 50.0) << lie;
    flood.Run(5, 1000.0, 100.0);
    const auto passed = flood.Run(20, 1000.0, 100.0);
    EXPECT_GT(passed, 100.0) << lie;
    EXPECT_LT(passed, 160.0) << lie;
  }
}

TEST(Shedder, ShedsNothingForGoodWhenReportsStop)
{
  Flood flood;
  flood.Run(10, 1000.0, 100.0);
  flood.lost_ = true;
  flood.Run(60, 200.0, 100.0);
  EXPECT_EQ(flood.Run(5, 200.0, 100.0), 200.0);
}

/** At low rates a caller rarely arrives twice in one period. */
TEST(Shedder, LimitsSparseCallersToo)
{
  Flood flood;
  flood.callers_ = 100;
  flood.Run(20, 100.0, 5.0);
  const auto passed = flood.Run(60, 100.0, 5.0);
  EXPECT_GT(passed, 5.0);
  EXPECT_LT(passed, 10.0);
}

TEST(Shedder, RefusesUnknownClassesAndForeignServices)
{
  const auto service = MakeService({ { "a", 5, 1000, 0 } });
  Shedder shedder(1);
  shedder.Configure({ ConfigVersion{ 1 }, { service } });
  const auto id = service.classes_[0].id_;
  EXPECT_EQ(shedder.Admit(At(0), ServiceId{ 1 }, id, {}).reason_,
            Refusal::UnknownClass);
  EXPECT_EQ(shedder.Admit(At(0), service.id_, ClassId{ 1 }, {}).reason_,
            Refusal::UnknownClass);
  shedder.OnPushback(At(0), {}, { {}, 1, { { ClassId{ 1 }, 1000, {} } } });
  EXPECT_TRUE(shedder.Admit(At(0), service.id_, id, {}).passed_);
}

} // namespace
} // namespace cornelshore::admission
