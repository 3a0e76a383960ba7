#ifndef CORNELSHORE_WIRE_IP_PACKET_HPP
#define CORNELSHORE_WIRE_IP_PACKET_HPP

#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include <cornelshore/core/flow_key.hpp>

namespace cornelshore::wire {

/** @brief What a balancer needs to know of an IP packet carried in UDP. */
struct IpPacket
{
  FlowKey key_;         ///< Source is the caller, destination the service.
  bool opening_{};      ///< May open a flow: TCP SYN without ACK, or any UDP.
  bool closing_{};      ///< TCP RST or FIN.
  bool reset_{};        ///< TCP RST.
  std::string payload_; ///< Bytes after the transport header.
};

/**
 * @brief Reads an IP packet as GUE variant 1 carries it (the UDP payload is
 * the IPv4 or IPv6 packet itself).
 * @return The packet's facts, or `InvalidArgument`; fragments and transports
 * other than TCP and UDP are refused.
 */
[[nodiscard]] absl::StatusOr<IpPacket> ParseIpPacket(std::string_view aBytes);

/** @brief TCP flags of a packet that is built. */
enum class TcpFlags : std::uint8_t
{
  Syn,
  SynAck,
  Ack,
  Rst,
};

/**
 * @brief Builds an IP packet.
 * @param aFrom Source address and port.
 * @param aTo Destination address and port, of the same IP version.
 * @param aTransport UDP, or TCP with `aFlags`.
 */
[[nodiscard]] std::string BuildIpPacket(const Address& aFrom,
                                        const Address& aTo,
                                        Transport aTransport,
                                        TcpFlags aFlags,
                                        std::string_view aPayload);

} // namespace cornelshore::wire

#endif
