#include <cornelshore/role/relay_scenario.hpp>

namespace cornelshore::role {
namespace {

using std::chrono::seconds;

// Guards against searches among many hosts that begin anew with each host that
// appears, so that a flow's own host is never asked.
TEST(RelayRestart, FlowsOnThinLinksSurviveTheRestartOfAllProcesses)
{
  RunSeeds(ManyHostsOnThinLinks(), seconds{ 18 }, [](Fleet& aFleet) {
    aFleet.At(kFaultAt, [&aFleet] { KillAll(aFleet, kAll); });
  });
}

} // namespace
} // namespace cornelshore::role
