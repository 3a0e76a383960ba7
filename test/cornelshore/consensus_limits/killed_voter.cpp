#include <gtest/gtest.h>

#include <cornelshore/consensus/group.hpp>

namespace cornelshore::consensus {
namespace {

// A voter is removed for good without a planned stop while its successor has
// caught up, and two others lose their disks at that moment. The group still
// counts the removed voter, and the two voters left are no quorum.
TEST(KilledVoter, CostsNoVoterWhenTwoDisksAreLostRightAfter)
{
  auto group = FiveVoters();
  group.Join(9, 200);
  group.RunFor(seconds{ 1 });
  group.Kill(5);
  for (std::uint64_t lost = 1; lost <= 2; ++lost) {
    group.Kill(lost);
    group.Join(lost, 500);
  }
  group.RunFor(seconds{ 12 });
  EXPECT_TRUE(group.Leader());
}

} // namespace
} // namespace cornelshore::consensus
