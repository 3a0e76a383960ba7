#include <cornelshore/relay/load_reports.hpp>

#include <gtest/gtest.h>

namespace cornelshore::relay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{ std::chrono::hours{ 1 } };
const Address kBalancer = MakeIpv4(0x0A000001U, 7720);
const Address kOther = MakeIpv4(0x0A000002U, 7720);

HostLoad
Busy(std::uint32_t aRequests)
{
  return { 10, aRequests, 4, true, false };
}

TEST(LoadReports, ReportsToEachWatchingBalancer)
{
  LoadReports reports{ LoadReportsSettings{} };
  EXPECT_TRUE(reports.Watch(kStart, kBalancer));
  EXPECT_FALSE(reports.Watch(kStart, kBalancer));
  EXPECT_TRUE(reports.Watch(kStart, kOther));
  EXPECT_EQ(reports.Take(kStart, Busy(1)).size(), 2U);
}

TEST(LoadReports, ReportsAChangeSoonAndAnUnchangedLoadEachSecond)
{
  LoadReports reports{ LoadReportsSettings{} };
  reports.Watch(kStart, kBalancer);
  EXPECT_EQ(reports.Take(kStart, Busy(1)).size(), 1U);
  EXPECT_TRUE(reports.Take(kStart + milliseconds{ 249 }, Busy(2)).empty());
  EXPECT_EQ(reports.Next(), kStart + milliseconds{ 250 });
  EXPECT_EQ(reports.Take(kStart + milliseconds{ 250 }, Busy(2)).size(), 1U);
  EXPECT_TRUE(reports.Take(kStart + milliseconds{ 1000 }, Busy(2)).empty());
  EXPECT_EQ(reports.Take(kStart + milliseconds{ 1250 }, Busy(2)).size(), 1U);
}

TEST(LoadReports, RemovesABalancerThatStoppedWatching)
{
  LoadReports reports{ LoadReportsSettings{} };
  reports.Watch(kStart, kBalancer);
  const auto later = kStart + seconds{ 4 };
  EXPECT_TRUE(reports.Take(later, Busy(1)).empty());
  EXPECT_EQ(reports.Watchers(), 0U);
  EXPECT_TRUE(reports.Watch(later, kBalancer));
}

TEST(LoadReports, ReportsLessOftenToManyWatchers)
{
  LoadReports reports{ LoadReportsSettings{} };
  for (std::uint16_t port = 1; port <= 24; ++port) {
    reports.Watch(kStart, MakeIpv4(0x0A000001U, port));
  }
  std::size_t told = 0;
  for (int step = 0; step < 100; ++step) {
    const auto now = kStart + step * milliseconds{ 20 };
    told += reports.Take(now, Busy(static_cast<std::uint32_t>(step))).size();
  }
  EXPECT_GE(told, 72U);
  EXPECT_LE(told, 96U);
}

TEST(LoadReports, ReportsAtOnceWhenForced)
{
  LoadReports reports{ LoadReportsSettings{} };
  reports.Watch(kStart, kBalancer);
  static_cast<void>(reports.Take(kStart, Busy(1)));
  EXPECT_EQ(reports.Take(kStart, Busy(1), true).size(), 1U);
}

} // namespace
} // namespace cornelshore::relay
