#include <cornelshore/dissemination/long_delta.hpp>

namespace cornelshore::dissemination {
namespace {

// A lost part of a long configuration was requested again only when another
// message arrived, so that each loss cost up to a round.
TEST(LongDelta, IsInForceInTimeOnLossyLinks)
{
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    std::string routes;
    auto fleet = FleetWithRoutes(seed, routes);
    fleet.fate_ = [&fleet](std::size_t, std::size_t) {
      return Fleet::Fate{ fleet.Randomness().Below(50) == 0 ? 0U : 1U,
                          milliseconds(4) };
    };
    Accept(fleet, 3, Grown(fleet, routes, kLongDelta));
    ExpectInForceInTime(fleet, 3, fleet.Now());
  }
}

} // namespace
} // namespace cornelshore::dissemination
