#include <utility>

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

// Guards against the same losses where control lives on and its records of
// hosts are those of agents that have ended.
TEST(RelayRestart, FlowsSurviveTheRestartOfAgentsAndBalancers)
{
  RunSeeds({}, seconds{ 20 }, [](Fleet& aFleet) {
    aFleet.At(kFaultAt, [&aFleet] {
      KillAll(aFleet, { Fleet::Role::Balancer, Fleet::Role::Agent });
    });
  });
}

// Guards against planned restarts, which overlap and follow one another, moving
// open flows to other hosts.
TEST(RelayRestart, FlowsSurvivePlannedRestartsInTurn)
{
  RunSeeds({}, seconds{ 32 }, [](Fleet& aFleet) {
    for (int series = 0; series < 2; ++series) {
      auto at = kFaultAt + series * seconds{ 8 };
      auto all = Of(aFleet, { Fleet::Role::Balancer, Fleet::Role::Agent });
      for (std::size_t left = all.size(); left > 1; --left) {
        std::swap(all[left - 1], all[aFleet.Randomness().Below(left)]);
      }
      for (const auto process : all) {
        at += aFleet.Draw(Fleet::Millis(100), Fleet::Millis(700));
        aFleet.At(at, [&aFleet, process] {
          aFleet.Roll(process,
                      aFleet.Draw(Fleet::Millis(100), Fleet::Millis(1000)));
        });
      }
    }
  });
}

} // namespace
} // namespace cornelshore::role
