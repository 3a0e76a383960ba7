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

/** @brief A message came from another process. */
struct Received
{
  NodeId from_;
  Incarnation incarnation_; ///< Of the sender, as its envelope names it.
  Message message_;
};

/** @brief The slot scheduler gave the run a slot. */
struct RunStarted
{
  RunId run_;
};

/** @brief The slot scheduler refused the run, or shed it from its queue. */
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

/** @brief The upstream refused the run before it ran. */
struct UpstreamShed
{
  RunId run_;
  Duration retryAfter_{};
};

/** @brief The upstream stopped the run as it was asked to. */
struct UpstreamCancelled
{
  RunId run_;
};

/** @brief The upstream is gone; the state of the run is not known. */
struct UpstreamLost
{
  RunId run_;
};

/** @brief The hosts of the agent's service changed. */
struct MembershipChanged
{
  std::span<const HostRecord> hosts_; ///< Read during the call only.
};

/** @brief A timer that `NextTimer` named is due. */
struct Tick
{};

/** @brief The agent is to stop: finish what runs, take nothing new. */
struct LeaveRequested
{};

/** @brief What happens to an agent. */
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

/** @brief Send to another agent. */
struct SendToHost
{
  HostId to_;
  Message message_;
};

/** @brief Send to the balancer that the message's route names. */
struct SendToBalancer
{
  NodeId to_;
  Message message_;
};

/** @brief Offer a run to the slot scheduler. */
struct Offer
{
  RunId run_;
  Work work_;
  TimePoint deadline_;
};

/**
 * @brief The run needs its slot or its place in the queue no longer.
 *
 * Given once for each run that was offered, whatever became of it, unless the
 * scheduler itself refused it.
 */
struct ReleaseSlot
{
  RunId run_;
};

/** @brief Hand the run to the upstream. */
struct StartRun
{
  RunId run_;
  RequestId id_;
  Work work_;
  Duration timeLeft_{};
  std::string body_;
};

/** @brief Ask the upstream to stop the run. */
struct CancelRun
{
  RunId run_;
};

/** @brief Nothing is in progress any more: the agent may stop. */
struct Drained
{};

/** @brief What an agent wants done, in this order. */
using Action = std::variant<SendToHost,
                            SendToBalancer,
                            Offer,
                            ReleaseSlot,
                            StartRun,
                            CancelRun,
                            Drained>;

} // namespace cornelshore::request

#endif
