#include <cornelshore/role/relay_scenario.hpp>

namespace cornelshore::role {
namespace {

using std::chrono::seconds;

// Guards against searches whose byte budget is used up by hosts that are
// unsure, so that a flow's own host is sent the packet long after the others.
TEST(RelayRestart, FlowsOfManyHostsSurviveTheRestartOfAllProcesses)
{
  RunSeeds(ManyHosts(), seconds{ 18 }, [](Fleet& aFleet) {
    aFleet.At(kFaultAt, [&aFleet] { KillAll(aFleet, kAll); });
  });
}

} // namespace
} // namespace cornelshore::role
