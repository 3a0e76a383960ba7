#include <cornelshore/dissemination/node.hpp>

#include <algorithm>
#include <vector>

#include <gtest/gtest.h>

#include <cornelshore/dissemination/fleet.hpp>

namespace cornelshore::dissemination {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kControl = 5;
constexpr std::size_t kBalancers = 20;
constexpr std::size_t kAgents = 40;
constexpr std::size_t kFirstAgent = kControl + kBalancers;
constexpr std::size_t kAll = kFirstAgent + kAgents;
constexpr ConfigVersion kVersion{ 3 };

void
AnnounceReady(Fleet& aFleet, std::size_t aAgent, std::uint64_t aSequence)
{
  aFleet.Feed(aAgent,
              HostAnnounced{ RecordOf(
                aFleet.Members()[aAgent], aSequence, HostState::Ready) });
}

void
AcceptConfiguration(Fleet& aFleet)
{
  for (std::size_t control = 0; control < kControl; ++control) {
    aFleet.Feed(control, ConfigAccepted{ kVersion, "routes" });
  }
}

/** All hosts are ready and known everywhere; a configuration is in force. */
Fleet
RunningFleet(std::uint64_t aSeed)
{
  Fleet fleet(aSeed);
  Fill(fleet, kControl, kBalancers, kAgents);
  for (std::size_t index = 0; index < kAll; ++index) {
    auto& settings = fleet.Members()[index].settings_;
    settings.joiningRoundInterval_ = milliseconds(100);
    settings.bytesPerSecond_ = 40'000;
    settings.burstBytes_ = 1'000'000;
    fleet.Restart(index);
  }
  for (std::size_t agent = kFirstAgent; agent < kAll; ++agent) {
    AnnounceReady(fleet, agent, 2);
  }
  AcceptConfiguration(fleet);
  fleet.Feed(0, ControlConfirmed{ kVersion, 1 });
  fleet.RunFor(seconds(20));
  return fleet;
}

std::size_t
CountSynchronised(Fleet& aFleet)
{
  std::size_t count = 0;
  for (std::size_t index = kControl; index < kFirstAgent; ++index) {
    count += aFleet.At(index).ConfirmedAt() ? 1U : 0U;
  }
  return count;
}

// Guards against open flows reset after a restart of all balancers and agents:
// while control could not be reached, balancers that knew no host agreed on
// that and counted as synchronised, so that a flow's host seemed not to exist.
TEST(NodeRecovery, BalancersThatHaveNotReachedControlAreNotSynchronised)
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    auto fleet = RunningFleet(seed);
    fleet.seeds_ = kControl + 3;
    fleet.fate_ = [](std::size_t aFrom, std::size_t aTo) {
      const bool cut = (aFrom < kControl) != (aTo < kControl);
      return Fleet::Fate{ cut ? 0U : 1U, milliseconds(1) };
    };
    for (std::size_t index = kControl; index < kAll; ++index) {
      fleet.Restart(index);
    }
    std::size_t early = 0;
    fleet.RunUntil(fleet.Now() + seconds(6), [&] {
      early = std::max(early, CountSynchronised(fleet));
      return false;
    });
    EXPECT_EQ(early, 0U) << "seed " << seed;
    fleet.fate_ = [](std::size_t, std::size_t) { return Fleet::Fate{}; };
    fleet.Feed(0, ControlConfirmed{ kVersion, 1 });
    fleet.RunFor(seconds(5));
    EXPECT_EQ(CountSynchronised(fleet), kBalancers) << "seed " << seed;
    for (std::size_t index = kControl; index < kFirstAgent; ++index) {
      EXPECT_EQ(fleet.At(index).Hosts().size(), kAgents) << "seed " << seed;
    }
  }
}

} // namespace
} // namespace cornelshore::dissemination
