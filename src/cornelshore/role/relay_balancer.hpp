#ifndef CORNELSHORE_ROLE_RELAY_BALANCER_HPP
#define CORNELSHORE_ROLE_RELAY_BALANCER_HPP

#include <memory>
#include <string>
#include <variant>
#include <vector>

#include <absl/status/statusor.h>

#include <cornelshore/core/dump.hpp>
#include <cornelshore/core/figure.hpp>
#include <cornelshore/core/time.hpp>
#include <cornelshore/dissemination/node.hpp>
#include <cornelshore/relay/balancer.hpp>
#include <cornelshore/role/event.hpp>
#include <cornelshore/role/node_builder.hpp>

namespace cornelshore::role {

/** @brief A segment from a caller. */
struct CallerPacket
{
  std::string packet_;
  TimePoint receivedAt_; ///< Before queueing for the decision thread.
};

/** @brief Input events of a balancer that relays flows of segments. */
using RelayBalancerEvent =
  std::variant<NodeMessage, CallerPacket, StopRequested, Tick>;

/** @brief Whether the fabric should send packets here. */
struct ReadyChanged
{
  bool ready_{};
};

/** @brief Output actions of a balancer that relays flows of segments, executed
 * in order. */
using RelayBalancerAction =
  std::variant<SendToNode, relay::ToCaller, ReadyChanged, Log, Ended>;

/** @brief State machine of a balancer that relays flows of segments. */
class RelayBalancer
{
public:
  class Builder;

  ~RelayBalancer();
  RelayBalancer(const RelayBalancer&) = delete;
  RelayBalancer& operator=(const RelayBalancer&) = delete;

  /** @brief Handles one event and returns the resulting actions in order. */
  [[nodiscard]] std::vector<RelayBalancerAction> On(TimePoint aNow,
                                                    RelayBalancerEvent aEvent);

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

  explicit RelayBalancer(std::unique_ptr<Parts> aParts);

  std::unique_ptr<Parts> parts_;
};

/** @brief Builds a balancer that relays flows of segments. */
class RelayBalancer::Builder : public NodeBuilder<RelayBalancer::Builder>
{
public:
  /** @param aNode Settings of the node; the role is set to balancer. */
  explicit Builder(dissemination::NodeSettings aNode);

  Builder& WithCodec(relay::Codec aCodec);
  /** @brief Bandwidth of the VM's link in bytes per second; 0: unknown, taken
   * as 2 Mbit/s. */
  Builder& WithLink(std::uint64_t aBytesPerSecond);
  /** @brief Maximum duration of a planned stop; default 5 s. */
  Builder& WithStopLimit(Duration aLimit);

  /** @return The balancer, or `InvalidArgument` naming the setting. */
  [[nodiscard]] absl::StatusOr<std::unique_ptr<RelayBalancer>> Build(
    TimePoint aNow) const;

private:
  relay::Codec codec_;
  Duration stopLimit_{ std::chrono::seconds{ 5 } };
};

} // namespace cornelshore::role

#endif
