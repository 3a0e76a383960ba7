#ifndef CORNELSHORE_ROLE_BALANCER_HPP
#define CORNELSHORE_ROLE_BALANCER_HPP

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include <absl/status/statusor.h>

#include <cornelshore/core/dump.hpp>
#include <cornelshore/core/figure.hpp>
#include <cornelshore/core/time.hpp>
#include <cornelshore/dissemination/node.hpp>
#include <cornelshore/flow/balancer.hpp>
#include <cornelshore/request/balancer.hpp>
#include <cornelshore/role/event.hpp>
#include <cornelshore/role/node_builder.hpp>

namespace cornelshore::role {

/** @brief A request message from a caller. */
struct CallerMessage
{
  Address caller_;
  request::Message message_;
};

/** @brief Input events of a balancer; a packet is a `flow::Packet`. */
using BalancerEvent =
  std::variant<NodeMessage, flow::Packet, CallerMessage, StopRequested, Tick>;

/** @brief Send an answer of a flow from the service's address to its caller. */
struct SendFlowAnswer
{
  FlowAnswer answer_;
};

/** @brief Output actions of a balancer, executed in order. */
using BalancerAction =
  std::variant<SendToNode, SendFlowAnswer, request::SendToCaller, Log, Ended>;

/**
 * @brief State machine of a balancer, which selects an agent for each packet
 * and request.
 *
 * It keeps no state per flow or request: another balancer can take over at any
 * packet.
 */
class Balancer
{
public:
  class Builder;

  ~Balancer();
  Balancer(const Balancer&) = delete;
  Balancer& operator=(const Balancer&) = delete;

  /** @brief Handles one event and returns the resulting actions in order. */
  [[nodiscard]] std::vector<BalancerAction> On(TimePoint aNow,
                                               BalancerEvent aEvent);

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

  explicit Balancer(std::unique_ptr<Parts> aParts);

  std::unique_ptr<Parts> parts_;
};

/** @brief Builds a balancer. */
class Balancer::Builder : public NodeBuilder<Balancer::Builder>
{
public:
  /** @param aNode Settings of the node; the role is set to balancer. */
  explicit Builder(dissemination::NodeSettings aNode);

  /** @return The balancer, or `InvalidArgument` naming the setting. */
  [[nodiscard]] absl::StatusOr<std::unique_ptr<Balancer>> Build(
    TimePoint aNow) const;
};

} // namespace cornelshore::role

#endif
