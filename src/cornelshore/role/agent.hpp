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

/** @brief The upstream became ready for work, or stopped being so. */
struct UpstreamReadinessChanged
{
  bool ready_{};
};

/** @brief A flow ended at the upstream or by its caller. */
struct UpstreamFlowEnded
{
  FlowKey key_;
};

/** @brief The upstream did not take a new flow. */
struct UpstreamFlowRefused
{
  FlowKey key_;
  Address returnPath_;
};

/** @brief How a run at the upstream ended. */
enum class UpstreamRunOutcome : std::uint8_t
{
  Finished, ///< Ran; the answer is there.
  Shed,     ///< Refused before it ran.
  Lost,     ///< The upstream broke off; whether it ran is not known.
};

/** @brief A run that was handed to the upstream ended. */
struct UpstreamRunEnded
{
  request::RunId run_;
  UpstreamRunOutcome end_{ UpstreamRunOutcome::Lost };
  std::string answer_;
};

/** @brief What happens to an agent. */
using AgentEvent = std::variant<NodeMessage,
                                UpstreamReadinessChanged,
                                UpstreamFlowEnded,
                                UpstreamFlowRefused,
                                UpstreamRunEnded,
                                StopRequested,
                                Tick>;

/** @brief Hand a request to the upstream. */
struct RunAtUpstream
{
  request::RunId run_;
  RequestId id_;
  std::string class_; ///< Name of the class; empty when it is not known.
  Duration timeLeft_{};
  std::string body_;
};

/** @brief Ask the upstream to give a run up. */
struct CancelAtUpstream
{
  RequestId id_;
};

/** @brief What an agent wants done, in this order. */
using AgentAction = std::variant<SendToNode,
                                 flow::Deliver,
                                 flow::Reset,
                                 RunAtUpstream,
                                 CancelAtUpstream,
                                 Log,
                                 Ended>;

/**
 * @brief An agent beside an upstream: owns its flows, requests and slots.
 */
class Agent
{
public:
  class Builder;

  ~Agent();
  Agent(const Agent&) = delete;
  Agent& operator=(const Agent&) = delete;

  /** @brief Takes one event and says what is to be done. */
  [[nodiscard]] std::vector<AgentAction> On(TimePoint aNow, AgentEvent aEvent);

  /** @brief When `Tick` is due. */
  [[nodiscard]] TimePoint NextTimer() const;

  /** @brief State for the dump on request. */
  [[nodiscard]] Dump State(TimePoint aNow) const;

  /** @brief Flows of this host, for operators. */
  [[nodiscard]] Dump Flows(TimePoint aNow) const;

  /** @brief Hosts known, for operators. */
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
   * @param aNode Who it is; its role is set to agent.
   * @param aHost Service, slots, connection limit and address of the host;
   * id, incarnation and data centre are taken from `aNode`.
   */
  Builder(dissemination::NodeSettings aNode, HostRecord aHost);

  /** @brief Longest planned stop. */
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
