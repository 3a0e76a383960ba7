#include <cornelshore/relay/agent_fixture.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace cornelshore::relay {
namespace {

std::vector<std::pair<FlowEvent, FlowReason>>
DecisionsIn(const Agent::Actions& aActions)
{
  std::vector<std::pair<FlowEvent, FlowReason>> decisions;
  for (const auto& action : aActions) {
    if (const auto* decision = std::get_if<FlowDecision>(&action)) {
      decisions.emplace_back(decision->event_, decision->reason_);
    }
  }
  return decisions;
}

TEST_F(AgentTest, EmitsTheReasonForARefusedOpening)
{
  const auto refusal = [&](TimePoint aNow, ServiceId aService = kBoards) {
    const auto decisions =
      DecisionsIn(Carry(aNow, Purpose::Open, FromCaller(1, true), aService));
    EXPECT_EQ(decisions.size(), 1U);
    EXPECT_EQ(decisions.front().first, FlowEvent::Refused);
    return decisions.front().second;
  };
  EXPECT_EQ(refusal(kStart), FlowReason::NoReport);
  agent_.OnReport(kStart, ReportOf(1));
  EXPECT_EQ(refusal(kStart, ServiceIdOf("sheets")), FlowReason::OtherService);
  EXPECT_EQ(refusal(kStart + std::chrono::seconds{ 5 }), FlowReason::Silent);
  auto leaving = ReportOf(2);
  leaving.leaving_ = true;
  agent_.OnReport(kStart, leaving);
  EXPECT_EQ(refusal(kStart), FlowReason::Leaving);
}

TEST_F(AgentTest, EmitsDecisionsWhenAFlowOpensAndCloses)
{
  agent_.OnReport(kStart, ReportOf(1));
  using Decisions = std::vector<std::pair<FlowEvent, FlowReason>>;
  EXPECT_EQ(DecisionsIn(Carry(kStart, Purpose::Open, FromCaller(1, true))),
            (Decisions{ { FlowEvent::Taken, FlowReason::None } }));
  EXPECT_TRUE(DecisionsIn(HostSends(kStart, FromHostTo(1, true))).empty());
  auto reset = FromHostTo(1, false);
  reset.reset_ = true;
  EXPECT_EQ(DecisionsIn(HostSends(kStart, reset)),
            (Decisions{ { FlowEvent::Closed, FlowReason::Reset } }));
}

TEST_F(AgentTest, AnswersQueriesFromItsKnownFlows)
{
  const auto ask = [&](TimePoint aNow, std::uint32_t aAcknowledged) {
    Agent::Actions actions;
    Query query;
    query.id_ = 5;
    query.items_ = { { ShortHashOf(KeyFromCaller(FromCaller(1, true))),
                       aAcknowledged },
                     { ShortHashOf(KeyFromCaller(FromCaller(2, true))), 0 } };
    agent_.OnQuery(aNow, kBalancer, query, actions);
    const auto& answer = std::get<AnswerQuery>(actions.front());
    EXPECT_EQ(answer.balancer_, kBalancer);
    EXPECT_EQ(answer.answer_.id_, 5U);
    return answer.answer_.holdings_;
  };
  using Holdings = std::vector<Holding>;
  EXPECT_EQ(ask(kStart, 0), (Holdings{ Holding::Unsure, Holding::Unsure }));
  agent_.OnReport(kStart, ReportOf(1));
  OpenFlow(1);
  const auto start = FromHostTo(1, true).sequence_;
  EXPECT_EQ(ask(kStart, start + 1), (Holdings{ Holding::Yes, Holding::No }));
  EXPECT_EQ(ask(kStart, start - 1), (Holdings{ Holding::No, Holding::No }));
}

TEST_F(AgentTest, RefusesOpeningsBeforeTheFirstReport)
{
  const auto actions = Carry(kStart, Purpose::Open, FromCaller(1, true));
  EXPECT_FALSE(Delivered(actions));
  EXPECT_EQ(VerdictIn(actions), Verdict::Refused);
}

TEST_F(AgentTest, OpensAFlowAndNotifiesTheBalancerOnceTheHostAnswers)
{
  agent_.OnReport(kStart, ReportOf(1));
  EXPECT_TRUE(Delivered(Carry(kStart, Purpose::Open, FromCaller(1, true))));
  EXPECT_EQ(VerdictIn(HostSends(kStart, FromHostTo(1, true))), Verdict::Opened);
  EXPECT_TRUE(Delivered(Carry(kStart, Purpose::Direct, FromCaller(1, false))));
}

TEST_F(AgentTest, RefusesOpeningsAtALeavingHostAndKeepsItsFlows)
{
  agent_.OnReport(kStart, ReportOf(1));
  OpenFlow(1);
  agent_.OnReport(kStart, ReportOf(2, true));
  EXPECT_EQ(VerdictIn(Carry(kStart, Purpose::ForceOpen, FromCaller(2, true))),
            Verdict::Refused);
  EXPECT_TRUE(Delivered(Carry(kStart, Purpose::Direct, FromCaller(1, false))));
}

TEST_F(AgentTest, RefusesOpeningsOfAnotherService)
{
  agent_.OnReport(kStart, ReportOf(1));
  for (const auto purpose : { Purpose::Open, Purpose::ForceOpen }) {
    const auto actions = Carry(kStart, purpose, FromCaller(1, true), kSheets);
    EXPECT_FALSE(Delivered(actions));
    EXPECT_EQ(VerdictIn(actions), Verdict::Refused);
  }
}

TEST_F(AgentTest, RefusesOpeningsByARouteThatANewerConfigurationRemoved)
{
  agent_.OnReport(kStart, ReportOf(1));
  Configuration configuration;
  configuration.version_ = ConfigVersion{ 2 };
  agent_.UpdateRoutes(configuration);
  EXPECT_EQ(VerdictIn(Carry(kStart, Purpose::Open, FromCaller(1, true))),
            Verdict::Refused);
  version_ = ConfigVersion{ 3 };
  EXPECT_TRUE(Delivered(Carry(kStart, Purpose::Open, FromCaller(2, true))));
}

TEST_F(AgentTest, DeclinesOpeningsWhileAllSlotsAreInUse)
{
  agent_.OnReport(kStart, ReportOf(1));
  for (const auto port : { std::uint16_t{ 1 }, std::uint16_t{ 2 } }) {
    OpenFlow(port);
    Carry(kStart, Purpose::Direct, FromCaller(port, false));
  }
  EXPECT_EQ(agent_.Busy(), 2U);
  EXPECT_EQ(VerdictIn(Carry(kStart, Purpose::Open, FromCaller(3, true))),
            Verdict::Busy);
  EXPECT_TRUE(
    Delivered(Carry(kStart, Purpose::ForceOpen, FromCaller(3, true))));
  HostSends(kStart, FromHostTo(1, false));
  EXPECT_EQ(agent_.Busy(), 1U);
}

TEST_F(AgentTest, RefusesOpeningsOnceReportsStop)
{
  agent_.OnReport(kStart, ReportOf(1));
  const auto later = kStart + seconds{ 10 };
  EXPECT_FALSE(agent_.Load(later).accepts_);
  EXPECT_EQ(VerdictIn(Carry(later, Purpose::Open, FromCaller(1, true))),
            Verdict::Refused);
}

TEST_F(AgentTest, DeniesAFlowThatItsHostNeverHad)
{
  agent_.OnReport(kStart, ReportOf(1));
  for (const auto purpose : { Purpose::Search, Purpose::Probe }) {
    const auto actions = Carry(kStart, purpose, FromCaller(1, false));
    EXPECT_FALSE(Delivered(actions));
    EXPECT_EQ(VerdictIn(actions), Verdict::Unknown);
  }
  EXPECT_EQ(HoldingOf(kStart, 1), Holding::No);
}

// Guards against an agent that denies, by its own table alone, a flow that a
// balancer has at this very host: the balancer then resets the flow.
TEST_F(AgentTest, AsksItsHostOnceWhereABalancerNamesIt)
{
  agent_.OnReport(kStart, ReportOf(1));
  auto packet = Delivered(Carry(kStart, Purpose::Direct, FromCaller(1, false)));
  ASSERT_TRUE(packet.has_value());
  EXPECT_EQ(VerdictIn(HostSends(kStart, FromHostTo(1, false))), Verdict::Holds);

  packet = Delivered(Carry(kStart, Purpose::Direct, FromCaller(2, false)));
  ASSERT_TRUE(packet.has_value());
  packet->returned_ = true;
  const auto answer = AnswerIn(HostSends(kStart, *packet));
  ASSERT_TRUE(answer.has_value());
  EXPECT_EQ(answer->verdict_, Verdict::Unknown);
  EXPECT_FALSE(answer->packet_.empty());
  const auto again = Carry(kStart, Purpose::Direct, FromCaller(2, false));
  EXPECT_FALSE(Delivered(again));
  EXPECT_EQ(VerdictIn(again), Verdict::Unknown);

  const auto silent = kStart + seconds{ 10 };
  const auto late = Carry(silent, Purpose::Direct, FromCaller(3, false));
  EXPECT_FALSE(Delivered(late));
  EXPECT_EQ(VerdictIn(late), Verdict::Unknown);
}

TEST_F(AgentTest, DeniesAFlowThatTheCallerOpenedAtAnotherHost)
{
  agent_.OnReport(kStart, ReportOf(1));
  OpenFlow(1);
  auto packet = FromCaller(1, false);
  packet.acknowledged_ = 4'000'000'000U;
  EXPECT_EQ(VerdictIn(Carry(kStart, Purpose::Search, packet)),
            Verdict::Unknown);
}

// Failure guarded against: agents that restarted passed each packet of a search
// to their hosts, so that the packets of one flow reached several other hosts.
TEST_F(AgentTest, PassesNoPacketOfASearchToAHostThatMayNotHoldTheFlow)
{
  agent_.OnReport(kStart, ReportOf(40));
  const auto actions = Carry(kStart, Purpose::Search, FromCaller(1, false));
  EXPECT_FALSE(Delivered(actions));
  EXPECT_EQ(VerdictIn(actions), Verdict::Unsure);
}

TEST_F(AgentTest, ProbesTheHostForFlowsThatMayPredateTheAgent)
{
  agent_.OnReport(kStart, ReportOf(40));
  const auto actions = Carry(kStart, Purpose::Probe, FromCaller(1, false));
  EXPECT_TRUE(Delivered(actions));
  EXPECT_EQ(VerdictIn(actions), std::nullopt);
  EXPECT_EQ(VerdictIn(HostSends(kStart, FromHostTo(1, false))), Verdict::Holds);
}

TEST_F(AgentTest, DeniesAFlowWhoseProbeTheHostReturned)
{
  agent_.OnReport(kStart, ReportOf(40));
  auto packet = *Delivered(Carry(kStart, Purpose::Probe, FromCaller(1, false)));
  packet.returned_ = true;
  EXPECT_EQ(VerdictIn(HostSends(kStart, packet)), Verdict::Unknown);
}

TEST_F(AgentTest, DoesNotProbeAFlowAgainThatTheHostReturned)
{
  agent_.OnReport(kStart, ReportOf(40));
  const auto sent = FromCaller(1, false);
  auto packet = *Delivered(Carry(kStart, Purpose::Probe, sent));
  packet.returned_ = true;
  HostSends(kStart, packet);
  for (const auto purpose :
       { Purpose::Search, Purpose::Probe, Purpose::Direct }) {
    const auto actions = Carry(kStart, purpose, sent);
    EXPECT_FALSE(Delivered(actions));
    EXPECT_EQ(VerdictIn(actions), Verdict::Unknown);
  }
  Agent::Actions actions;
  agent_.OnQuery(kStart,
                 kBalancer,
                 { 1, { { ShortHashOf(KeyFromCaller(sent)), 5001 } } },
                 actions);
  EXPECT_EQ(std::get<AnswerQuery>(actions.front()).answer_.holdings_,
            std::vector{ Holding::No });
  Carry(kStart, Purpose::ForceOpen, FromCaller(1, true));
  EXPECT_TRUE(Delivered(Carry(kStart, Purpose::Direct, sent)));
}

// Failure guarded against: the agent denied a flow that its host may hold,
// because the host had returned a packet of an earlier flow of the same key.
TEST_F(AgentTest, MayHoldANewFlowOfAKeyWhoseProbeTheHostReturnedBefore)
{
  agent_.OnReport(kStart, ReportOf(40));
  auto packet = *Delivered(Carry(kStart, Purpose::Probe, FromCaller(1, false)));
  packet.returned_ = true;
  HostSends(kStart, packet);
  const auto later = kStart + seconds{ 10 };
  EXPECT_EQ(agent_.OnReport(later, ReportOf(41)), ReportOutcome::Taken);
  Carry(later, Purpose::ForceOpen, FromCaller(1, true));
  EXPECT_EQ(agent_.OnReport(later, NextInstance()), ReportOutcome::Taken);
  EXPECT_EQ(HoldingOf(later, 1), Holding::Unsure);
  EXPECT_TRUE(Delivered(Carry(later, Purpose::Direct, FromCaller(1, false))));
}

TEST_F(AgentTest, ReturnsADirectPacketOfAFlowNotHeld)
{
  agent_.OnReport(kStart, ReportOf(40));
  const auto sent = FromCaller(1, false);
  auto packet = *Delivered(Carry(kStart, Purpose::Direct, sent));
  packet.returned_ = true;
  const auto answer = AnswerIn(HostSends(kStart, packet));
  ASSERT_TRUE(answer.has_value());
  EXPECT_EQ(answer->verdict_, Verdict::Unknown);
  const auto back = SegmentOf(answer->packet_);
  ASSERT_TRUE(back.has_value());
  EXPECT_EQ(back->mark_, sent.mark_);
  EXPECT_EQ(KeyFromCaller(*back), KeyFromCaller(sent));
}

TEST_F(AgentTest, RefusesAnOpeningThatTheHostReturned)
{
  agent_.OnReport(kStart, ReportOf(1));
  auto packet = *Delivered(Carry(kStart, Purpose::Open, FromCaller(1, true)));
  packet.returned_ = true;
  EXPECT_EQ(VerdictIn(HostSends(kStart, packet)), Verdict::Refused);
  EXPECT_EQ(agent_.Flows(), 0U);
}

TEST_F(AgentTest, ExcludesClosedFlowsFromTheLoadAndRemovesThemSoon)
{
  agent_.OnReport(kStart, ReportOf(1));
  OpenFlow(1);
  EXPECT_EQ(agent_.Load(kStart).flows_, 1U);
  auto last = FromCaller(1, false);
  last.finishing_ = true;
  Carry(kStart, Purpose::Direct, last);
  auto answer = FromHostTo(1, false);
  answer.finishing_ = true;
  HostSends(kStart, answer);
  EXPECT_EQ(agent_.Load(kStart).flows_, 0U);
  agent_.Tick(kStart + seconds{ 6 });
  EXPECT_EQ(agent_.Flows(), 0U);
}

// Guards against a late packet of a closed flow that reaches the flow which now
// has its key: their sequence numbers tell them apart.
TEST_F(AgentTest, ALatePacketOfAClosedFlowReachesNoFlowOfItsKey)
{
  agent_.OnReport(kStart, ReportOf(1));
  OpenFlow(1);
  CloseFlow(1);
  const auto later = kStart + seconds{ 1 };
  Carry(later, Purpose::ForceOpen, FromCaller(1, true));
  auto accepted = FromHostTo(1, true);
  accepted.sequence_ = 900'000'000;
  HostSends(later, accepted);
  const auto late = Carry(later, Purpose::Direct, FromCaller(1, false));
  EXPECT_FALSE(Delivered(late));
  EXPECT_EQ(VerdictIn(late), Verdict::Unknown);
}

TEST_F(AgentTest, ForwardsHostPacketsUnchanged)
{
  agent_.OnReport(kStart, ReportOf(1));
  OpenFlow(1);
  const auto sent = PacketOf(FromHostTo(1, false));
  Agent::Actions actions;
  agent_.OnHostPacket(kStart, sent, actions);
  ASSERT_EQ(actions.size(), 1U);
  EXPECT_EQ(std::get<FromHost>(actions.front()).packet_, sent);
}

// Load pattern: openings arrive together; the requests that follow them would
// exceed the host's slots and its queue, and the host would reject them.
TEST_F(AgentTest, CountsTheFirstRequestsOfFlowsThatItHasJustAccepted)
{
  agent_.OnReport(kStart, ReportOf(1));
  EXPECT_TRUE(Delivered(Carry(kStart, Purpose::Open, FromCaller(1, true))));
  EXPECT_TRUE(Delivered(Carry(kStart, Purpose::Open, FromCaller(2, true))));
  EXPECT_FALSE(Delivered(Carry(kStart, Purpose::Open, FromCaller(3, true))));
  const auto later = kStart + milliseconds{ 150 };
  EXPECT_TRUE(Delivered(Carry(later, Purpose::Open, FromCaller(4, true))));
}

TEST_F(AgentTest, DeclinesForcedOpeningsBeyondAShortQueue)
{
  agent_.OnReport(kStart, ReportOf(1));
  for (std::uint16_t port = 1; port <= 4; ++port) {
    EXPECT_TRUE(
      Delivered(Carry(kStart, Purpose::ForceOpen, FromCaller(port, true))));
    Carry(kStart, Purpose::Direct, FromCaller(port, false));
  }
  EXPECT_FALSE(
    Delivered(Carry(kStart, Purpose::ForceOpen, FromCaller(5, true))));
  HostSends(kStart, FromHostTo(1, false));
  EXPECT_TRUE(
    Delivered(Carry(kStart, Purpose::ForceOpen, FromCaller(5, true))));
}

TEST_F(AgentTest, ARequestWithoutAnAnswerIsNoLoadForEver)
{
  agent_.OnReport(kStart, ReportOf(1));
  for (std::uint16_t port = 1; port <= 4; ++port) {
    OpenFlow(port);
    Carry(kStart, Purpose::Direct, FromCaller(port, false));
  }
  EXPECT_EQ(agent_.Busy(), 4U);
  agent_.Tick(kStart + seconds{ 11 });
  EXPECT_EQ(agent_.Busy(), 0U);
}

} // namespace
} // namespace cornelshore::relay
