#include <cornelshore/wire/membership_codec.hpp>

#include <string>

namespace cornelshore::wire {

namespace {

constexpr std::size_t kDenseBytes = kBucketCount / 8;
constexpr std::size_t kMostSparse = kDenseBytes / 2 - 1;

enum class Kind : std::uint8_t
{
  Probe,
  ProbeAnswer,
  Suspicion,
};

struct MessageEncoder
{
  Writer& writer_;

  void operator()(const membership::Probe& aProbe) const
  {
    Begin(Kind::Probe);
    writer_.Uint(aProbe.token_);
  }

  void operator()(const membership::ProbeAnswer& aAnswer) const
  {
    Begin(Kind::ProbeAnswer);
    writer_.Uint(aAnswer.token_);
  }

  void operator()(const membership::Suspicion& aSuspicion) const
  {
    Begin(Kind::Suspicion);
    writer_.Write(aSuspicion.host_);
    writer_.Write(aSuspicion.incarnation_);
    writer_.Uint(aSuspicion.sequence_);
    writer_.Bool(aSuspicion.withdrawn_);
  }

  void Begin(Kind aKind) const
  {
    writer_.Uint(static_cast<std::uint8_t>(aKind));
  }
};

/** Few buckets travel as numbers of two bytes, many as a bitmap. */
std::string
EncodeBuckets(const BucketSet& aBuckets)
{
  std::string bytes;
  const bool sparse = aBuckets.count() <= kMostSparse;
  bytes.resize(sparse ? 0 : kDenseBytes);
  for (std::size_t bucket = 0; bucket < kBucketCount; ++bucket) {
    if (!aBuckets.test(bucket)) {
      continue;
    }
    if (sparse) {
      bytes.push_back(static_cast<char>(bucket >> 8U));
      bytes.push_back(static_cast<char>(bucket));
    } else {
      const auto byte = static_cast<std::uint8_t>(bytes[bucket / 8]);
      bytes[bucket / 8] = static_cast<char>(byte | 1U << bucket % 8);
    }
  }
  return bytes;
}

void
DecodeBuckets(Reader& aReader, BucketSet& aBuckets)
{
  const auto bytes = aReader.Bytes(kDenseBytes);
  const auto at = [bytes](std::size_t aIndex) {
    return static_cast<std::uint8_t>(bytes[aIndex]);
  };
  aBuckets.reset();
  if (bytes.size() == kDenseBytes) {
    for (std::size_t bucket = 0; bucket < kBucketCount; ++bucket) {
      aBuckets.set(bucket, (at(bucket / 8) >> bucket % 8 & 1U) != 0);
    }
    return;
  }
  if (bytes.size() % 2 != 0) {
    aReader.Fail();
    return;
  }
  for (std::size_t index = 0; index < bytes.size(); index += 2) {
    const auto bucket = std::size_t{ at(index) } << 8U | at(index + 1);
    if (bucket >= kBucketCount) {
      aReader.Fail();
      return;
    }
    aBuckets.set(bucket);
  }
}

} // namespace

void
Encode(Writer& aWriter, const HostRecord& aRecord)
{
  aWriter.Write(aRecord.id_);
  aWriter.Write(aRecord.incarnation_);
  aWriter.Uint(aRecord.sequence_);
  aWriter.Write(aRecord.service_);
  aWriter.Write(aRecord.dataCentre_);
  aWriter.Write(aRecord.agent_);
  aWriter.Uint(aRecord.slots_);
  aWriter.Uint(aRecord.connectionLimit_);
  aWriter.Uint(static_cast<std::uint8_t>(aRecord.state_));
  aWriter.Bytes(EncodeBuckets(aRecord.held_));
}

void
Decode(Reader& aReader, HostRecord& aRecord)
{
  aReader.Read(aRecord.id_);
  aReader.Read(aRecord.incarnation_);
  aRecord.sequence_ = aReader.Uint();
  aReader.Read(aRecord.service_);
  aReader.Read(aRecord.dataCentre_);
  aReader.Read(aRecord.agent_);
  aRecord.slots_ = aReader.Number<std::uint16_t>();
  aRecord.connectionLimit_ = aReader.Number<std::uint32_t>();
  aRecord.state_ = aReader.Enumerator(HostState::Gone);
  DecodeBuckets(aReader, aRecord.held_);
}

void
Encode(Writer& aWriter, const membership::PeerRecord& aRecord)
{
  aWriter.Write(aRecord.id_);
  aWriter.Write(aRecord.incarnation_);
  aWriter.Uint(aRecord.sequence_);
  aWriter.Uint(static_cast<std::uint8_t>(aRecord.role_));
  aWriter.Write(aRecord.dataCentre_);
  aWriter.Write(aRecord.address_);
  aWriter.Bool(aRecord.gone_);
}

void
Decode(Reader& aReader, membership::PeerRecord& aRecord)
{
  aReader.Read(aRecord.id_);
  aReader.Read(aRecord.incarnation_);
  aRecord.sequence_ = aReader.Uint();
  aRecord.role_ = aReader.Enumerator(membership::NodeRole::Control);
  aReader.Read(aRecord.dataCentre_);
  aReader.Read(aRecord.address_);
  aRecord.gone_ = aReader.Bool();
}

void
Encode(Writer& aWriter, const membership::Message& aMessage)
{
  std::visit(MessageEncoder{ aWriter }, aMessage);
}

absl::StatusOr<membership::Message>
DecodeMembership(Reader& aReader)
{
  membership::Message message;
  switch (aReader.Enumerator(Kind::Suspicion)) {
    case Kind::Probe:
      message = membership::Probe{ aReader.Uint() };
      break;
    case Kind::ProbeAnswer:
      message = membership::ProbeAnswer{ aReader.Uint() };
      break;
    case Kind::Suspicion: {
      membership::Suspicion suspicion;
      aReader.Read(suspicion.host_);
      aReader.Read(suspicion.incarnation_);
      suspicion.sequence_ = aReader.Uint();
      suspicion.withdrawn_ = aReader.Bool();
      message = suspicion;
      break;
    }
  }
  const auto status = aReader.Finish();
  if (!status.ok()) {
    return status;
  }
  return message;
}

} // namespace cornelshore::wire
