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

/** @brief An envelope from a balancer or another agent. */
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
 * @brief The records are complete up to `asOf_`.
 *
 * Reported whenever an exchange with a peer showed no difference: every change
 * known to reachable processes at `asOf_` has been delivered.
 */
struct ViewConfirmed
{
  TimePoint asOf_;
};

/**
 * @brief All flows that are open at the upstream when the agent starts.
 *
 * The list comes from the agent's previous run, by `Agent::HandOver`, or from
 * the upstream. Without it the agent uses the buckets that its previous run
 * announced.
 */
struct FlowsListed
{
  std::vector<FlowKey> keys_;
  BucketSet recovered_; ///< Buckets that may hold flows not listed.
};

/** @brief The upstream reported this flow as open. */
struct UpstreamOpened
{
  FlowKey key_;
};

/** @brief The flow ended at the upstream. */
struct UpstreamClosed
{
  FlowKey key_;
};

/** @brief The upstream does not know or does not accept the flow. */
struct UpstreamRefused
{
  FlowKey key_;
  Address returnPath_;
};

/** @brief The upstream's readiness for new flows changed. */
struct ReadinessChanged
{
  bool ready_{};
};

/** @brief Load reported by the upstream, in 1/1000 of its slots. */
struct LoadReported
{
  std::uint32_t load_{};
};

/** @brief Planned stop: drain, then stop when the last flow has ended. */
struct LeaveRequested
{
  Duration limit_{}; ///< Flows still open after this time are abandoned.
};

/** @brief Timer event; due at `Agent::NextTimer` or slightly later. */
struct Tick
{};

/** @brief Input of an agent. */
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

/** @brief Why a caller's flow is reset. */
enum class ResetReason : std::uint8_t
{
  NoOwner,         ///< Every possible owner was asked and none has the flow.
  NotAdmitted,     ///< The admission hook refused the new flow.
  FlowLimit,       ///< The host is at its limit of flows.
  UpstreamRefused, ///< The upstream refused the new flow.
};

/** @brief Names of `ResetReason`. */
inline constexpr std::array<EnumName<ResetReason>, 4> kResetReasonNames{ {
  { ResetReason::NoOwner, "no_owner" },
  { ResetReason::NotAdmitted, "not_admitted" },
  { ResetReason::FlowLimit, "flow_limit" },
  { ResetReason::UpstreamRefused, "upstream_refused" },
} };

/** @brief Pass the payload to the upstream. */
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

/** @brief Reset a flow that is refused or unknown. */
struct Reset
{
  FlowKey key_;
  Address returnPath_;
  PayloadKind kind_{ PayloadKind::Datagram };
  ResetReason reason_{ ResetReason::NoOwner };
  std::string payload_; ///< The packet that is answered; may be empty.
};

/** @brief Publish the state and held buckets in the host's own record. */
struct Announce
{
  HostState state_{ HostState::Starting };
  BucketSet held_;
};

/** @brief The agent has stopped and handles no further events. */
struct Stopped
{
  std::size_t flowsLeft_{};
  bool limitReached_{};
};

/** @brief Output of an agent. */
using Action = std::variant<Deliver, Forward, Reset, Announce, Stopped>;

/** @brief Outcome of an envelope; used as counter index. */
enum class Outcome : std::uint8_t
{
  Delivered,
  Opened,
  Adopted,
  Forwarded,
  Reset,
  WrongService, ///< Dropped: meant for another service.
  Undecided,    ///< Dropped: not known yet whether the flow exists.
  TooManyHops,  ///< Dropped at the hop limit.
  ListFull,     ///< Dropped: more possible owners than an envelope can list.
  TableFull,    ///< Dropped: the pointer or claim table is full.
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
