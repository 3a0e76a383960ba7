#include <platform/segment_codec.hpp>

#include <gtest/gtest.h>

namespace cornelshore::platform {
namespace {

std::string
BytesOf(std::initializer_list<int> aBytes)
{
  std::string bytes;
  for (const auto byte : aBytes) {
    bytes.push_back(static_cast<char>(byte));
  }
  return bytes;
}

/** An opening packet from 100.64.0.7:40001 to 198.18.0.1:443. */
std::string
Opening()
{
  return BytesOf({ 0x00, 0x00, 0x00, 0x00, 0x11, 0x22, 0x33, 0x44,
                   0x00, 0x00, 0x00, 0x00, 0x01, 0xbb, 0x9c, 0x41,
                   0xc6, 0x12, 0x00, 0x01, 0x64, 0x40, 0x00, 0x07,
                   0x00, 0x00, 0x10, 0x00, 0xa1, 0xb2, 0xc3, 0xd5 });
}

const Address kCaller = MakeIpv4(0x64400007U, 40001);
const Address kService = MakeIpv4(0xC6120001U, 443);

TEST(SegmentCodec, ReadsEachField)
{
  const auto segment = SegmentCodec().parse_(Opening());
  ASSERT_TRUE(segment);
  EXPECT_EQ(segment->from_, kCaller);
  EXPECT_EQ(segment->to_, kService);
  EXPECT_EQ(segment->sequence_, 0x11223344U);
  EXPECT_EQ(segment->acknowledged_, 0U);
  EXPECT_EQ(segment->payload_, 0U);
  EXPECT_TRUE(segment->opening_);
  EXPECT_FALSE(segment->acknowledging_ || segment->finishing_ ||
               segment->reset_ || segment->returned_);
}

TEST(SegmentCodec, TellsEachFlag)
{
  const auto with = [](int aFlags) {
    auto packet = Opening();
    packet[26] = static_cast<char>(aFlags);
    return *SegmentCodec().parse_(packet);
  };
  EXPECT_TRUE(with(1).finishing_);
  EXPECT_TRUE(with(8).acknowledging_);
  EXPECT_TRUE(with(16).opening_);
  EXPECT_TRUE(with(64).returned_);
  EXPECT_TRUE(with(128).reset_);
}

TEST(SegmentCodec, RefusesPacketsThatDoNotFitTheirLength)
{
  const auto codec = SegmentCodec();
  for (std::size_t size = 0; size < kHeadBytes; ++size) {
    EXPECT_FALSE(codec.parse_(Opening().substr(0, size))) << size;
  }
  EXPECT_FALSE(codec.parse_(Opening() + "x"));
  auto longer = Opening();
  longer[25] = 5;
  EXPECT_FALSE(codec.parse_(longer));
  EXPECT_TRUE(codec.parse_(longer + "12345"));
  auto huge = Opening() + std::string(kMostDataBytes + 1, 'x');
  huge[24] = static_cast<char>((kMostDataBytes + 1) >> 8U);
  huge[25] = static_cast<char>((kMostDataBytes + 1) & 0xFFU);
  EXPECT_FALSE(codec.parse_(huge));
}

TEST(SegmentCodec, RefusesPacketsWithoutAnAddressOrPort)
{
  const auto codec = SegmentCodec();
  const auto withZeros = [&](std::size_t aAt, std::size_t aCount) {
    auto packet = Opening();
    packet.replace(aAt, aCount, aCount, '\0');
    return codec.parse_(packet).has_value();
  };
  EXPECT_FALSE(withZeros(12, 2));
  EXPECT_FALSE(withZeros(14, 2));
  EXPECT_FALSE(withZeros(16, 4));
  EXPECT_FALSE(withZeros(20, 4));
}

TEST(SegmentCodec, MarksAPacketAndClearsThatItWasReturned)
{
  const auto codec = SegmentCodec();
  auto packet = Opening();
  packet[26] = 16 | 64;
  codec.mark_(packet, 7);
  const auto segment = *codec.parse_(packet);
  EXPECT_EQ(segment.mark_, 7U);
  EXPECT_FALSE(segment.returned_);
  EXPECT_TRUE(segment.opening_);
  codec.mark_(packet, 0);
  EXPECT_EQ(packet, Opening());
}

TEST(SegmentCodec, MakesAResetWithoutDataAndSum)
{
  const auto reset =
    SegmentCodec().reset_({ kCaller, kService, Transport::Tcp }, 0x01020304U);
  EXPECT_EQ(reset, BytesOf({ 0x00, 0x00, 0x00, 0x00, 0x01, 0x02, 0x03, 0x04,
                             0x00, 0x00, 0x00, 0x00, 0x9c, 0x41, 0x01, 0xbb,
                             0x64, 0x40, 0x00, 0x07, 0xc6, 0x12, 0x00, 0x01,
                             0x00, 0x00, 0x80, 0x00, 0x00, 0x00, 0x00, 0x00 }));
}

} // namespace
} // namespace cornelshore::platform
