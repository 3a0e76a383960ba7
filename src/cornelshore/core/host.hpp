#ifndef CORNELSHORE_CORE_HOST_HPP
#define CORNELSHORE_CORE_HOST_HPP

#include <array>
#include <bitset>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include <cornelshore/core/address.hpp>
#include <cornelshore/core/names.hpp>
#include <cornelshore/core/types.hpp>

namespace cornelshore {

/** @brief Number of buckets of each service's routing table. */
inline constexpr std::size_t kBucketCount = 1024;

/** @brief A set of buckets of one service. */
using BucketSet = std::bitset<kBucketCount>;

/** @brief Life-cycle state of an upstream host, as announced by its agent. */
enum class HostState : std::uint8_t
{
  Starting, ///< Announced, not yet ready (cold start).
  Ready,    ///< Accepts new work.
  Leaving,  ///< Accepts no new work; drains existing work.
  Gone,     ///< Stopped, or declared dead by the membership.
};

/** @brief Names of `HostState`. */
inline constexpr std::array<EnumName<HostState>, 4> kHostStateNames{ {
  { HostState::Starting, "starting" },
  { HostState::Ready, "ready" },
  { HostState::Leaving, "leaving" },
  { HostState::Gone, "gone" },
} };

/**
 * @brief Replicated record of one upstream host.
 *
 * Only the host's own agent writes a record; of two records of one host the
 * one with the greater (`incarnation_`, `sequence_`) is the newer.
 */
struct HostRecord
{
  HostId id_;
  Incarnation incarnation_;
  std::uint64_t sequence_{}; ///< Incremented by each change in an incarnation.
  ServiceId service_;
  DataCentreId dataCentre_;
  Address agent_;                   ///< Datagram address of the agent.
  std::uint16_t slots_{};           ///< Maximum concurrent requests.
  std::uint32_t connectionLimit_{}; ///< Maximum concurrent flows.
  HostState state_{ HostState::Starting };
  BucketSet held_; ///< Buckets in which the host has open flows.

  bool operator==(const HostRecord&) const noexcept = default;
};

} // namespace cornelshore

#endif
