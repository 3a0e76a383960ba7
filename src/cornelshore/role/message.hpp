#ifndef CORNELSHORE_ROLE_MESSAGE_HPP
#define CORNELSHORE_ROLE_MESSAGE_HPP

#include <array>
#include <string>
#include <variant>

#include <cornelshore/admission/pushback.hpp>
#include <cornelshore/consensus/message.hpp>
#include <cornelshore/core/flow_key.hpp>
#include <cornelshore/core/names.hpp>
#include <cornelshore/dissemination/message.hpp>
#include <cornelshore/flow/envelope.hpp>
#include <cornelshore/membership/message.hpp>
#include <cornelshore/relay/message.hpp>
#include <cornelshore/request/message.hpp>

/**
 * @brief State machines of the roles, composed of the modules' state machines.
 *
 * `(aNow, event) -> actions`: a daemon, a test or another program supplies
 * events and executes the actions; the decisions are the same in each.
 */
namespace cornelshore::role {

/** @brief Message from an agent to a balancer: payload for the caller of a
 * flow. */
struct FlowAnswer
{
  FlowKey key_;
  std::string payload_;

  bool operator==(const FlowAnswer&) const noexcept = default;
};

/** @brief Any message between processes of the system. */
using Message = std::variant<flow::Envelope,
                             FlowAnswer,
                             request::Message,
                             admission::Pushback,
                             dissemination::Message,
                             consensus::Message,
                             membership::Message,
                             relay::Message>;

/** @brief What the bytes between processes are spent on, for the metrics. */
enum class TrafficPurpose : std::uint8_t
{
  Packet,    ///< Packets of callers and hosts outside messages, and resets.
  Relayed,   ///< Callers' packets to the host that is to take them.
  Searched,  ///< Callers' packets to hosts that may hold their flows.
  Answer,    ///< Agents' answers to packets.
  Query,     ///< Queries for flows and their answers.
  Load,      ///< Watches and load reports.
  Round,     ///< Dissemination: rounds and their answers.
  Push,      ///< Dissemination: urgent updates.
  Snapshot,  ///< Dissemination: records for processes that have just started.
  Config,    ///< Dissemination: messages with parts of a configuration.
  Consensus, ///< The control group.
  Other,     ///< Requests, health and the rest.
};

/** @brief Names of `TrafficPurpose`. */
inline constexpr std::array<EnumName<TrafficPurpose>, 12> kTrafficPurposeNames{
  {
    { TrafficPurpose::Packet, "packet" },
    { TrafficPurpose::Relayed, "relayed" },
    { TrafficPurpose::Searched, "searched" },
    { TrafficPurpose::Answer, "answer" },
    { TrafficPurpose::Query, "query" },
    { TrafficPurpose::Load, "load" },
    { TrafficPurpose::Round, "round" },
    { TrafficPurpose::Push, "push" },
    { TrafficPurpose::Snapshot, "snapshot" },
    { TrafficPurpose::Config, "config" },
    { TrafficPurpose::Consensus, "consensus" },
    { TrafficPurpose::Other, "other" },
  }
};

/** @brief What a message's bytes are spent on. */
[[nodiscard]] TrafficPurpose TrafficPurposeOf(const Message& aMessage) noexcept;

} // namespace cornelshore::role

#endif
