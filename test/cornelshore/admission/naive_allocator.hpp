#ifndef CORNELSHORE_TEST_ADMISSION_NAIVE_ALLOCATOR_HPP
#define CORNELSHORE_TEST_ADMISSION_NAIVE_ALLOCATOR_HPP

#include <algorithm>
#include <cmath>
#include <vector>

#include <cornelshore/core/target.hpp>

namespace cornelshore::admission {

/**
 * @brief Reference allocator with a global view of demand.
 *
 * Weighted max-min fairness with floors and limits; the weight doubles with
 * each step of urgency. Finds the water level by bisection.
 *
 * @param aDemand Slots that each class could use.
 * @return Slots of each class.
 */
inline std::vector<double>
AllocateCentrally(const ServiceTarget& aTarget,
                  const std::vector<double>& aDemand,
                  double aSlots)
{
  std::vector<double> shares(aDemand.size());
  const auto fill = [&](double aLevel) {
    double sum = 0.0;
    for (std::size_t index = 0; index < shares.size(); ++index) {
      const auto& target = aTarget.classes_[index];
      const auto floor = aSlots * target.keeps_ / kFullShare;
      const auto most = aSlots * target.most_ / kFullShare;
      const auto wish = std::max(floor, std::ldexp(aLevel, target.urgency_));
      shares[index] = std::min({ aDemand[index], most, wish });
      sum += shares[index];
    }
    return sum;
  };
  double low = 0.0;
  double high = aSlots;
  for (int step = 0; step < 100; ++step) {
    const auto middle = (low + high) / 2;
    (fill(middle) > aSlots ? high : low) = middle;
  }
  fill(low);
  return shares;
}

} // namespace cornelshore::admission

#endif
