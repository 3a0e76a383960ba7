#include <cornelshore/wire/request_codec.hpp>

#include <concepts>
#include <cstdint>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>

#include <cornelshore/wire/reader.hpp>
#include <cornelshore/wire/writer.hpp>

namespace cornelshore::request {

namespace {

/** Writes each field that it is called with. */
class Output
{
public:
  explicit Output(wire::Writer& aWriter)
    : writer_(aWriter)
  {
  }

  template<typename Value>
  void operator()(const Value& aValue)
  {
    if constexpr (std::same_as<Value, bool>) {
      writer_.Bool(aValue);
    } else if constexpr (std::unsigned_integral<Value>) {
      writer_.Uint(aValue);
    } else if constexpr (std::is_enum_v<Value>) {
      writer_.Uint(static_cast<std::uint64_t>(aValue));
    } else if constexpr (std::same_as<Value, std::string>) {
      writer_.Bytes(aValue);
    } else {
      writer_.Write(aValue);
    }
  }

private:
  wire::Writer& writer_;
};

constexpr Verdict
LastOf(Verdict)
{
  return kVerdictNames.back().value_;
}

constexpr Reason
LastOf(Reason)
{
  return kReasonNames.back().value_;
}

constexpr RunEnd
LastOf(RunEnd)
{
  return kRunEndNames.back().value_;
}

/** Reads each field that it is called with. */
class Input
{
public:
  explicit Input(wire::Reader& aReader)
    : reader_(aReader)
  {
  }

