#ifndef CORNELSHORE_BENCH_SUPPORT_CLASSES_SCENARIO_HPP
#define CORNELSHORE_BENCH_SUPPORT_CLASSES_SCENARIO_HPP

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

#include <cornelshore/core/target.hpp>

#include "bench/support/classes_hosts.hpp"

namespace cornelshore::bench {

/** @brief What one class's callers bring. */
struct Demand
{
  double rate_{};          ///< Works a second.
  double hold_{ 0.2 };     ///< Mean seconds in a slot (exponential).
  double deadline_{ 5.0 }; ///< Seconds from arrival.
  std::uint32_t callers_{ 100 };
  double heavyPart_{}; ///< Part of the works that caller 0 brings.
  bool longLived_{};
  double from_{};       ///< Seconds at which the callers begin.
  double until_{ 1e9 }; ///< Seconds at which the callers end.
};

/** @brief How balancers choose between two random hosts. */
enum class Choice : std::uint8_t
{
  OwnInFlight,  ///< Fewer works of this balancer under way.
  ReportedLoad, ///< Less load in the host's last report.
};

/** @brief What callers do when they are refused. */
enum class Retry : std::uint8_t
{
  None,
  Jittered, ///< They come back after the time they were told.
  Fixed,    ///< They all come back after the same time.
};

/** @brief Seconds after which callers with `Retry::Fixed` come back. */
inline constexpr double kFixedRetrySeconds = 10.0;

/** @brief One run of a fleet. */
struct Scenario
{
  ServiceTarget target_;
  std::uint32_t hosts_{};
  std::uint16_t slots_{};
  double oneWay_{ 0.001 }; ///< Seconds between a balancer and a host.
  std::vector<Demand> demands_;
  Policy policy_{ Policy::Targets };
  Choice choice_{ Choice::OwnInFlight };
  bool shed_{ true };
  bool health_{ true };
  std::uint32_t slowHosts_{}; ///< First hosts run at `slowness_`.
  double slowness_{ 10.0 };
  std::uint32_t liars_{}; ///< Last hosts report zero load.
  double lostReports_{};  ///< Part of the pushbacks lost.
  double lateReports_{};  ///< Seconds that pushbacks come late.
  Retry retry_{ Retry::None };
  double warmUp_{ 10.0 };
  double measure_{ 30.0 };
  std::uint64_t seed_{ 1 };
};

/** @brief What became of one class's works that arrived while measured. */
struct ClassOutcome
{
  std::uint64_t offered_{};
  std::uint64_t done_{};
  std::uint64_t late_{};
  std::uint64_t shed_{};
  std::uint64_t refused_{};
  double slotSeconds_{}; ///< Held while measured, whenever it arrived.
  std::vector<double> waits_;
  std::vector<std::uint32_t> arrivals_; ///< In each second of the run.
  std::vector<std::uint32_t> running_;  ///< In each hundredth of a second.
  std::uint64_t heavyOffered_{};
  std::uint64_t heavyDone_{};

  /** @brief Wait in seconds that so large a part stays under. */
  [[nodiscard]] double WaitAt(double aPart)
  {
    if (waits_.empty()) {
      return 0.0;
    }
    const auto place = static_cast<std::ptrdiff_t>(
      aPart * static_cast<double>(waits_.size() - 1));
    std::nth_element(waits_.begin(), waits_.begin() + place, waits_.end());
    return waits_[static_cast<std::size_t>(place)];
  }
};

} // namespace cornelshore::bench

#endif
