#ifndef CORNELSHORE_TEST_RELAY_CODEC_HPP
#define CORNELSHORE_TEST_RELAY_CODEC_HPP

#include <cstring>
#include <string>

#include <cornelshore/relay/segment.hpp>

namespace cornelshore::relay {

/** @brief A packet whose bytes are those of the `Segment` itself. */
inline std::string
PacketOf(const Segment& aSegment)
{
  std::string packet(sizeof(Segment), '\0');
  std::memcpy(packet.data(), &aSegment, sizeof(Segment));
  return packet;
}

inline std::optional<Segment>
SegmentOf(std::string_view aPacket)
{
  if (aPacket.size() != sizeof(Segment)) {
    return std::nullopt;
  }
  Segment segment;
  std::memcpy(&segment, aPacket.data(), sizeof(Segment));
  return segment;
}

/** @brief Codec of such packets. */
inline Codec
PlainCodec()
{
  Codec codec;
  codec.parse_ = &SegmentOf;
  codec.mark_ = [](std::string& aPacket, std::uint32_t aMark) {
    auto segment = *SegmentOf(aPacket);
    segment.mark_ = aMark;
    segment.returned_ = false;
    aPacket = PacketOf(segment);
  };
  codec.reset_ = [](const FlowKey& aKey, std::uint32_t aSequence) {
    Segment segment;
    segment.from_ = aKey.service_;
    segment.to_ = aKey.caller_;
    segment.sequence_ = aSequence;
    segment.reset_ = true;
    return PacketOf(segment);
  };
  return codec;
}

} // namespace cornelshore::relay

#endif
