#include <cornelshore/wire/ip_packet.hpp>

#include <gtest/gtest.h>

namespace cornelshore::wire {
namespace {

TEST(IpPacket, ParsesWhatItBuilt)
{
  const auto v4 = MakeIpv4(0xC0000207U, 4000);
  const auto service4 = MakeIpv4(0xC6336401U, 80);
  const auto v6 = *ParseAddress("[2001:db8::7]:4000");
  const auto service6 = *ParseAddress("[2001:db8::1]:80");
  for (const auto& [from, to] :
       { std::pair{ v4, service4 }, { v6, service6 } }) {
    for (const auto transport : { Transport::Tcp, Transport::Udp }) {
      const auto bytes =
        BuildIpPacket(from, to, transport, TcpFlags::Ack, "payload");
      const auto packet = ParseIpPacket(bytes);
      ASSERT_TRUE(packet.ok()) << packet.status();
      EXPECT_EQ(packet->key_, (FlowKey{ from, to, transport }));
      EXPECT_EQ(packet->payload_, "payload");
      EXPECT_EQ(packet->opening_, transport == Transport::Udp);
    }
  }
}

TEST(IpPacket, OnlyASynAloneOpensATcpFlow)
{
  const auto from = MakeIpv4(0xC0000207U, 4000);
  const auto to = MakeIpv4(0xC6336401U, 80);
  const auto opens = [&](TcpFlags aFlags) {
    return ParseIpPacket(BuildIpPacket(from, to, Transport::Tcp, aFlags, ""))
      ->opening_;
  };
  EXPECT_TRUE(opens(TcpFlags::Syn));
  EXPECT_FALSE(opens(TcpFlags::SynAck));
  EXPECT_FALSE(opens(TcpFlags::Ack));
  EXPECT_FALSE(opens(TcpFlags::Rst));
}

TEST(IpPacket, RefusesWhatIsTruncatedOrNoIpPacket)
{
  const auto bytes = BuildIpPacket(MakeIpv4(0xC0000207U, 4000),
                                   MakeIpv4(0xC6336401U, 80),
                                   Transport::Tcp,
                                   TcpFlags::Ack,
                                   "");
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    EXPECT_FALSE(ParseIpPacket(std::string_view(bytes).substr(0, size)).ok())
      << size;
  }
  EXPECT_FALSE(ParseIpPacket("\x10 no packet").ok());
}

} // namespace
} // namespace cornelshore::wire
