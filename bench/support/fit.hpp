#ifndef CORNELSHORE_BENCH_SUPPORT_FIT_HPP
#define CORNELSHORE_BENCH_SUPPORT_FIT_HPP

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <span>

namespace cornelshore::bench {

/** @brief One measurement of a size and its cost. */
struct Sample
{
  double size_{};
  double cost_{};
};

/** @brief Straight line through samples, by least squares. */
struct Line
{
  double base_{};
  double slope_{};
  double residual_{}; ///< Largest miss over the largest cost.

  [[nodiscard]] double At(double aSize) const { return base_ + slope_ * aSize; }
};

/** @brief Fits a line; needs at least two distinct sizes. */
inline Line
Fit(std::span<const Sample> aSamples)
{
  const auto count = static_cast<double>(aSamples.size());
  double meanSize = 0;
  double meanCost = 0;
  for (const auto& sample : aSamples) {
    meanSize += sample.size_ / count;
    meanCost += sample.cost_ / count;
  }
  double spread = 0;
  double product = 0;
  for (const auto& sample : aSamples) {
    spread += (sample.size_ - meanSize) * (sample.size_ - meanSize);
    product += (sample.size_ - meanSize) * (sample.cost_ - meanCost);
  }
  Line line;
  line.slope_ = product / spread;
  line.base_ = meanCost - line.slope_ * meanSize;
  double largest = 0;
  for (const auto& sample : aSamples) {
    largest = std::max(largest, std::abs(sample.cost_));
    line.residual_ =
      std::max(line.residual_, std::abs(sample.cost_ - line.At(sample.size_)));
  }
  line.residual_ = largest > 0 ? line.residual_ / largest : 0;
  return line;
}

} // namespace cornelshore::bench

#endif
