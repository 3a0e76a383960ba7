#ifndef CORNELSHORE_ADMISSION_CONCURRENCY_HPP
#define CORNELSHORE_ADMISSION_CONCURRENCY_HPP

#include <cstdint>

#include <cornelshore/admission/internal/hold_estimate.hpp>
#include <cornelshore/admission/work.hpp>
#include <cornelshore/core/time.hpp>

namespace cornelshore::admission {

/**
 * @brief How many of a host's slots are used at once.
 *
 * Starts at one slot and doubles with each round of finished work (cold
 * start), is halved at most once a round when the upstream sheds, and grows by
 * one a round after that (additive increase, multiplicative decrease; Chiu and
 * Jain 1989). When work takes three times as long as it used to, half the
 * slots are tried for a round; they stay for half a minute if as much was
 * finished.
 */
class Concurrency
{
public:
  /** @brief Sets the host's slots; the limit never exceeds them. */
  void SetSlots(std::uint16_t aSlots) noexcept;

  /**
   * @brief Takes the end of one work.
   * @param aHold How long it held its slot.
   * @param aUsual How long work of its class used to; nought if unknown.
   */
  void OnFinish(TimePoint aNow,
                Result aResult,
                Duration aHold,
                Duration aUsual) noexcept;

  /**
   * @brief Adds a slot when the limit has stood in the way for a second.
   *
   * Long-lived work finishes too seldom to grow the limit.
   *
   * @param aFull Whether as many works run as the limit allows.
   */
  void OnTime(TimePoint aNow, bool aFull) noexcept;

  /** @brief When `OnTime` next adds a slot to a full limit, if ever. */
  [[nodiscard]] TimePoint NextGrowth() const noexcept;

  /** @brief Present limit; at least 1 when the host has slots. */
  [[nodiscard]] std::uint32_t Limit() const noexcept;

private:
  enum class Trial : std::uint8_t
  {
    None,
    Measuring, ///< At the full limit, to compare with.
    Halved,
  };

  void Grow(TimePoint aNow) noexcept;
  void Cut(TimePoint aNow) noexcept;
  void Compare(TimePoint aNow) noexcept;

  std::uint16_t slots_{};
  double limit_{ 1.0 };
  double threshold_{}; ///< Doubling below it, single steps above it.
  TimePoint cutUntil_;
  TimePoint changedAt_;
  internal::MeanTime recent_;   ///< Holds.
  internal::MeanTime slowness_; ///< Holds over their usual length.
  Trial trial_{ Trial::None };
  TimePoint trialStart_;
  TimePoint noTrialBefore_;
  TimePoint keptUntil_; ///< Half the slots proved as good until then.
  std::uint32_t trialFinished_{};
  double fullRate_{};
  double fullLimit_{};
};

} // namespace cornelshore::admission

#endif
