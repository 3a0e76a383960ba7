#include <cornelshore/wire/message_codec.hpp>

#include <utility>

#include <cornelshore/wire/admission_codec.hpp>
#include <cornelshore/wire/consensus_codec.hpp>
#include <cornelshore/wire/dissemination_codec.hpp>
#include <cornelshore/wire/flow_codec.hpp>
#include <cornelshore/wire/membership_codec.hpp>
#include <cornelshore/wire/reader.hpp>
#include <cornelshore/wire/relay_codec.hpp>
#include <cornelshore/wire/request_codec.hpp>
#include <cornelshore/wire/writer.hpp>

namespace cornelshore::wire {

namespace {

/** First value of each message; never reused for another kind. */
enum class Kind : std::uint8_t
{
  Envelope,
  FlowAnswer,
  Request,
  Pushback,
  Dissemination,
  Consensus,
  Membership,
  Relay,
};

void
Put(Writer& aWriter, Kind aKind)
{
  aWriter.Uint(static_cast<std::uint64_t>(aKind));
}

void
EncodeKind(Writer& aWriter, const flow::Envelope& aMessage)
{
  Put(aWriter, Kind::Envelope);
  Encode(aWriter, aMessage);
}

void
EncodeKind(Writer& aWriter, const role::FlowAnswer& aMessage)
{
  Put(aWriter, Kind::FlowAnswer);
  aWriter.Write(aMessage.key_);
  aWriter.Bytes(aMessage.payload_);
}

void
EncodeKind(Writer& aWriter, const request::Message& aMessage)
{
  Put(aWriter, Kind::Request);
  request::Encode(aWriter, aMessage);
}

void
EncodeKind(Writer& aWriter, const admission::Pushback& aMessage)
{
  Put(aWriter, Kind::Pushback);
  admission::Encode(aWriter, aMessage);
}

void
EncodeKind(Writer& aWriter, const dissemination::Message& aMessage)
{
  Put(aWriter, Kind::Dissemination);
  Encode(aWriter, aMessage);
}

void
EncodeKind(Writer& aWriter, const consensus::Message& aMessage)
{
  Put(aWriter, Kind::Consensus);
  Encode(aWriter, aMessage);
}

void
EncodeKind(Writer& aWriter, const membership::Message& aMessage)
{
  Put(aWriter, Kind::Membership);
  Encode(aWriter, aMessage);
}

void
EncodeKind(Writer& aWriter, const relay::Message& aMessage)
{
  Put(aWriter, Kind::Relay);
  Encode(aWriter, aMessage);
}

template<typename Value>
absl::StatusOr<role::Message>
Widen(absl::StatusOr<Value> aValue)
{
  if (!aValue.ok()) {
    return aValue.status();
  }
  return role::Message(*std::move(aValue));
}

absl::StatusOr<role::FlowAnswer>
DecodeFlowAnswer(Reader& aReader)
{
  role::FlowAnswer answer;
  aReader.Read(answer.key_);
  answer.payload_ = std::string(aReader.Bytes(flow::kMaxPayloadBytes));
  const auto status = aReader.Finish();
  if (!status.ok()) {
    return status;
  }
  return answer;
}

absl::StatusOr<admission::Pushback>
DecodePushback(Reader& aReader)
{
  auto pushback = admission::Decode(aReader);
  const auto status = aReader.Finish();
  if (pushback.ok() && !status.ok()) {
    return status;
  }
  return pushback;
}

} // namespace

std::string
EncodeMessage(const role::Message& aMessage)
{
  std::string out;
  Writer writer(out);
  std::visit([&](const auto& aKind) { EncodeKind(writer, aKind); }, aMessage);
  return out;
}

absl::StatusOr<role::Message>
DecodeMessage(std::string_view aBytes)
{
  Reader reader(aBytes);
  const auto kind = reader.Enumerator(Kind::Relay);
  if (!reader.Good()) {
    return reader.Finish();
  }
  switch (kind) {
    case Kind::Envelope:
      return Widen(DecodeEnvelope(reader));
    case Kind::FlowAnswer:
      return Widen(DecodeFlowAnswer(reader));
    case Kind::Request:
      return Widen(request::Decode(reader));
    case Kind::Pushback:
      return Widen(DecodePushback(reader));
    case Kind::Dissemination:
      return Widen(DecodeDissemination(reader));
    case Kind::Consensus:
      return Widen(DecodeConsensusMessage(reader));
    case Kind::Membership:
      return Widen(DecodeMembership(reader));
    case Kind::Relay:
      break;
  }
  return Widen(DecodeRelay(reader));
}

} // namespace cornelshore::wire
