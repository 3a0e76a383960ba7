#include <cornelshore/wire/request_codec.hpp>

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include <cornelshore/wire/reader.hpp>
#include <cornelshore/wire/writer.hpp>

namespace cornelshore::request {
namespace {

std::vector<Message>
OneOfEach()
{
  const Authority home{ HostId{ ~std::uint64_t{} }, { 2 }, { 3 } };
  const Authority backup{ HostId{ 4 }, { 5 }, { 6 } };
  const RequestKey key{ { 7, 8 }, { home, backup } };
  const Route route{ MakeIpv4(0xC0000201U, 4000), NodeId{ 9 } };
  const Work work{ ServiceId{ 10 }, ClassId{ 11 }, 12 };
  const Duration left{ 13 };
  return {
    TicketRequest{ key.id_, work, 1, route },
    TicketReply{ key.id_, key.ticket_, true, Reason::Leaving, left, route },
    Submit{ key, work, Duration{ -14 }, "body", route },
    Cancel{ key, route },
    AnswerPart{ key, 1, 2, 3, 4, 5, "part", route },
    Outcome{ key, Verdict::NotRun, Reason::NoAnswer, left, route },
    StampRequest{},
    StampReply{ { 15 } },
    Intent{ key, 16 },
    IntentReply{ key, 17, Reason::TableFull },
    Result{ key, 18, Verdict::Answered, Reason::None, "answer" },
    ResultAck{ key, 19 },
    Run{ key, 20, backup, work, left, "body" },
    RunCancel{ key, 21, home },
    RunResult{ key, 22, RunEnd::Lost, Reason::UpstreamLost, left, "x" },
    RunResultAck{ key, 23 },
  };
}

std::string
Encoded(const Message& aMessage)
{
  std::string out;
  wire::Writer writer(out);
  Encode(writer, aMessage);
  return out;
}

absl::StatusOr<Message>
Decoded(std::string_view aInput)
{
  wire::Reader reader(aInput);
  return Decode(reader);
}

TEST(RequestCodec, ReadsEveryKindBackAndRefusesEveryTruncation)
{
  const auto messages = OneOfEach();
  ASSERT_EQ(messages.size(), std::variant_size_v<Message>);
  for (std::size_t kind = 0; kind < messages.size(); ++kind) {
    ASSERT_EQ(messages[kind].index(), kind);
    const auto bytes = Encoded(messages[kind]);
    const auto decoded = Decoded(bytes);
    ASSERT_TRUE(decoded.ok()) << kind;
    EXPECT_EQ(*decoded, messages[kind]) << kind;
    for (std::size_t size = 0; size < bytes.size(); ++size) {
      EXPECT_FALSE(Decoded(std::string_view(bytes).substr(0, size)).ok());
    }
    EXPECT_FALSE(Decoded(bytes + '\0').ok());
  }
}

TEST(RequestCodec, RefusesAKindThatThereIsNotAndABodyBeyondTheLimit)
{
  std::string kind;
  wire::Writer(kind).Uint(std::variant_size_v<Message>);
  EXPECT_FALSE(Decoded(kind).ok());
  Submit submit;
  submit.body_.assign(kMostBytes, 'b');
  EXPECT_TRUE(Decoded(Encoded(submit)).ok());
  submit.body_ += 'b';
  EXPECT_FALSE(Decoded(Encoded(submit)).ok());
}

} // namespace
} // namespace cornelshore::request
