#include <cornelshore/relay/flow_sampler.hpp>

#include <set>

#include <gtest/gtest.h>

namespace cornelshore::relay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{ std::chrono::hours{ 1 } };

FlowDecision
DecisionOf(std::uint16_t aPort, FlowEvent aEvent)
{
  FlowDecision decision;
  decision.event_ = aEvent;
  decision.key_ = { MakeIpv4(0x64400001U, aPort),
                    MakeIpv4(0xC6120001U, 443),
                    Transport::Tcp };
  return decision;
}

/** Ports of the logged flows at a given rate of flows per second. */
std::set<std::uint16_t>
Logged(FlowSampler& aSampler, std::uint16_t aFlows, int aSeconds)
{
  std::set<std::uint16_t> ports;
  for (int second = 0; second < aSeconds; ++second) {
    ports.clear();
    for (std::uint16_t flow = 0; flow < aFlows; ++flow) {
      const auto at =
        kStart + seconds{ second } + milliseconds{ flow * 1000LL / aFlows };
      if (aSampler.Admits(at, DecisionOf(flow, FlowEvent::Opened))) {
        ports.insert(flow);
      }
    }
  }
  return ports;
}

TEST(FlowSampler, LogsEveryDecisionAtNormalLoad)
{
  FlowSampler sampler{ FlowSamplerSettings{} };
  EXPECT_EQ(Logged(sampler, 50, 5).size(), 50U);
  EXPECT_FALSE(sampler.TakeSuppressed(kStart + seconds{ 5 }));
}

TEST(FlowSampler, BoundsItsLinesInASurgeAndReportsHowManyItSuppressed)
{
  FlowSampler sampler{ FlowSamplerSettings{} };
  EXPECT_LE(Logged(sampler, 20'000, 1).size(), 100U);
  const auto ports = Logged(sampler, 20'000, 4);
  EXPECT_LE(ports.size(), 100U);
  EXPECT_GE(ports.size(), 20U);
  const auto leftOut = sampler.TakeSuppressed(kStart + seconds{ 4 });
  ASSERT_TRUE(leftOut);
  EXPECT_EQ(leftOut->routine_ + ports.size(), 20'000U);
  EXPECT_EQ(leftOut->sampledOneIn_, 512U);
  EXPECT_FALSE(sampler.TakeSuppressed(kStart + seconds{ 4 }));
}

TEST(FlowSampler, ProcessesOfDifferentLoadSampleTheSameFlows)
{
  FlowSampler busy{ FlowSamplerSettings{} };
  FlowSampler calm{ FlowSamplerSettings{} };
  static_cast<void>(Logged(busy, 20'000, 3));
  static_cast<void>(Logged(calm, 2'000, 3));
  const auto at = kStart + seconds{ 3 };
  std::size_t both = 0;
  for (std::uint16_t flow = 0; flow < 2'000; ++flow) {
    const auto decision = DecisionOf(flow, FlowEvent::Taken);
    if (busy.Admits(at, decision)) {
      EXPECT_TRUE(calm.Admits(at, decision)) << flow;
      ++both;
    }
  }
  EXPECT_GT(both, 0U);
}

TEST(FlowSampler, LogsFailuresBeforeSamples)
{
  FlowSampler sampler{ FlowSamplerSettings{} };
  static_cast<void>(Logged(sampler, 20'000, 3));
  const auto at = kStart + seconds{ 3 };
  std::size_t failures = 0;
  for (std::uint16_t flow = 0; flow < 1'000; ++flow) {
    failures +=
      sampler.Admits(at, DecisionOf(flow, FlowEvent::Unanswered)) ? 1 : 0;
  }
  EXPECT_GE(failures, 50U);
  EXPECT_LE(failures, 150U);
}

} // namespace
} // namespace cornelshore::relay
