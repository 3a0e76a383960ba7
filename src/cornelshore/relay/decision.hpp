#ifndef CORNELSHORE_RELAY_DECISION_HPP
#define CORNELSHORE_RELAY_DECISION_HPP

#include <array>
#include <cstdint>

#include <cornelshore/core/flow_key.hpp>
#include <cornelshore/core/host.hpp>
#include <cornelshore/core/names.hpp>
#include <cornelshore/core/time.hpp>
#include <cornelshore/relay/message.hpp>

namespace cornelshore::relay {

/** @brief What was decided about a flow. */
enum class FlowEvent : std::uint8_t
{
  Opened,     ///< Balancer: a host answered the opening.
  Declined,   ///< Balancer: an agent did not take the opening.
  Unanswered, ///< Balancer: an agent did not answer in time.
  Held,       ///< Balancer: routes or hosts are not known yet.
  Searched,   ///< Balancer: the hosts are asked who holds the flow.
  Found,      ///< Balancer: a host says that it holds the flow.
  Taken,      ///< Agent: the opening was handed to the host.
  Refused,    ///< Agent: the opening was not handed to the host.
  Returned,   ///< Agent: the host gave a packet back.
  Denied,     ///< Agent: the host does not hold the flow that it was sent.
  Closed,     ///< Agent: both ends are done, or one reset the flow.
};

/** @brief Names of `FlowEvent`, as the logs write them. */
inline constexpr std::array<EnumName<FlowEvent>, 11> kFlowEventNames{ {
  { FlowEvent::Opened, "flow_opened" },
  { FlowEvent::Declined, "flow_declined" },
  { FlowEvent::Unanswered, "flow_unanswered" },
  { FlowEvent::Held, "flow_held" },
  { FlowEvent::Searched, "flow_searched" },
  { FlowEvent::Found, "flow_found" },
  { FlowEvent::Taken, "flow_taken" },
  { FlowEvent::Refused, "flow_refused" },
  { FlowEvent::Returned, "flow_returned" },
  { FlowEvent::Denied, "flow_denied" },
  { FlowEvent::Closed, "flow_closed" },
} };

/** @brief Why a flow went the way that it went. */
enum class FlowReason : std::uint8_t
{
  None,
  NoReport,     ///< No host has reported to this agent.
  Leaving,      ///< The host is leaving.
  Silent,       ///< The host's reports have stopped.
  OtherService, ///< The host is of another service.
  NoRoute,      ///< A newer configuration leads elsewhere.
  Busy,         ///< All slots are in use.
  Insisted,     ///< Taken although all slots are in use.
  Reset,        ///< One end reset the flow.
  Finished,     ///< Both ends are done.
};

/** @brief Names of `FlowReason`. */
inline constexpr std::array<EnumName<FlowReason>, 10> kFlowReasonNames{ {
  { FlowReason::None, "none" },
  { FlowReason::NoReport, "no_report" },
  { FlowReason::Leaving, "leaving" },
  { FlowReason::Silent, "silent" },
  { FlowReason::OtherService, "other_service" },
  { FlowReason::NoRoute, "no_route" },
  { FlowReason::Busy, "busy" },
  { FlowReason::Insisted, "insisted" },
  { FlowReason::Reset, "reset" },
  { FlowReason::Finished, "finished" },
} };

/** @brief A decision about a flow and what decided it, for the log. */
struct FlowDecision
{
  FlowEvent event_{ FlowEvent::Opened };
  FlowKey key_;
  FlowReason reason_{ FlowReason::None };
  HostId host_;            ///< At a balancer: the host meant; 0: none.
  std::uint32_t offers_{}; ///< Hosts that were offered or asked for it.
  Duration waited_{};      ///< Since its first packet came here.
  HostLoad load_;          ///< Of the host, as it decided.
  Duration reportAge_{};   ///< Age of the host's last report, at an agent.
  ConfigVersion version_;  ///< In force where it was decided.
};

} // namespace cornelshore::relay

#endif
