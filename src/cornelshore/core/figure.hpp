#ifndef CORNELSHORE_CORE_FIGURE_HPP
#define CORNELSHORE_CORE_FIGURE_HPP

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace cornelshore {

/** @brief Kind of a figure, as Prometheus tells metrics apart. */
enum class MetricKind : std::uint8_t
{
  Counter,
  Gauge,
};

/** @brief One value of one metric. */
struct MetricSample
{
  std::string name_; ///< With unit, and `_total` for a counter.
  std::string help_;
  MetricKind kind_{ MetricKind::Counter };
  std::vector<std::pair<std::string, std::string>> labels_;
  double value_{};
};

} // namespace cornelshore

#endif
