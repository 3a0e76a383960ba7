#include <cornelshore/role/relay_scenario.hpp>

namespace cornelshore::role {
namespace {

using std::chrono::seconds;

constexpr std::size_t kHosts = 3;

// Guards against new flows at a host that leaves, after its agent's restart: a
// delayed report from before it left is the first that the new run receives.
TEST(RelayLateReady, NoFlowOpensAtALeavingHostAfterItsAgentsRestart)
{
  RelayFleetShape shape;
  shape.flows_ = 1500;
  RunSeeds(shape, seconds{ 16 }, [](Fleet& aFleet) {
    for (std::size_t host = 0; host < kHosts; ++host) {
      const auto leaves = kFaultAt + seconds{ 1 };
      const auto stops = leaves + seconds{ 2 };
      aFleet.At(kFaultAt, [&aFleet, host, stops] {
        const auto delayed = aFleet.ReportOf(host);
        aFleet.At(stops + Fleet::Millis(80), [&aFleet, host, delayed] {
          aFleet.DeliverReport(host, delayed);
        });
      });
      aFleet.At(leaves, [&aFleet, host] { aFleet.Leave(host); });
      aFleet.At(stops, [&aFleet, host] {
        aFleet.Roll(aFleet.AgentOf(host), Fleet::Millis(50));
      });
    }
  });
}

} // namespace
} // namespace cornelshore::role
