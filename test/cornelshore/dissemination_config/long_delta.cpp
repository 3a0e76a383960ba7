#include <cornelshore/dissemination/long_delta.hpp>

namespace cornelshore::dissemination {
namespace {

// A configuration with many new routes reached balancers on thin links one
// after the other: each process served two at a time, whatever its link, and a
// balancer needed seconds for a copy. The last had it after the bound.
TEST(LongDelta, IsInForceAtAllBalancersInTime)
{
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    std::string routes;
    auto fleet = FleetWithRoutes(seed, routes);
    Accept(fleet, 3, Grown(fleet, routes, kLongDelta));
    ExpectInForceInTime(fleet, 3, fleet.Now());
  }
}

// Single changes that followed the long one made balancers begin it anew.
TEST(LongDelta, IsInForceInTimeWithSingleChangesAfterIt)
{
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    std::string routes;
    auto fleet = FleetWithRoutes(seed, routes);
    routes = Grown(fleet, routes, kLongDelta);
    const auto accepted = fleet.Now();
    Accept(fleet, 3, routes);
    for (std::uint64_t version = 4; version <= 8; ++version) {
      fleet.RunFor(milliseconds(150));
      routes = Grown(fleet, routes, 60);
      Accept(fleet, version, routes);
    }
    ExpectInForceInTime(fleet, 3, accepted);
    ExpectInForceInTime(fleet, 8, fleet.Now());
  }
}

} // namespace
} // namespace cornelshore::dissemination
