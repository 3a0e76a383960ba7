#ifndef CORNELSHORE_ROLE_AGENT_HPP
#define CORNELSHORE_ROLE_AGENT_HPP

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include <absl/status/statusor.h>

#include <cornelshore/core/dump.hpp>
#include <cornelshore/core/figure.hpp>
#include <cornelshore/core/host.hpp>
#include <cornelshore/core/time.hpp>
#include <cornelshore/dissemination/node.hpp>
#include <cornelshore/flow/event.hpp>
#include <cornelshore/request/event.hpp>
#include <cornelshore/role/event.hpp>
#include <cornelshore/role/node_builder.hpp>

namespace cornelshore::role {

/** @brief Readiness of the upstream changed. */
struct UpstreamReadinessChanged
{
  bool ready_{};
};

/** @brief A flow was closed by the upstream or by its caller. */
struct UpstreamFlowEnded
{
  FlowKey key_;
};

/** @brief The upstream refused a new flow. */
struct UpstreamFlowRefused
{
  FlowKey key_;
  Address returnPath_;
};

/** @brief Outcome of a request run at the upstream. */
enum class UpstreamRunOutcome : std::uint8_t
{
  Finished, ///< Completed with an answer.
  Shed,     ///< Rejected before it was run.
  Lost,     ///< Connection lost; whether it ran is unknown.
};

/** @brief A run at the upstream ended. */
struct UpstreamRunEnded
{
  request::RunId run_;
  UpstreamRunOutcome end_{ UpstreamRunOutcome::Lost };
  std::string answer_;
};

/** @brief Input events of an agent. */
using AgentEvent = std::variant<NodeMessage,
                                UpstreamReadinessChanged,
                                UpstreamFlowEnded,
                                UpstreamFlowRefused,
                                UpstreamRunEnded,
                                StopRequested,
                                Tick>;

/** @brief Run a request at the upstream. */
struct RunAtUpstream
{
  request::RunId run_;
  RequestId id_;
  std::string class_; ///< Class name; empty if unknown.
  Duration timeLeft_{};
  std::string body_;
};

/** @brief Ask the upstream to cancel a run. */
struct CancelAtUpstream
{
  RequestId id_;
};

/** @brief Output actions of an agent, executed in order. */
using AgentAction = std::variant<SendToNode,
                                 flow::Deliver,
                                 flow::Reset,
                                 RunAtUpstream,
                                 CancelAtUpstream,
                                 Log,
                                 Ended>;

/**
 * @brief State machine of an agent, which runs beside an upstream and owns its
 * flows, requests and slots.
 */
class Agent
{
public:
  class Builder;

  ~Agent();
  Agent(const Agent&) = delete;
  Agent& operator=(const Agent&) = delete;

  /** @brief Handles one event and returns the resulting actions in order. */
  [[nodiscard]] std::vector<AgentAction> On(TimePoint aNow, AgentEvent aEvent);

  /** @brief Time at which the next `Tick` event is due. */
  [[nodiscard]] TimePoint NextTimer() const;

  /** @brief State for the operator's state dump. */
  [[nodiscard]] Dump State(TimePoint aNow) const;

  /** @brief State of the flows of this host, for operators. */
  [[nodiscard]] Dump Flows(TimePoint aNow) const;

  /** @brief Known host records, for operators. */
  [[nodiscard]] Dump Hosts() const;

  /** @brief Counters and gauges for the metrics. */
  [[nodiscard]] std::vector<MetricSample> Figures(TimePoint aNow) const;

private:
  struct Parts;

  explicit Agent(std::unique_ptr<Parts> aParts);

  std::unique_ptr<Parts> parts_;
};

/** @brief Builds an agent. */
class Agent::Builder : public NodeBuilder<Agent::Builder>
{
public:
  /**
   * @param aNode Settings of the node; the role is set to agent.
   * @param aHost Service, slots, connection limit and address of the host;
   * id, incarnation and data centre are taken from `aNode`.
   */
  Builder(dissemination::NodeSettings aNode, HostRecord aHost);

  /** @brief Maximum duration of a planned stop; default 1 h. */
  Builder& WithStopLimit(Duration aLimit);

  /** @return The agent, or `InvalidArgument` naming the setting. */
  [[nodiscard]] absl::StatusOr<std::unique_ptr<Agent>> Build(
    TimePoint aNow) const;

private:
  HostRecord host_;
  Duration stopLimit_{ std::chrono::hours(1) };
};

} // namespace cornelshore::role

#endif
