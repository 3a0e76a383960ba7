#include <cornelshore/wire/relay_codec.hpp>

#include <utility>

#include <cornelshore/wire/reader.hpp>
#include <cornelshore/wire/writer.hpp>

namespace cornelshore::wire {

namespace {

void
EncodeBody(Writer& aWriter, const relay::Carried& aMessage)
{
  aWriter.Uint(static_cast<std::uint64_t>(aMessage.purpose_));
  aWriter.Write(aMessage.service_);
  aWriter.Write(aMessage.version_);
  aWriter.Bytes(aMessage.packet_);
}

void
DecodeBody(Reader& aReader, relay::Carried& aMessage)
{
  aMessage.purpose_ = aReader.Enumerator(relay::Purpose::Search);
  aReader.Read(aMessage.service_);
  aReader.Read(aMessage.version_);
  aMessage.packet_ = aReader.Bytes(kMostSegmentBytes);
}

void
EncodeBody(Writer& aWriter, const relay::HostLoad& aMessage)
{
  aWriter.Uint(aMessage.flows_);
  aWriter.Uint(aMessage.busy_);
  aWriter.Uint(aMessage.slots_);
  aWriter.Bool(aMessage.accepts_);
  aWriter.Bool(aMessage.warming_);
}

void
DecodeBody(Reader& aReader, relay::HostLoad& aMessage)
{
  aMessage.flows_ = aReader.Number<std::uint32_t>();
  aMessage.busy_ = aReader.Number<std::uint32_t>();
  aMessage.slots_ = aReader.Number<std::uint16_t>();
  aMessage.accepts_ = aReader.Bool();
  aMessage.warming_ = aReader.Bool();
}

void
EncodeBody(Writer& aWriter, const relay::Answer& aMessage)
{
  aWriter.Write(aMessage.key_);
  aWriter.Uint(static_cast<std::uint64_t>(aMessage.verdict_));
  EncodeBody(aWriter, aMessage.load_);
  aWriter.Bytes(aMessage.packet_);
}

void
DecodeBody(Reader& aReader, relay::Answer& aMessage)
{
  aReader.Read(aMessage.key_);
  aMessage.verdict_ = aReader.Enumerator(relay::Verdict::Unknown);
  DecodeBody(aReader, aMessage.load_);
  aMessage.packet_ = aReader.Bytes(kMostSegmentBytes);
}

void
EncodeBody(Writer& /*aWriter*/, const relay::Watch& /*aMessage*/)
{
}

void
DecodeBody(Reader& /*aReader*/, relay::Watch& /*aMessage*/)
{
}

template<typename Body>
relay::Message
DecodeAs(Reader& aReader)
{
  Body body;
  DecodeBody(aReader, body);
  return body;
}

relay::Message
DecodeKind(Reader& aReader, std::uint64_t aKind)
{
  switch (aKind) {
    case 0:
      return DecodeAs<relay::Carried>(aReader);
    case 1:
      return DecodeAs<relay::Answer>(aReader);
    case 2:
      return DecodeAs<relay::HostLoad>(aReader);
    default:
      return DecodeAs<relay::Watch>(aReader);
  }
}

} // namespace

void
Encode(Writer& aWriter, const relay::Message& aMessage)
{
  aWriter.Uint(aMessage.index());
  std::visit([&](const auto& aBody) { EncodeBody(aWriter, aBody); }, aMessage);
}

absl::StatusOr<relay::Message>
DecodeRelay(Reader& aReader)
{
  const auto kind = aReader.Uint(std::variant_size_v<relay::Message> - 1);
  auto message = DecodeKind(aReader, kind);
  if (auto status = aReader.Finish(); !status.ok()) {
    return status;
  }
  return message;
}

} // namespace cornelshore::wire
