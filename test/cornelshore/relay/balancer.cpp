#include <cornelshore/relay/balancer.hpp>

#include <set>

#include <gtest/gtest.h>

#include <cornelshore/relay/codec.hpp>

namespace cornelshore::relay {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{ std::chrono::hours{ 1 } };
const ServiceId kBoards = ServiceIdOf("boards");
const ServiceId kSheets = ServiceIdOf("sheets");
const Address kBoardAddress = MakeIpv4(0xC6120001U, 443);
/** Flows that are looked for within this time share a query. */
constexpr auto kGather = milliseconds{ 10 };

const Address kSheetAddress = MakeIpv4(0xC6120002U, 443);

Configuration
ConfigurationOf(std::uint64_t aVersion, ServiceId aBoardsLeadTo = kBoards)
{
  Configuration configuration;
  configuration.version_ = ConfigVersion{ aVersion };
  for (const auto& [address, service] :
       { std::pair(kBoardAddress, aBoardsLeadTo),
         std::pair(kSheetAddress, kSheets) }) {
    Route route;
    route.address_ = address;
    route.timeout_ = std::chrono::seconds{ 1 };
    route.to_ = { { service, 1 } };
    configuration.routes_.push_back(route);
  }
  return configuration;
}

HostRecord
RecordOf(std::uint64_t aHost, ServiceId aService)
{
  HostRecord record;
  record.id_ = HostId{ aHost };
  record.incarnation_ = Incarnation{ 1 };
  record.sequence_ = 1;
  record.service_ = aService;
  record.agent_ = MakeIpv4(0x0A000000U + static_cast<std::uint32_t>(aHost), 7);
  record.slots_ = 4;
  record.state_ = HostState::Ready;
  return record;
}

Segment
FromCaller(std::uint16_t aPort, const Address& aTo, bool aOpening)
{
  Segment segment;
  segment.from_ = MakeIpv4(0x64400007U, aPort);
  segment.to_ = aTo;
  segment.opening_ = aOpening;
  segment.acknowledging_ = !aOpening;
  return segment;
}

std::set<Address>
WatchedIn(const Balancer::Actions& aActions)
{
  std::set<Address> agents;
  for (const auto& action : aActions) {
    if (const auto* watch = std::get_if<WatchAgent>(&action)) {
      agents.insert(watch->agent_);
    }
  }
  return agents;
}

/** A balancer that knows hosts 1 to 3 of boards and 11, 12 of sheets. */
class BalancerTest : public testing::Test
{
protected:
  BalancerTest()
    : balancer_(SettingsOf(), PlainCodec())
  {
    balancer_.UpdateRoutes(ConfigurationOf(1));
    for (const std::uint64_t host : { 1U, 2U, 3U }) {
      balancer_.UpdateHosts(kStart, { RecordOf(host, kBoards) });
    }
    for (const std::uint64_t host : { 11U, 12U }) {
      balancer_.UpdateHosts(kStart, { RecordOf(host, kSheets) });
    }
    TellLoads(kStart);
  }

  static BalancerSettings SettingsOf()
  {
    BalancerSettings settings;
    settings.seed_ = 5;
    return settings;
  }

  void TellLoads(TimePoint aNow)
  {
    for (const std::uint64_t host : { 1U, 2U, 3U, 11U, 12U }) {
      balancer_.OnLoad(aNow, HostId{ host }, { 0, 0, 4, true, false });
    }
    balancer_.NoteInStep(aNow);
  }

  Balancer::Actions Packet(TimePoint aNow, const Segment& aSegment)
  {
    Balancer::Actions actions;
    balancer_.OnPacket(aNow, PacketOf(aSegment), actions);
    return actions;
  }

  Balancer::Actions Answer(TimePoint aNow,
                           std::uint64_t aHost,
                           const Segment& aSegment,
                           Verdict aVerdict,
                           std::string aPacket = {})
  {
    Balancer::Actions actions;
    balancer_.OnAnswer(aNow,
                       HostId{ aHost },
                       { KeyFromCaller(aSegment),
                         aVerdict,
                         { 0, 0, 4, true, false },
                         std::move(aPacket) },
                       actions);
    return actions;
  }

  static std::set<std::uint64_t> HostsOf(const Balancer::Actions& aActions)
  {
    std::set<std::uint64_t> hosts;
    for (const auto& action : aActions) {
      if (const auto* send = std::get_if<ToAgent>(&action)) {
        hosts.insert(send->host_.value_);
      }
    }
    return hosts;
  }

