#include <cornelshore/role/relay_scenario.hpp>

namespace cornelshore::role {
namespace {

// Guards against a flow whose opening two hosts take at two balancers, while
// answers to openings are late because the whole fleet has just started.
TEST(RelayOverloadStart, FlowsOpenedWhileAFleetStartsKeepTheirHosts)
{
  RunSeeds(LargeFleetShape(125'000, 0),
           std::chrono::seconds{ 9 },
           [](Fleet& /*aFleet*/) {});
}

} // namespace
} // namespace cornelshore::role
