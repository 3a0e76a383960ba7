#include <cornelshore/role/relay_scenario.hpp>

namespace cornelshore::role {
namespace {

using std::chrono::seconds;

// Guards against searches that never get to the flow's own host on thin links.
TEST(RelayRestartThinLinks, FlowsOnThinLinksSurviveTheRestartOfAllProcesses)
{
  RunSeeds(ManyHostsOnThinLinks(), seconds{ 18 }, [](Fleet& aFleet) {
    aFleet.At(kFaultAt, [&aFleet] { KillAll(aFleet, kAll); });
  });
}

} // namespace
} // namespace cornelshore::role
