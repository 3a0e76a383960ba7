#include <cornelshore/relay/balancer_fixture.hpp>

#include <vector>

namespace cornelshore::relay {
namespace {

using std::chrono::seconds;

constexpr std::uint64_t kHosts = 50;

TEST_F(BalancerTest, AsksEveryHostForAFlowThatItDoesNotKnow)
{
  const auto packet = FromCaller(1, kBoardAddress, false);
  EXPECT_EQ(HostsOf(Packet(kStart, packet)),
            (std::set<std::uint64_t>{ 1, 2, 3 }));
  Answer(kStart, 2, packet, Verdict::Holds);
  EXPECT_EQ(HostsOf(Packet(kStart, packet)), std::set<std::uint64_t>{ 2 });
}

TEST_F(BalancerTest, RelaysOpenFlowsBeforeItKnowsAConfiguration)
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
  balancer_.UpdateRoutes(kStart, ConfigurationOf(2, kSheets));
  const auto packet = FromCaller(1, kBoardAddress, false);
  const auto query = DeniedNearby(kStart, packet);
  ASSERT_EQ(query.items_.size(), 1U);
  EXPECT_EQ(query.items_.front().flow_, ShortHashOf(KeyFromCaller(packet)));
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

TEST_F(BalancerTest, RetriesOnlyTheUnresponsiveHosts)
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
  ReportLoads(now);
  EXPECT_EQ(HostsOf(Packet(now, packet)), std::set<std::uint64_t>{ 12 });
  EXPECT_EQ(HostsOf(Packet(now, packet)), std::set<std::uint64_t>{ 12 });
  EXPECT_EQ(SentBy(Answer(now, 12, packet, Verdict::Unknown)), 0U);
  Balancer::Actions actions;
  balancer_.Tick(now + kGather, actions);
  EXPECT_EQ(QueriedIn(actions), (std::set<std::uint64_t>{ 1, 2, 3, 11, 12 }));
}

TEST_F(BalancerTest, DoesNotWaitForAnUnresponsiveHostThatIsGone)
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
  balancer_.NoteSynced(now);
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

TEST_F(BalancerTest, SendsThePacketToAHostThatIsUnsureOnceTheOthersDeniedIt)
{
  const auto packet = FromCaller(1, kBoardAddress, false);
  const auto query = DeniedNearby(kStart, packet);
  const auto now = kStart + kGather;
  EXPECT_EQ(SentBy(Reply(now, 12, query, Holding::Unsure)), 0U);
  for (const std::uint64_t host : { 1U, 2U, 3U }) {
    EXPECT_EQ(SentBy(Reply(now, host, query, Holding::No)), 0U);
  }
  const auto actions = Reply(now, 11, query, Holding::No);
  ASSERT_EQ(HostsOf(actions), std::set<std::uint64_t>{ 12 });
  EXPECT_EQ(OfferIn(actions).relayedPacket_.purpose_, Purpose::Probe);
  const auto due = kStart + milliseconds{ 200 };
  EXPECT_EQ(ResetsIn(Packet(due, packet)), 0U);
  Answer(due, 12, packet, Verdict::Unknown);
  EXPECT_EQ(ResetsIn(Packet(due, packet)), 1U);
}

/** A balancer that has just started, beside agents that have, too: nearby hosts
 * 1 to 3 are unsure of each flow. */
class UnsureHosts : public BalancerTest
{
protected:
  /** Lets the nearby hosts answer and returns the query to all hosts. */
  Query UnsureNearby(TimePoint aNow)
  {
    for (const auto host : HostsOf(Packet(aNow, packet_))) {
      EXPECT_EQ(SentBy(Answer(aNow, host, packet_, Verdict::Unsure)), 0U);
    }
    Balancer::Actions actions;
    balancer_.Tick(aNow + kGather, actions);
    Query query;
    EXPECT_EQ(QueriedIn(actions, &query),
              (std::set<std::uint64_t>{ 1, 2, 3, 11, 12 }));
    return query;
  }

