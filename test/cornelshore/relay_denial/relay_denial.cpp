#include <cornelshore/role/relay_scenario.hpp>

namespace cornelshore::role {
namespace {

using std::chrono::seconds;

/** Hosts that a scenario disturbs, and balancers that it restarts. */
constexpr std::size_t kHosts = 6;
constexpr std::size_t kBalancers = 3;

/** Interval between the disturbances of two hosts. */
constexpr Duration kBetweenHosts = std::chrono::milliseconds{ 300 };

RelayFleetShape
Shape()
{
  RelayFleetShape shape;
  shape.firstReportAfter_ = Fleet::Millis(360);
  shape.flows_ = 1500;
  return shape;
}

/** Planned restarts of some balancers, which then know no flow. */
void
RollBalancers(Fleet& aFleet, Duration aFirst)
{
  auto balancers = aFleet.Of(Fleet::Role::Balancer);
  balancers.resize(kBalancers);
  RollInTurn(aFleet, balancers, aFirst, Fleet::Millis(500));
}

// Guards against an agent that takes its table for complete on the first report
// of a host, though an earlier run of it passed openings to that host.
TEST(RelayDenial, FlowsSurviveAnAgentRestartedBeforeItsHostsFirstReport)
{
  RunSeeds(Shape(), seconds{ 22 }, [](Fleet& aFleet) {
    for (std::size_t host = 0; host < kHosts; ++host) {
      const auto crash =
        kFaultAt + kBetweenHosts * static_cast<std::int64_t>(host);
      const auto start = crash + Fleet::Millis(20);
      const auto stop =
        start + aFleet.Draw(Fleet::Millis(120), Fleet::Millis(300));
      aFleet.At(crash, [&aFleet, host] { aFleet.CrashHost(host); });
      aFleet.At(start, [&aFleet, host] { aFleet.StartHost(host); });
      aFleet.At(stop, [&aFleet, host] {
        aFleet.Roll(aFleet.AgentOf(host), Fleet::Millis(10));
      });
    }
    RollBalancers(aFleet, kFaultAt + seconds{ 2 });
  });
}

/** A report of an instance that the agent does not know and that started
 * later than its host. */
relay::HostReport
StrayReport(Fleet& aFleet, std::size_t aHost)
{
  auto report = aFleet.ReportOf(aHost);
  report.instance_ = "stray-" + std::to_string(aFleet.Randomness().Below(100));
  report.startMillis_ = aFleet.WallMillis();
  report.sequence_ = 1 + aFleet.Randomness().Below(50);
  return report;
}

// Guards against a stray report of another instance that drops the flows of a
// host, and beside which the host's own reports that it leaves have no effect.
TEST(RelayDenial, FlowsSurviveStrayReportsBesideAHostThatGoesOn)
{
  RunSeeds(Shape(), seconds{ 22 }, [](Fleet& aFleet) {
    for (std::size_t host = 0; host < kHosts; ++host) {
      const auto first =
        kFaultAt + kBetweenHosts * static_cast<std::int64_t>(host);
      const auto second = first + aFleet.Draw(Fleet::Millis(500), seconds{ 6 });
      for (const auto at : { first, second }) {
        aFleet.At(at, [&aFleet, host] {
          aFleet.DeliverReport(host, StrayReport(aFleet, host));
        });
      }
      if (host % 2 == 1) {
        const auto leaves = first + aFleet.Draw(Fleet::Millis(0), seconds{ 2 });
        aFleet.At(leaves, [&aFleet, host] { aFleet.Leave(host); });
      }
    }
    RollBalancers(aFleet, kFaultAt + seconds{ 2 });
  });
}

// Guards against an agent that takes a host for a new one because a delayed
// report of the crashed instance before it came first after the agent's start.
TEST(RelayDenial, FlowsSurviveADelayedReportAfterAnAgentsRestart)
{
  RunSeeds(Shape(), seconds{ 24 }, [](Fleet& aFleet) {
    for (std::size_t host = 0; host < kHosts; ++host) {
      const auto crash =
        kFaultAt + kBetweenHosts * static_cast<std::int64_t>(host);
      const auto stop = crash + seconds{ 6 };
      aFleet.At(crash, [&aFleet, host, stop] {
        const auto delayed = aFleet.ReportOf(host);
        aFleet.CrashHost(host);
        aFleet.At(stop + Fleet::Millis(100), [&aFleet, host, delayed] {
          aFleet.DeliverReport(host, delayed);
        });
      });
      aFleet.At(crash + seconds{ 2 },
                [&aFleet, host] { aFleet.StartHost(host); });
      aFleet.At(stop, [&aFleet, host] {
        aFleet.Roll(aFleet.AgentOf(host), Fleet::Millis(50));
      });
    }
    RollBalancers(aFleet, kFaultAt + seconds{ 8 });
  });
}

/** One drawn disturbance of a host or its agent. */
void
Disturb(Fleet& aFleet, std::size_t aHost)
{
  switch (aFleet.Randomness().Below(5)) {
    case 0:
      aFleet.CrashHost(aHost);
      aFleet.At(aFleet.Elapsed() + aFleet.Draw(Fleet::Millis(10), seconds{ 2 }),
                [&aFleet, aHost] { aFleet.StartHost(aHost); });
      break;
    case 1:
      aFleet.DeliverReport(aHost, StrayReport(aFleet, aHost));
      break;
    case 2:
      aFleet.At(aFleet.Elapsed() + aFleet.Draw(Fleet::Millis(10), seconds{ 8 }),
                [&aFleet, aHost, delayed = aFleet.ReportOf(aHost)] {
                  aFleet.DeliverReport(aHost, delayed);
                });
      break;
    case 3:
      aFleet.Restart(aFleet.AgentOf(aHost),
                     aFleet.Draw(Fleet::Millis(10), Fleet::Millis(800)));
      break;
    default:
      aFleet.Roll(aFleet.AgentOf(aHost),
                  aFleet.Draw(Fleet::Millis(10), Fleet::Millis(800)));
      break;
  }
}

// Draws crashes, stray and delayed reports and restarts of agents in series
// that overlap, beside balancers that are restarted in turn.
TEST(RelayDenial, FlowsSurviveDrawnSeriesOfDisturbances)
{
  auto shape = Shape();
  shape.flows_ = 800;
  RunSeeds(shape, seconds{ 60 }, [](Fleet& aFleet) {
    for (auto at = kFaultAt; at < seconds{ 50 };
         at += aFleet.Draw(Fleet::Millis(50), Fleet::Millis(1500))) {
      aFleet.At(
        at, [&aFleet] { Disturb(aFleet, aFleet.Randomness().Below(kHosts)); });
    }
    RollInTurn(
      aFleet, aFleet.Of(Fleet::Role::Balancer), kFaultAt, seconds{ 8 });
  });
}

} // namespace
} // namespace cornelshore::role
