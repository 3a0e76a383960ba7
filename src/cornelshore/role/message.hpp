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
 * @brief One state machine a role, made of the modules' state machines.
 *
 * `(aNow, event) -> actions`: a daemon, a test or another program feeds events
 * and carries out actions; the decisions are the same.
 */
namespace cornelshore::role {

/** @brief Agent to balancer: send this to a flow's caller. */
struct FlowAnswer
{
  FlowKey key_;
  std::string payload_;

  bool operator==(const FlowAnswer&) const noexcept = default;
};

/** @brief Everything that processes of the system send one another. */
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
