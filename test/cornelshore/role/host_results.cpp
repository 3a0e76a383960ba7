#include <cornelshore/role/host_results.hpp>

#include <chrono>
#include <cstdint>
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

} // namespace
} // namespace cornelshore::role::internal