  const Segment packet_ = FromCaller(1, kBoardAddress, false);
};

// Failure guarded against: packets of an open flow reached three other hosts
// before the flow's own host was asked, and again after its answer.
TEST_F(UnsureHosts, AreSentPacketsInTurnAndOnlyWhenAllOthersDeniedTheFlow)
{
  const auto query = UnsureNearby(kStart);
  const auto now = kStart + kGather;
  for (const std::uint64_t host : { 1U, 2U, 3U }) {
    EXPECT_EQ(SentBy(Reply(now, host, query, Holding::Unsure)), 0U);
  }
  EXPECT_EQ(SentBy(Reply(now, 11, query, Holding::No)), 0U);
  EXPECT_EQ(HostsOf(Packet(now, packet_)), std::set<std::uint64_t>{});
  const auto first = HostsOf(Reply(now, 12, query, Holding::No));
  ASSERT_EQ(first.size(), 1U);
  EXPECT_EQ(HostsOf(Packet(now, packet_)), std::set<std::uint64_t>{});
  const auto second =
    HostsOf(Answer(now, *first.begin(), packet_, Verdict::Unknown));
  ASSERT_EQ(second.size(), 1U);
  EXPECT_NE(first, second);
  EXPECT_EQ(HostsOf(Answer(now, *second.begin(), packet_, Verdict::Holds)),
            second);
  EXPECT_EQ(HostsOf(Packet(now, packet_)), second);
}

// Failure guarded against: a search ended at a host that neither returned the
// packet nor answered it.
TEST_F(UnsureHosts, AreSentPacketsAlsoAfterOneThatStaysSilent)
{
  const auto query = UnsureNearby(kStart);
  auto now = kStart + kGather;
  for (const std::uint64_t host : { 1U, 2U, 3U }) {
    Reply(now, host, query, Holding::Unsure);
  }
  Reply(now, 11, query, Holding::No);
  auto probed = HostsOf(Reply(now, 12, query, Holding::No));
  for (int step = 0; step < 3; ++step) {
    now += milliseconds{ 100 };
    Balancer::Actions actions;
    balancer_.Tick(now, actions);
    probed.merge(HostsOf(actions));
  }
  EXPECT_EQ(probed, (std::set<std::uint64_t>{ 1, 2, 3 }));
  EXPECT_EQ(ResetsIn(Packet(now, packet_)), 0U);
}

TEST_F(UnsureHosts, AreSentNoPacketWhenAnotherHostHoldsTheFlow)
{
  const auto query = UnsureNearby(kStart);
  const auto now = kStart + kGather;
  for (const std::uint64_t host : { 1U, 2U, 3U }) {
    Reply(now, host, query, Holding::Unsure);
  }
  EXPECT_EQ(HostsOf(Reply(now, 12, query, Holding::Yes)),
            std::set<std::uint64_t>{ 12 });
  EXPECT_EQ(HostsOf(Packet(now, packet_)), std::set<std::uint64_t>{ 12 });
}

// Failure guarded against: a balancer that knew part of the hosts sent a flow's
// packets to all of them while the flow's own host was not known yet.
TEST_F(UnsureHosts, AreSentNoPacketsBeforeControlCanHaveNamedAllHosts)
{
  Balancer restarted(SettingsOf(), PlainCodec());
  for (const std::uint64_t host : { 1U, 2U, 3U }) {
    restarted.UpdateHosts(kStart, { RecordOf(host, kBoards) });
  }
  Balancer::Actions actions;
  restarted.OnPacket(kStart, PacketOf(packet_), actions);
  for (const std::uint64_t host : { 1U, 2U, 3U }) {
    restarted.OnAnswer(
      kStart,
      HostId{ host },
      { KeyFromCaller(packet_), Verdict::Unsure, { 0, 0, 4, true, false }, {} },
      actions);
  }
  restarted.Tick(kStart + kGather, actions);
  Query query;
  ASSERT_EQ(QueriedIn(actions, &query), (std::set<std::uint64_t>{ 1, 2, 3 }));
  actions.clear();
  for (const std::uint64_t host : { 1U, 2U, 3U }) {
    restarted.OnAnswer(kStart + kGather,
                       HostId{ host },
                       { query.id_, { Holding::Unsure } },
                       actions);
  }
  restarted.OnPacket(kStart + milliseconds{ 200 }, PacketOf(packet_), actions);
  EXPECT_EQ(HostsOf(actions), std::set<std::uint64_t>{});
  const auto configured = kStart + seconds{ 1 };
  restarted.UpdateRoutes(configured, ConfigurationOf(1));
  restarted.Tick(configured, actions);
  EXPECT_EQ(HostsOf(actions), std::set<std::uint64_t>{});
  restarted.Tick(configured + milliseconds{ 200 }, actions);
  EXPECT_EQ(HostsOf(actions).size(), 1U);
}

// Failure guarded against: packets reached all hosts but the flow's own, whose
// agent was restarting.
TEST_F(UnsureHosts, AreSentPacketsLaterWhileAnotherHostDoesNotAnswer)
{
  const auto query = UnsureNearby(kStart);
  auto now = kStart + kGather;
  for (const std::uint64_t host : { 1U, 2U, 3U }) {
    Reply(now, host, query, Holding::Unsure);
  }
  Reply(now, 11, query, Holding::No);
  const auto waited = kStart + seconds{ 5 };
  while (now + milliseconds{ 50 } < waited) {
    now += milliseconds{ 50 };
    Balancer::Actions actions;
    balancer_.Tick(now, actions);
    EXPECT_EQ(HostsOf(actions), std::set<std::uint64_t>{});
  }
  Balancer::Actions actions;
  balancer_.Tick(waited + milliseconds{ 150 }, actions);
  EXPECT_EQ(HostsOf(actions).size(), 1U);
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

TEST_F(BalancerTest, ResetsNoFlowWhileOneHostIsUnresponsive)
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
      balancer_.NoteSynced(now);
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

TEST_F(BalancerTest, ResetsNoFlowWhileItsRecordsAreNotSynced)
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
  balancer_.NoteSynced(now);
  EXPECT_EQ(ResetsIn(Packet(now, packet)), 1U);
}

TEST_F(BalancerTest, ResetsNoFlowBeforeANewHostIsAsked)
{
  const auto packet = FromCaller(1, kBoardAddress, false);
  auto now = kStart + std::chrono::seconds{ 5 };
  const auto query = DeniedNearby(now, packet);
  for (const std::uint64_t host : { 1U, 2U, 3U, 11U, 12U }) {
    Reply(now + kGather, host, query, Holding::No);
  }
  now += milliseconds{ 200 };
  balancer_.UpdateHosts(now, { RecordOf(4, kBoards) });
  balancer_.NoteSynced(now);
  EXPECT_EQ(ResetsIn(Packet(now, packet)), 0U);
  Balancer::Actions actions;
  balancer_.Tick(now, actions);
  EXPECT_EQ(ResetsIn(actions), 0U);
  EXPECT_EQ(HostsOf(actions), std::set<std::uint64_t>{ 4 });
  now += milliseconds{ 200 };
  balancer_.NoteSynced(now);
  EXPECT_EQ(ResetsIn(Packet(now, packet)), 0U);
  Answer(now, 4, packet, Verdict::Holds);
  EXPECT_EQ(HostsOf(Packet(now, packet)), std::set<std::uint64_t>{ 4 });
}

TEST_F(BalancerTest, SearchesForAFlowThatOpenedAtAHostWhoseAnswerWasLost)
{
  const auto opening = FromCaller(1, kBoardAddress, true);
  const auto opened = *HostsOf(Packet(kStart, opening)).begin();
  Balancer::Actions actions;
  const auto now = kStart + milliseconds{ 100 };
  balancer_.Tick(now, actions);
  const auto last = *HostsOf(actions).begin();
  ASSERT_NE(last, opened);
  const auto packet = FromCaller(1, kBoardAddress, false);
  EXPECT_EQ(HostsOf(Packet(now, packet)), std::set<std::uint64_t>{ last });
  const auto asked =
    HostsOf(Answer(now, last, packet, Verdict::Unknown, PacketOf(packet)));
  EXPECT_TRUE(asked.contains(opened));
  EXPECT_FALSE(asked.contains(last));
  Answer(now, opened, packet, Verdict::Holds);
  EXPECT_EQ(HostsOf(Packet(now, packet)), std::set<std::uint64_t>{ opened });
}

/** Search traffic sent by a balancer. */
struct Asked
{
  std::size_t packets_{};
  std::size_t bytes_{};
  std::size_t queries_{};
  std::size_t resets_{};
  std::vector<QueryAgent> sentQueries_;

