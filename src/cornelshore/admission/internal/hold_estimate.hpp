#ifndef CORNELSHORE_ADMISSION_INTERNAL_HOLD_ESTIMATE_HPP
#define CORNELSHORE_ADMISSION_INTERNAL_HOLD_ESTIMATE_HPP

#include <algorithm>
#include <cmath>

#include <cornelshore/core/time.hpp>

namespace cornelshore::admission::internal {

/** @brief Converts a duration to seconds. */
[[nodiscard]] inline double
Seconds(Duration aDuration) noexcept
{
  return std::chrono::duration<double>(aDuration).count();
}

/** @brief Converts seconds to a duration. */
[[nodiscard]] inline Duration
FromSeconds(double aSeconds) noexcept
{
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(aSeconds));
}

/**
 * @brief Running mean of durations, in seconds.
 *
 * Arithmetic over the first samples, exponentially weighted afterwards.
 */
class MeanTime
{
public:
  /** @param aMinGain Weight of a sample in the exponential phase. */
  explicit MeanTime(double aMinGain = 0.1) noexcept
    : minGain_(aMinGain)
  {
  }

  void Add(double aSeconds) noexcept
  {
    mean_ += gain_ * (aSeconds - mean_);
    gain_ = std::max(minGain_, gain_ / (1.0 + gain_));
    hasSample_ = true;
  }

  void Reset() noexcept { *this = MeanTime(minGain_); }

  /**
   * @brief Whether the mean exceeds a bound by two standard errors.
   *
   * The standard error assumes exponentially distributed samples.
   */
  [[nodiscard]] bool Exceeds(double aBound) const noexcept
  {
    return hasSample_ && mean_ > aBound * (1.0 + 2.0 * std::sqrt(gain_));
  }

  /** @brief Returns the mean, or `aDefault` before the first sample. */
  [[nodiscard]] double ValueOr(double aDefault) const noexcept
  {
    return hasSample_ ? mean_ : aDefault;
  }

private:
  double minGain_;
  double gain_{ 1.0 };
  double mean_{};
  bool hasSample_{};
};

} // namespace cornelshore::admission::internal

#endif
