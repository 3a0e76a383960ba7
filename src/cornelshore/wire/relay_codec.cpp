#include <cornelshore/wire/relay_codec.hpp>

#include <utility>

#include <cornelshore/wire/reader.hpp>
#include <cornelshore/wire/writer.hpp>

namespace cornelshore::wire {

namespace {

void
EncodeBody(Writer& aWriter, const relay::RelayedPacket& aMessage)
{
  aWriter.Uint(static_cast<std::uint64_t>(aMessage.purpose_));
  aWriter.Write(aMessage.service_);
  aWriter.Write(aMessage.version_);
  aWriter.Bytes(aMessage.packet_);
}

void
DecodeBody(Reader& aReader, relay::RelayedPacket& aMessage)
{
  aMessage.purpose_ = aReader.Enumerator(relay::Purpose::Probe);
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
  aWriter.Bool(aMessage.warmingUp_);
}

void
DecodeBody(Reader& aReader, relay::HostLoad& aMessage)
{
  aMessage.flows_ = aReader.Number<std::uint32_t>();
  aMessage.busy_ = aReader.Number<std::uint32_t>();
  aMessage.slots_ = aReader.Number<std::uint16_t>();
  aMessage.accepts_ = aReader.Bool();
  aMessage.warmingUp_ = aReader.Bool();
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
  aMessage.verdict_ = aReader.Enumerator(relay::Verdict::OtherFlow);
  DecodeBody(aReader, aMessage.load_);
  aMessage.packet_ = aReader.Bytes(kMostSegmentBytes);
}

void
EncodeBody(Writer& aWriter, const relay::Watch& aMessage)
{
  aWriter.Bool(aMessage.earlierRunHeardAgo_.has_value());
  aWriter.Write(aMessage.earlierRunHeardAgo_.value_or(Duration::zero()));
  aWriter.Bool(aMessage.earlierRunLeaving_);
}

void
DecodeBody(Reader& aReader, relay::Watch& aMessage)
{
  const auto heard = aReader.Bool();
  Duration ago{};
  aReader.Read(ago);
  aMessage.earlierRunLeaving_ = aReader.Bool();
  if (heard) {
    aMessage.earlierRunHeardAgo_ = ago;
  }
}

void
EncodeBody(Writer& aWriter, const relay::Query& aMessage)
{
  aWriter.Uint(aMessage.id_);
  aWriter.List(aMessage.items_.size());
  for (const auto& item : aMessage.items_) {
    aWriter.Uint(item.flow_);
    aWriter.Uint(item.acknowledged_);
  }
}

void
DecodeBody(Reader& aReader, relay::Query& aMessage)
{
  aMessage.id_ = aReader.Number<std::uint32_t>();
  aMessage.items_.resize(aReader.List(relay::kMaxQueryItems));
  for (auto& item : aMessage.items_) {
    item.flow_ = aReader.Number<std::uint32_t>();
    item.acknowledged_ = aReader.Number<std::uint32_t>();
  }
}

void
EncodeBody(Writer& aWriter, const relay::QueryAnswer& aMessage)
{
  aWriter.Uint(aMessage.id_);
  aWriter.List(aMessage.holdings_.size());
  for (const auto holding : aMessage.holdings_) {
    aWriter.Uint(static_cast<std::uint64_t>(holding));
  }
}

void
DecodeBody(Reader& aReader, relay::QueryAnswer& aMessage)
{
  aMessage.id_ = aReader.Number<std::uint32_t>();
  aMessage.holdings_.resize(aReader.List(relay::kMaxQueryItems));
  for (auto& holding : aMessage.holdings_) {
    holding = aReader.Enumerator(relay::Holding::Unsure);
  }
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
      return DecodeAs<relay::RelayedPacket>(aReader);
    case 1:
      return DecodeAs<relay::Answer>(aReader);
    case 2:
      return DecodeAs<relay::HostLoad>(aReader);
    case 3:
      return DecodeAs<relay::Watch>(aReader);
    case 4:
      return DecodeAs<relay::Query>(aReader);
    default:
      return DecodeAs<relay::QueryAnswer>(aReader);
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