  void Count(const Balancer::Actions& aActions)
  {
    for (const auto& action : aActions) {
      if (const auto* send = std::get_if<ToAgent>(&action)) {
        ++packets_;
        bytes_ += send->relayedPacket_.packet_.size();
      } else if (const auto* query = std::get_if<QueryAgent>(&action)) {
        ++queries_;
        sentQueries_.push_back(*query);
      } else if (std::holds_alternative<ToCaller>(action)) {
        ++resets_;
      }
    }
  }
};

/** A balancer that has just started in a fleet of 50 hosts with open flows. */
class RestartedBalancer : public testing::Test
{
protected:
  RestartedBalancer()
    : settings_(SettingsOf())
    , balancer_(settings_, PlainCodec())
  {
    balancer_.UpdateRoutes(kStart, ConfigurationOf(1));
    for (std::uint64_t host = 1; host <= kHosts; ++host) {
      balancer_.UpdateHosts(kStart, { RecordOf(host, kBoards) });
    }
  }

  static BalancerSettings SettingsOf()
  {
    BalancerSettings settings;
    settings.searchBytesPerSecond_ = 2'000;
    settings.searchBurst_ = 20'000;
    return settings;
  }

  /** A packet of a caller's open flow. */
  static Segment PacketFrom(std::uint32_t aCaller)
  {
    auto segment = FromCaller(1025, kBoardAddress, false);
    segment.from_ = MakeIpv4(0x64400000U + aCaller, 1025);
    return segment;
  }

