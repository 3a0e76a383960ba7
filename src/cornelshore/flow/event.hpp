#ifndef CORNELSHORE_FLOW_EVENT_HPP
#define CORNELSHORE_FLOW_EVENT_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include <cornelshore/core/host.hpp>
#include <cornelshore/core/names.hpp>
#include <cornelshore/core/time.hpp>
#include <cornelshore/flow/envelope.hpp>

namespace cornelshore::flow {

/** @brief An envelope came from a balancer or another agent. */
struct EnvelopeArrived
{
  Envelope envelope_;
};

/** @brief Records of the service's hosts, all of them or those that changed. */
struct MembershipChanged
{
  std::vector<HostRecord> records_;
};

/**
 * @brief The records held are complete up to a time.
 *
 * Reported whenever an exchange with a peer showed no difference: every
 * change known to reachable processes at `asOf_` has been handed in.
 */
struct ViewConfirmed
{
  TimePoint asOf_;
};

/**
 * @brief All flows that are open at the upstream when the agent starts.
 *
 * From the agent's run before, which lists them by `Agent::HandOver`, or
 * from the upstream itself. Without it the agent goes by the buckets that its
 * run before announced.
 */
struct FlowsListed
{
  std::vector<FlowKey> keys_;
  BucketSet recovered_; ///< Buckets that may have further flows.
};

/** @brief The upstream says that it has this flow open. */
struct UpstreamOpened
{
  FlowKey key_;
};

/** @brief The flow ended at the upstream. */
struct UpstreamClosed
{
  FlowKey key_;
};

/** @brief The upstream does not know or does not take the flow. */
struct UpstreamRefused
{
  FlowKey key_;
  Address returnPath_;
};

/** @brief The upstream became ready for new work, or stopped being so. */
struct ReadinessChanged
{
  bool ready_{};
};

/** @brief Load that the upstream itself reports, in 1/1000 of its slots. */
struct LoadReported
{
  std::uint32_t load_{};
};

/** @brief Planned stop: no new flow; stop when the last one ended. */
struct LeaveRequested
{
  Duration limit_{}; ///< Flows left after this are given up.
};

/** @brief Time passed; due at `Agent::NextTimer` or a little later. */
struct Tick
{};

/** @brief What happens to an agent. */
using Event = std::variant<EnvelopeArrived,
                           MembershipChanged,
                           ViewConfirmed,
                           FlowsListed,
                           UpstreamOpened,
                           UpstreamClosed,
                           UpstreamRefused,
                           ReadinessChanged,
                           LoadReported,
                           LeaveRequested,
                           Tick>;

/** @brief Why a caller gets a reset. */
enum class ResetReason : std::uint8_t
{
  NoOwner,         ///< Every possible owner was asked and none has the flow.
  NotAdmitted,     ///< The admission hook refused the new flow.
  FlowLimit,       ///< The host holds as many flows as it may.
  UpstreamRefused, ///< The upstream refused the new flow.
};

/** @brief Names of `ResetReason`. */
inline constexpr std::array<EnumName<ResetReason>, 4> kResetReasonNames{ {
  { ResetReason::NoOwner, "no_owner" },
  { ResetReason::NotAdmitted, "not_admitted" },
  { ResetReason::FlowLimit, "flow_limit" },
  { ResetReason::UpstreamRefused, "upstream_refused" },
} };

/** @brief Hand the payload to the upstream. */
struct Deliver
{
  FlowKey key_;
  ClassId class_;
  PayloadKind kind_{ PayloadKind::Datagram };
  Address returnPath_;
  bool opens_{}; ///< The flow was opened by this packet.
  std::string payload_;
};

/** @brief Send an envelope to another agent. */
struct Forward
{
  HostId to_;
  Envelope envelope_;
};

/** @brief Tell the caller that the flow is refused or not known. */
struct Reset
{
  FlowKey key_;
  Address returnPath_;
  PayloadKind kind_{ PayloadKind::Datagram };
  ResetReason reason_{ ResetReason::NoOwner };
  std::string payload_; ///< The packet answered; empty when none is at hand.
};

/** @brief Publish this in the host's own record. */
struct Announce
{
  HostState state_{ HostState::Starting };
  BucketSet held_;
};

/** @brief The agent has ended. */
struct Stopped
{
  std::size_t flowsLeft_{};
  bool limitReached_{};
};

/** @brief What an agent wants done. */
using Action = std::variant<Deliver, Forward, Reset, Announce, Stopped>;

/** @brief What became of an envelope; the index of a counter. */
enum class Outcome : std::uint8_t
{
  Delivered,
  Opened,
  Adopted,
  Forwarded,
  Reset,
  WrongService, ///< Dropped: meant for another service.
  Undecided,    ///< Dropped: nobody can tell yet whether the flow exists.
  TooManyHops,  ///< Dropped at the limit of hops.
  ListFull,     ///< Dropped: more possible owners than an envelope lists.
  TableFull,    ///< Dropped: no room to remember the answer.
};

/** @brief Names of `Outcome`. */
inline constexpr std::array<EnumName<Outcome>, 10> kOutcomeNames{ {
  { Outcome::Delivered, "delivered" },
  { Outcome::Opened, "opened" },
  { Outcome::Adopted, "adopted" },
  { Outcome::Forwarded, "forwarded" },
  { Outcome::Reset, "reset" },
  { Outcome::WrongService, "wrong_service" },
  { Outcome::Undecided, "undecided" },
  { Outcome::TooManyHops, "too_many_hops" },
  { Outcome::ListFull, "list_full" },
  { Outcome::TableFull, "table_full" },
} };

} // namespace cornelshore::flow

#endif
