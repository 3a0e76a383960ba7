#ifndef CORNELSHORE_ROLE_MESSAGE_HPP
#define CORNELSHORE_ROLE_MESSAGE_HPP

#include <string>
#include <variant>

#include <cornelshore/admission/pushback.hpp>
#include <cornelshore/consensus/message.hpp>
#include <cornelshore/core/flow_key.hpp>
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

} // namespace cornelshore::role

#endif