  static std::size_t ResetsIn(const Balancer::Actions& aActions)
  {
    return static_cast<std::size_t>(
      std::count_if(aActions.begin(), aActions.end(), [](const auto& aAction) {
        return std::holds_alternative<ToCaller>(aAction);
      }));
  }

  /** What leaves the balancer; lines for the log do not. */
  static std::size_t SentBy(const Balancer::Actions& aActions)
  {
    return static_cast<std::size_t>(
      std::count_if(aActions.begin(), aActions.end(), [](const auto& aAction) {
        return !std::holds_alternative<FlowDecision>(aAction);
      }));
  }

  /** Hosts that a query goes to; the query itself goes to `aLast`. */
  static std::set<std::uint64_t> QueriedIn(const Balancer::Actions& aActions,
                                           Query* aLast = nullptr)
  {
    std::set<std::uint64_t> hosts;
    for (const auto& action : aActions) {
      if (const auto* query = std::get_if<QueryAgent>(&action)) {
        hosts.insert(query->agent_.ip_[15]);
        if (aLast != nullptr) {
          *aLast = query->query_;
        }
      }
    }
    return hosts;
  }

  /** A host answers a query: the same of each flow. */
  Balancer::Actions Reply(TimePoint aNow,
                          std::uint64_t aHost,
                          const Query& aQuery,
                          Holding aHolding)
  {
    Balancer::Actions actions;
    QueryAnswer answer;
    answer.id_ = aQuery.id_;
    answer.holdings_.assign(aQuery.items_.size(), aHolding);
    balancer_.OnAnswer(aNow, HostId{ aHost }, answer, actions);
    return actions;
  }

  /** The hosts near the flow deny it; the query that follows. */
  Query DeniedNearby(TimePoint aNow, const Segment& aPacket)
  {
    for (const auto host : HostsOf(Packet(aNow, aPacket))) {
      EXPECT_EQ(SentBy(Answer(aNow, host, aPacket, Verdict::Unknown)), 0U);
    }
    Balancer::Actions actions;
    balancer_.Tick(aNow + kGather, actions);
    Query query;
    EXPECT_EQ(QueriedIn(actions, &query),
              (std::set<std::uint64_t>{ 1, 2, 3, 11, 12 }));
    return query;
  }

  static const ToAgent& OfferIn(const Balancer::Actions& aActions)
  {
    const auto found =
      std::find_if(aActions.begin(), aActions.end(), [](const auto& aAction) {
        return std::holds_alternative<ToAgent>(aAction);
      });
    return std::get<ToAgent>(*found);
  }

