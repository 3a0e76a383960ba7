#include <cornelshore/role/host_results.hpp>

#include <chrono>
#include <cstdint>
#include <limits>
#include <vector>

#include <gtest/gtest.h>

#include <cornelshore/request/balancer.hpp>

namespace cornelshore::role::internal {
namespace {

constexpr ServiceId kService{ 1 };
constexpr ClassId kClass{ 2 };

std::vector<HostRecord>
Hosts(std::size_t aCount)
{
  std::vector<HostRecord> hosts(aCount);
  for (std::size_t index = 0; index < aCount; ++index) {
    hosts[index].id_ = HostId{ index + 1 };
    hosts[index].service_ = kService;
    hosts[index].state_ = HostState::Ready;
  }
  return hosts;
}

/** Share of tickets assigned to host 1 when it answers in `aHostOneLatency`. */
double
ShareOfHostOne(Duration aHostOneLatency)
{
  constexpr std::uint64_t kRequests = 4000;
  const auto hosts = Hosts(4);
  HostResults results(1);
  TimePoint now{ std::chrono::hours{ 1 } };
  results.SetHosts(now, kService, hosts);
  std::uint64_t total = 0;
  std::uint64_t atHostOne = 0;
  for (std::uint64_t number = 0; number < kRequests; ++number) {
    now += std::chrono::milliseconds{ 20 };
    results.Tick(now);
    request::TicketRequest ticket;
    ticket.id_ = { 1, number };
    ticket.work_ = { kService, kClass, 1 };
    const auto candidates = results.SelectHosts(now, ticket, hosts);
    const auto home = request::PickHome(ticket.id_, kService, candidates);
    request::Submit submit;
    submit.key_ = { ticket.id_, { { home, Incarnation{ 1 }, {} }, {} } };
    submit.work_ = ticket.work_;
    submit.timeLeft_ = std::chrono::seconds{ 10 };
    results.OnRelayed(now, submit);
    request::AnswerPart answer;
    answer.key_ = submit.key_;
    const auto latency =
      home == HostId{ 1 } ? aHostOneLatency : std::chrono::milliseconds{ 10 };
    results.OnReply(now + latency, answer);
    if (number >= kRequests / 2) {
      ++total;
      atHostOne += home == HostId{ 1 } ? 1U : 0U;
    }
  }
  return static_cast<double>(atHostOne) / static_cast<double>(total);
}

TEST(HostResults, AvoidsAHostTenTimesSlowerThanItsPeers)
{
  EXPECT_GT(ShareOfHostOne(std::chrono::milliseconds{ 10 }), 0.2);
  EXPECT_LT(ShareOfHostOne(std::chrono::milliseconds{ 100 }), 0.05);
}

TEST(HostResults, CountsALostHostAsLateAndNeverAvoidsTheLastHost)
{
  const auto hosts = Hosts(1);
  HostResults results(1);
  TimePoint now{ std::chrono::hours{ 1 } };
  results.SetHosts(now, kService, hosts);
  for (std::uint64_t number = 0; number < 200; ++number) {
    now += std::chrono::milliseconds{ 500 };
    request::Submit submit;
    submit.key_ = { { 1, number },
                    { { HostId{ 1 }, Incarnation{ 1 }, {} }, {} } };
    submit.work_ = { kService, kClass, 1 };
    submit.timeLeft_ = std::chrono::milliseconds{ 100 };
    results.OnRelayed(now, submit);
    results.Tick(now);
    request::TicketRequest ticket;
    ticket.work_ = submit.work_;
    EXPECT_EQ(results.SelectHosts(now, ticket, hosts).size(), 1U);
  }
}

// Guards against one caller's odd time left (the largest number, or none) that
// counts as a host's late answer and turns the other callers' requests away.
TEST(HostResults, AnOddTimeLeftCountsAgainstNoHost)
{
  constexpr auto kMost = std::numeric_limits<Duration::rep>::max();
  const auto hosts = Hosts(4);
  for (const auto timeLeft : { Duration{ kMost },
                               Duration{ kMost / 2 },
                               Duration::zero(),
                               Duration{ -1 },
                               Duration{ -kMost - 1 } }) {
    HostResults results(1);
    TimePoint now{ std::chrono::hours{ 1 } };
    results.SetHosts(now, kService, hosts);
    for (std::uint64_t number = 0; number < 4000; ++number) {
      now += std::chrono::milliseconds{ 20 };
      results.Tick(now);
      request::Submit submit;
      submit.key_ = { { 1, number },
                      { { hosts[number % 4].id_, Incarnation{ 1 }, {} }, {} } };
      submit.work_ = { kService, kClass, 1 };
      submit.timeLeft_ = std::chrono::seconds{ 10 };
      if (number % 8 == 0) {
        submit.timeLeft_ = timeLeft;
        results.OnRelayed(now, submit);
        continue;
      }
      results.OnRelayed(now, submit);
      request::AnswerPart answer;
      answer.key_ = submit.key_;
      results.OnReply(now + std::chrono::milliseconds{ 10 }, answer);
    }
    EXPECT_TRUE(results.Avoided().empty()) << timeLeft.count();
  }
}

// Guards against calls with a time left of years that no host answers: they
// must not take the places of those that are awaited.
TEST(HostResults, ATimeLeftOfYearsTakesNoPlaceForEver)
{
  const auto hosts = Hosts(4);
  HostResults results(1);
  TimePoint now{ std::chrono::hours{ 1 } };
  results.SetHosts(now, kService, hosts);
  request::Submit submit;
  submit.work_ = { ServiceId{ 9 }, kClass, 1 };
  submit.timeLeft_ = std::chrono::hours{ 24 * 365 };
  for (std::uint64_t number = 0; number < 200'000; ++number) {
    submit.key_ = { { 2, number },
                    { { HostId{ 3 }, Incarnation{ 1 }, {} }, {} } };
    results.OnRelayed(now, submit);
  }
  now += std::chrono::minutes{ 10 };
  results.Tick(now);
  submit.work_ = { kService, kClass, 1 };
  submit.timeLeft_ = std::chrono::milliseconds{ 100 };
  for (std::uint64_t number = 0; number < 2000; ++number) {
    now += std::chrono::milliseconds{ 20 };
    results.Tick(now);
    const auto home = HostId{ 1 + number % 4 };
    submit.key_ = { { 1, number }, { { home, Incarnation{ 1 }, {} }, {} } };
    results.OnRelayed(now, submit);
    if (home != HostId{ 1 }) {
      request::AnswerPart answer;
      answer.key_ = submit.key_;
      results.OnReply(now + std::chrono::milliseconds{ 10 }, answer);
    }
  }
  EXPECT_EQ(results.Avoided(), std::vector<HostId>{ HostId{ 1 } });
}

} // namespace
} // namespace cornelshore::role::internal