  Asked Packet(TimePoint aNow, std::uint32_t aCaller)
  {
    Balancer::Actions actions;
    balancer_.OnPacket(aNow, PacketOf(PacketFrom(aCaller)), actions);
    Asked asked;
    asked.Count(actions);
    return asked;
  }

  Asked Tick(TimePoint aNow)
  {
    balancer_.NoteSynced(aNow);
    Balancer::Actions actions;
    balancer_.Tick(aNow, actions);
    Asked asked;
    asked.Count(actions);
    return asked;
  }

  /** Exhausts the byte budget for search packets. */
  std::uint32_t UseUp(TimePoint aNow)
  {
    constexpr std::uint32_t kMost = 10'000;
    std::uint32_t caller = 1;
    while (Packet(aNow, caller).packets_ > 0 && caller < kMost) {
      ++caller;
    }
    EXPECT_LT(caller, kMost);
    return caller;
  }

  BalancerSettings settings_;
  Balancer balancer_;
};

TEST_F(RestartedBalancer, StaysWithinItsByteBudgetWhileNoHostAnswers)
{
  constexpr std::uint32_t kFlows = 1000;
  constexpr int kSeconds = 20;
  Asked asked;
  for (int step = 0; step < kSeconds * 10; ++step) {
    const auto now = kStart + step * milliseconds{ 100 };
    for (std::uint32_t flow = 0; flow < kFlows; ++flow) {
      if ((flow + static_cast<std::uint32_t>(step)) % 5 == 0) {
        const auto sent = Packet(now, flow);
        asked.bytes_ += sent.bytes_;
        asked.resets_ += sent.resets_;
      }
    }
    const auto sent = Tick(now);
    asked.bytes_ += sent.bytes_;
    asked.resets_ += sent.resets_;
  }
  EXPECT_GT(asked.bytes_, 0U);
  EXPECT_LE(asked.bytes_,
            settings_.searchBurst_ +
              settings_.searchBytesPerSecond_ * kSeconds);
  EXPECT_EQ(asked.resets_, 0U);
}

TEST_F(RestartedBalancer, FindsAFlowByQueryOnceTheByteBudgetIsSpent)
{
  const auto unasked = UseUp(kStart);
  const auto now = kStart + kGather;
  const auto asked = Tick(now);
  const auto key = KeyFromCaller(PacketFrom(unasked));
  const auto found = std::find_if(
    asked.sentQueries_.begin(),
    asked.sentQueries_.end(),
    [&](const QueryAgent& aQuery) {
      const auto& items = aQuery.query_.items_;
      return std::any_of(items.begin(), items.end(), [&](const auto& aItem) {
        return aItem.flow_ == ShortHashOf(key);
      });
    });
  ASSERT_NE(found, asked.sentQueries_.end());
  const auto& query = found->query_;
  Balancer::Actions actions;
  balancer_.OnAnswer(
    now,
    HostId{ found->agent_.ip_[15] },
    { query.id_, std::vector(query.items_.size(), Holding::Yes) },
    actions);
  const auto delivered =
    std::count_if(actions.begin(), actions.end(), [&](const auto& aAction) {
      const auto* send = std::get_if<ToAgent>(&aAction);
      return send != nullptr &&
             KeyFromCaller(*SegmentOf(send->relayedPacket_.packet_)) == key;
    });
  EXPECT_EQ(delivered, 1);
  EXPECT_EQ(Packet(now, unasked).packets_, 1U);
}

// Load pattern: the fabric returns all flows of a balancer's callers to it at
// once after its restart. A caller's packet sent to each host near its flow
// took 700 kB for 100 flows, on a link of 250 kB/s.
TEST_F(RestartedBalancer, LooksForAHundredFlowsWithinATenthOfASecondOfItsLink)
{
  constexpr std::uint32_t kFlows = 100;
  constexpr std::size_t kLinkBytesPerSecond = 250'000;
  constexpr std::size_t kItemBytes = 10;
  constexpr std::size_t kMessageBytes = 80;
  UseUp(kStart);
  Tick(kStart + kGather);
  const auto now = kStart + seconds{ 10 };
  UseUp(now);
  Tick(now + kGather);
  const auto later = now + kGather;
  Asked asked;
  for (std::uint32_t flow = 0; flow < kFlows; ++flow) {
    asked.bytes_ += Packet(later, 5000 + flow).bytes_;
  }
  std::set<std::uint32_t> keys;
  for (const auto& query : Tick(later + kGather).sentQueries_) {
    asked.bytes_ += kMessageBytes + kItemBytes * query.query_.items_.size();
    for (const auto& item : query.query_.items_) {
      keys.insert(item.flow_);
    }
  }
  EXPECT_EQ(keys.size(), kFlows);
  EXPECT_LE(asked.bytes_, kLinkBytesPerSecond / 10);
}

TEST_F(RestartedBalancer, QueriesManyUnresponsiveHostsRatherThanSendingPackets)
{
  auto now = kStart;
  EXPECT_GT(Packet(now, 1).packets_, 0U);
  const auto waits = kStart + seconds{ 3 };
  while (now < waits) {
    now += milliseconds{ 10 };
    Tick(now);
  }
  EXPECT_EQ(Packet(now, 1).packets_, 0U);
  EXPECT_EQ(Tick(now + milliseconds{ 20 }).queries_, kHosts);
}

TEST_F(RestartedBalancer, SendsPacketsAgainOnceTheByteBudgetIsRefilled)
{
  const auto last = UseUp(kStart);
  EXPECT_EQ(Packet(kStart, last + 1).packets_, 0U);
  EXPECT_GT(Packet(kStart + seconds{ 1 }, last + 2).packets_, 0U);
}

TEST(ScaleSearchTo, LeavesMostOfALinkForCallers)
{
  constexpr double kFarMessageBytes = 400;
  for (const std::uint64_t link :
       { 100'000U, 250'000U, 575'000U, 1'250'000U }) {
    BalancerSettings settings;
    ScaleSearchTo(link, settings);
    const auto searches =
      static_cast<double>(settings.searchBytesPerSecond_) +
      static_cast<double>(settings.nearSearch_.bytesPerSecond_) +
      settings.farSearch_.perSecond_ * kFarMessageBytes;
    EXPECT_LE(searches, 0.41 * static_cast<double>(link));
    EXPECT_GE(searches, 0.35 * static_cast<double>(link));
  }
}

} // namespace
} // namespace cornelshore::relay