  template<typename Value>
  void operator()(Value& aValue)
  {
    if constexpr (std::same_as<Value, bool>) {
      aValue = reader_.Bool();
    } else if constexpr (std::unsigned_integral<Value>) {
      aValue = reader_.Number<Value>();
    } else if constexpr (std::is_enum_v<Value>) {
      aValue = reader_.Enumerator(LastOf(aValue));
    } else if constexpr (std::same_as<Value, std::string>) {
      aValue = reader_.Bytes(kMostBytes);
    } else {
      reader_.Read(aValue);
    }
  }

private:
  wire::Reader& reader_;
};

template<typename Archive, typename... Values>
void
All(Archive& aArchive, Values&... aValues)
{
  (aArchive(aValues), ...);
}

/** Tells whether the message, const or not, is of the kind. */
template<typename Type, typename Kind>
concept Is = std::same_as<std::remove_const_t<Type>, Kind>;

template<typename Archive>
void
Fields(Archive& aArchive, Is<Authority> auto& aValue)
{
  All(aArchive, aValue.host_, aValue.incarnation_, aValue.stamp_);
}

template<typename Archive>
void
Fields(Archive& aArchive, Is<RequestKey> auto& aValue)
{
  aArchive(aValue.id_);
  Fields(aArchive, aValue.ticket_.home_);
  Fields(aArchive, aValue.ticket_.backup_);
}

template<typename Archive>
void
Fields(Archive& aArchive, Is<Route> auto& aValue)
{
  All(aArchive, aValue.caller_, aValue.balancer_);
}

template<typename Archive>
void
Fields(Archive& aArchive, Is<Work> auto& aValue)
{
  All(aArchive, aValue.service_, aValue.class_, aValue.caller_);
}

template<typename Archive>
void
Fields(Archive& aArchive, Is<TicketRequest> auto& aValue)
{
  aArchive(aValue.id_);
  Fields(aArchive, aValue.work_);
  aArchive(aValue.choice_);
  Fields(aArchive, aValue.route_);
}

template<typename Archive>
void
Fields(Archive& aArchive, Is<TicketReply> auto& aValue)
{
  aArchive(aValue.id_);
  Fields(aArchive, aValue.ticket_.home_);
  Fields(aArchive, aValue.ticket_.backup_);
  All(aArchive, aValue.repeatable_, aValue.reason_, aValue.retryAfter_);
  Fields(aArchive, aValue.route_);
}

template<typename Archive>
void
Fields(Archive& aArchive, Is<Submit> auto& aValue)
{
  Fields(aArchive, aValue.key_);
  Fields(aArchive, aValue.work_);
  All(aArchive, aValue.timeLeft_, aValue.body_);
  Fields(aArchive, aValue.route_);
}

template<typename Archive>
void
Fields(Archive& aArchive, Is<Cancel> auto& aValue)
{
  Fields(aArchive, aValue.key_);
  Fields(aArchive, aValue.route_);
}

template<typename Archive>
void
Fields(Archive& aArchive, Is<AnswerPart> auto& aValue)
{
  Fields(aArchive, aValue.key_);
  All(aArchive,
      aValue.attempt_,
      aValue.index_,
      aValue.count_,
      aValue.length_,
      aValue.checksum_,
      aValue.bytes_);
  Fields(aArchive, aValue.route_);
}

template<typename Archive>
void
Fields(Archive& aArchive, Is<Outcome> auto& aValue)
{
  Fields(aArchive, aValue.key_);
  All(aArchive, aValue.verdict_, aValue.reason_, aValue.retryAfter_);
  Fields(aArchive, aValue.route_);
}

template<typename Archive>
void
Fields(Archive&, Is<StampRequest> auto&)
{
}

template<typename Archive>
void
Fields(Archive& aArchive, Is<StampReply> auto& aValue)
{
  aArchive(aValue.stamp_);
}

template<typename Archive>
void
Fields(Archive& aArchive, Is<Intent> auto& aValue)
{
  Fields(aArchive, aValue.key_);
  aArchive(aValue.attempt_);
}

template<typename Archive>
void
Fields(Archive& aArchive, Is<IntentReply> auto& aValue)
{
  Fields(aArchive, aValue.key_);
  All(aArchive, aValue.attempt_, aValue.reason_);
}

template<typename Archive>
void
Fields(Archive& aArchive, Is<Result> auto& aValue)
{
  Fields(aArchive, aValue.key_);
  All(
    aArchive, aValue.attempt_, aValue.verdict_, aValue.reason_, aValue.answer_);
}

template<typename Archive>
void
Fields(Archive& aArchive, Is<ResultAck> auto& aValue)
{
  Fields(aArchive, aValue.key_);
  aArchive(aValue.attempt_);
}

template<typename Archive>
void
Fields(Archive& aArchive, Is<Run> auto& aValue)
{
  Fields(aArchive, aValue.key_);
  aArchive(aValue.attempt_);
  Fields(aArchive, aValue.executor_);
  Fields(aArchive, aValue.work_);
  All(aArchive, aValue.timeLeft_, aValue.body_);
}

template<typename Archive>
void
Fields(Archive& aArchive, Is<RunCancel> auto& aValue)
{
  Fields(aArchive, aValue.key_);
  aArchive(aValue.attempt_);
  Fields(aArchive, aValue.executor_);
}

template<typename Archive>
void
Fields(Archive& aArchive, Is<RunResult> auto& aValue)
{
  Fields(aArchive, aValue.key_);
  All(aArchive,
      aValue.attempt_,
      aValue.end_,
      aValue.reason_,
      aValue.retryAfter_,
      aValue.answer_);
}

template<typename Archive>
void
Fields(Archive& aArchive, Is<RunResultAck> auto& aValue)
{
  Fields(aArchive, aValue.key_);
  aArchive(aValue.attempt_);
}

template<std::size_t... Index>
Message
EmptyOf(std::size_t aKind, std::index_sequence<Index...>)
{
  Message message;
  static_cast<void>(
    ((aKind == Index ? (message.emplace<Index>(), true) : false) || ...));
  return message;
}

} // namespace

void
Encode(wire::Writer& aWriter, const Message& aMessage)
{
  aWriter.Uint(aMessage.index());
  Output output(aWriter);
  std::visit([&](const auto& aKind) { Fields(output, aKind); }, aMessage);
}

absl::StatusOr<Message>
Decode(wire::Reader& aReader)
{
  constexpr auto kKinds = std::variant_size_v<Message>;
  const auto kind = static_cast<std::size_t>(aReader.Uint(kKinds - 1));
  auto message = EmptyOf(kind, std::make_index_sequence<kKinds>{});
  Input input(aReader);
  std::visit([&](auto& aKind) { Fields(input, aKind); }, message);
  if (auto status = aReader.Finish(); !status.ok()) {
    return status;
  }
  return message;
}

} // namespace cornelshore::request
