#include <cornelshore/role/relay_scenario.hpp>

namespace cornelshore::role {
namespace {

using std::chrono::seconds;

// Guards against faults of the fleet itself: without any restart no flow is
// reset, and no packet reaches a host that does not hold its flow.
TEST(RelayFleet, NothingIsLostWithoutARestart)
{
  RunSeeds({}, seconds{ 20 }, [](Fleet& aFleet) {
    aFleet.At(seconds{ 20 } - Fleet::Millis(1), [&aFleet] {
      EXPECT_EQ(aFleet.Totals().resets_, 0U);
      EXPECT_EQ(aFleet.Totals().returned_, 0U);
      EXPECT_EQ(aFleet.Totals().givenUp_, 0U);
    });
  });
}

} // namespace
} // namespace cornelshore::role
