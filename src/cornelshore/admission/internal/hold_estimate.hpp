#ifndef CORNELSHORE_ADMISSION_INTERNAL_HOLD_ESTIMATE_HPP
#define CORNELSHORE_ADMISSION_INTERNAL_HOLD_ESTIMATE_HPP

#include <algorithm>
#include <cmath>

#include <cornelshore/core/time.hpp>

namespace cornelshore::admission::internal {

/** @brief Seconds of a length of time. */
[[nodiscard]] inline double
Seconds(Duration aDuration) noexcept
{
  return std::chrono::duration<double>(aDuration).count();
}

/** @brief Length of time of so many seconds. */
[[nodiscard]] inline Duration
FromSeconds(double aSeconds) noexcept
{
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(aSeconds));
}

/**
 * @brief Mean of lengths of time, in seconds.
 *
 * Plain over the first samples, exponentially weighted after them.
 */
class MeanTime
{
public:
  /** @param aLeastGain Weight of a sample once there are many. */
  explicit MeanTime(double aLeastGain = 0.1) noexcept
    : leastGain_(aLeastGain)
  {
  }

  void Add(double aSeconds) noexcept
  {
    mean_ += gain_ * (aSeconds - mean_);
    gain_ = std::max(leastGain_, gain_ / (1.0 + gain_));
    known_ = true;
  }

  void Reset() noexcept { *this = MeanTime(leastGain_); }

  /**
   * @brief Whether the mean exceeds a bound by two standard errors.
   *
   * The error is that of exponentially distributed samples.
   */
  [[nodiscard]] bool Exceeds(double aBound) const noexcept
  {
    return known_ && mean_ > aBound * (1.0 + 2.0 * std::sqrt(gain_));
  }

  /** @brief The mean, or `aElse` before the first sample. */
  [[nodiscard]] double Or(double aElse) const noexcept
  {
    return known_ ? mean_ : aElse;
  }

private:
  double leastGain_;
  double gain_{ 1.0 };
  double mean_{};
  bool known_{};
};

} // namespace cornelshore::admission::internal

#endif
