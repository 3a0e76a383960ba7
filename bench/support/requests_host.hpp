#ifndef CORNELSHORE_BENCH_SUPPORT_REQUESTS_HOST_HPP
#define CORNELSHORE_BENCH_SUPPORT_REQUESTS_HOST_HPP

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <cornelshore/core/host.hpp>
#include <cornelshore/core/time.hpp>
#include <cornelshore/request/event.hpp>

#include "requests_ports.hpp"

namespace cornelshore::bench {

/** @brief First come, first served, with a bounded queue: a stand-in. */
class FakeScheduler
{
public:
  FakeScheduler(std::size_t aSlots, std::size_t aQueue)
    : free_(aSlots)
    , limit_(aQueue)
  {
  }

  /** @brief Whether the run has a place; a refused run is not held. */
  [[nodiscard]] bool Take(request::RunId aRun)
  {
    if (queue_.size() >= limit_) {
      return false;
    }
    queue_.push_back(aRun);
    return true;
  }

  /** @brief The run leaves its slot or its place. */
  void Release(request::RunId aRun)
  {
    if (started_.erase(aRun) != 0) {
      ++free_;
    }
    std::erase(queue_, aRun);
  }

  /** @brief Runs that get a slot now. */
  [[nodiscard]] std::vector<request::RunId> Start()
  {
    std::vector<request::RunId> started;
    while (free_ > 0 && !queue_.empty()) {
      started.push_back(queue_.front());
      started_.insert(queue_.front());
      queue_.pop_front();
      --free_;
    }
    return started;
  }

private:
  std::size_t free_;
  std::size_t limit_;
  std::deque<request::RunId> queue_;
  std::set<request::RunId> started_;
};

/** @brief One upstream VM: its agent, slots and upstream. */
struct FakeHost
{
  AgentPort agent_;
  HostRecord record_;
  std::vector<HostRecord> view_;
  FakeScheduler scheduler_{ 0, 0 };
  std::map<request::RunId, RequestId> running_;
  bool alive_{ true };
  bool paused_{};
  bool cutOff_{};
  std::deque<std::function<void()>> held_; ///< What came during the pause.
  Duration clock_{};                       ///< Its clock against the world's.
  std::uint64_t life_{}; ///< Changes when the agent or the VM dies.
  TimePoint tickAt_{ TimePoint::max() };
};

/** @brief One entry VM. */
struct FakeBalancer
{
  BalancerPort port_;
  std::vector<HostRecord> view_;
  bool alive_{ true };
  TimePoint tickAt_{ TimePoint::max() };
};

} // namespace cornelshore::bench

#endif
