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

/** @brief A packet of a caller's flow of segments. */
struct CallerPacket
{
  std::string packet_;
  TimePoint receivedAt_; ///< It may have waited for the deciding thread.
};

/** @brief What happens to a balancer of flows of segments. */
using RelayBalancerEvent =
  std::variant<NodeMessage, CallerPacket, StopRequested, Tick>;

/** @brief Whether the fabric should send packets here. */
struct ReadyChanged
{
  bool ready_{};
};

/** @brief What a balancer of flows of segments wants done, in this order. */
using RelayBalancerAction =
  std::variant<SendToNode, relay::ToCaller, ReadyChanged, Log, Ended>;

/** @brief A balancer of flows of segments. */
class RelayBalancer
{
public:
  class Builder;

  ~RelayBalancer();
  RelayBalancer(const RelayBalancer&) = delete;
  RelayBalancer& operator=(const RelayBalancer&) = delete;

  /** @brief Takes one event and says what is to be done. */
  [[nodiscard]] std::vector<RelayBalancerAction> On(TimePoint aNow,
                                                    RelayBalancerEvent aEvent);

  /** @brief When `Tick` is due. */
  [[nodiscard]] TimePoint NextTimer() const;

  /** @brief State for the dump on request. */
  [[nodiscard]] Dump State(TimePoint aNow) const;

  /** @brief Hosts known, for operators. */
  [[nodiscard]] Dump Hosts() const;

  /** @brief Counters and gauges for the metrics. */
  [[nodiscard]] std::vector<MetricSample> Figures(TimePoint aNow) const;

private:
  struct Parts;

  explicit RelayBalancer(std::unique_ptr<Parts> aParts);

  std::unique_ptr<Parts> parts_;
};

/** @brief Builds a balancer of flows of segments. */
class RelayBalancer::Builder : public NodeBuilder<RelayBalancer::Builder>
{
public:
  /** @param aNode Who it is; its role is set to balancer. */
  explicit Builder(dissemination::NodeSettings aNode);

  Builder& WithCodec(relay::Codec aCodec);
  /** @brief Longest planned stop. */
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
