#ifndef CORNELSHORE_BENCH_SUPPORT_REQUESTS_FAULTS_HPP
#define CORNELSHORE_BENCH_SUPPORT_REQUESTS_FAULTS_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <iterator>

#include <cornelshore/core/names.hpp>

#include "requests_world.hpp"

namespace cornelshore::bench {

/** @brief What goes wrong in a schedule. */
enum class Fault : std::uint8_t
{
  HostDies,
  HostDiesAndReturns,
  AgentRestarts,
  HostPauses,
  HostPausesWithItsClock,
  HostCutOff,
  UpstreamCrashes,
  HostLeaves,
  FalseSuspicion,
  BalancerDies,
  MessagesLost,
};

/** @brief Names of `Fault`. */
inline constexpr std::array<EnumName<Fault>, 11> kFaultNames{ {
  { Fault::HostDies, "host_dies" },
  { Fault::HostDiesAndReturns, "host_dies_and_returns" },
  { Fault::AgentRestarts, "agent_restarts" },
  { Fault::HostPauses, "host_pauses" },
  { Fault::HostPausesWithItsClock, "host_pauses_with_its_clock" },
  { Fault::HostCutOff, "host_cut_off" },
  { Fault::UpstreamCrashes, "upstream_crashes" },
  { Fault::HostLeaves, "host_leaves" },
  { Fault::FalseSuspicion, "false_suspicion" },
  { Fault::BalancerDies, "balancer_dies" },
  { Fault::MessagesLost, "messages_lost" },
} };

/** @brief Makes the fault happen now, to this host where it takes one. */
inline void
Inject(World& aWorld, Fault aFault, std::size_t aHost)
{
  auto& random = aWorld.Dice();
  const auto wait = aWorld.Between(milliseconds{ 100 }, seconds{ 5 });
  const auto nodes = aWorld.Sizes().hosts_ + aWorld.Sizes().balancers_;
  switch (aFault) {
    case Fault::HostDies:
      aWorld.Kill(aHost);
      break;
    case Fault::HostDiesAndReturns:
      aWorld.Kill(aHost);
      aWorld.After(wait, [&aWorld, aHost] { aWorld.Restart(aHost); });
      break;
    case Fault::AgentRestarts:
      aWorld.Restart(aHost);
      break;
    case Fault::HostPauses:
      aWorld.Pause(aHost, wait, false);
      aWorld.Suspect(random.Below(nodes), aHost, wait);
      aWorld.Suspect(nodes - 1, aHost, wait);
      break;
    case Fault::HostPausesWithItsClock:
      aWorld.Pause(aHost, wait, true);
      aWorld.Suspect(random.Below(nodes), aHost, wait);
      break;
    case Fault::HostCutOff:
      aWorld.CutOff(aHost, wait);
      break;
    case Fault::UpstreamCrashes:
      aWorld.CrashUpstream(aHost);
      break;
    case Fault::HostLeaves:
      aWorld.Leave(aHost);
      break;
    case Fault::FalseSuspicion:
      for (int observer = 0; observer < 3; ++observer) {
        aWorld.Suspect(random.Below(nodes), aHost, wait);
      }
      break;
    case Fault::BalancerDies:
      aWorld.KillBalancer(random.Below(aWorld.Sizes().balancers_), wait);
      break;
    case Fault::MessagesLost:
      aWorld.LoseMore(500, wait / 2);
      break;
  }
}

/** @brief A host that takes part in some request: its home or its backup. */
inline std::size_t
HostInvolved(World& aWorld)
{
  const auto& bindings = aWorld.Bindings();
  if (bindings.empty()) {
    return aWorld.Dice().Below(aWorld.Sizes().hosts_);
  }
  const auto index = aWorld.Dice().Below(bindings.size());
  const auto& ticket =
    std::next(bindings.begin(), static_cast<std::ptrdiff_t>(index))
      ->second.key_.ticket_;
  const bool backup = ticket.backup_.host_.value_ != 0 && aWorld.Chance(500);
  const auto host = backup ? ticket.backup_.host_ : ticket.home_.host_;
  return host.value_ == 0 ? 0 : World::IndexOf(host);
}

/** @brief Runs one schedule with this many faults at nearly one moment. */
inline Findings
RunSchedule(const Shape& aShape, const Ports& aPorts, std::size_t aFaults)
{
  World world(aShape, aPorts);
  world.SubmitAll();
  const auto start = world.Between(milliseconds{ 60 }, milliseconds{ 1'800 });
  for (std::size_t fault = 0; fault < aFaults; ++fault) {
    const auto kind = kFaultNames[world.Dice().Below(kFaultNames.size())];
    const auto wait = start + world.Between({}, milliseconds{ 40 });
    world.After(wait, [&world, kind] {
      Inject(world, kind.value_, HostInvolved(world));
    });
  }
  world.RunUntil(world.Now() + seconds{ 20 });
  world.Drain();
  return world.Past().Judge();
}

} // namespace cornelshore::bench

#endif
