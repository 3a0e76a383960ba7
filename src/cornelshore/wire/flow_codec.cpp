#include <cornelshore/wire/flow_codec.hpp>

#include <cstdint>
#include <string_view>
#include <vector>

#include <cornelshore/core/host.hpp>
#include <cornelshore/wire/reader.hpp>
#include <cornelshore/wire/writer.hpp>

namespace cornelshore::wire {

namespace {

constexpr std::uint64_t kMostFlags = 0x1FF;

/** Enumerators and flags of an envelope in one small integer. */
std::uint64_t
PackFlags(const flow::Envelope& aEnvelope)
{
  const auto phase = static_cast<std::uint64_t>(aEnvelope.phase_);
  const auto opening = static_cast<std::uint64_t>(aEnvelope.opening_);
  const auto kind = static_cast<std::uint64_t>(aEnvelope.kind_);
  const std::uint64_t unsettled = aEnvelope.unsettled_ ? 1 : 0;
  return phase | opening << 4U | kind << 6U | unsettled << 8U;
}

template<typename Enum>
Enum
Checked(Reader& aReader, std::uint64_t aValue, Enum aLast)
{
  if (aValue > static_cast<std::uint64_t>(aLast)) {
    aReader.Fail();
    return aLast;
  }
  return static_cast<Enum>(aValue);
}

void
UnpackFlags(Reader& aReader, flow::Envelope& aEnvelope)
{
  const auto flags = aReader.Uint(kMostFlags);
  aEnvelope.phase_ = Checked(aReader, flags & 0xFU, flow::Phase::Found);
  aEnvelope.opening_ = Checked(aReader, flags >> 4U & 0x3U, flow::Opening::Yes);
  aEnvelope.kind_ =
    Checked(aReader, flags >> 6U & 0x3U, flow::PayloadKind::IpPacket);
  aEnvelope.unsettled_ = (flags >> 8U) != 0;
}

void
WriteHosts(Writer& aWriter, const std::vector<HostId>& aHosts)
{
  aWriter.List(aHosts.size());
  for (const auto host : aHosts) {
    aWriter.Write(host);
  }
}

void
ReadHosts(Reader& aReader, std::vector<HostId>& aHosts)
{
  aHosts.resize(aReader.List(flow::kMaxListedHosts));
  for (auto& host : aHosts) {
    aReader.Read(host);
  }
}

} // namespace

void
Encode(Writer& aWriter, const flow::Envelope& aEnvelope)
{
  aWriter.Uint(PackFlags(aEnvelope));
  aWriter.Write(aEnvelope.service_);
  aWriter.Write(aEnvelope.key_);
  aWriter.Write(aEnvelope.bucket_);
  aWriter.Write(aEnvelope.class_);
  aWriter.Write(aEnvelope.epoch_);
  aWriter.Write(aEnvelope.returnPath_);
  aWriter.Uint(aEnvelope.hops_);
  aWriter.Write(aEnvelope.claimant_);
  aWriter.Uint(aEnvelope.claim_);
  aWriter.Write(aEnvelope.adopter_);
  aWriter.Uint(aEnvelope.load_);
  WriteHosts(aWriter, aEnvelope.asked_);
  WriteHosts(aWriter, aEnvelope.pendingHosts_);
  aWriter.Bytes(aEnvelope.payload_);
}

absl::StatusOr<flow::Envelope>
DecodeEnvelope(Reader& aReader)
{
  flow::Envelope envelope;
  UnpackFlags(aReader, envelope);
  aReader.Read(envelope.service_);
  aReader.Read(envelope.key_);
  envelope.bucket_ =
    BucketId{ static_cast<std::uint16_t>(aReader.Uint(kBucketCount - 1)) };
  aReader.Read(envelope.class_);
  aReader.Read(envelope.epoch_);
  aReader.Read(envelope.returnPath_);
  envelope.hops_ = aReader.Number<std::uint8_t>();
  aReader.Read(envelope.claimant_);
  envelope.claim_ = aReader.Uint();
  aReader.Read(envelope.adopter_);
  envelope.load_ = aReader.Number<std::uint32_t>();
  ReadHosts(aReader, envelope.asked_);
  ReadHosts(aReader, envelope.pendingHosts_);
  envelope.payload_ = aReader.Bytes(flow::kMaxPayloadBytes);
  const auto status = aReader.Finish();
  if (!status.ok()) {
    return status;
  }
  return envelope;
}

} // namespace cornelshore::wire
