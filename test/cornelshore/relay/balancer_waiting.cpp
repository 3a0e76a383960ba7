#include <cornelshore/relay/balancer.hpp>

#include <optional>
#include <vector>

#include <gtest/gtest.h>

#include <cornelshore/relay/balancer_fixture.hpp>

namespace cornelshore::relay {
namespace {

constexpr auto kInterval = milliseconds{ 20 };

// Load pattern: callers return together after an outage, to hosts that have
// just started. Every slot is taken, and openings arrive faster than slots
// become free.
class BalancerWaiting : public BalancerTest
{
protected:
  /** Reports the same number of requests in progress at each host of boards. */
  void ReportBusy(TimePoint aNow, std::uint32_t aBusy)
  {
    for (const std::uint64_t host : { 1U, 2U, 3U }) {
      balancer_.OnLoad(aNow, HostId{ host }, { 0, aBusy, 4, true, false });
    }
  }

  /** Answers an offer, and each that follows, with `Busy`; counts them. */
  std::size_t DeclineAll(TimePoint aNow, const Segment& aSegment)
  {
    std::size_t declined = 0;
    auto actions = Packet(aNow, aSegment);
    while (!HostsOf(actions).empty()) {
      const auto host = OfferIn(actions).host_;
      ++declined;
      actions.clear();
      balancer_.OnAnswer(aNow,
                         host,
                         { KeyFromCaller(aSegment),
                           Verdict::Busy,
                           { 0, 4, 4, true, false },
                           {} },
                         actions);
    }
    return declined;
  }

  /** Callers' ports of the openings that a tick offers, in order. */
  std::vector<std::uint16_t> OfferedAt(TimePoint aNow)
  {
    Balancer::Actions actions;
    balancer_.Tick(aNow, actions);
    std::vector<std::uint16_t> ports;
    for (const auto& action : actions) {
      if (const auto* send = std::get_if<ToAgent>(&action)) {
        ports.push_back(SegmentOf(send->relayedPacket_.packet_)->from_.port_);
      }
    }
    return ports;
  }
};

TEST_F(BalancerWaiting, AnOpeningThatAllDeclineCausesFewOffers)
{
  ReportBusy(kStart, 4);
  EXPECT_EQ(DeclineAll(kStart, FromCaller(1, kBoardAddress, true)), 4U);
  EXPECT_TRUE(OfferedAt(kStart + kInterval).empty());
}

TEST_F(BalancerWaiting, OffersTheNewestFirstAndNoMoreThanTheFreeSlots)
{
  ReportBusy(kStart, 4);
  for (std::uint16_t port = 1; port <= 5; ++port) {
    DeclineAll(kStart + milliseconds{ port },
               FromCaller(port, kBoardAddress, true));
  }
  const auto now = kStart + kInterval * 2;
  ReportBusy(now, 4);
  balancer_.OnLoad(now, HostId{ 2 }, { 0, 2, 4, true, false });
  EXPECT_EQ(OfferedAt(now), (std::vector<std::uint16_t>{ 5, 4 }));
  EXPECT_TRUE(OfferedAt(now + kInterval).empty());
}

TEST_F(BalancerWaiting, ADeclinedOfferOfAWaitingOpeningCausesNoOther)
{
  ReportBusy(kStart, 4);
  const auto opening = FromCaller(1, kBoardAddress, true);
  DeclineAll(kStart, opening);
  const auto now = kStart + kInterval;
  ReportBusy(now, 4);
  balancer_.OnLoad(now, HostId{ 3 }, { 0, 3, 4, true, false });
  ASSERT_EQ(OfferedAt(now).size(), 1U);
  Balancer::Actions actions;
  balancer_.OnAnswer(
    now,
    HostId{ 3 },
    { KeyFromCaller(opening), Verdict::Busy, { 0, 4, 4, true, false }, {} },
    actions);
  EXPECT_TRUE(HostsOf(actions).empty());
  ReportBusy(now + kInterval, 0);
  EXPECT_EQ(OfferedAt(now + kInterval).size(), 1U);
}

TEST_F(BalancerWaiting, TriesAHostWhoseReportIsOld)
{
  ReportBusy(kStart, 4);
  DeclineAll(kStart, FromCaller(1, kBoardAddress, true));
  DeclineAll(kStart, FromCaller(2, kBoardAddress, true));
  EXPECT_TRUE(OfferedAt(kStart + kInterval).empty());
  EXPECT_EQ(OfferedAt(kStart + milliseconds{ 150 }).size(), 2U);
}

TEST_F(BalancerWaiting, CopiesOfAWaitingOpeningCauseNoOffer)
{
  ReportBusy(kStart, 4);
  const auto opening = FromCaller(1, kBoardAddress, true);
  DeclineAll(kStart, opening);
  EXPECT_TRUE(HostsOf(Packet(kStart + milliseconds{ 600 }, opening)).empty());
}

TEST_F(BalancerWaiting, ForgetsAnOpeningThatItsCallerHasGivenUp)
{
  ReportBusy(kStart, 4);
  DeclineAll(kStart, FromCaller(1, kBoardAddress, true));
  for (auto now = kStart; now < kStart + milliseconds{ 1500 };
       now += kInterval) {
    ReportBusy(now, 4);
    OfferedAt(now);
  }
  EXPECT_EQ(balancer_.Flows(), 0U);
  ReportBusy(kStart + milliseconds{ 1500 }, 0);
  EXPECT_TRUE(OfferedAt(kStart + milliseconds{ 1500 }).empty());
}

// A host that has not reported its load for long is offered no opening; packets
// of its open flows go to it as before.
TEST_F(BalancerWaiting, AHostThatIsOnlySilentKeepsItsFlows)
{
  const auto opening = FromCaller(1, kBoardAddress, true);
  const auto host = OfferIn(Packet(kStart, opening)).host_.value_;
  Answer(kStart, host, opening, Verdict::Opened);
  const auto silent = kStart + std::chrono::seconds{ 20 };
  const auto packet = FromCaller(1, kBoardAddress, false);
  const auto actions = Packet(silent, packet);
  EXPECT_EQ(HostsOf(actions), std::set<std::uint64_t>{ host });
  EXPECT_EQ(ResetsIn(actions), 0U);
  EXPECT_EQ(OfferIn(actions).relayedPacket_.purpose_, Purpose::Direct);
}

} // namespace
} // namespace cornelshore::relay
