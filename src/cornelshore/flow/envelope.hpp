#ifndef CORNELSHORE_FLOW_ENVELOPE_HPP
#define CORNELSHORE_FLOW_ENVELOPE_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include <cornelshore/core/address.hpp>
#include <cornelshore/core/flow_key.hpp>
#include <cornelshore/core/names.hpp>
#include <cornelshore/core/types.hpp>

/**
 * @brief Flow ownership: balancers choose an owner, agents own the flow.
 */
namespace cornelshore::flow {

/** @brief Maximum hosts in an envelope's `asked_` and `pendingHosts_` together.
 */
inline constexpr std::size_t kMaxListedHosts = 128;

/** @brief Maximum number of hops of one packet between agents. */
inline constexpr std::uint8_t kMaxHops = 200;

/** @brief Maximum payload size in bytes. */
inline constexpr std::size_t kMaxPayloadBytes = 65535;

/** @brief Whether a packet may open a flow. */
enum class Opening : std::uint8_t
{
  No,    ///< TCP segment other than a SYN.
  Maybe, ///< UDP: any datagram may be a flow's first.
  Yes,   ///< TCP SYN.
};

/** @brief Names of `Opening`. */
inline constexpr std::array<EnumName<Opening>, 3> kOpeningNames{ {
  { Opening::No, "no" },
  { Opening::Maybe, "maybe" },
  { Opening::Yes, "yes" },
} };

/** @brief What an envelope requests from the agent that receives it. */
enum class Phase : std::uint8_t
{
  Lookup,   ///< Deliver if the receiver owns the flow, else forward or open.
  Claim,    ///< `claimant_` opens the flow unless the receiver owns it.
  Place,    ///< `claimant_` may open it and asks a less loaded owner to.
  Declined, ///< Answer to `Place`: the claimant must open it.
  Adopt,    ///< No other host has it; the receiver had it before a restart.
  Found,    ///< Without payload: `claimant_` owns the flow.
};

/** @brief Names of `Phase`. */
inline constexpr std::array<EnumName<Phase>, 6> kPhaseNames{ {
  { Phase::Lookup, "lookup" },
  { Phase::Claim, "claim" },
  { Phase::Place, "place" },
  { Phase::Declined, "declined" },
  { Phase::Adopt, "adopt" },
  { Phase::Found, "found" },
} };

/** @brief Format of the payload. */
enum class PayloadKind : std::uint8_t
{
  Datagram, ///< Payload of a UDP datagram.
  IpPacket, ///< A whole IPv4 or IPv6 packet.
};

/** @brief Names of `PayloadKind`. */
inline constexpr std::array<EnumName<PayloadKind>, 2> kPayloadKindNames{ {
  { PayloadKind::Datagram, "datagram" },
  { PayloadKind::IpPacket, "ip_packet" },
} };

/** @brief One packet of a flow on its way to the flow's owner. */
struct Envelope
{
  ServiceId service_; ///< Checked by every agent that receives the envelope.
  FlowKey key_;
  BucketId bucket_;
  ClassId class_;
  TableEpoch epoch_; ///< Epoch of the balancer's table.
  Opening opening_{ Opening::No };
  PayloadKind kind_{ PayloadKind::Datagram };
  Address returnPath_; ///< Balancer or fabric that relays answers.
  Phase phase_{ Phase::Lookup };
  std::uint8_t hops_{};       ///< Times forwarded between agents.
  bool unsettled_{};          ///< Some agent could not rule out the flow.
  HostId claimant_;           ///< Zero when none.
  std::uint64_t claim_{};     ///< The claimant's number of this claim.
  HostId adopter_;            ///< Restarted host that may have had it, or 0.
  std::uint32_t load_{};      ///< Sender's flows per slot, in 1/1000.
  std::vector<HostId> asked_; ///< Hosts that do not have the flow.
  std::vector<HostId> pendingHosts_; ///< Hosts still to be asked.
  std::string payload_;

  bool operator==(const Envelope&) const noexcept = default;
};

} // namespace cornelshore::flow

#endif
