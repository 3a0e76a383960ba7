#include <cstddef>
#include <iostream>

#include <cornelshore/role/relay_scenario.hpp>

namespace cornelshore::role {
namespace {

using std::chrono::seconds;

constexpr std::size_t kReplaced = 80;
constexpr std::size_t kLength = 22;     ///< Seconds.
constexpr std::size_t kFirstServed = 7; ///< Second in which all flows are open.
constexpr std::size_t kCalmAgain = 17;  ///< Five seconds after the joins.
/** Until control gets a change that the fleet is told to make. */
constexpr Duration kProposalDelay = std::chrono::milliseconds{ 1500 };
constexpr seconds kInForceWithin{ 5 };      ///< Of a change that was accepted.
constexpr std::uint64_t kMaxSpreadPart = 4; ///< One part of so many of a link.
constexpr std::uint64_t kCalmSpreadPart = 32; ///< The same while all is calm.

/** Replaces hosts within two seconds, while the configuration changes twice:
 * each new one starts together with its agent, and the old one leaves 300 ms
 * later. */
void
ReplaceHosts(Fleet& aFleet)
{
  const auto agents = aFleet.Of(Fleet::Role::Agent);
  const auto hosts = agents.size() - kReplaced;
  for (std::size_t index = 0; index < kReplaced; ++index) {
    const auto agent = agents[hosts + index];
    aFleet.At(Fleet::Millis(900), [&aFleet, agent] { aFleet.Kill(agent); });
    const auto at = kFaultAt + aFleet.Draw(Duration{ 0 }, seconds{ 2 });
    aFleet.At(at, [&aFleet, agent] { aFleet.Restart(agent, Duration{ 0 }); });
    aFleet.At(at + Fleet::Millis(200),
              [&aFleet, host = hosts + index] { aFleet.StartHost(host); });
    aFleet.At(at + Fleet::Millis(500),
              [&aFleet, index] { aFleet.Leave(2 * index); });
  }
  aFleet.At(kFaultAt - seconds{ 1 }, [&aFleet] { aFleet.Configure(); });
  aFleet.At(kFaultAt + seconds{ 2 }, [&aFleet] { aFleet.Configure(); });
}

/** Bytes of a second that keep records and configurations in step. */
std::uint64_t
SpreadBytes(const RelaySecond& aSecond)
{
  return aSecond.Sent(TrafficPurpose::Push) +
         aSecond.Sent(TrafficPurpose::Round) +
         aSecond.Sent(TrafficPurpose::Snapshot) +
         aSecond.Sent(TrafficPurpose::Config);
}

void
ReplacesHostsBesideCallers(std::uint64_t aLinkBytesPerSecond)
{
  auto shape = LargeFleetShape(aLinkBytesPerSecond, kReplaced);
  shape.firstFlowAt_ = seconds{ 5 };
  const auto link = aLinkBytesPerSecond * shape.balancers_;
  RunSeeds(shape, seconds{ kLength }, [&](Fleet& aFleet) {
    ReplaceHosts(aFleet);
    for (std::size_t second = 0; second + 2 < kLength; ++second) {
      aFleet.At(seconds{ second + 2 }, [&aFleet, &shape, link, second] {
        const auto counts = aFleet.Second(second);
        Print(std::cout, second, counts, shape.balancers_);
        if (second < kFirstServed) {
          return;
        }
        EXPECT_EQ(counts.lostOnLinks_, 0U) << second;
        EXPECT_GE(counts.answeredInTime_ * 100, counts.requested_ * 95)
          << second;
        EXPECT_LE(SpreadBytes(counts), link / kMaxSpreadPart) << second;
        if (second >= kCalmAgain) {
          EXPECT_LE(SpreadBytes(counts), link / kCalmSpreadPart) << second;
        }
      });
    }
    aFleet.At(kFaultAt + seconds{ 2 } + kProposalDelay + kInForceWithin,
              [&aFleet] { EXPECT_EQ(aFleet.CountBehind(), 0U); });
  });
}

// Guards against the spread of host records crowding callers out: replacing
// many hosts at once filled thin links, and lost answers kept them full.
TEST(RelayOverload, CallersAreServedWhileManyHostsAreReplacedOnThinLinks)
{
  ReplacesHostsBesideCallers(250'000);
}

// Guards against budgets that fit one bandwidth only.
TEST(RelayOverload, CallersAreServedWhileManyHostsAreReplacedOnThinnerLinks)
{
  ReplacesHostsBesideCallers(125'000);
}

} // namespace
} // namespace cornelshore::role
