#include <cornelshore/wire/ip_packet.hpp>

#include <algorithm>

#include <tins/ip.h>
#include <tins/ipv6.h>
#include <tins/rawpdu.h>
#include <tins/tcp.h>
#include <tins/udp.h>

namespace cornelshore::wire {

namespace {

constexpr std::uint8_t kVersion4 = 4;
constexpr std::uint8_t kVersion6 = 6;
constexpr std::size_t kIpv4Offset = 12;

absl::Status
Malformed(const char* aWhat)
{
  return absl::InvalidArgumentError(aWhat);
}

Address
ToAddress(const Tins::IPv4Address& aIp, std::uint16_t aPort)
{
  return MakeIpv4(Tins::Endian::be_to_host(static_cast<std::uint32_t>(aIp)),
                  aPort);
}

Address
ToAddress(const Tins::IPv6Address& aIp, std::uint16_t aPort)
{
  Address address;
  std::copy(aIp.begin(), aIp.end(), address.ip_.begin());
  address.port_ = aPort;
  return address;
}

std::string
PayloadOf(const Tins::PDU& aTransport)
{
  const auto* raw = aTransport.find_pdu<Tins::RawPDU>();
  if (raw == nullptr) {
    return {};
  }
  const auto& bytes = raw->payload();
  return { bytes.begin(), bytes.end() };
}

template<typename Ip>
absl::StatusOr<IpPacket>
FactsOf(const Ip& aIp)
{
  IpPacket packet;
  if (const auto* tcp = aIp.template find_pdu<Tins::TCP>()) {
    packet.key_ = { ToAddress(aIp.src_addr(), tcp->sport()),
                    ToAddress(aIp.dst_addr(), tcp->dport()),
                    Transport::Tcp };
    packet.opening_ =
      tcp->get_flag(Tins::TCP::SYN) == 1 && tcp->get_flag(Tins::TCP::ACK) == 0;
    packet.closing_ =
      tcp->get_flag(Tins::TCP::RST) == 1 || tcp->get_flag(Tins::TCP::FIN) == 1;
    packet.payload_ = PayloadOf(*tcp);
    return packet;
  }
  if (const auto* udp = aIp.template find_pdu<Tins::UDP>()) {
    packet.key_ = { ToAddress(aIp.src_addr(), udp->sport()),
                    ToAddress(aIp.dst_addr(), udp->dport()),
                    Transport::Udp };
    packet.opening_ = true;
    packet.payload_ = PayloadOf(*udp);
    return packet;
  }
  return Malformed("neither TCP nor UDP");
}

template<typename Ip>
std::string
Serialized(Ip& aIp,
           const Address& aFrom,
           const Address& aTo,
           Transport aTransport,
           TcpFlags aFlags,
           std::string_view aPayload)
{
  const Tins::RawPDU payload(
    reinterpret_cast<const std::uint8_t*>(aPayload.data()),
    static_cast<std::uint32_t>(aPayload.size()));
  if (aTransport == Transport::Udp) {
    aIp /= Tins::UDP(aTo.port_, aFrom.port_) / payload;
  } else {
    Tins::TCP tcp(aTo.port_, aFrom.port_);
    tcp.set_flag(Tins::TCP::SYN,
                 aFlags == TcpFlags::Syn || aFlags == TcpFlags::SynAck);
    tcp.set_flag(Tins::TCP::ACK,
                 aFlags == TcpFlags::Ack || aFlags == TcpFlags::SynAck);
    tcp.set_flag(Tins::TCP::RST, aFlags == TcpFlags::Rst);
    aIp /= tcp / payload;
  }
  const auto bytes = aIp.serialize();
  return { bytes.begin(), bytes.end() };
}

Tins::IPv4Address
ToIpv4(const Address& aAddress)
{
  std::uint32_t host = 0;
  for (std::size_t index = kIpv4Offset; index < aAddress.ip_.size(); ++index) {
    host = (host << 8U) | aAddress.ip_[index];
  }
  return Tins::IPv4Address(Tins::Endian::host_to_be(host));
}

} // namespace

absl::StatusOr<IpPacket>
ParseIpPacket(std::string_view aBytes)
{
  if (aBytes.empty()) {
    return Malformed("empty");
  }
  const auto* bytes = reinterpret_cast<const std::uint8_t*>(aBytes.data());
  const auto size = static_cast<std::uint32_t>(aBytes.size());
  const auto version = static_cast<std::uint8_t>(bytes[0] >> 4U);
  try {
    if (version == kVersion4) {
      const Tins::IP ip(bytes, size);
      if (ip.is_fragmented()) {
        return Malformed("fragment");
      }
      return FactsOf(ip);
    }
    if (version == kVersion6) {
      return FactsOf(Tins::IPv6(bytes, size));
    }
  } catch (const std::exception&) {
    return Malformed("truncated or malformed IP packet");
  }
  return Malformed("neither IPv4 nor IPv6");
}

std::string
BuildIpPacket(const Address& aFrom,
              const Address& aTo,
              Transport aTransport,
              TcpFlags aFlags,
              std::string_view aPayload)
{
  if (IsIpv4(aFrom)) {
    Tins::IP ip(ToIpv4(aTo), ToIpv4(aFrom));
    return Serialized(ip, aFrom, aTo, aTransport, aFlags, aPayload);
  }
  Tins::IPv6 ip(Tins::IPv6Address(aTo.ip_.data()),
                Tins::IPv6Address(aFrom.ip_.data()));
  return Serialized(ip, aFrom, aTo, aTransport, aFlags, aPayload);
}

} // namespace cornelshore::wire
