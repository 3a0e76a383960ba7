#include <cornelshore/role/relay_scenario.hpp>

namespace cornelshore::role {
namespace {

using std::chrono::seconds;

// Guards against packets to unsure hosts seconds before the flow's own host.
TEST(RelayRestartInTurn, FlowsOnThinLinksSurvivePlannedRestartsInTurn)
{
  RunSeeds(ManyHostsOnThinLinks(), seconds{ 19 }, [](Fleet& aFleet) {
    RollInTurn(aFleet,
               Of(aFleet, { Fleet::Role::Balancer, Fleet::Role::Agent }),
               kFaultAt,
               Fleet::Millis(200));
  });
}

} // namespace
} // namespace cornelshore::role
