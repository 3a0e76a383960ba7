#include <cornelshore/relay/balancer.hpp>

#include <gtest/gtest.h>

#include <cornelshore/relay/codec.hpp>

namespace cornelshore::relay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{ std::chrono::hours{ 1 } };
constexpr std::uint64_t kHosts = 50;
const ServiceId kBoards = ServiceIdOf("boards");
const Address kBoardAddress = MakeIpv4(0xC6120001U, 443);

/** What a balancer sent to look for flows. */
struct Asked
{
  std::size_t packets_{};
  std::size_t bytes_{};
  std::size_t queries_{};
  std::size_t resets_{};
  Query query_; ///< The last one.

  void Count(const Balancer::Actions& aActions)
  {
    for (const auto& action : aActions) {
      if (const auto* send = std::get_if<ToAgent>(&action)) {
        ++packets_;
        bytes_ += send->carried_.packet_.size();
      } else if (const auto* query = std::get_if<QueryAgent>(&action)) {
        ++queries_;
        query_ = query->query_;
      } else if (std::holds_alternative<ToCaller>(action)) {
        ++resets_;
      }
    }
  }
};

/** A balancer that has just started beside fifty hosts that hold flows. */
class RestartedBalancer : public testing::Test
{
protected:
  RestartedBalancer()
    : settings_(SettingsOf())
    , balancer_(settings_, PlainCodec())
  {
    Configuration configuration;
    configuration.version_ = ConfigVersion{ 1 };
    Route route;
    route.address_ = kBoardAddress;
    route.timeout_ = seconds{ 1 };
    route.to_ = { { kBoards, 1 } };
    configuration.routes_.push_back(route);
    balancer_.UpdateRoutes(configuration);
    for (std::uint64_t host = 1; host <= kHosts; ++host) {
      HostRecord record;
      record.id_ = HostId{ host };
      record.incarnation_ = Incarnation{ 1 };
      record.sequence_ = 1;
      record.service_ = kBoards;
      record.agent_ =
        MakeIpv4(0x0A000000U + static_cast<std::uint32_t>(host), 7);
      record.slots_ = 2;
      record.state_ = HostState::Ready;
      balancer_.UpdateHosts(kStart, { record });
    }
  }

  static BalancerSettings SettingsOf()
  {
    BalancerSettings settings;
    settings.searchBytesPerSecond_ = 2'000;
    settings.searchBurst_ = 20'000;
    return settings;
  }

  static Segment FromCaller(std::uint32_t aCaller)
  {
    Segment segment;
    segment.from_ = MakeIpv4(0x64400000U + aCaller, 1025);
    segment.to_ = kBoardAddress;
    segment.acknowledging_ = true;
    return segment;
  }

  Asked Packet(TimePoint aNow, std::uint32_t aCaller)
  {
    Balancer::Actions actions;
    balancer_.OnPacket(aNow, PacketOf(FromCaller(aCaller)), actions);
    Asked asked;
    asked.Count(actions);
    return asked;
  }

  Asked Tick(TimePoint aNow)
  {
    balancer_.NoteInStep(aNow);
    Balancer::Actions actions;
    balancer_.Tick(aNow, actions);
    Asked asked;
    asked.Count(actions);
    return asked;
  }

  /** Uses up what may be sent to look for flows at this time. */
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

TEST_F(RestartedBalancer, StaysWithinItsBytesWhileNoHostAnswers)
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

TEST_F(RestartedBalancer, FindsAFlowByQueryOnceNoBytesAreLeft)
{
  const auto unasked = UseUp(kStart);
  Query query;
  auto now = kStart;
  for (int step = 0; step < 100; ++step) {
    now += milliseconds{ 10 };
    const auto asked = Tick(now);
    if (asked.queries_ > 0) {
      query = asked.query_;
      break;
    }
  }
  ASSERT_FALSE(query.items_.empty());
  const auto key = KeyFromCaller(FromCaller(unasked));
  EXPECT_EQ(query.items_.front().key_, key);
  Balancer::Actions actions;
  balancer_.OnAnswer(
    now,
    HostId{ 7 },
    { query.id_, std::vector(query.items_.size(), Holding::Yes) },
    actions);
  Asked delivered;
  delivered.Count(actions);
  EXPECT_EQ(delivered.packets_, query.items_.size());
  EXPECT_EQ(Packet(now, unasked).packets_, 1U);
}

TEST_F(RestartedBalancer, AsksManySilentHostsByQueryNotByPacket)
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

TEST_F(RestartedBalancer, AsksAgainWithPacketsOnceThereAreBytes)
{
  const auto last = UseUp(kStart);
  EXPECT_EQ(Packet(kStart, last + 1).packets_, 0U);
  EXPECT_GT(Packet(kStart + seconds{ 1 }, last + 2).packets_, 0U);
}

} // namespace
} // namespace cornelshore::relay
