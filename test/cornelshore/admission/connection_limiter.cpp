#include <cornelshore/admission/connection_limiter.hpp>

#include <gtest/gtest.h>

#include "support.hpp"

namespace cornelshore::admission {
namespace {

constexpr std::uint32_t kLimit = 2000;

/** Opens flows of distinct callers until one is refused. */
std::uint32_t
Fill(ConnectionLimiter& aLimiter, ClassId aClass)
{
  std::uint32_t opened = 0;
  while (
    aLimiter.Open(At(0), aClass, CallerId{ std::uint64_t{ opened } * 7919 })
      .accepted_) {
    ++opened;
  }
  return opened;
}

TEST(ConnectionLimiter, KeepsFloorsWhicheverClassFloodsFirst)
{
  const auto service = MakeService({ { "boards", 9, 700, 400 },
                                     { "payments", 5, 1000, 300 },
                                     { "statements", 0, 600, 100 } });
  for (std::size_t first = 0; first < 3; ++first) {
    ConnectionLimiter limiter(1);
    limiter.Configure(service, kLimit);
    std::uint32_t total = 0;
    for (std::size_t step = 0; step < 3; ++step) {
      const auto& target = service.classes_[(first + step) % 3];
      const auto opened = Fill(limiter, target.id_);
      EXPECT_GE(opened, kLimit * target.keeps_ / kFullShare);
      EXPECT_LE(opened, kLimit * target.most_ / kFullShare);
      total += opened;
    }
    EXPECT_LE(total, kLimit);
  }
}

TEST(ConnectionLimiter, LeavesTheLastOfThePoolToTheUrgent)
{
  const auto service =
    MakeService({ { "urgent", 9, 1000, 0 }, { "rest", 0, 1000, 0 } });
  ConnectionLimiter limiter(1);
  limiter.Configure(service, kLimit);
  EXPECT_EQ(Fill(limiter, service.classes_[1].id_), kLimit - kLimit / 10);
  EXPECT_EQ(Fill(limiter, service.classes_[0].id_), kLimit / 10);
}

TEST(ConnectionLimiter, OneCallerTakesNoMoreThanItsPart)
{
  const auto service = MakeService({ { "boards", 9, 1000, 500 } });
  ConnectionLimiter limiter(1);
  limiter.Configure(service, kLimit);
  const auto id = service.classes_[0].id_;
  std::uint32_t opened = 0;
  auto answer = limiter.Open(At(0), id, CallerId{ 1 });
  while (answer.accepted_) {
    ++opened;
    answer = limiter.Open(At(0), id, CallerId{ 1 });
  }
  EXPECT_EQ(opened, kLimit / 2);
  EXPECT_EQ(answer.reason_, Refusal::CallerOverShare);
  EXPECT_GE(answer.retryAfter_, std::chrono::seconds{ 1 });
  EXPECT_TRUE(limiter.Open(At(0), id, CallerId{ 2 }).accepted_);
}

TEST(ConnectionLimiter, CutsNothingWhenTargetsShrink)
{
  ConnectionLimiter limiter(1);
  const auto before = MakeService({ { "boards", 9, 1000, 0 } });
  const auto id = before.classes_[0].id_;
  limiter.Configure(before, kLimit);
  Fill(limiter, id);
  limiter.Configure(MakeService({ { "boards", 9, 100, 0 } }), kLimit);
  EXPECT_EQ(limiter.Dump()[0].open_, kLimit);
  EXPECT_EQ(limiter.Open(At(0), id, CallerId{ 3 }).reason_, Refusal::OverLimit);
  for (std::uint32_t flow = 0; flow < kLimit + 5; ++flow) {
    limiter.Close(At(0), id, CallerId{ std::uint64_t{ flow } * 7919 });
  }
  EXPECT_EQ(limiter.Dump()[0].open_, 0U);
  EXPECT_EQ(Fill(limiter, id), kLimit / 10);
  EXPECT_EQ(limiter.Open(At(0), ClassId{ 5 }, {}).reason_,
            Refusal::UnknownClass);
}

} // namespace
} // namespace cornelshore::admission
