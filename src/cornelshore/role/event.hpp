#ifndef CORNELSHORE_ROLE_EVENT_HPP
#define CORNELSHORE_ROLE_EVENT_HPP

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include <cornelshore/core/address.hpp>
#include <cornelshore/core/names.hpp>
#include <cornelshore/core/types.hpp>
#include <cornelshore/role/message.hpp>

namespace cornelshore::role {

/** @brief An authenticated message from another process of the system. */
struct NodeMessage
{
  NodeId from_;
  Incarnation incarnation_; ///< Of the sender.
  Address address_;         ///< Source address.
  Message message_;
};

/** @brief Timer event, due at `NextTimer()` or shortly after. */
struct Tick
{};

/** @brief Planned stop: drain existing work and accept no new work. */
struct StopRequested
{};

/** @brief Send a message to another process. */
struct SendToNode
{
  Address to_;
  Message message_;
};

/** @brief Severity of a log event. */
enum class Severity : std::uint8_t
{
  Debug,
  Info,
  Warning,
  Error,
};

/** @brief Write one log event. */
struct Log
{
  Severity weight_{ Severity::Info };
  std::string name_;
  std::vector<std::pair<std::string, std::string>> fields_;
};

/** @brief The process may exit. */
struct Ended
{
  std::uint64_t flowsLeft_{}; ///< Flows still open when the stop limit expired.
};

} // namespace cornelshore::role

#endif
