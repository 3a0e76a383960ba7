#include <cornelshore/role/relay_scenario.hpp>

namespace cornelshore::role {
namespace {

using std::chrono::seconds;

// Guards against an agent that takes a host's second report for its first.
TEST(RelayRestartBesideANewHost, FlowsSurviveWhereReportsCountFromZero)
{
  RelayFleetShape shape;
  shape.spareAgents_ = 1;
  shape.firstSequence_ = 0;
  RunSeeds(shape, seconds{ 18 }, [](Fleet& aFleet) {
    const auto agent = aFleet.Of(Fleet::Role::Agent).back();
    const auto host = aFleet.Of(Fleet::Role::Agent).size() - 1;
    aFleet.At(kFaultAt, [&aFleet, host] { aFleet.StartHost(host); });
    aFleet.At(kFaultAt + Fleet::Millis(900),
              [&aFleet, agent] { aFleet.Restart(agent, Fleet::Millis(100)); });
  });
}

} // namespace
} // namespace cornelshore::role
