#ifndef CORNELSHORE_ROLE_FIGURES_HPP
#define CORNELSHORE_ROLE_FIGURES_HPP

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <cornelshore/core/figure.hpp>
#include <cornelshore/dissemination/node.hpp>

namespace cornelshore::role::internal {

/** @brief A gauge metric. */
template<typename Number>
[[nodiscard]] MetricSample
Gauge(const char* aName, const char* aHelp, Number aValue)
{
  return { aName, aHelp, MetricKind::Gauge, {}, static_cast<double>(aValue) };
}

/** @brief A counter metric, which never decreases; its name ends in `_total`.
 */
template<typename Number>
[[nodiscard]] MetricSample
Counter(const char* aName, const char* aHelp, Number aValue)
{
  return { aName, aHelp, MetricKind::Counter, {}, static_cast<double>(aValue) };
}

/** @brief Returns the sample with one more label. */
[[nodiscard]] inline MetricSample
Labelled(MetricSample aSample, const char* aLabel, std::string_view aValue)
{
  aSample.labels_.emplace_back(aLabel, std::string(aValue));
  return aSample;
}

/** @brief Adds the metrics that every process has for its node and its
 * configuration. */
inline void
AddNodeMetrics(const dissemination::NodeDump& aNode,
               std::vector<MetricSample>& aSamples)
{
  aSamples.push_back(Gauge("cornelshore_config_version",
                           "Version of the configuration in force.",
                           aNode.config_.value_));
  aSamples.push_back(
    Gauge("cornelshore_config_confirmed",
          "1 when control lately confirmed the configuration in force.",
          aNode.confirmed_ ? 1 : 0));
  aSamples.push_back(
    Gauge("cornelshore_hosts", "Host records known.", aNode.hosts_));
  aSamples.push_back(Counter("cornelshore_control_sent_bytes_total",
                             "Bytes of control messages sent.",
                             aNode.bytesSent_));
}

} // namespace cornelshore::role::internal

#endif
