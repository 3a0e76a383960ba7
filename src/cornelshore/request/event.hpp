#ifndef CORNELSHORE_REQUEST_EVENT_HPP
#define CORNELSHORE_REQUEST_EVENT_HPP

#include <cstdint>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include <cornelshore/core/host.hpp>
#include <cornelshore/core/time.hpp>
#include <cornelshore/core/types.hpp>
#include <cornelshore/request/message.hpp>

namespace cornelshore::request {

/** @brief One attempt at this agent's own upstream; never reused. */
using RunId = StrongId<struct RunIdTag, std::uint64_t>;

/** @brief A message was received from another process. */
struct Received
{
  NodeId from_;
  Incarnation incarnation_; ///< Sender's incarnation, from the envelope.
  Message message_;
};

/** @brief The slot scheduler assigned a slot to the run. */
struct RunStarted
{
  RunId run_;
};

/** @brief The slot scheduler refused the run or dropped it from its queue. */
struct RunRefused
{
  RunId run_;
  Reason reason_{ Reason::Overloaded };
  Duration retryAfter_{};
};

/** @brief The upstream answered. */
struct UpstreamFinished
{
  RunId run_;
  std::string answer_;
};

/** @brief The upstream refused the run before executing it. */
struct UpstreamShed
{
  RunId run_;
  Duration retryAfter_{};
};

/** @brief The upstream cancelled the run on request. */
struct UpstreamCancelled
{
  RunId run_;
};

/** @brief The upstream is lost; the state of the run is unknown. */
struct UpstreamLost
{
  RunId run_;
};

/** @brief The hosts of the agent's service changed. */
struct MembershipChanged
{
  std::span<const HostRecord> hosts_; ///< Valid during the call only.
};

/** @brief The time returned by `NextTimer` has been reached. */
struct Tick
{};

/** @brief Starts draining: running requests finish, new ones are refused. */
struct LeaveRequested
{};

/** @brief Input of an agent. */
using Event = std::variant<Received,
                           RunStarted,
                           RunRefused,
                           UpstreamFinished,
                           UpstreamShed,
                           UpstreamCancelled,
                           UpstreamLost,
                           MembershipChanged,
                           Tick,
                           LeaveRequested>;

/** @brief Sends a message to another agent. */
struct SendToHost
{
  HostId to_;
  Message message_;
};

/** @brief Sends a message to the balancer named in its route. */
struct SendToBalancer
{
  NodeId to_;
  Message message_;
};

/** @brief Offers a run to the slot scheduler. */
struct Offer
{
  RunId run_;
  Work work_;
  TimePoint deadline_;
};

/**
 * @brief Releases the run's slot or its place in the queue.
 *
 * Emitted exactly once per offered run, unless the scheduler refused it.
 */
struct ReleaseSlot
{
  RunId run_;
};

/** @brief Sends the run to the upstream. */
struct StartRun
{
  RunId run_;
  RequestId id_;
  Work work_;
  Duration timeLeft_{};
  std::string body_;
};

/** @brief Asks the upstream to cancel the run. */
struct CancelRun
{
  RunId run_;
};

/** @brief Draining is complete; the agent may stop. */
struct Drained
{};

/** @brief Action requested by an agent; actions are ordered. */
using Action = std::variant<SendToHost,
                            SendToBalancer,
                            Offer,
                            ReleaseSlot,
                            StartRun,
                            CancelRun,
                            Drained>;

} // namespace cornelshore::request

#endif
