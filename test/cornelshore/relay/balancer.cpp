#include <cornelshore/relay/balancer_fixture.hpp>

#include <vector>

namespace cornelshore::relay {
namespace {

TEST_F(BalancerTest, OffersAnOpeningToOneHostOfTheRoutesService)
{
  for (std::uint16_t port = 1; port <= 200; ++port) {
    const auto hosts =
      HostsOf(Packet(kStart, FromCaller(port, kBoardAddress, true)));
    ASSERT_EQ(hosts.size(), 1U);
    EXPECT_LE(*hosts.begin(), 3U);
  }
}

TEST_F(BalancerTest, ResetsAnOpeningWithoutARoute)
{
  const auto actions =
    Packet(kStart, FromCaller(1, MakeIpv4(0xC6120009U, 443), true));
  EXPECT_EQ(ResetsIn(actions), 1U);
  EXPECT_EQ(actions.size(), 1U);
}

TEST_F(BalancerTest, DropsOtherPacketsWithoutARoute)
{
  EXPECT_TRUE(
    Packet(kStart, FromCaller(1, MakeIpv4(0xC6120009U, 443), false)).empty());
}

TEST_F(BalancerTest, OffersARefusedOpeningToAnotherHostAtOnce)
{
  const auto opening = FromCaller(1, kBoardAddress, true);
  const auto first = *HostsOf(Packet(kStart, opening)).begin();
  const auto next = HostsOf(Answer(kStart, first, opening, Verdict::Refused));
  ASSERT_EQ(next.size(), 1U);
  EXPECT_NE(*next.begin(), first);
}

TEST_F(BalancerTest, OffersAnUnansweredOpeningToAnotherHostAfterTheTimeout)
{
  const auto opening = FromCaller(1, kBoardAddress, true);
  const auto first = *HostsOf(Packet(kStart, opening)).begin();
  const auto due = balancer_.NextTimer();
  EXPECT_LE(due, kStart + milliseconds{ 100 });
  Balancer::Actions actions;
  balancer_.Tick(kStart + milliseconds{ 100 }, actions);
  ASSERT_EQ(HostsOf(actions).size(), 1U);
  EXPECT_NE(*HostsOf(actions).begin(), first);
}

TEST_F(BalancerTest, ForcesAnOpeningOnceAllHostsWereBusy)
{
  const auto opening = FromCaller(1, kBoardAddress, true);
  auto actions = Packet(kStart, opening);
  auto purpose = Purpose::Open;
  for (int offer = 0; offer < 3 && purpose == Purpose::Open; ++offer) {
    const auto& send = OfferIn(actions);
    purpose = send.relayedPacket_.purpose_;
    actions = Answer(kStart, send.host_.value_, opening, Verdict::Busy);
  }
  EXPECT_EQ(purpose, Purpose::ForceOpen);
}

TEST_F(BalancerTest, KeepsToTheHostThatOpenedTheFlow)
{
  const auto opening = FromCaller(1, kBoardAddress, true);
  const auto first = *HostsOf(Packet(kStart, opening)).begin();
  Answer(kStart, first, opening, Verdict::Opened);
  const auto later = kStart + std::chrono::seconds{ 30 };
  for (int packet = 0; packet < 20; ++packet) {
    EXPECT_EQ(HostsOf(Packet(later, FromCaller(1, kBoardAddress, false))),
              std::set<std::uint64_t>{ first });
  }
}

TEST_F(BalancerTest, SkipsHostsThatAreLeavingUnresponsiveOrFull)
{
  auto leaving = RecordOf(1, kBoards);
  leaving.sequence_ = 2;
  leaving.state_ = HostState::Leaving;
  balancer_.UpdateHosts(kStart, { leaving });
  balancer_.OnLoad(kStart, HostId{ 2 }, { 0, 0, 4, false, false });
  for (std::uint16_t port = 1; port <= 50; ++port) {
    EXPECT_EQ(HostsOf(Packet(kStart, FromCaller(port, kBoardAddress, true))),
              std::set<std::uint64_t>{ 3 });
  }
  const auto later = kStart + std::chrono::seconds{ 4 };
  EXPECT_EQ(ResetsIn(Packet(later, FromCaller(99, kBoardAddress, true))), 1U);
}

TEST_F(BalancerTest, PrefersTheHostWithFewerRequestsInProgress)
{
  balancer_.OnLoad(kStart, HostId{ 1 }, { 20, 4, 4, true, false });
  balancer_.OnLoad(kStart, HostId{ 2 }, { 20, 4, 4, true, false });
  EXPECT_EQ(HostsOf(Packet(kStart, FromCaller(1, kBoardAddress, true))),
            std::set<std::uint64_t>{ 3 });
}

TEST_F(BalancerTest, ResetsNoOpeningBeforeItsRecordsWereSynced)
{
  Balancer restarted(SettingsOf(), PlainCodec());
  restarted.UpdateRoutes(kStart, ConfigurationOf(1));
  const auto opening = PacketOf(FromCaller(1, kBoardAddress, true));
  Balancer::Actions actions;
  restarted.OnPacket(kStart, opening, actions);
  EXPECT_EQ(SentBy(actions), 0U);
  restarted.NoteSynced(kStart);
  restarted.OnPacket(kStart, opening, actions);
  EXPECT_EQ(ResetsIn(actions), 1U);
}

TEST_F(BalancerTest, WatchesEachHostThatItLearnsOfAtOnce)
{
  Balancer balancer(SettingsOf(), PlainCodec());
  balancer.UpdateHosts(kStart, { RecordOf(1, kBoards), RecordOf(2, kSheets) });
  EXPECT_LE(balancer.NextTimer(), kStart);
  Balancer::Actions actions;
  balancer.Tick(kStart, actions);
  EXPECT_EQ(WatchedIn(actions),
            (std::set<Address>{ RecordOf(1, kBoards).agent_,
                                RecordOf(2, kSheets).agent_ }));
}

TEST_F(BalancerTest, RenewsTheWatchOfAHostWithoutAReportFirst)
{
  Balancer balancer(SettingsOf(), PlainCodec());
  balancer.UpdateHosts(kStart, { RecordOf(1, kBoards), RecordOf(2, kSheets) });
  Balancer::Actions actions;
  balancer.Tick(kStart, actions);
  balancer.OnLoad(kStart, HostId{ 1 }, { 0, 0, 4, true, false });
  actions.clear();
  balancer.Tick(kStart + milliseconds{ 200 }, actions);
  EXPECT_EQ(WatchedIn(actions),
            std::set<Address>{ RecordOf(2, kSheets).agent_ });
  balancer.OnLoad(kStart, HostId{ 2 }, { 0, 0, 4, true, false });
  for (int round = 2; round <= 10; ++round) {
    balancer.Tick(kStart + round * milliseconds{ 200 }, actions);
  }
  EXPECT_TRUE(WatchedIn(actions).contains(RecordOf(1, kBoards).agent_));
}

TEST_F(BalancerTest, OffersAnOpeningOnceItsRouteAndHostsAreKnown)
{
  Balancer restarted(SettingsOf(), PlainCodec());
  const auto opening = PacketOf(FromCaller(1, kBoardAddress, true));
  Balancer::Actions actions;
  restarted.OnPacket(kStart, opening, actions);
  restarted.OnPacket(kStart + milliseconds{ 200 }, opening, actions);
  auto now = kStart + milliseconds{ 300 };
  restarted.UpdateRoutes(kStart, ConfigurationOf(1));
  EXPECT_LE(restarted.NextTimer(), now);
  restarted.Tick(now, actions);
  EXPECT_EQ(SentBy(actions), 0U);
  now += milliseconds{ 50 };
  restarted.UpdateHosts(now, { RecordOf(1, kBoards) });
  restarted.Tick(now, actions);
  EXPECT_EQ(HostsOf(actions), std::set<std::uint64_t>{ 1 });
}

TEST_F(BalancerTest, DropsAHeldOpeningAfterTheCallersTimeout)
{
  Balancer restarted(SettingsOf(), PlainCodec());
  Balancer::Actions actions;
  restarted.OnPacket(
    kStart, PacketOf(FromCaller(1, kBoardAddress, true)), actions);
  const auto late = kStart + milliseconds{ 1500 };
  restarted.UpdateHosts(late, { RecordOf(1, kBoards) });
  restarted.UpdateRoutes(kStart, ConfigurationOf(1));
  restarted.Tick(late, actions);
  EXPECT_TRUE(HostsOf(actions).empty());
}

TEST_F(BalancerTest, ResetsALostFlowWhoseOnlyPacketCameBeforeItKnewHosts)
{
  Balancer restarted(SettingsOf(), PlainCodec());
  const auto packet = FromCaller(1, kBoardAddress, false);
  Balancer::Actions actions;
  restarted.OnPacket(kStart, PacketOf(packet), actions);
  restarted.Tick(kStart + kGather, actions);
  EXPECT_EQ(SentBy(actions), 0U);
  auto now = kStart + milliseconds{ 50 };
  restarted.UpdateHosts(now, { RecordOf(1, kBoards) });
  restarted.Tick(now, actions);
  now += kGather;
  restarted.Tick(now, actions);
  Query query;
  ASSERT_EQ(QueriedIn(actions, &query), std::set<std::uint64_t>{ 1 });
  restarted.OnAnswer(now, HostId{ 1 }, { query.id_, { Holding::No } }, actions);
  now += milliseconds{ 100 };
  restarted.Tick(now, actions);
  EXPECT_EQ(ResetsIn(actions), 0U);
  restarted.UpdateRoutes(kStart, ConfigurationOf(1));
  restarted.NoteSynced(now);
  restarted.Tick(now, actions);
  now += milliseconds{ 100 };
  restarted.Tick(now, actions);
  EXPECT_EQ(ResetsIn(actions), 1U);
}

std::vector<FlowEvent>
EventsIn(const Balancer::Actions& aActions)
{
  std::vector<FlowEvent> events;
  for (const auto& action : aActions) {
    if (const auto* decision = std::get_if<FlowDecision>(&action)) {
      events.push_back(decision->event_);
    }
  }
  return events;
}

TEST_F(BalancerTest, EmitsTheOutcomeAndInputsOfAnOpening)
{
  const auto opening = FromCaller(1, kBoardAddress, true);
  const auto first = *HostsOf(Packet(kStart, opening)).begin();
  auto actions = Answer(kStart, first, opening, Verdict::Busy);
  EXPECT_EQ(EventsIn(actions), std::vector{ FlowEvent::Declined });
  actions.clear();
  auto now = kStart + milliseconds{ 100 };
  balancer_.Tick(now, actions);
  EXPECT_EQ(EventsIn(actions), std::vector{ FlowEvent::Unanswered });
  const auto third = *HostsOf(actions).begin();
  now += milliseconds{ 20 };
  actions = Answer(now, third, opening, Verdict::Opened);
  ASSERT_EQ(EventsIn(actions), std::vector{ FlowEvent::Opened });
  const auto& decision = std::get<FlowDecision>(actions.front());
  EXPECT_EQ(decision.key_, KeyFromCaller(opening));
  EXPECT_EQ(decision.host_, HostId{ third });
  EXPECT_EQ(decision.offers_, 3U);
  EXPECT_EQ(decision.waited_, milliseconds{ 120 });
  EXPECT_EQ(decision.version_, ConfigVersion{ 1 });
}

TEST_F(BalancerTest, EmitsOneSearchDecisionAndTheHostThatHoldsTheFlow)
{
  const auto packet = FromCaller(1, kBoardAddress, false);
  EXPECT_EQ(EventsIn(Packet(kStart, packet)),
            std::vector{ FlowEvent::Searched });
  EXPECT_TRUE(EventsIn(Packet(kStart, packet)).empty());
  EXPECT_EQ(EventsIn(Answer(kStart, 2, packet, Verdict::Holds)),
            std::vector{ FlowEvent::Found });
  EXPECT_TRUE(EventsIn(Packet(kStart, packet)).empty());
}

TEST_F(BalancerTest, ShedsPacketsQueuedTooLongOpeningsFirst)
{
  const auto opening = PacketOf(FromCaller(1, kBoardAddress, true));
  const auto other = PacketOf(FromCaller(1, kBoardAddress, false));
  const auto after = [](int aMillis) {
    return kStart + milliseconds{ aMillis };
  };
  EXPECT_FALSE(balancer_.Sheds(after(150), kStart, opening));
  EXPECT_TRUE(balancer_.Sheds(after(151), kStart, opening));
  EXPECT_FALSE(balancer_.Sheds(after(400), kStart, other));
  EXPECT_TRUE(balancer_.Sheds(after(401), kStart, other));
  EXPECT_EQ(balancer_.Count(BalancerCount::Shed), 2U);
}

TEST_F(BalancerTest, DoesNotRetryOpeningsOnceTheRetryBudgetIsSpent)
{
  constexpr std::uint16_t kOpenings = 500;
  std::size_t offers = 0;
  for (std::uint16_t port = 1; port <= kOpenings; ++port) {
    offers +=
      HostsOf(Packet(kStart, FromCaller(port, kBoardAddress, true))).size();
  }
  EXPECT_EQ(offers, kOpenings);
  for (int step = 1; step <= 14; ++step) {
    const auto now = kStart + step * milliseconds{ 100 };
    ReportLoads(now);
    Balancer::Actions actions;
    balancer_.Tick(now, actions);
    offers += static_cast<std::size_t>(
      std::count_if(actions.begin(), actions.end(), [](const auto& aAction) {
        return std::holds_alternative<ToAgent>(aAction);
      }));
  }
  EXPECT_GT(offers, kOpenings);
  EXPECT_LE(offers, kOpenings + kOpenings / 5 + 50U);
  EXPECT_GT(balancer_.Count(BalancerCount::RetryDenied), 0U);
}

TEST_F(BalancerTest, OffersARetransmittedOpeningOnlyAfterTheLastOfferTimedOut)
{
  const auto opening = FromCaller(1, kBoardAddress, true);
  Packet(kStart, opening);
  EXPECT_TRUE(HostsOf(Packet(kStart + milliseconds{ 50 }, opening)).empty());
  EXPECT_EQ(HostsOf(Packet(kStart + milliseconds{ 200 }, opening)).size(), 1U);
}

TEST_F(BalancerTest, CountsMalformedPackets)
{
  Balancer::Actions actions;
  balancer_.OnPacket(kStart, "short", actions);
  EXPECT_EQ(SentBy(actions), 0U);
  EXPECT_EQ(balancer_.Count(BalancerCount::Malformed), 1U);
}

} // namespace
} // namespace cornelshore::relay
