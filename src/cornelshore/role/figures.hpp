#ifndef CORNELSHORE_ROLE_FIGURES_HPP
#define CORNELSHORE_ROLE_FIGURES_HPP

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <cornelshore/core/figure.hpp>
#include <cornelshore/dissemination/node.hpp>

namespace cornelshore::role::internal {

/** @brief A value that goes up and down. */
template<typename Number>
[[nodiscard]] MetricSample
Gauge(const char* aName, const char* aHelp, Number aValue)
{
  return { aName, aHelp, MetricKind::Gauge, {}, static_cast<double>(aValue) };
}

/** @brief A value that only grows; its name ends in `_total`. */
template<typename Number>
[[nodiscard]] MetricSample
Counter(const char* aName, const char* aHelp, Number aValue)
{
  return { aName, aHelp, MetricKind::Counter, {}, static_cast<double>(aValue) };
}

/** @brief The figure with one more label. */
[[nodiscard]] inline MetricSample
Labelled(MetricSample aFigure, const char* aLabel, std::string_view aValue)
{
  aFigure.labels_.emplace_back(aLabel, std::string(aValue));
  return aFigure;
}

/** @brief Adds what each process tells of its configuration and its node. */
inline void
AddNodeFigures(const dissemination::NodeDump& aNode,
               std::vector<MetricSample>& aFigures)
{
  aFigures.push_back(Gauge("cornelshore_config_version",
                           "Version of the configuration in force.",
                           aNode.config_.value_));
  aFigures.push_back(
    Gauge("cornelshore_config_confirmed",
          "1 when control lately confirmed the configuration in force.",
          aNode.confirmed_ ? 1 : 0));
  aFigures.push_back(
    Gauge("cornelshore_hosts", "Host records known.", aNode.hosts_));
  aFigures.push_back(Counter("cornelshore_control_sent_bytes_total",
                             "Bytes of control messages sent.",
                             aNode.bytesSent_));
}

} // namespace cornelshore::role::internal

#endif
