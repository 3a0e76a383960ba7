#include <cornelshore/role/relay_scenario.hpp>

namespace cornelshore::role {
namespace {

using std::chrono::seconds;

// Guards against faults of the fleet itself: nothing is lost without a restart.
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

// Guards against faults of the fleet itself: links carry the usual load.
TEST(RelayFleet, NothingIsLostOnThinLinksWithoutARestart)
{
  RunSeeds(ManyHostsOnThinLinks(), seconds{ 14 }, [](Fleet& aFleet) {
    aFleet.At(seconds{ 14 } - Fleet::Millis(1), [&aFleet] {
      EXPECT_EQ(aFleet.Totals().resets_, 0U);
      EXPECT_EQ(aFleet.Totals().returned_, 0U);
      EXPECT_EQ(aFleet.Totals().givenUp_, 0U);
    });
  });
}

// Guards against control that keeps records of agents which have ended.
TEST(RelayRestart, FlowsSurviveTheRestartOfAgentsAndBalancers)
{
  RunSeeds({}, seconds{ 20 }, [](Fleet& aFleet) {
    aFleet.At(kFaultAt, [&aFleet] {
      KillAll(aFleet, { Fleet::Role::Balancer, Fleet::Role::Agent });
    });
  });
}

// Guards against planned restarts that move open flows to other hosts.
TEST(RelayRestart, FlowsSurvivePlannedRestartsInTurn)
{
  RunSeeds({}, seconds{ 32 }, [](Fleet& aFleet) {
    for (int series = 0; series < 2; ++series) {
      RollInTurn(aFleet,
                 Of(aFleet, { Fleet::Role::Balancer, Fleet::Role::Agent }),
                 kFaultAt + series * seconds{ 8 },
                 Fleet::Millis(700));
    }
  });
}

} // namespace
} // namespace cornelshore::role
