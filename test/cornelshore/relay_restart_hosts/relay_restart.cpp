#include <cornelshore/role/relay_scenario.hpp>

namespace cornelshore::role {
namespace {

using std::chrono::seconds;

// Guards against byte budgets used up before the flow's host gets a packet.
TEST(RelayRestartManyHosts, FlowsOfManyHostsSurviveTheRestartOfAllProcesses)
{
  RunSeeds(ManyHosts(), seconds{ 18 }, [](Fleet& aFleet) {
    aFleet.At(kFaultAt, [&aFleet] { KillAll(aFleet, kAll); });
  });
}

} // namespace
} // namespace cornelshore::role
