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

/** @brief A decision about a flow. */
enum class FlowEvent : std::uint8_t
{
  Opened,     ///< Balancer: a host answered the opening.
  Declined,   ///< Balancer: an agent did not accept the opening.
  Unanswered, ///< Balancer: an agent did not answer in time.
  Held,       ///< Balancer: buffered; routes or hosts are not known yet.
  Searched,   ///< Balancer: the search for the flow's host began.
  Found,      ///< Balancer: a host reported that it holds the flow.
  Taken,      ///< Agent: the opening was passed to the host.
  Refused,    ///< Agent: the opening was not passed to the host.
  Probed,     ///< Agent: a packet of an unknown flow was passed to the host.
  Returned,   ///< Agent: the host returned a packet.
  Denied,     ///< Agent: the host does not hold the packet's flow.
  Closed,     ///< Agent: both ends have finished, or one reset the flow.
};

/** @brief Names of `FlowEvent`, as the logs write them. */
inline constexpr std::array<EnumName<FlowEvent>, 12> kFlowEventNames{ {
  { FlowEvent::Opened, "flow_opened" },
  { FlowEvent::Declined, "flow_declined" },
  { FlowEvent::Unanswered, "flow_unanswered" },
  { FlowEvent::Held, "flow_held" },
  { FlowEvent::Searched, "flow_searched" },
  { FlowEvent::Found, "flow_found" },
  { FlowEvent::Taken, "flow_taken" },
  { FlowEvent::Refused, "flow_refused" },
  { FlowEvent::Probed, "flow_probed" },
  { FlowEvent::Returned, "flow_returned" },
  { FlowEvent::Denied, "flow_denied" },
  { FlowEvent::Closed, "flow_closed" },
} };

/** @brief Reason of a decision about a flow. */
enum class FlowReason : std::uint8_t
{
  None,
  NoReport,     ///< No host has reported to this agent.
  Leaving,      ///< The host is leaving.
  Silent,       ///< The host's reports have stopped.
  OtherService, ///< The host belongs to another service.
  NoRoute,      ///< A newer configuration routes elsewhere.
  Busy,         ///< All slots are in use.
  ForcedOpen,   ///< Accepted although all slots are in use.
  Reset,        ///< One end reset the flow.
  Finished,     ///< Both ends have finished.
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
  { FlowReason::ForcedOpen, "insisted" },
  { FlowReason::Reset, "reset" },
  { FlowReason::Finished, "finished" },
} };

/** @brief A decision about a flow and its inputs, for the log. */
struct FlowDecision
{
  FlowEvent event_{ FlowEvent::Opened };
  FlowKey key_;
  FlowReason reason_{ FlowReason::None };
  HostId host_;            ///< Host chosen by a balancer; 0: none.
  std::uint32_t offers_{}; ///< Offers of the opening so far.
  Duration waited_{};      ///< Time since the flow's first packet arrived.
  HostLoad load_;          ///< Load of the host at the decision.
  Duration reportAge_{};   ///< Age of the host's last report.
  ConfigVersion version_;  ///< Configuration in force at the process.
  std::size_t hosts_{};    ///< Hosts known to a balancer; 0 at an agent.
};

} // namespace cornelshore::relay

#endif
