#include <cornelshore/wire/flow_codec.hpp>

#include <string>
#include <string_view>

#include <gtest/gtest.h>

#include <cornelshore/wire/reader.hpp>
#include <cornelshore/wire/writer.hpp>

namespace cornelshore::wire {
namespace {

flow::Envelope
FullEnvelope()
{
  flow::Envelope envelope;
  envelope.service_ = { 7 };
  envelope.key_ = { MakeIpv4(0xC0000201U, 4000),
                    MakeIpv4(0xC6336401U, 80),
                    Transport::Tcp };
  envelope.bucket_ = { 1023 };
  envelope.class_ = { 9 };
  envelope.epoch_ = { 1U << 20U };
  envelope.opening_ = flow::Opening::Yes;
  envelope.kind_ = flow::PayloadKind::IpPacket;
  envelope.returnPath_ = MakeIpv4(0xCB007101U, 6081);
  envelope.phase_ = flow::Phase::Found;
  envelope.hops_ = 200;
  envelope.unsettled_ = true;
  envelope.claimant_ = { ~std::uint64_t{} };
  envelope.claim_ = 12;
  envelope.adopter_ = { 5 };
  envelope.load_ = 1500;
  envelope.asked_ = { { 1 }, { 2 } };
  envelope.pendingHosts_ = { { 3 } };
  envelope.payload_ = std::string("\0ab", 3);
  return envelope;
}

TEST(FlowCodec, ReadsBackWhatItWroteAndRefusesEveryTruncation)
{
  const auto envelope = FullEnvelope();
  std::string out;
  Writer writer(out);
  Encode(writer, envelope);
  Reader reader(out);
  const auto decoded = DecodeEnvelope(reader);
  ASSERT_TRUE(decoded.ok());
  EXPECT_EQ(*decoded, envelope);
  for (std::size_t size = 0; size < out.size(); ++size) {
    Reader cut(std::string_view(out).substr(0, size));
    EXPECT_FALSE(DecodeEnvelope(cut).ok()) << size;
  }
}

TEST(FlowCodec, RefusesListsAndFlagsOutOfRange)
{
  auto envelope = FullEnvelope();
  envelope.asked_.resize(flow::kMaxListedHosts + 1);
  std::string out;
  Writer writer(out);
  Encode(writer, envelope);
  Reader reader(out);
  EXPECT_FALSE(DecodeEnvelope(reader).ok());
  std::string flags;
  Writer flagWriter(flags);
  flagWriter.Uint(0x3F);
  flags += out.substr(3);
  Reader flagReader(flags);
  EXPECT_FALSE(DecodeEnvelope(flagReader).ok());
}

} // namespace
} // namespace cornelshore::wire
