#ifndef CORNELSHORE_MEMBERSHIP_RECORD_HPP
#define CORNELSHORE_MEMBERSHIP_RECORD_HPP

#include <array>
#include <cstdint>
#include <tuple>

#include <cornelshore/core/address.hpp>
#include <cornelshore/core/host.hpp>
#include <cornelshore/core/names.hpp>
#include <cornelshore/core/types.hpp>

namespace cornelshore::membership {

/** @brief Role of a process. */
enum class NodeRole : std::uint8_t
{
  Balancer,
  Agent,
  Control,
};

/** @brief Names of `NodeRole`. */
inline constexpr std::array<EnumName<NodeRole>, 3> kNodeRoleNames{ {
  { NodeRole::Balancer, "balancer" },
  { NodeRole::Agent, "agent" },
  { NodeRole::Control, "control" },
} };

/**
 * @brief Address of a process and its version.
 *
 * Balancers and control VMs announce one; an agent's address is part of its
 * host's `HostRecord`.
 */
struct PeerRecord
{
  NodeId id_;
  Incarnation incarnation_;
  std::uint64_t sequence_{}; ///< Grows with each change in one incarnation.
  NodeRole role_{ NodeRole::Balancer };
  DataCentreId dataCentre_;
  Address address_;
  bool gone_{}; ///< It stopped, or was silent for too long.

  bool operator==(const PeerRecord&) const noexcept = default;
};

/**
 * @brief Order of two records of one subject.
 *
 * At equal incarnation and sequence the gone record is the newer: the failure
 * detector declares a host gone at the version that it observed, and a
 * subject that is alive refutes it with a greater sequence.
 */
struct RecordVersion
{
  Incarnation incarnation_;
  std::uint64_t sequence_{};
  bool gone_{};

  constexpr auto operator<=>(const RecordVersion&) const noexcept = default;
};

/** @brief Version of a host's record. */
[[nodiscard]] inline RecordVersion
VersionOf(const HostRecord& aRecord) noexcept
{
  return { aRecord.incarnation_,
           aRecord.sequence_,
           aRecord.state_ == HostState::Gone };
}

/** @brief Version of a peer's record. */
[[nodiscard]] inline RecordVersion
VersionOf(const PeerRecord& aRecord) noexcept
{
  return { aRecord.incarnation_, aRecord.sequence_, aRecord.gone_ };
}

} // namespace cornelshore::membership

#endif
