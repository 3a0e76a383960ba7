#include <cornelshore/role/relay_scenario.hpp>

namespace cornelshore::role {
namespace {

using std::chrono::seconds;

constexpr Duration kLength = seconds{ 90 };
/** No event is drawn after this time, so that flows can end. */
constexpr Duration kLastEvent = seconds{ 80 };

/** Callers that use their ports again within the lifetime of a balancer's
 * rows. */
RelayFleetShape
Shape()
{
  RelayFleetShape shape;
  shape.flows_ = 600;
  shape.maxPortPause_ = seconds{ 70 };
  return shape;
}

Duration
DrawTime(Fleet& aFleet)
{
  return aFleet.Draw(kFaultAt, kLastEvent);
}

std::size_t
DrawHost(Fleet& aFleet)
{
  return aFleet.Randomness().Below(aFleet.Of(Fleet::Role::Agent).size());
}

// Guards against new flows that go by a former flow of their address and port:
// to its service, to its host that leaves, or to a reset.
TEST(RelayKeyReuse, NewFlowsOnOldKeysFollowTodaysRoutesAndHosts)
{
  RunSeeds(Shape(), kLength, [](Fleet& aFleet) {
    for (int move = 0; move < 6; ++move) {
      aFleet.At(DrawTime(aFleet), [&aFleet] { aFleet.MoveRoutes(); });
    }
    for (int change = 0; change < 6; ++change) {
      const auto host = DrawHost(aFleet);
      const auto at = DrawTime(aFleet);
      const auto crashes = change % 2 == 0;
      aFleet.At(at, [&aFleet, host, crashes] {
        if (crashes) {
          aFleet.CrashHost(host);
        } else {
          aFleet.Leave(host);
        }
      });
      aFleet.At(at + seconds{ 8 }, [&aFleet, host] { aFleet.StartHost(host); });
    }
    RollInTurn(
      aFleet, aFleet.Of(Fleet::Role::Balancer), kFaultAt, seconds{ 12 });
  });
}

} // namespace
} // namespace cornelshore::role
