#ifndef CORNELSHORE_ADMISSION_CONCURRENCY_HPP
#define CORNELSHORE_ADMISSION_CONCURRENCY_HPP

#include <cstdint>

#include <cornelshore/admission/internal/hold_estimate.hpp>
#include <cornelshore/admission/work.hpp>
#include <cornelshore/core/time.hpp>

namespace cornelshore::admission {

/**
 * @brief Adaptive limit of a host's slots in use.
 *
 * Starts at one slot and doubles with each round of finished work (slow
 * start), is halved at most once per round when the upstream sheds load, and
 * grows by one per round after that (additive increase, multiplicative
 * decrease; Chiu and Jain 1989). When work takes three times its typical hold
 * time, a trial runs one round with half the slots; if throughput stays about
 * the same, the halved limit is kept for 30 s.
 */
class Concurrency
{
public:
  /** @brief Sets the host's slot count, the upper bound of the limit. */
  void SetSlots(std::uint16_t aSlots) noexcept;

  /**
   * @brief Records that one work item finished.
   * @param aHold How long it held its slot.
   * @param aTypicalHold Mean hold time of its class; zero if unknown.
   */
  void OnFinish(TimePoint aNow,
                Result aResult,
                Duration aHold,
                Duration aTypicalHold) noexcept;

  /**
   * @brief Adds a slot when the limit has been unchanged for 1 s.
   *
   * Long-lived work finishes too rarely to grow the limit by `OnFinish`.
   *
   * @param aFull Whether the limit is fully used; if not, nothing is added.
   */
  void OnTimer(TimePoint aNow, bool aFull) noexcept;

  /** @brief Time at which `OnTimer` next adds a slot; `max()` if never. */
  [[nodiscard]] TimePoint NextGrowth() const noexcept;

  /** @brief Current limit; at least 1 when the host has slots. */
  [[nodiscard]] std::uint32_t Limit() const noexcept;

private:
  enum class Trial : std::uint8_t
  {
    None,
    Measuring, ///< Runs at the full limit for the baseline.
    Halved,
  };

  void Increase(TimePoint aNow) noexcept;
  void Decrease(TimePoint aNow) noexcept;
  void EvaluateTrial(TimePoint aNow) noexcept;

  std::uint16_t slots_{};
  double limit_{ 1.0 };
  double threshold_{}; ///< Slow-start threshold.
  TimePoint nextDecreaseAt_;
  TimePoint changedAt_;
  internal::MeanTime hold_;     ///< Hold times.
  internal::MeanTime slowness_; ///< Hold times over typical hold times.
  Trial trial_{ Trial::None };
  TimePoint trialStart_;
  TimePoint nextTrialAt_;
  TimePoint halvedUntil_; ///< Keeps the halved limit.
  std::uint32_t trialFinished_{};
  double fullRate_{};
  double fullLimit_{};
};

} // namespace cornelshore::admission

#endif
