#include <cornelshore/relay/agent.hpp>

#include <algorithm>
#include <optional>

#include <gtest/gtest.h>

#include <cornelshore/relay/codec.hpp>

namespace cornelshore::relay {
namespace {

using std::chrono::seconds;

constexpr TimePoint kStart{ std::chrono::hours{ 1 } };
constexpr std::uint32_t kFirstSequence = 5000;
constexpr std::uint32_t kSecondSequence = 900'000'000;
const ServiceId kBoards = ServiceIdOf("boards");
const Address kBoardAddress = MakeIpv4(0xC6120001U, 443);
const Address kCaller = MakeIpv4(0x64400007U, 40001);
const Address kBalancer = MakeIpv4(0x0A010001U, 7720);

Segment
FromCaller(std::uint32_t aAcknowledged)
{
  Segment segment;
  segment.from_ = kCaller;
  segment.to_ = kBoardAddress;
  segment.acknowledging_ = true;
  segment.acknowledged_ = aAcknowledged;
  segment.payload_ = 100;
  return segment;
}

Segment
Opening(std::uint32_t aSequence = 0)
{
  Segment segment;
  segment.sequence_ = aSequence;
  segment.from_ = kCaller;
  segment.to_ = kBoardAddress;
  segment.opening_ = true;
  return segment;
}

Segment
Accepting(std::uint32_t aSequence)
{
  Segment segment;
  segment.from_ = kBoardAddress;
  segment.to_ = kCaller;
  segment.opening_ = true;
  segment.acknowledging_ = true;
  segment.sequence_ = aSequence;
  return segment;
}

/** An agent whose host held a flow of `kCaller` that both ends finished. */
class KeyReuseTest : public testing::Test
{
protected:
  KeyReuseTest()
    : agent_(SettingsOf(), PlainCodec(), kStart - seconds{ 10 })
  {
    Report(kStart, 1, false);
    Carry(kStart, Purpose::ForceOpen, Opening());
    HostSends(kStart, Accepting(kFirstSequence));
    auto last = FromCaller(kFirstSequence + 1);
    last.finishing_ = true;
    Carry(kStart, Purpose::Direct, last);
    auto answer = Accepting(kFirstSequence + 1);
    answer.opening_ = false;
    answer.finishing_ = true;
    HostSends(kStart, answer);
  }

  static AgentSettings SettingsOf()
  {
    AgentSettings settings;
    settings.service_ = kBoards;
    return settings;
  }

  void Report(TimePoint aNow, std::uint64_t aSequence, bool aLeaving)
  {
    HostReport report;
    report.instance_ = "i-1";
    report.startMillis_ = 1000;
    report.sequence_ = aSequence;
    report.service_ = kBoards;
    report.slots_ = 2;
    report.leaving_ = aLeaving;
    EXPECT_EQ(agent_.OnReport(aNow, report), ReportOutcome::Taken);
  }

  Agent::Actions Carry(TimePoint aNow,
                       Purpose aPurpose,
                       const Segment& aSegment)
  {
    Agent::Actions actions;
    agent_.OnRelayedPacket(
      aNow,
      kBalancer,
      { aPurpose, kBoards, ConfigVersion{ 1 }, PacketOf(aSegment) },
      actions);
    return actions;
  }

  Agent::Actions HostSends(TimePoint aNow, const Segment& aSegment)
  {
    Agent::Actions actions;
    agent_.OnHostPacket(aNow, PacketOf(aSegment), actions);
    return actions;
  }

  static bool Delivered(const Agent::Actions& aActions)
  {
    return std::any_of(
      aActions.begin(), aActions.end(), [](const auto& aAction) {
        return std::holds_alternative<ToHost>(aAction);
      });
  }

  static std::optional<Verdict> VerdictIn(const Agent::Actions& aActions)
  {
    for (const auto& action : aActions) {
      if (const auto* tell = std::get_if<ToBalancer>(&action)) {
        return tell->answer_.verdict_;
      }
    }
    return std::nullopt;
  }

  Agent agent_;
};

// Guards against an opening on the address and port of a flow that has closed
// and is treated as a packet of that flow: a host that leaves must not open it.
TEST_F(KeyReuseTest, RefusesAnOpeningOnTheKeyOfAClosedFlowAtALeavingHost)
{
  Report(kStart + seconds{ 1 }, 2, true);
  const auto actions = Carry(kStart + seconds{ 2 }, Purpose::Open, Opening());
  EXPECT_FALSE(Delivered(actions));
  EXPECT_EQ(VerdictIn(actions), Verdict::Refused);
}

// Guards against a new flow on the key of a closed one that inherits its end:
// it must be notified, count as load and outlive the old one's retention.
TEST_F(KeyReuseTest, AFlowOnTheKeyOfAClosedOneIsANewFlow)
{
  const auto later = kStart + seconds{ 1 };
  Carry(later, Purpose::ForceOpen, Opening());
  EXPECT_EQ(VerdictIn(HostSends(later, Accepting(kSecondSequence))),
            Verdict::Opened);
  EXPECT_EQ(agent_.Load(later).flows_, 1U);
  Report(later, 2, false);
  agent_.Tick(later + seconds{ 6 });
  EXPECT_TRUE(Delivered(Carry(
    later + seconds{ 6 }, Purpose::Direct, FromCaller(kSecondSequence + 1))));
}

/** The same, but the flow is still open. */
class OpenKeyReuseTest : public KeyReuseTest
{
protected:
  OpenKeyReuseTest()
  {
    agent_ = Agent(SettingsOf(), PlainCodec(), kStart - seconds{ 10 });
    Report(kStart, 1, false);
    Carry(kStart, Purpose::ForceOpen, Opening(kCallerFirst));
    HostSends(kStart, Accepting(kFirstSequence));
  }

