#ifndef CORNELSHORE_CORE_FIGURE_HPP
#define CORNELSHORE_CORE_FIGURE_HPP

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace cornelshore {

/** @brief Metric type, as in Prometheus. */
enum class MetricKind : std::uint8_t
{
  Counter,
  Gauge,
};

/** @brief One value of one metric. */
struct MetricSample
{
  std::string name_; ///< Ends in the unit, and in `_total` for a counter.
  std::string help_;
  MetricKind kind_{ MetricKind::Counter };
  std::vector<std::pair<std::string, std::string>> labels_;
  double value_{};
};

} // namespace cornelshore

#endif