  Balancer balancer_;
};

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

TEST_F(BalancerTest, OffersAnUnansweredOpeningToAnotherHostInTime)
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

TEST_F(BalancerTest, InsistsOnceAllHostsWereBusy)
{
  const auto opening = FromCaller(1, kBoardAddress, true);
  auto actions = Packet(kStart, opening);
  auto purpose = Purpose::Open;
  for (int offer = 0; offer < 3 && purpose == Purpose::Open; ++offer) {
    const auto& send = OfferIn(actions);
    purpose = send.carried_.purpose_;
    actions = Answer(kStart, send.host_.value_, opening, Verdict::Busy);
  }
  EXPECT_EQ(purpose, Purpose::Insist);
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

TEST_F(BalancerTest, AsksEveryHostForAFlowThatItDoesNotKnow)
{
  const auto packet = FromCaller(1, kBoardAddress, false);
  EXPECT_EQ(HostsOf(Packet(kStart, packet)),
            (std::set<std::uint64_t>{ 1, 2, 3 }));
  Answer(kStart, 2, packet, Verdict::Holds);
  EXPECT_EQ(HostsOf(Packet(kStart, packet)), std::set<std::uint64_t>{ 2 });
}

TEST_F(BalancerTest, CarriesOpenFlowsOnBeforeItKnowsAConfiguration)
{
  Balancer restarted(SettingsOf(), PlainCodec());
  restarted.UpdateHosts(kStart, { RecordOf(1, kBoards) });
  restarted.UpdateHosts(kStart, { RecordOf(11, kSheets) });
  Balancer::Actions actions;
  restarted.OnPacket(
    kStart, PacketOf(FromCaller(1, kBoardAddress, false)), actions);
  restarted.Tick(kStart + kGather, actions);
  Query query;
  EXPECT_EQ(QueriedIn(actions, &query), (std::set<std::uint64_t>{ 1, 11 }));
  actions.clear();
  restarted.OnAnswer(
    kStart + kGather, HostId{ 11 }, { query.id_, { Holding::Yes } }, actions);
  EXPECT_EQ(HostsOf(actions), std::set<std::uint64_t>{ 11 });
  actions.clear();
  restarted.OnPacket(
    kStart, PacketOf(FromCaller(2, kBoardAddress, true)), actions);
  EXPECT_EQ(SentBy(actions), 0U);
}

TEST_F(BalancerTest, FindsAFlowAtAHostOfAServiceThatItsRouteLedToBefore)
{
  balancer_.UpdateRoutes(ConfigurationOf(2, kSheets));
  const auto packet = FromCaller(1, kBoardAddress, false);
  const auto query = DeniedNearby(kStart, packet);
  ASSERT_EQ(query.items_.size(), 1U);
  EXPECT_EQ(query.items_.front().key_, KeyFromCaller(packet));
  const auto now = kStart + kGather;
  EXPECT_EQ(SentBy(Reply(now, 1, query, Holding::No)), 0U);
  const auto actions = Reply(now, 2, query, Holding::Yes);
  EXPECT_EQ(HostsOf(actions), std::set<std::uint64_t>{ 2 });
  EXPECT_EQ(HostsOf(Packet(now, packet)), std::set<std::uint64_t>{ 2 });
}

TEST_F(BalancerTest, AsksTheHostsNearAFlowTwiceBeforeAllHosts)
{
  const auto packet = FromCaller(1, kBoardAddress, false);
  Balancer::Actions start;
  balancer_.Tick(kStart, start);
  Packet(kStart, packet);
  for (const std::uint64_t host : { 1U, 2U }) {
    Answer(kStart, host, packet, Verdict::Unknown);
  }
  auto now = kStart + milliseconds{ 100 };
  Balancer::Actions actions;
  balancer_.Tick(now, actions);
  EXPECT_EQ(HostsOf(actions), std::set<std::uint64_t>{ 3 });
  now += milliseconds{ 200 };
  actions.clear();
  balancer_.Tick(now, actions);
  balancer_.Tick(now + kGather, actions);
  EXPECT_EQ(QueriedIn(actions), (std::set<std::uint64_t>{ 1, 2, 3, 11, 12 }));
}

TEST_F(BalancerTest, AsksNobodyAgainButTheHostsThatWereSilent)
{
  const auto packet = FromCaller(1, kBoardAddress, false);
  const auto query = DeniedNearby(kStart, packet);
  auto now = kStart + kGather;
  for (const std::uint64_t host : { 1U, 2U, 3U, 11U }) {
    Reply(now, host, query, Holding::No);
  }
  for (int step = 0; step < 8; ++step) {
    now += milliseconds{ 100 };
    Balancer::Actions actions;
    balancer_.Tick(now, actions);
  }
  TellLoads(now);
  EXPECT_EQ(HostsOf(Packet(now, packet)), std::set<std::uint64_t>{ 12 });
  EXPECT_EQ(HostsOf(Packet(now, packet)), std::set<std::uint64_t>{ 12 });
  EXPECT_EQ(SentBy(Answer(now, 12, packet, Verdict::Unknown)), 0U);
  Balancer::Actions actions;
  balancer_.Tick(now + kGather, actions);
  EXPECT_EQ(QueriedIn(actions), (std::set<std::uint64_t>{ 1, 2, 3, 11, 12 }));
}

TEST_F(BalancerTest, WaitsForNoSilentHostThatIsGone)
{
  const auto packet = FromCaller(1, kBoardAddress, false);
  auto query = DeniedNearby(kStart, packet);
  auto now = kStart + kGather;
  for (const std::uint64_t host : { 1U, 2U, 3U, 11U }) {
    Reply(now, host, query, Holding::No);
  }
  for (int step = 0; step < 8; ++step) {
    now += milliseconds{ 100 };
    Balancer::Actions actions;
    balancer_.Tick(now, actions);
  }
  auto gone = RecordOf(12, kSheets);
  gone.state_ = HostState::Gone;
  gone.sequence_ = 2;
  balancer_.UpdateHosts(now, { gone });
  balancer_.NoteInStep(now);
  EXPECT_EQ(SentBy(Packet(now, packet)), 0U);
  Balancer::Actions actions;
  balancer_.Tick(now + kGather, actions);
  EXPECT_EQ(QueriedIn(actions, &query),
            (std::set<std::uint64_t>{ 1, 2, 3, 11 }));
  for (const std::uint64_t host : { 1U, 2U, 3U, 11U }) {
    Reply(now + kGather, host, query, Holding::No);
  }
  EXPECT_EQ(ResetsIn(Packet(now + milliseconds{ 100 }, packet)), 1U);
}

TEST_F(BalancerTest, ManyFlowsShareOneQuery)
{
  for (std::uint16_t port = 1; port <= 15; ++port) {
    const auto packet = FromCaller(port, kBoardAddress, false);
    for (const auto host : HostsOf(Packet(kStart, packet))) {
      Answer(kStart, host, packet, Verdict::Unknown);
    }
  }
  Balancer::Actions actions;
  balancer_.Tick(kStart + kGather, actions);
  Query query;
  QueriedIn(actions, &query);
  EXPECT_EQ(query.items_.size(), 15U);
  EXPECT_EQ(SentBy(actions), 5U + WatchedIn(actions).size());
}

TEST_F(BalancerTest, LetsAHostThatIsUnsureSeeThePacket)
{
  const auto packet = FromCaller(1, kBoardAddress, false);
  const auto query = DeniedNearby(kStart, packet);
  const auto now = kStart + kGather;
  const auto actions = Reply(now, 12, query, Holding::Unsure);
  ASSERT_EQ(HostsOf(actions), std::set<std::uint64_t>{ 12 });
  EXPECT_EQ(OfferIn(actions).carried_.purpose_, Purpose::Search);
  for (const std::uint64_t host : { 1U, 2U, 3U, 11U }) {
    Reply(now, host, query, Holding::No);
  }
  const auto due = kStart + milliseconds{ 200 };
  EXPECT_EQ(ResetsIn(Packet(due, packet)), 0U);
  Answer(due, 12, packet, Verdict::Unknown);
  EXPECT_EQ(ResetsIn(Packet(due, packet)), 1U);
}

TEST_F(BalancerTest, ResetsAFlowOnceEveryHostDeniedItAndThoseNearItTwice)
{
  const auto packet = FromCaller(1, kBoardAddress, false);
  const auto query = DeniedNearby(kStart, packet);
  const auto due = kStart + milliseconds{ 100 };
  for (const std::uint64_t host : { 1U, 2U, 3U, 11U }) {
    EXPECT_EQ(SentBy(Reply(kStart + kGather, host, query, Holding::No)), 0U);
  }
  Balancer::Actions actions;
  balancer_.Tick(due, actions);
  EXPECT_EQ(ResetsIn(actions), 0U);
  EXPECT_EQ(ResetsIn(Packet(due, packet)), 0U);
  Reply(due, 12, query, Holding::No);
  EXPECT_EQ(ResetsIn(Packet(due, packet)), 1U);
}

TEST_F(BalancerTest, ResetsALostFlowWithoutWaitingForItsNextPacket)
{
  const auto packet = FromCaller(1, kBoardAddress, false);
  const auto query = DeniedNearby(kStart, packet);
  for (const std::uint64_t host : { 1U, 2U, 3U, 11U, 12U }) {
    Reply(kStart + kGather, host, query, Holding::No);
  }
  Balancer::Actions actions;
  balancer_.Tick(kStart + milliseconds{ 50 }, actions);
  EXPECT_EQ(ResetsIn(actions), 0U);
  balancer_.Tick(kStart + milliseconds{ 100 }, actions);
  EXPECT_EQ(ResetsIn(actions), 1U);
}

TEST_F(BalancerTest, ResetsNoFlowWhileOneHostIsSilent)
{
  const auto packet = FromCaller(1, kBoardAddress, false);
  auto now = kStart;
  for (int round = 0; round < 20; ++round) {
    auto actions = Packet(now, packet);
    EXPECT_EQ(ResetsIn(actions), 0U);
    for (const auto host : HostsOf(actions)) {
      if (host != 3) {
        Answer(now, host, packet, Verdict::Unknown);
      }
    }
    for (int step = 0; step < 10; ++step) {
      now += milliseconds{ 20 };
      balancer_.NoteInStep(now);
      actions.clear();
      balancer_.Tick(now, actions);
      EXPECT_EQ(ResetsIn(actions), 0U);
      Query query;
      for (const auto host : QueriedIn(actions, &query)) {
        if (host != 3) {
          EXPECT_EQ(ResetsIn(Reply(now, host, query, Holding::No)), 0U);
        }
      }
    }
  }
}

TEST_F(BalancerTest, ResetsNoFlowWhileItsRecordsAreOutOfStep)
{
  const auto packet = FromCaller(1, kBoardAddress, false);
  auto now = kStart + std::chrono::seconds{ 5 };
  const auto query = DeniedNearby(now, packet);
  for (const std::uint64_t host : { 1U, 2U, 3U, 11U, 12U }) {
    Reply(now + kGather, host, query, Holding::No);
  }
  for (int round = 0; round < 20; ++round) {
    now += milliseconds{ 200 };
    Balancer::Actions actions;
    balancer_.Tick(now, actions);
    EXPECT_EQ(ResetsIn(actions), 0U);
    EXPECT_EQ(ResetsIn(Packet(now, packet)), 0U);
  }
  balancer_.NoteInStep(now);
  EXPECT_EQ(ResetsIn(Packet(now, packet)), 1U);
}

TEST_F(BalancerTest, LeavesOutHostsThatAreLeavingSilentOrFull)
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

TEST_F(BalancerTest, ResetsNoOpeningBeforeItsRecordsWereInStep)
{
  Balancer restarted(SettingsOf(), PlainCodec());
  restarted.UpdateRoutes(ConfigurationOf(1));
  const auto opening = PacketOf(FromCaller(1, kBoardAddress, true));
  Balancer::Actions actions;
  restarted.OnPacket(kStart, opening, actions);
  EXPECT_EQ(SentBy(actions), 0U);
  restarted.NoteInStep(kStart);
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

TEST_F(BalancerTest, AsksAHostThatItNeverHeardAgainBeforeOthers)
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
  restarted.UpdateRoutes(ConfigurationOf(1));
  EXPECT_LE(restarted.NextTimer(), now);
  restarted.Tick(now, actions);
  EXPECT_EQ(SentBy(actions), 0U);
  now += milliseconds{ 50 };
  restarted.UpdateHosts(now, { RecordOf(1, kBoards) });
  restarted.Tick(now, actions);
  EXPECT_EQ(HostsOf(actions), std::set<std::uint64_t>{ 1 });
}

TEST_F(BalancerTest, ForgetsAHeldOpeningThatItsCallerGaveUp)
{
  Balancer restarted(SettingsOf(), PlainCodec());
  Balancer::Actions actions;
  restarted.OnPacket(
    kStart, PacketOf(FromCaller(1, kBoardAddress, true)), actions);
  const auto late = kStart + milliseconds{ 1500 };
  restarted.UpdateHosts(late, { RecordOf(1, kBoards) });
  restarted.UpdateRoutes(ConfigurationOf(1));
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
  restarted.UpdateRoutes(ConfigurationOf(1));
  restarted.NoteInStep(now);
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

TEST_F(BalancerTest, TellsWhatBecameOfAnOpeningAndWhatDecidedIt)
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

TEST_F(BalancerTest, TellsOnceThatItLooksForAFlowAndWhoHoldsIt)
{
  const auto packet = FromCaller(1, kBoardAddress, false);
  EXPECT_EQ(EventsIn(Packet(kStart, packet)),
            std::vector{ FlowEvent::Searched });
  EXPECT_TRUE(EventsIn(Packet(kStart, packet)).empty());
  EXPECT_EQ(EventsIn(Answer(kStart, 2, packet, Verdict::Holds)),
            std::vector{ FlowEvent::Found });
  EXPECT_TRUE(EventsIn(Packet(kStart, packet)).empty());
}

TEST_F(BalancerTest, ShedsWhatWaitedTooLongOpeningsFirst)
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

TEST_F(BalancerTest, LeavesUnansweredOpeningsToTheirCallersOnceItsBudgetIsSpent)
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
    TellLoads(now);
    Balancer::Actions actions;
    balancer_.Tick(now, actions);
    offers += static_cast<std::size_t>(
      std::count_if(actions.begin(), actions.end(), [](const auto& aAction) {
        return std::holds_alternative<ToAgent>(aAction);
      }));
  }
  EXPECT_GT(offers, kOpenings);
  EXPECT_LE(offers, kOpenings + kOpenings / 5 + 50U);
  EXPECT_GT(balancer_.Count(BalancerCount::Unretried), 0U);
}

TEST_F(BalancerTest, OffersACopyOfAnOpeningOnlyOnceTheLastOfferIsOver)
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
