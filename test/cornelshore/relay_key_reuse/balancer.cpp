#include <cornelshore/relay/balancer_fixture.hpp>

namespace cornelshore::relay {
namespace {

using std::chrono::seconds;

constexpr std::uint16_t kPort = 40001;
constexpr std::uint32_t kFirstSequence = 7000;
constexpr std::uint32_t kSecondSequence = 1'500'000'000;

Segment
Opening(std::uint32_t aSequence)
{
  auto segment = FromCaller(kPort, kBoardAddress, true);
  segment.sequence_ = aSequence;
  return segment;
}

Segment
Data(std::uint32_t aSequence)
{
  auto segment = FromCaller(kPort, kBoardAddress, false);
  segment.sequence_ = aSequence + 1;
  return segment;
}

/** A balancer at which a host has opened a flow of `kPort`. */
class BalancerKeyReuseTest : public BalancerTest
{
protected:
  BalancerKeyReuseTest()
    : host_(OfferIn(Packet(kStart, Opening(kFirstSequence))).host_.value_)
  {
    Answer(kStart, host_, Opening(kFirstSequence), Verdict::Opened);
  }

  std::uint64_t host_;
};

// Guards against a new flow that goes to the service that its route had when an
// earlier flow of its address and port was opened.
TEST_F(BalancerKeyReuseTest, ANewFlowOnAnOldKeyFollowsTodaysRoute)
{
  const auto later = kStart + seconds{ 62 };
  balancer_.UpdateRoutes(later, ConfigurationOf(2, kSheets));
  ReportLoads(later);
  const auto actions = Packet(later, Opening(kSecondSequence));
  const auto& offer = OfferIn(actions);
  EXPECT_TRUE(offer.host_.value_ == 11 || offer.host_.value_ == 12);
  EXPECT_EQ(offer.relayedPacket_.purpose_, Purpose::Open);
  EXPECT_EQ(offer.relayedPacket_.service_, kSheets);
  EXPECT_EQ(offer.relayedPacket_.version_, ConfigVersion{ 2 });
}

// The same, though the new flow happens to begin with the same number.
TEST_F(BalancerKeyReuseTest, AnOpeningAfterItsCallersTimeoutIsNoCopy)
{
  const auto later = kStart + seconds{ 62 };
  balancer_.UpdateRoutes(later, ConfigurationOf(2, kSheets));
  ReportLoads(later);
  const auto actions = Packet(later, Opening(kFirstSequence));
  EXPECT_EQ(OfferIn(actions).relayedPacket_.service_, kSheets);
}

TEST_F(BalancerKeyReuseTest, ACopyOfAnOpeningReachesTheHostThatOpenedTheFlow)
{
  balancer_.UpdateRoutes(kStart, ConfigurationOf(2, kSheets));
  const auto actions =
    Packet(kStart + milliseconds{ 600 }, Opening(kFirstSequence));
  const auto& copy = OfferIn(actions);
  EXPECT_EQ(copy.host_.value_, host_);
  EXPECT_EQ(copy.relayedPacket_.purpose_, Purpose::Direct);
  EXPECT_EQ(copy.relayedPacket_.service_, kBoards);
}

// Guards against an opening that gets no answer for as long as the row of an
// earlier flow remains, because the host of that flow leaves or is gone.
TEST_F(BalancerKeyReuseTest, ANewFlowIsOfferedToAnotherHostWhenTheOldOneLeaves)
{
  const auto later = kStart + seconds{ 1 };
  auto record = RecordOf(host_, kBoards);
  record.sequence_ = 2;
  record.state_ = HostState::Leaving;
  balancer_.UpdateHosts(later, { record });
  EXPECT_NE(OfferIn(Packet(later, Opening(kSecondSequence))).host_.value_,
            host_);
}

// Guards against late packets of a former flow that move, reset or take part in
// the new flow of the same key.
TEST_F(BalancerKeyReuseTest, LatePacketsOfAFormerFlowLeaveTheNewOneAlone)
{
  const auto later = kStart + seconds{ 5 };
  balancer_.UpdateRoutes(later, ConfigurationOf(2, kSheets));
  ReportLoads(later);
  const auto next =
    OfferIn(Packet(later, Opening(kSecondSequence))).host_.value_;
  Answer(later, next, Opening(kSecondSequence), Verdict::Opened);
  ASSERT_NE(next, host_);

  auto late = Data(kFirstSequence);
  late.finishing_ = true;
  const auto actions = Packet(later, late);
  EXPECT_EQ(HostsOf(actions), std::set{ host_ });
  EXPECT_EQ(OfferIn(actions).relayedPacket_.purpose_, Purpose::Direct);
  EXPECT_EQ(
    SentBy(Answer(later, host_, late, Verdict::Unknown, PacketOf(late))), 0U);
  EXPECT_EQ(HostsOf(Packet(later, Data(kSecondSequence))), std::set{ next });
}

TEST_F(BalancerKeyReuseTest, ADenialOfAFormerFlowAtTheSameHostMovesNothing)
{
  const auto later = kStart + seconds{ 5 };
  for (const std::uint64_t host : { 1U, 2U, 3U }) {
    balancer_.OnLoad(later, HostId{ host }, { 0, 0, 4, host == host_, false });
  }
  const auto opening = Opening(kSecondSequence);
  ASSERT_EQ(OfferIn(Packet(later, opening)).host_.value_, host_);
  Answer(later, host_, opening, Verdict::Opened);
  const auto late = Data(kFirstSequence);
  EXPECT_EQ(HostsOf(Packet(later, late)), std::set{ host_ });
  EXPECT_EQ(
    SentBy(Answer(later, host_, late, Verdict::Unknown, PacketOf(late))), 0U);
  EXPECT_EQ(HostsOf(Packet(later, Data(kSecondSequence))), std::set{ host_ });
}

// Guards against a late packet of a former flow of which this balancer knows
// nothing, and that ends the row of the flow which has the key now.
TEST_F(BalancerKeyReuseTest, APacketThatNoHostKnowsLeavesTheFlowOfItsKeyAlone)
{
  const auto later = kStart + seconds{ 5 };
  ReportLoads(later);
  const auto query = DeniedNearby(later, Data(kSecondSequence));
  EXPECT_EQ(HostsOf(Packet(later, Data(kFirstSequence))), std::set{ host_ });
  for (const std::uint64_t host : { 1U, 2U, 3U, 11U, 12U }) {
    EXPECT_EQ(ResetsIn(Reply(later, host, query, Holding::No)), 0U);
  }
  const auto denied = later + seconds{ 1 };
  balancer_.NoteSynced(denied);
  Balancer::Actions actions;
  balancer_.Tick(denied, actions);
  EXPECT_EQ(ResetsIn(actions), 0U);
  EXPECT_EQ(balancer_.Count(BalancerCount::Lost), 0U);
  EXPECT_EQ(HostsOf(Packet(denied, Data(kFirstSequence))), std::set{ host_ });
}

// The numbers of two flows of a key may lie close to each other by chance; the
// host's agent then tells them apart.
TEST_F(BalancerKeyReuseTest, APacketThatItsHostTakesForAnotherFlowsIsSearched)
{
  const auto later = kStart + seconds{ 5 };
  ReportLoads(later);
  const auto foreign = Data(kFirstSequence);
  Packet(later, foreign);
  const auto packet = PacketOf(foreign);
  const auto asked =
    HostsOf(Answer(later, host_, foreign, Verdict::OtherFlow, packet));
  EXPECT_FALSE(asked.empty());
  EXPECT_FALSE(asked.contains(host_));
  EXPECT_EQ(HostsOf(Packet(later, foreign)), std::set{ host_ });
  const auto next = *asked.begin();
  Answer(later, next, foreign, Verdict::Holds);
  EXPECT_EQ(HostsOf(Answer(later, host_, foreign, Verdict::OtherFlow, packet)),
            std::set{ next });
}

// The caller opened its next flow at another balancer.
TEST_F(BalancerKeyReuseTest, APacketOfANewFlowOpenedElsewhereFindsItsHost)
{
  const auto later = kStart + seconds{ 5 };
  ReportLoads(later);
  const auto data = Data(kSecondSequence);
  const auto asked = HostsOf(Packet(later, data));
  const auto next = *std::find_if(
    asked.begin(), asked.end(), [&](auto aHost) { return aHost != host_; });
  Answer(later, next, data, Verdict::Holds);
  EXPECT_EQ(HostsOf(Packet(later, data)), std::set{ next });
  EXPECT_EQ(HostsOf(Packet(later, Data(kFirstSequence))), std::set{ host_ });
}

} // namespace
} // namespace cornelshore::relay
