#ifndef CORNELSHORE_TEST_DISSEMINATION_LONG_DELTA_HPP
#define CORNELSHORE_TEST_DISSEMINATION_LONG_DELTA_HPP

#include <cstdint>
#include <cstdio>
#include <string>

#include <cornelshore/dissemination/restart_fleet.hpp>

namespace cornelshore::dissemination {

using std::chrono::milliseconds;

/** Time within which an accepted configuration is in force everywhere. */
inline constexpr Duration kPropagation = milliseconds{ 5000 };
inline constexpr Duration kMostWithin = kPropagation / 4;
inline constexpr Duration kAllWithin = kPropagation / 2;
inline constexpr std::size_t kMostPercent = 95;

/** Bytes that 1,400 routes add, at 60 B a route. */
inline constexpr std::size_t kLongDelta = 84'000;

inline std::string
Grown(Fleet& aFleet, std::string aRoutes, std::size_t aBytes)
{
  const auto size = aRoutes.size() + aBytes;
  while (aRoutes.size() < size) {
    aRoutes += std::to_string(aFleet.Randomness().Next());
  }
  return aRoutes;
}

inline void
Accept(Fleet& aFleet, std::uint64_t aVersion, const std::string& aRoutes)
{
  for (std::size_t control = 0; control < kControl; ++control) {
    aFleet.Feed(control, ConfigAccepted{ { aVersion }, aRoutes });
    aFleet.Feed(control, ControlConfirmed{ { aVersion }, 1 });
  }
}

/** Balancers that have the version in force. */
inline std::size_t
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
inline void
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

inline Fleet
FleetWithRoutes(std::uint64_t aSeed, std::string& aRoutes)
{
  auto fleet = RunningFleet(aSeed, kThinLink);
  aRoutes = Grown(fleet, {}, 12'000);
  Accept(fleet, 2, aRoutes);
  fleet.RunFor(std::chrono::seconds(10));
  return fleet;
}

} // namespace cornelshore::dissemination

#endif
