#include <cornelshore/dissemination/restart_fleet.hpp>

namespace cornelshore::dissemination {
namespace {

// Guards against budgets tied to thin links that leave a restarted balancer
// without hosts or configuration.
TEST(NodeRestartLinks, BalancersRestartedTogetherKnowTheFleetWithinASecond)
{
  RestartsTogether(
    [](std::uint64_t aSeed) { return RunningFleet(aSeed, kThinLink); });
}

} // namespace
} // namespace cornelshore::dissemination
