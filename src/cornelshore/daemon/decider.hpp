#ifndef CORNELSHORE_DAEMON_DECIDER_HPP
#define CORNELSHORE_DAEMON_DECIDER_HPP

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <utility>
#include <vector>

#include <cornelshore/core/time.hpp>
#include <cornelshore/daemon/runtime.hpp>
#include <cornelshore/log/event.hpp>
#include <cornelshore/net/ring.hpp>
#include <cornelshore/role/event.hpp>

namespace cornelshore::daemon {

/** @brief Writes a role's log action. */
inline void
WriteLog(const role::Log& aLog)
{
  log::Event event(aLog.name_);
  for (const auto& [key, value] : aLog.fields_) {
    event.With(key, value);
  }
  log::Write(static_cast<log::Level>(aLog.weight_), event);
}

/**
 * @brief The deciding thread of a process: feeds one role's state machine.
 *
 * Events come by one bounded ring a producer thread; operators' calls come as
 * functions that run between events. Actions are handed to `Carry`.
 *
 * @tparam Role State machine with `On`, `NextTimer` and `Figures`.
 * @tparam Event Variant of its events; has `role::Tick`.
 * @tparam Action Variant of its actions.
 */
template<typename Role, typename Event, typename Action>
class Decider
{
public:
  using EventRing = net::Ring<Event>;
  using Carry = std::function<void(Action&)>;
  using Call = std::function<void(TimePoint, Role&)>;

  Decider(Runtime& aRuntime, std::unique_ptr<Role> aRole, Carry aCarry)
    : runtime_(aRuntime)
    , role_(std::move(aRole))
    , carry_(std::move(aCarry))
  {
  }

  /** @brief Makes a ring for one producer; only before `Run()`. */
  [[nodiscard]] EventRing& AddRing()
  {
    return *rings_.emplace_back(
      std::make_unique<EventRing>(kRingCapacity, signal_));
  }

  /** @brief Runs a function on the deciding thread; false when too many wait
   * or `Run()` has returned. */
  bool Post(Call aCall)
  {
    const std::lock_guard lock(mutex_);
    if (closed_ || calls_.size() >= kMostCalls) {
      return false;
    }
    calls_.push_back(std::move(aCall));
    hasCalls_ = true;
    signal_.Wake();
    return true;
  }

  /** @brief Feeds one event; on the deciding thread only. */
  void Feed(Event aEvent)
  {
    for (auto& action : role_->On(Now(), std::move(aEvent))) {
      carry_(action);
    }
  }

  /** @brief Decides until `End()`; drops the functions that wait then. */
  void Run()
  {
    const auto hasWork = [this] {
      return hasCalls_ ||
             std::any_of(rings_.begin(), rings_.end(), [](const auto& aRing) {
               return aRing->HasWork();
             });
    };
    while (!ended_) {
      const auto worked = DrainRings() + RunCalls();
      const auto now = Now();
      if (role_->NextTimer() <= now) {
        Feed(role::Tick{});
      }
      runtime_.SendDecided();
      PublishWhenDue(now);
      if (worked == 0 && !ended_) {
        const auto left = role_->NextTimer() - Now();
        signal_.Sleep(
          hasWork, std::clamp<Duration>(left, kShortestSleep, kLongestSleep));
      }
    }
    std::vector<Call> dropped;
    const std::lock_guard lock(mutex_);
    closed_ = true;
    dropped.swap(calls_);
  }

  /** @brief Ends `Run()`. */
  void End()
  {
    ended_ = true;
    signal_.Wake();
  }

  [[nodiscard]] Role& TheRole() noexcept { return *role_; }

private:
  static constexpr std::size_t kRingCapacity = 16 * 1024;
  static constexpr std::size_t kMostAtOnce = 256;
  static constexpr std::size_t kMostCalls = 256;
  static constexpr Duration kShortestSleep = std::chrono::microseconds{ 50 };
  static constexpr Duration kLongestSleep = std::chrono::seconds{ 1 };
  static constexpr Duration kPublishEvery = std::chrono::seconds{ 1 };

  std::size_t DrainRings()
  {
    std::size_t count = 0;
    for (const auto& ring : rings_) {
      count += ring->Drain(kMostAtOnce,
                           [this](Event& aEvent) { Feed(std::move(aEvent)); });
    }
    return count;
  }

  std::size_t RunCalls()
  {
    if (!hasCalls_) {
      return 0;
    }
    std::vector<Call> calls;
    {
      const std::lock_guard lock(mutex_);
      calls.swap(calls_);
      hasCalls_ = false;
    }
    for (const auto& call : calls) {
      call(Now(), *role_);
    }
    return calls.size();
  }

  void PublishWhenDue(TimePoint aNow)
  {
    if (aNow < publishAt_) {
      return;
    }
    publishAt_ = aNow + kPublishEvery;
    runtime_.LogRefused();
    if (const auto line = runtime_.MeasureLink(aNow)) {
      WriteLog(*line);
    }
    if (auto* metrics = runtime_.Metrics()) {
      auto figures = role_->Figures(aNow);
      for (auto& figure : runtime_.Figures()) {
        figures.push_back(std::move(figure));
      }
      std::uint64_t dropped = 0;
      for (const auto& ring : rings_) {
        dropped += ring->Dropped();
      }
      figures.push_back({ "cornelshore_events_dropped_total",
                          "Events dropped because a ring was full.",
                          MetricKind::Counter,
                          {},
                          static_cast<double>(dropped) });
      metrics->Publish(figures);
    }
  }

  Runtime& runtime_;
  std::unique_ptr<Role> role_;
  Carry carry_;
  net::Signal signal_;
  std::vector<std::unique_ptr<EventRing>> rings_;
  std::mutex mutex_;
  std::vector<Call> calls_;
  bool closed_{}; ///< Under the mutex, as `calls_` is.
  std::atomic<bool> hasCalls_{ false };
  std::atomic<bool> ended_{ false };
  TimePoint publishAt_{};
};

} // namespace cornelshore::daemon

#endif
