#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <string>
#include <vector>

#include <cornelshore/dissemination/restart_fleet.hpp>

namespace cornelshore::dissemination {
namespace {

using std::chrono::milliseconds;

/** Time within which an accepted configuration is in force everywhere. */
constexpr Duration kPropagation = milliseconds{ 5000 };
constexpr Duration kMostWithin = kPropagation / 4;
constexpr Duration kAllWithin = kPropagation / 2;
constexpr std::size_t kMostPercent = 95;

/** Bytes that 1,400 routes add, at 60 B a route. */
constexpr std::size_t kLongDelta = 84'000;

std::string
Grown(Fleet& aFleet, std::string aRoutes, std::size_t aBytes)
{
  const auto size = aRoutes.size() + aBytes;
  while (aRoutes.size() < size) {
    aRoutes += std::to_string(aFleet.Randomness().Next());
  }
  return aRoutes;
}

void
Accept(Fleet& aFleet, std::uint64_t aVersion, const std::string& aRoutes)
{
  for (std::size_t control = 0; control < kControl; ++control) {
    aFleet.Feed(control, ConfigAccepted{ { aVersion }, aRoutes });
    aFleet.Feed(control, ControlConfirmed{ { aVersion }, 1 });
  }
}

/** Balancers that have the version in force. */
std::size_t
CountInForce(Fleet& aFleet, std::uint64_t aVersion)
{
  std::size_t count = 0;
  for (std::size_t index = kControl; index < kFirstAgent; ++index) {
    count += aFleet.At(index).Config() >= ConfigVersion{ aVersion } ? 1 : 0;
  }
  return count;
}

/** Runs until the last balancer has the version in force, and expects most of
 * them and all of them within their bounds. */
void
ExpectInForceInTime(Fleet& aFleet, std::uint64_t aVersion, TimePoint aAccepted)
{
  Duration most{};
  const auto hasAll = [&] {
    const auto count = CountInForce(aFleet, aVersion);
    if (most == Duration{} && count * 100 >= kBalancers * kMostPercent) {
      most = aFleet.Now() - aAccepted;
    }
    return count == kBalancers;
  };
  const auto limit = aAccepted + 4 * kPropagation;
  const auto reached = aFleet.RunUntil(limit, hasAll);
  const auto all = aFleet.Now() - aAccepted;
  std::printf("version=%u most_ms=%d all_ms=%d\n",
              static_cast<unsigned>(aVersion),
              static_cast<int>(most / milliseconds{ 1 }),
              static_cast<int>(all / milliseconds{ 1 }));
  EXPECT_TRUE(reached);
  EXPECT_LE(most, kMostWithin);
  EXPECT_LE(all, kAllWithin);
}

Fleet
FleetWithRoutes(std::uint64_t aSeed, std::string& aRoutes)
{
  auto fleet = RunningFleet(aSeed, kThinLink);
  aRoutes = Grown(fleet, {}, 12'000);
  Accept(fleet, 2, aRoutes);
  fleet.RunFor(std::chrono::seconds(10));
  return fleet;
}

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
