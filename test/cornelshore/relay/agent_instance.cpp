#include <cornelshore/relay/agent_fixture.hpp>

namespace cornelshore::relay {
namespace {

TEST_F(AgentTest, IgnoresLateReports)
{
  EXPECT_EQ(agent_.OnReport(kStart, ReportOf(5)), ReportOutcome::Taken);
  EXPECT_EQ(agent_.OnReport(kStart, ReportOf(4, true)), ReportOutcome::Late);
  EXPECT_TRUE(agent_.Load(kStart).accepts_);
  auto former = ReportOf(9);
  former.instance_ = "i-0";
  former.startMillis_ = 500;
  EXPECT_EQ(agent_.OnReport(kStart, former), ReportOutcome::Late);
  EXPECT_EQ(agent_.Host()->instance_, "i-1");
}

TEST_F(AgentTest, IgnoresReportsOfAnotherService)
{
  auto report = ReportOf(1);
  report.service_ = kSheets;
  EXPECT_EQ(agent_.OnReport(kStart, report), ReportOutcome::Foreign);
  EXPECT_FALSE(agent_.Host());
}

// A report of another instance ends no flow: the host's own return decides, and
// until then the flow is no load.
TEST_F(AgentTest, LeavesTheFlowsOfAFormerRunToTheHost)
{
  agent_.OnReport(kStart, ReportOf(1));
  OpenFlow(1);
  const auto later = kStart + seconds{ 2 };
  agent_.OnReport(later, ReportOf(2));
  EXPECT_EQ(agent_.OnReport(later, NextInstance()), ReportOutcome::Taken);
  EXPECT_EQ(agent_.Load(later).flows_, 0U);
  EXPECT_EQ(HoldingOf(later, 1), Holding::Unsure);
  EXPECT_EQ(HoldingOf(later, 2), Holding::No);
  auto packet = Delivered(Carry(later, Purpose::Direct, FromCaller(1, false)));
  ASSERT_TRUE(packet.has_value());
  packet->returned_ = true;
  EXPECT_EQ(VerdictIn(HostSends(later, *packet)), Verdict::Unknown);
  EXPECT_EQ(HoldingOf(later, 1), Holding::No);
  EXPECT_FALSE(Delivered(Carry(later, Purpose::Direct, FromCaller(1, false))));
}

// Guards against an agent that takes the second instance of which it receives a
// report for one that started under its eyes: the first report may be a delayed
// one of an instance that crashed long before.
TEST_F(AgentTest, IsUnsureOfAHostThatStartedBeforeItWhateverReportCameFirst)
{
  auto settings = SettingsOf();
  settings.startMillis_ = 9000;
  agent_ = Agent(settings, PlainCodec(), kStart);
  auto current = NextInstance();
  current.startMillis_ = 5000;
  current.sequence_ = 6;
  EXPECT_EQ(agent_.OnReport(kStart, ReportOf(7)), ReportOutcome::Taken);
  EXPECT_EQ(agent_.OnReport(kStart, current), ReportOutcome::Taken);
  EXPECT_EQ(agent_.CoverageAt(kStart + seconds{ 5 }), Coverage::HostIsOlder);
  EXPECT_EQ(HoldingOf(kStart + seconds{ 5 }, 1), Holding::Unsure);
}

// Guards against an agent that forgets what it does not know: a stray report of
// a later start came after its restart, and it denied the flows of the host
// that runs on.
TEST_F(AgentTest, IsUnsureAsLongAsAnOlderHostMayRunBesideAnother)
{
  auto settings = SettingsOf();
  settings.startMillis_ = 9000;
  agent_ = Agent(settings, PlainCodec(), kStart);
  auto stray = NextInstance();
  stray.startMillis_ = 12'000;
  const auto second = [](int aCount) { return kStart + seconds{ aCount }; };
  EXPECT_EQ(agent_.OnReport(second(2), ReportOf(40)), ReportOutcome::Taken);
  EXPECT_EQ(agent_.OnReport(second(3), stray), ReportOutcome::Taken);
  EXPECT_EQ(agent_.CoverageAt(second(3)), Coverage::OlderMayRun);
  EXPECT_EQ(agent_.OnReport(second(4), ReportOf(42)), ReportOutcome::Late);
  stray.sequence_ = 4;
  EXPECT_EQ(agent_.OnReport(second(6), stray), ReportOutcome::Taken);
  EXPECT_EQ(agent_.CoverageAt(second(7)), Coverage::OlderMayRun);
  EXPECT_EQ(HoldingOf(second(7), 1), Holding::Unsure);
  EXPECT_EQ(agent_.CoverageAt(second(8)), Coverage::HostIsNewer);
  EXPECT_EQ(HoldingOf(second(8), 1), Holding::No);
}

TEST_F(AgentTest, IsUnsureWhereAnOlderHostReportsAfterANewerOne)
{
  auto settings = SettingsOf();
  settings.startMillis_ = 9000;
  agent_ = Agent(settings, PlainCodec(), kStart);
  auto stray = NextInstance();
  stray.startMillis_ = 9300;
  const auto early = kStart + milliseconds{ 400 };
  EXPECT_EQ(agent_.OnReport(early, stray), ReportOutcome::Taken);
  EXPECT_EQ(agent_.CoverageAt(early), Coverage::AwaitsOlderHost);
  const auto next = kStart + milliseconds{ 1200 };
  EXPECT_EQ(agent_.OnReport(next, ReportOf(40)), ReportOutcome::Late);
  EXPECT_EQ(agent_.CoverageAt(kStart + seconds{ 3 }), Coverage::OlderMayRun);
}

// Guards against a stray report of another instance that drops the flows of a
// host which goes on reporting.
TEST_F(AgentTest, KeepsTheFlowsOfAHostBesideAStrayReport)
{
  for (std::uint64_t sequence = 1; sequence <= 10; ++sequence) {
    agent_.OnReport(kStart + seconds{ 1 } * static_cast<int>(sequence),
                    ReportOf(sequence));
  }
  OpenFlow(1);
  const auto stray = kStart + seconds{ 11 };
  EXPECT_EQ(agent_.OnReport(stray, NextInstance()), ReportOutcome::Taken);
  EXPECT_EQ(HoldingOf(stray, 1), Holding::Unsure);
  EXPECT_EQ(agent_.OnReport(stray, ReportOf(11)), ReportOutcome::Late);
  const auto back = kStart + seconds{ 15 };
  EXPECT_EQ(agent_.OnReport(back, ReportOf(15)), ReportOutcome::Taken);
  EXPECT_EQ(HoldingOf(back, 1), Holding::Unsure);
  EXPECT_TRUE(Delivered(Carry(back, Purpose::Direct, FromCaller(1, false))));
  HostSends(back, FromHostTo(1, false));
  EXPECT_EQ(HoldingOf(back, 1), Holding::Yes);
}

// Guards against new flows at a host that leaves, whose reports are late beside
// a stray one of another instance and are acknowledged all the same.
TEST_F(AgentTest, OpensNoFlowOnceAnInstanceBesideTheCurrentOneLeaves)
{
  const auto opens = [&](TimePoint aNow, std::uint16_t aPort) {
    return Delivered(Carry(aNow, Purpose::ForceOpen, FromCaller(aPort, true)))
      .has_value();
  };
  agent_.OnReport(kStart, ReportOf(1));
  agent_.OnReport(kStart, NextInstance());
  EXPECT_EQ(agent_.OnReport(kStart, ReportOf(2)), ReportOutcome::Late);
  EXPECT_TRUE(opens(kStart, 1));
  EXPECT_EQ(agent_.OnReport(kStart, ReportOf(3, true)), ReportOutcome::Late);
  EXPECT_FALSE(agent_.Load(kStart).accepts_);
  EXPECT_FALSE(opens(kStart, 2));

  const auto later = kStart + seconds{ 2 };
  auto further = NextInstance();
  further.sequence_ = 3;
  EXPECT_EQ(agent_.OnReport(later, further), ReportOutcome::Taken);
  EXPECT_FALSE(agent_.OnHostEnded(later, "i-1"));
  EXPECT_FALSE(opens(kStart + seconds{ 5 }, 3));
  further.sequence_ = 7;
  const auto silent = kStart + seconds{ 6 };
  EXPECT_EQ(agent_.OnReport(silent, further), ReportOutcome::Taken);
  EXPECT_TRUE(opens(silent, 4));
}

// A host crashes and starts again. Until its first report the agent passes
// openings to the new instance; that report made the agent forget these flows,
// and balancers reset them though the host held them.
TEST_F(AgentTest, KeepsFlowsOpenedBeforeTheFirstReportOfANewInstance)
{
  agent_.OnReport(kStart, ReportOf(1));
  OpenFlow(1);
  OpenFlow(2);
  const auto later = kStart + seconds{ 1 };
  EXPECT_EQ(agent_.OnReport(later, NextInstance()), ReportOutcome::Taken);
  EXPECT_EQ(agent_.Load(later).flows_, 0U);
  EXPECT_EQ(HoldingOf(later, 1), Holding::Unsure);

  EXPECT_TRUE(Delivered(Carry(later, Purpose::Direct, FromCaller(1, false))));
  EXPECT_EQ(VerdictIn(HostSends(later, FromHostTo(1, false))), Verdict::Holds);
  EXPECT_EQ(HoldingOf(later, 1), Holding::Yes);
  EXPECT_EQ(agent_.Load(later).flows_, 1U);

  auto returned =
    *Delivered(Carry(later, Purpose::Direct, FromCaller(2, false)));
  returned.returned_ = true;
  EXPECT_EQ(VerdictIn(HostSends(later, returned)), Verdict::Unknown);
  EXPECT_EQ(HoldingOf(later, 2), Holding::No);
}

// The host's answer to an opening arrives after its first report.
TEST_F(AgentTest, NotifiesTheBalancerOfAFlowThatANewInstanceOpens)
{
  agent_.OnReport(kStart, ReportOf(1));
  Carry(kStart, Purpose::Open, FromCaller(1, true));
  agent_.OnReport(kStart, NextInstance());
  EXPECT_EQ(VerdictIn(HostSends(kStart, FromHostTo(1, true))), Verdict::Opened);
  EXPECT_EQ(HoldingOf(kStart, 1), Holding::Yes);
}

// Data that the host sends shows that it holds the flow, whatever the agent
// knew before.
TEST_F(AgentTest, LearnsAFlowFromTheDataOfItsHost)
{
  agent_.OnReport(kStart, ReportOf(1));
  HostSends(kStart, FromHostTo(1, false));
  EXPECT_EQ(HoldingOf(kStart, 1), Holding::Yes);
  auto last = FromHostTo(2, false);
  last.finishing_ = true;
  HostSends(kStart, last);
  EXPECT_EQ(HoldingOf(kStart, 2), Holding::No);
}

TEST_F(AgentTest, TreatsFurtherReportsOfAnEndedInstanceAsLate)
{
  agent_.OnReport(kStart, ReportOf(1));
  agent_.OnReport(kStart, ReportOf(2, true));
  EXPECT_TRUE(agent_.OnHostEnded(kStart, "i-1"));
  EXPECT_FALSE(agent_.OnHostEnded(kStart, "i-1"));
  EXPECT_EQ(agent_.OnReport(kStart, ReportOf(9)), ReportOutcome::Late);
  EXPECT_FALSE(agent_.Host());
}

// The notice that an earlier run ended arrives after a new run with the same
// name has reported; the new run was never used again.
TEST_F(AgentTest, AnInstanceThatReportsOnWasNotTheOneThatEnded)
{
  agent_.OnReport(kStart, ReportOf(1));
  EXPECT_TRUE(agent_.OnHostEnded(kStart, "i-1"));
  EXPECT_EQ(agent_.OnReport(kStart, ReportOf(1)), ReportOutcome::Late);
  EXPECT_EQ(agent_.OnReport(kStart, ReportOf(2)), ReportOutcome::Taken);
  EXPECT_TRUE(agent_.Load(kStart).accepts_);
}

// A host starts again after the wall clock stepped back; its reports were taken
// for late ones of an earlier instance for good.
TEST_F(AgentTest, FollowsAnInstanceWithAnEarlierStartOnceTheLastIsSilent)
{
  agent_.OnReport(kStart, ReportOf(5));
  auto next = NextInstance();
  next.startMillis_ = 500;
  EXPECT_EQ(agent_.OnReport(kStart + seconds{ 3 }, next), ReportOutcome::Late);
  const auto silent = kStart + seconds{ 4 };
  EXPECT_EQ(agent_.OnReport(silent, next), ReportOutcome::Taken);
  EXPECT_EQ(agent_.Host()->instance_, "i-2");
  EXPECT_TRUE(agent_.Load(silent).accepts_);
}

// Failure guarded against: the agent beside a host that counts its reports from
// 0 was restarted, took report 1 for the host's first, and denied open flows.
TEST_F(AgentTest, TakesASecondReportThatIsCountedOneForNoStart)
{
  auto settings = SettingsOf();
  settings.startMillis_ = 1700;
  agent_ = Agent(settings, PlainCodec(), kStart);
  agent_.OnReport(kStart + milliseconds{ 500 }, ReportOf(1));
  EXPECT_EQ(HoldingOf(kStart + milliseconds{ 500 }, 1), Holding::Unsure);

  agent_ = Agent(settings, PlainCodec(), kStart);
  auto first = ReportOf(1);
  first.startMillis_ = 1900;
  agent_.OnReport(kStart + milliseconds{ 500 }, first);
  EXPECT_EQ(agent_.CoverageAt(kStart + milliseconds{ 1499 }),
            Coverage::AwaitsOlderHost);
  EXPECT_EQ(HoldingOf(kStart + milliseconds{ 1500 }, 1), Holding::No);

  agent_ = Agent(settings, PlainCodec(), kStart);
  agent_.OnReport(kStart + milliseconds{ 500 }, ReportOf(0));
  EXPECT_EQ(HoldingOf(kStart + milliseconds{ 500 }, 1), Holding::Unsure);
  EXPECT_EQ(HoldingOf(kStart + seconds{ 1 }, 1), Holding::No);
}

// Guards against an agent that denies flows which an earlier run of it passed
// to its host between the host's start and the host's first report.
TEST_F(AgentTest, IsUnsureWhereAnEarlierRunLivedAfterTheStartOfItsHost)
{
  auto settings = SettingsOf();
  settings.startMillis_ = 3000;
  const auto report = [] {
    auto first = ReportOf(1);
    first.startMillis_ = 2800;
    return first;
  }();
  const auto settled = kStart + seconds{ 1 };

  agent_ = Agent(settings, PlainCodec(), kStart);
  agent_.OnReport(kStart + milliseconds{ 200 }, report);
  EXPECT_EQ(agent_.CoverageAt(settled), Coverage::BothAreNew);
  agent_.NoteEarlierRun(settled, milliseconds{ 1300 }, false);
  EXPECT_EQ(agent_.CoverageAt(settled), Coverage::EarlierRun);
  EXPECT_EQ(HoldingOf(settled, 1), Holding::Unsure);
  agent_.NoteEarlierRun(settled, seconds{ 10 }, false);
  EXPECT_EQ(agent_.CoverageAt(settled), Coverage::EarlierRun);
  EXPECT_EQ(agent_.CoverageAt(kStart + settings.flowTimeout_),
            Coverage::OutlivedFlows);

  agent_ = Agent(settings, PlainCodec(), kStart);
  agent_.NoteEarlierRun(settled, seconds{ 10 }, false);
  agent_.OnReport(kStart + milliseconds{ 200 }, report);
  EXPECT_EQ(agent_.CoverageAt(settled), Coverage::BothAreNew);
  EXPECT_EQ(HoldingOf(settled, 1), Holding::No);
}

// Guards against new flows at a host that leaves: after its agent's restart a
// delayed report, from before it left, comes before its next one.
TEST_F(AgentTest, OpensNoFlowAtAHostThatLeftBeforeItsRestartUntilItReports)
{
  auto settings = SettingsOf();
  settings.startMillis_ = 60'000;
  agent_ = Agent(settings, PlainCodec(), kStart);
  agent_.NoteEarlierRun(kStart, milliseconds{ 100 }, true);
  EXPECT_EQ(agent_.OnReport(kStart, ReportOf(40)), ReportOutcome::Taken);
  EXPECT_FALSE(agent_.Load(kStart).accepts_);
  EXPECT_FALSE(
    Delivered(Carry(kStart, Purpose::ForceOpen, FromCaller(1, true))));
  const auto next = kStart + milliseconds{ 1500 };
  EXPECT_TRUE(agent_.Load(next).accepts_);
  EXPECT_EQ(agent_.OnReport(next, ReportOf(48, true)), ReportOutcome::Taken);
  EXPECT_FALSE(agent_.Load(next).accepts_);
}

// The count of reports tells a host's age where the wall clock stepped back
// between its start and the agent's.
TEST_F(AgentTest, TakesAHostWithManyReportsForAnOlderOne)
{
  auto settings = SettingsOf();
  settings.startMillis_ = 1000;
  agent_ = Agent(settings, PlainCodec(), kStart);
  auto report = ReportOf(30);
  report.startMillis_ = 1500;
  agent_.OnReport(kStart + seconds{ 3 }, report);
  EXPECT_EQ(agent_.CoverageAt(kStart + seconds{ 3 }), Coverage::HostIsOlder);
}

// The wall clock stepped back since the host started: its age is not known.
TEST_F(AgentTest, TakesAReportOfAHostThatStartsLaterForNoStart)
{
  auto settings = SettingsOf();
  settings.startMillis_ = 400;
  agent_ = Agent(settings, PlainCodec(), kStart);
  agent_.OnReport(kStart + milliseconds{ 500 }, ReportOf(1));
  EXPECT_EQ(HoldingOf(kStart + milliseconds{ 500 }, 1), Holding::Unsure);
}

// Another writer's report names a start far in the future. It ended all flows
// of the real host, whose own reports were late from then on.
TEST_F(AgentTest, RefusesAStartInTheFuture)
{
  auto settings = SettingsOf();
  settings.startMillis_ = 900;
  agent_ = Agent(settings, PlainCodec(), kStart);
  agent_.OnReport(kStart, ReportOf(1));
  OpenFlow(1);
  auto odd = NextInstance();
  odd.startMillis_ = 9'000'000'000'000'000'000U;
  EXPECT_EQ(agent_.OnReport(kStart, odd), ReportOutcome::Implausible);
  EXPECT_EQ(agent_.Flows(), 1U);
  EXPECT_EQ(agent_.OnReport(kStart, ReportOf(2)), ReportOutcome::Taken);
}

// A host whose reports stop for a while gets no new flows, and keeps those that
// it has: its work is neither given up nor moved, and late answers are passed.
TEST_F(AgentTest, AHostThatIsOnlySilentKeepsItsFlows)
{
  agent_.OnReport(kStart, ReportOf(1));
  OpenFlow(1);
  const auto silent = kStart + seconds{ 20 };
  agent_.Tick(silent);
  EXPECT_FALSE(agent_.HostAlive(silent));
  EXPECT_FALSE(
    Delivered(Carry(silent, Purpose::ForceOpen, FromCaller(2, true))));
  EXPECT_TRUE(Delivered(Carry(silent, Purpose::Direct, FromCaller(1, false))));
  const auto answers = HostSends(silent, FromHostTo(1, false));
  EXPECT_TRUE(
    std::any_of(answers.begin(), answers.end(), [](const auto& aAction) {
      return std::holds_alternative<FromHost>(aAction);
    }));
}

} // namespace
} // namespace cornelshore::relay
