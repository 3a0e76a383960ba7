#include <cornelshore/role/relay_scenario.hpp>

namespace cornelshore::role {
namespace {

using std::chrono::seconds;

// Guards against hosts whose agents have just restarted being sent the packets
// of flows whose own hosts are queried seconds later.
TEST(RelayRestart, FlowsOnThinLinksSurvivePlannedRestartsInTurn)
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
