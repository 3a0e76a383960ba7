#ifndef CORNELSHORE_BENCH_SUPPORT_REQUESTS_DEATH_HPP
#define CORNELSHORE_BENCH_SUPPORT_REQUESTS_DEATH_HPP

#include <cstddef>
#include <cstdint>
#include <set>

#include "requests_world.hpp"

namespace cornelshore::bench {

/** @brief What one host's death did to the requests. */
struct DeathCount
{
  Findings findings_;
  std::uint64_t inProgress_{}; ///< Ran there when it died.
  std::uint64_t ofItsIds_{};   ///< Its ids, open until all had detected it.
  std::uint64_t allowed_{};    ///< Either of the two.
};

/** @brief One host dies under load; nothing else goes wrong. */
inline DeathCount
RunDeath(Shape aShape)
{
  aShape.requests_ = 250;
  aShape.arrivals_ = seconds{ 4 };
  aShape.loss_ = aShape.copies_ = aShape.late_ = aShape.shed_ = 0;
  aShape.cancels_ = aShape.resumes_ = 0;
  World world(aShape, ProductPorts());
  world.SubmitAll();
  const auto victim = world.Dice().Below(aShape.hosts_);
  std::set<RequestId> running;
  std::set<RequestId> owned;
  const auto watch = [&world, &owned, victim] {
    for (const auto& [id, bound] : world.Bindings()) {
      const auto home = bound.key_.ticket_.home_.host_;
      if (World::IndexOf(home) == victim && !world.Past().IsTold(id)) {
        owned.insert(id);
      }
    }
  };
  world.After(seconds{ 2 }, [&] {
    for (const auto& [run, id] : world.HostAt(victim).running_) {
      running.insert(id);
    }
    world.Kill(victim);
  });
  for (Duration wait = seconds{ 2 }; wait <= milliseconds{ 4'600 };
       wait += milliseconds{ 5 }) {
    world.After(wait, watch);
  }
  world.RunUntil(world.Now() + seconds{ 20 });
  world.Drain();
  DeathCount count;
  count.findings_ = world.Past().Judge();
  count.inProgress_ = running.size();
  count.ofItsIds_ = owned.size();
  running.insert(owned.begin(), owned.end());
  count.allowed_ = running.size();
  return count;
}

} // namespace cornelshore::bench

#endif
