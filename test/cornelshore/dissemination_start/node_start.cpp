#include <algorithm>

#include <gtest/gtest.h>

#include <cornelshore/dissemination/fleet.hpp>

namespace cornelshore::dissemination {
namespace {

// Guards against a fleet that starts at once and spends its bytes on comparing
// records: agents that follow a service are answered with all its versions.
TEST(NodeStart, AFleetWithDefaultBudgetsKnowsAllHostsWithinHalfAMinute)
{
  constexpr std::size_t kControl = 5;
  constexpr std::size_t kBalancers = 60;
  constexpr std::size_t kAgents = 200;
  constexpr std::size_t kFirstAgent = kControl + kBalancers;
  Fleet fleet(5);
  Fill(fleet, kControl, kBalancers, kAgents);
  for (auto agent = kFirstAgent; agent < kFirstAgent + kAgents; ++agent) {
    fleet.Feed(
      agent,
      HostAnnounced{ RecordOf(fleet.Members()[agent], 1, HostState::Ready) });
  }
  fleet.RunFor(std::chrono::seconds(30));
  std::size_t complete = 0;
  for (std::size_t index = kControl; index < kFirstAgent; ++index) {
    complete += fleet.At(index).Hosts().size() == kAgents ? 1U : 0U;
  }
  EXPECT_EQ(complete, kBalancers);
}

} // namespace
} // namespace cornelshore::dissemination
