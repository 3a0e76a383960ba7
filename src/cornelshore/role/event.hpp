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

/** @brief An authentic message of another process of the system. */
struct NodeMessage
{
  NodeId from_;
  Incarnation incarnation_; ///< Of the sender.
  Address address_;         ///< Where it came from.
  Message message_;
};

/** @brief Time passed; due at `NextTimer()` or a little later. */
struct Tick
{};

/** @brief Planned stop: finish what there is, take nothing new. */
struct StopRequested
{};

/** @brief Send a message to another process. */
struct SendToNode
{
  Address to_;
  Message message_;
};

/** @brief How much a logged fact matters. */
enum class Weight : std::uint8_t
{
  Debug,
  Info,
  Warning,
  Error,
};

/** @brief Log one event. */
struct Log
{
  Weight weight_{ Weight::Info };
  std::string name_;
  std::vector<std::pair<std::string, std::string>> fields_;
};

/** @brief The process may end. */
struct Ended
{
  std::uint64_t flowsLeft_{}; ///< Flows given up at the limit of the stop.
};

} // namespace cornelshore::role

#endif
