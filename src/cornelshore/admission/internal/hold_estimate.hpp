#ifndef CORNELSHORE_ADMISSION_INTERNAL_HOLD_ESTIMATE_HPP
#define CORNELSHORE_ADMISSION_INTERNAL_HOLD_ESTIMATE_HPP

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

/** @brief Exponentially weighted mean of lengths of time, in seconds. */
class MeanTime
{
public:
  void Add(double aSeconds) noexcept
  {
    constexpr double kGain = 0.1;
    mean_ = known_ ? mean_ + kGain * (aSeconds - mean_) : aSeconds;
    known_ = true;
  }

  void Reset() noexcept { known_ = false; }

  [[nodiscard]] bool Known() const noexcept { return known_; }

  /** @brief The mean, or `aElse` before the first sample. */
  [[nodiscard]] double Or(double aElse) const noexcept
  {
    return known_ ? mean_ : aElse;
  }

private:
  double mean_{};
  bool known_{};
};

} // namespace cornelshore::admission::internal

#endif