  static Segment Data(std::uint32_t aInitial, std::uint32_t aAcknowledged)
  {
    auto segment = FromCaller(aAcknowledged);
    segment.sequence_ = aInitial + 1;
    return segment;
  }

  static constexpr std::uint32_t kCallerFirst = 11'000;
  static constexpr std::uint32_t kCallerSecond = 2'000'000'000;
};

// Guards against a new flow at a host that leaves, opened because the agent
// takes its opening for a copy of an earlier one on the same key.
TEST_F(OpenKeyReuseTest, ANewFlowOnTheKeyOfAnOpenOneIsCheckedAsAnyOther)
{
  Report(kStart, 2, true);
  for (const auto purpose : { Purpose::Open, Purpose::Direct }) {
    const auto copy = Carry(kStart, purpose, Opening(kCallerFirst));
    EXPECT_TRUE(Delivered(copy));
    const auto other = Carry(kStart, purpose, Opening(kCallerSecond));
    EXPECT_FALSE(Delivered(other));
    EXPECT_EQ(VerdictIn(other), Verdict::Refused);
  }
}

// Only the host knows whether it begins a new flow on the key of an open one;
// a late copy of a former opening must not end the flow.
TEST_F(OpenKeyReuseTest, AnOpenFlowStaysUntilItsHostAcceptsAnotherOne)
{
  auto passed = Carry(kStart, Purpose::ForceOpen, Opening(kCallerSecond));
  EXPECT_TRUE(Delivered(passed));
  auto returned = Opening(kCallerSecond);
  returned.returned_ = true;
  returned.mark_ = 1;
  EXPECT_EQ(VerdictIn(HostSends(kStart, returned)), Verdict::Refused);
  const auto data = Data(kCallerFirst, kFirstSequence + 1);
  EXPECT_TRUE(Delivered(Carry(kStart, Purpose::Direct, data)));

  passed = Carry(kStart, Purpose::ForceOpen, Opening(kCallerSecond));
  EXPECT_TRUE(Delivered(passed));
  EXPECT_TRUE(Delivered(Carry(kStart, Purpose::Direct, data)));
  EXPECT_EQ(VerdictIn(HostSends(kStart, Accepting(kSecondSequence))),
            Verdict::Opened);
  EXPECT_FALSE(Delivered(Carry(kStart, Purpose::Direct, data)));
  EXPECT_TRUE(Delivered(
    Carry(kStart, Purpose::Direct, Data(kCallerSecond, kSecondSequence + 1))));
}

// A balancer must not give up the flow that has the key because of a packet of
// another one.
TEST_F(OpenKeyReuseTest, NamesTheFlowThatItHoldsWhenItDeniesAnotherOfItsKey)
{
  const auto foreign = Data(kCallerFirst, kSecondSequence + 1);
  EXPECT_EQ(VerdictIn(Carry(kStart, Purpose::Direct, foreign)),
            Verdict::Unknown);
  Carry(kStart, Purpose::Direct, Data(kCallerFirst, kFirstSequence + 1));
  EXPECT_EQ(VerdictIn(Carry(kStart, Purpose::Direct, foreign)),
            Verdict::OtherFlow);
  EXPECT_EQ(VerdictIn(Carry(kStart, Purpose::Search, foreign)),
            Verdict::Unknown);
}

// Guards against a late request or end of a former flow that is taken for one
// of the new flow, before the host has answered the new opening.
TEST_F(OpenKeyReuseTest, LatePacketsOfAFormerFlowDoNotCountForTheNewOne)
{
  auto last = Data(kCallerFirst, kFirstSequence + 1);
  last.finishing_ = true;
  Carry(kStart, Purpose::Direct, last);
  auto end = Accepting(kFirstSequence + 1);
  end.opening_ = false;
  end.finishing_ = true;
  HostSends(kStart, end);
  Carry(kStart, Purpose::ForceOpen, Opening(kCallerSecond));
  const auto late = Carry(kStart, Purpose::Direct, last);
  EXPECT_FALSE(Delivered(late));
  EXPECT_EQ(VerdictIn(late), Verdict::Unknown);
  auto returned = Data(kCallerFirst, kFirstSequence + 1);
  returned.returned_ = true;
  returned.mark_ = 2;
  HostSends(kStart, returned);
  HostSends(kStart, Accepting(kSecondSequence));
  EXPECT_EQ(agent_.Load(kStart).flows_, 1U);
  EXPECT_EQ(agent_.Load(kStart).busy_, 0U);
  EXPECT_TRUE(Delivered(
    Carry(kStart, Purpose::Direct, Data(kCallerSecond, kSecondSequence + 1))));
}

} // namespace
} // namespace cornelshore::relay
