#ifndef CORNELSHORE_ROLE_RELAY_AGENT_HPP
#define CORNELSHORE_ROLE_RELAY_AGENT_HPP

#include <memory>
#include <string>
#include <variant>
#include <vector>

#include <absl/status/statusor.h>

#include <cornelshore/core/dump.hpp>
#include <cornelshore/core/figure.hpp>
#include <cornelshore/core/time.hpp>
#include <cornelshore/dissemination/node.hpp>
#include <cornelshore/relay/agent.hpp>
#include <cornelshore/role/event.hpp>
#include <cornelshore/role/node_builder.hpp>

namespace cornelshore::role {

/** @brief A packet that the upstream sent or returned undelivered. */
struct UpstreamPacket
{
  std::string packet_;
};

/** @brief The upstream reported; answered by `ReportResult`. */
struct UpstreamReported
{
  std::uint64_t token_{};
  relay::HostReport report_;
};

/** @brief An instance of the upstream ended; answered by `ReportResult`. */
struct UpstreamInstanceEnded
{
  std::uint64_t token_{};
  std::string instance_;
};

/** @brief Input events of an agent that relays flows of segments. */
using RelayAgentEvent = std::variant<NodeMessage,
                                     UpstreamPacket,
                                     UpstreamReported,
                                     UpstreamInstanceEnded,
                                     StopRequested,
                                     Tick>;

/** @brief Result of a report; unless it was taken, no state changed. */
struct ReportResult
{
  std::uint64_t token_{};
  relay::ReportOutcome outcome_{ relay::ReportOutcome::Taken };
};

/** @brief Output actions of an agent that relays flows of segments, executed in
 * order. */
using RelayAgentAction = std::
  variant<SendToNode, relay::ToHost, relay::FromHost, ReportResult, Log, Ended>;

/** @brief State machine of an agent that relays flows of segments. */
class RelayAgent
{
public:
  class Builder;

  ~RelayAgent();
  RelayAgent(const RelayAgent&) = delete;
  RelayAgent& operator=(const RelayAgent&) = delete;

  /** @brief Handles one event and returns the resulting actions in order. */
  [[nodiscard]] std::vector<RelayAgentAction> On(TimePoint aNow,
                                                 RelayAgentEvent aEvent);

  /** @brief Time at which the next `Tick` event is due. */
  [[nodiscard]] TimePoint NextTimer() const;

  /** @brief State for the operator's state dump. */
  [[nodiscard]] Dump State(TimePoint aNow) const;

  /** @brief Known host records, for operators. */
  [[nodiscard]] Dump Hosts() const;

  /** @brief Counters and gauges for the metrics. */
  [[nodiscard]] std::vector<MetricSample> Figures(TimePoint aNow) const;

private:
  struct Parts;

  explicit RelayAgent(std::unique_ptr<Parts> aParts);

  std::unique_ptr<Parts> parts_;
};

/** @brief Builds an agent that relays flows of segments. */
class RelayAgent::Builder : public NodeBuilder<RelayAgent::Builder>
{
public:
  /**
   * @param aNode Settings of the node; the role is set to agent.
   * @param aService Service of the upstream beside it.
   */
  Builder(dissemination::NodeSettings aNode, ServiceId aService);

  Builder& WithCodec(relay::Codec aCodec);
  /** @brief Time without a report after which the upstream gets no new flows.
   */
  Builder& WithHostSilence(Duration aSilence);
  /** @brief Wall clock at the start of this process, in ms since 1970. */
  Builder& WithStart(std::uint64_t aMillis);
  /** @brief Interval of the host's reports. */
  Builder& WithReportInterval(Duration aInterval);

  /** @return The agent, or `InvalidArgument` naming the setting. */
  [[nodiscard]] absl::StatusOr<std::unique_ptr<RelayAgent>> Build(
    TimePoint aNow) const;

private:
  ServiceId service_;
  relay::Codec codec_;
  Duration hostReportTimeout_{ std::chrono::milliseconds{ 3600 } };
  Duration reportInterval_{ std::chrono::milliseconds{ 1200 } };
  std::uint64_t startMillis_{};
};

} // namespace cornelshore::role

#endif
