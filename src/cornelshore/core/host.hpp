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

/** @brief Buckets of every service's routing table. */
inline constexpr std::size_t kBucketCount = 1024;

/** @brief A set of buckets of one service. */
using BucketSet = std::bitset<kBucketCount>;

/** @brief Where an upstream host is in its life, as its agent announces it. */
enum class HostState : std::uint8_t
{
  Starting, ///< Announced, not yet ready for work (cold start).
  Ready,    ///< Takes new work.
  Leaving,  ///< Takes no new work; finishes what it has.
  Gone,     ///< Ended, or declared dead by the membership.
};

/** @brief Names of `HostState`. */
inline constexpr std::array<EnumName<HostState>, 4> kHostStateNames{ {
  { HostState::Starting, "starting" },
  { HostState::Ready, "ready" },
  { HostState::Leaving, "leaving" },
  { HostState::Gone, "gone" },
} };

/**
 * @brief What is known of one upstream host.
 *
 * Only the host's own agent writes a record; of two records of one host the
 * one with the greater (`incarnation_`, `sequence_`) is the newer.
 */
struct HostRecord
{
  HostId id_;
  Incarnation incarnation_;
  std::uint64_t sequence_{}; ///< Grows with each change in one incarnation.
  ServiceId service_;
  DataCentreId dataCentre_;
  Address agent_;                   ///< Where the agent receives datagrams.
  std::uint16_t slots_{};           ///< Requests it can run at once.
  std::uint32_t connectionLimit_{}; ///< Flows it can hold open at once.
  HostState state_{ HostState::Starting };
  BucketSet held_; ///< Buckets of which it holds open flows.

  bool operator==(const HostRecord&) const noexcept = default;
};

} // namespace cornelshore

#endif
