#include "schedule.hpp"

#include <cstdlib>

#include <gtest/gtest.h>

namespace cornelshore::consensus {
namespace {

void
RunSchedules(std::size_t aVms, std::uint64_t aCount, std::uint64_t aSeed)
{
  std::uint64_t accepted = 0;
  std::uint64_t conflicts = 0;
  for (std::uint64_t run = 0; run < aCount; ++run) {
    ScheduleOptions options;
    options.seed_ = aSeed + run;
    options.vms_ = aVms;
    const auto result = Schedule(options).Run();
    const auto& breaches = result.breaches_;
    EXPECT_EQ(breaches.lost_, 0U) << "seed " << options.seed_;
    EXPECT_EQ(breaches.twice_, 0U) << "seed " << options.seed_;
    EXPECT_EQ(breaches.wrongAnswers_, 0U) << "seed " << options.seed_;
    EXPECT_EQ(breaches.reverts_, 0U) << "seed " << options.seed_;
    EXPECT_EQ(result.leadersOfOneTerm_, 0U) << "seed " << options.seed_;
    EXPECT_FALSE(result.stuck_) << "seed " << options.seed_;
    accepted += result.accepted_;
    conflicts += result.conflicts_;
  }
  EXPECT_GT(accepted, 10 * aCount);
  EXPECT_GT(conflicts, aCount);
}

TEST(Schedule, ThreeVmsKeepAHistoryLikeTheNaiveRegisters)
{
  RunSchedules(3, 300, 1);
}

TEST(Schedule, FiveVmsKeepAHistoryLikeTheNaiveRegisters)
{
  RunSchedules(5, 100, 100000);
}

} // namespace
} // namespace cornelshore::consensus
