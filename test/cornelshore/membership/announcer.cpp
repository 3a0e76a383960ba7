#include <cornelshore/membership/announcer.hpp>

#include <gtest/gtest.h>

namespace cornelshore::membership {
namespace {

constexpr TimePoint kStart{ std::chrono::hours(1) };

Announcer
Announce()
{
  HostRecord record;
  record.id_ = HostId{ 1 };
  record.incarnation_ = Incarnation{ 4 };
  record.service_ = ServiceId{ 1 };
  return *Announcer::Builder(record).Build();
}

TEST(Announcer, ChangesReadinessFreelyButNeverComesBackFromLeaving)
{
  auto announcer = Announce();
  EXPECT_EQ(announcer.Enter(kStart, HostState::Ready)->sequence_, 2U);
  EXPECT_FALSE(announcer.Enter(kStart, HostState::Ready).has_value());
  EXPECT_EQ(announcer.Enter(kStart, HostState::Starting)->sequence_, 3U);
  EXPECT_EQ(announcer.Enter(kStart, HostState::Ready)->sequence_, 4U);
  EXPECT_EQ(announcer.Enter(kStart, HostState::Leaving)->sequence_, 5U);
  EXPECT_FALSE(announcer.Enter(kStart, HostState::Ready).has_value());
  EXPECT_FALSE(announcer.Enter(kStart, HostState::Starting).has_value());
  EXPECT_EQ(announcer.Enter(kStart, HostState::Gone)->sequence_, 6U);
}

TEST(Announcer, AnnouncesHeldBucketsOnceAnInterval)
{
  auto announcer = Announce();
  BucketSet held;
  int announced = 0;
  for (std::size_t step = 0; step < 1000; ++step) {
    const auto now = kStart + std::chrono::milliseconds(100 * step);
    held.flip(step % kBucketCount);
    announced += announcer.Hold(now, held) ? 1 : 0;
    announced += announcer.Tick(now) ? 1 : 0;
  }
  EXPECT_LE(announced, 21);
  EXPECT_GE(announced, 19);
  EXPECT_TRUE(announcer.Tick(*announcer.NextTimer()).has_value());
  EXPECT_EQ(announcer.Record().held_, held);
}

TEST(Announcer, RefutesItsDeathAndStopsForALaterRun)
{
  auto announcer = Announce();
  auto gone = announcer.Record();
  gone.state_ = HostState::Gone;
  EXPECT_EQ(announcer.Seen(kStart, gone)->sequence_, 2U);
  EXPECT_FALSE(announcer.Seen(kStart, gone).has_value());
  gone.sequence_ = 7;
  EXPECT_FALSE(announcer.Seen(kStart, gone).has_value());
  const auto due = *announcer.NextTimer();
  EXPECT_EQ(due, kStart + std::chrono::seconds(10));
  EXPECT_EQ(announcer.Tick(due)->sequence_, 8U);
  EXPECT_FALSE(announcer.Superseded());
  gone.incarnation_ = Incarnation{ 5 };
  EXPECT_FALSE(announcer.Seen(due, gone).has_value());
  EXPECT_TRUE(announcer.Superseded());
}

} // namespace
} // namespace cornelshore::membership
