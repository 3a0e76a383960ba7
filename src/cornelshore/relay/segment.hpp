#ifndef CORNELSHORE_RELAY_SEGMENT_HPP
#define CORNELSHORE_RELAY_SEGMENT_HPP

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include <cornelshore/core/address.hpp>
#include <cornelshore/core/flow_key.hpp>

/**
 * @brief Flows of segments: packets with sequence numbers that only the two
 * ends may write or alter.
 *
 * Balancers keep no authoritative flow state: theirs is a hint, and the agent
 * beside the upstream knows which flows its host holds.
 */
namespace cornelshore::relay {

/** @brief The header fields read from one packet of a flow. */
struct Segment
{
  Address from_;
  Address to_;
  std::uint32_t sequence_{};
  std::uint32_t acknowledged_{};
  std::uint32_t mark_{};    ///< Set by the agent; neither end reads it.
  std::uint16_t payload_{}; ///< Bytes of data.
  bool opening_{};
  bool acknowledging_{};
  bool finishing_{};
  bool reset_{};
  bool returned_{}; ///< The host does not hold or refused the flow.
};

/** @brief Maximum bytes that one end sends in a flow. Sequence numbers further
 * apart belong to different flows of the same addresses and ports. */
inline constexpr std::uint32_t kMaxFlowBytes = 1U << 28U;

/** @brief Whether a sequence number is one of the flow that began with the
 * initial one. */
[[nodiscard]] constexpr bool
IsWithinFlow(std::uint32_t aInitial, std::uint32_t aSequence) noexcept
{
  return aSequence - aInitial <= kMaxFlowBytes;
}

/** @brief Reads and writes packet headers, whose format is set outside. */
struct Codec
{
  /** @brief Reads a packet; nothing when it is malformed. */
  std::function<std::optional<Segment>(std::string_view)> parse_;
  /** @brief Writes the mark into a packet that `parse_` accepted. */
  std::function<void(std::string&, std::uint32_t)> mark_;
  /**
   * @brief Builds a reset from the service's address to the caller.
   * @param aSequence The caller's last acknowledgement.
   */
  std::function<std::string(const FlowKey&, std::uint32_t aSequence)> reset_;
};

/** @brief Flow key of a packet sent by a caller. */
[[nodiscard]] inline FlowKey
KeyFromCaller(const Segment& aSegment) noexcept
{
  return { aSegment.from_, aSegment.to_, Transport::Tcp };
}

/** @brief Flow key of a packet sent by a host. */
[[nodiscard]] inline FlowKey
KeyFromHost(const Segment& aSegment) noexcept
{
  return { aSegment.to_, aSegment.from_, Transport::Tcp };
}

} // namespace cornelshore::relay

#endif
