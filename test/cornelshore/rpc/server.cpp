#include <utility>

#include <cornelshore/rpc/client.hpp>
#include <cornelshore/rpc/server.hpp>

#include <string>
#include <thread>

#include <boost/asio.hpp>
#include <gtest/gtest.h>

namespace cornelshore::rpc {
namespace {

constexpr std::chrono::seconds kPatience{ 20 };

Reply
Echo(const std::string& aMethod, const std::string& aParams)
{
  if (aMethod == "refuse") {
    return { ErrorCode::Refused, "", "no such host" };
  }
  return { ErrorCode::None, R"({"got":)" + aParams + "}", "" };
}

class ServerTest : public testing::Test
{
protected:
  void SetUp() override
  {
    std::string error;
    ASSERT_TRUE(server_.Start(error)) << error;
  }

  [[nodiscard]] Endpoint At() const { return { "127.0.0.1", server_.Port() }; }

  Server server_{ { "127.0.0.1", 0 }, {}, { "echo", "refuse" }, Echo };
};

TEST_F(ServerTest, AnswersACall)
{
  const auto reply = Call(At(), {}, "echo", R"({"a":1})", kPatience);
  EXPECT_EQ(reply.code_, ErrorCode::None) << reply.message_;
  EXPECT_EQ(reply.json_, R"({"got":{"a":1}})");
}

TEST_F(ServerTest, HandsARefusalOnAsSaid)
{
  const auto reply = Call(At(), {}, "refuse", "{}", kPatience);
  EXPECT_EQ(reply.code_, ErrorCode::Refused);
  EXPECT_NE(reply.message_.find("no such host"), std::string::npos);
}

TEST_F(ServerTest, AnswersWrongInputWithAnErrorAndGoesOn)
{
  namespace asio = boost::asio;
  asio::io_context context;
  asio::ip::tcp::socket socket(context);
  socket.connect({ asio::ip::make_address("127.0.0.1"), server_.Port() });
  for (const auto* line :
       { "no json\n",
         "[]\n",
         "{\"jsonrpc\":\"2.0\",\"id\":1}\n",
         "{\"jsonrpc\":\"2.0\",\"method\":\"gone\",\"id\":2}\n",
         "{\"jsonrpc\":\"1\",\"method\":{},\"id\":[]}\n" }) {
    asio::write(socket, asio::buffer(std::string(line)));
    std::string answer;
    asio::read_until(socket, asio::dynamic_buffer(answer), '\n');
    EXPECT_NE(answer.find("error"), std::string::npos) << line << answer;
  }
  EXPECT_EQ(Call(At(), {}, "echo", "{}", kPatience).code_, ErrorCode::None);
}

// Guards against one odd line that ends the process or the other connections:
// nested beyond what the parser takes, lists where objects are due, numbers
// beyond each type, and keys that stand twice.
TEST_F(ServerTest, OddLinesEndNothing)
{
  namespace asio = boost::asio;
  const auto nested = [](int aLevels) {
    return R"({"jsonrpc":"2.0","id":1,"method":"echo","params":)" +
           std::string(static_cast<std::size_t>(aLevels), '[') +
           std::string(static_cast<std::size_t>(aLevels), ']') + "}\n";
  };
  const auto withId = [](const std::string& aId) {
    return R"({"jsonrpc":"2.0","method":"echo","params":{},"id":)" + aId +
           "}\n";
  };
  asio::io_context context;
  asio::ip::tcp::socket bystander(context);
  bystander.connect({ asio::ip::make_address("127.0.0.1"), server_.Port() });
  for (const auto& line : { nested(16),
                            nested(17),
                            nested(1000),
                            nested(100'000),
                            std::string(100'000, '[') + "\n",
                            std::string("[1]\n"),
                            std::string("[[[]]]\n"),
                            std::string("[null,{}]\n"),
                            std::string("1e999\n"),
                            std::string("\"x\"\n"),
                            std::string("null\n"),
                            withId("18446744073709551616"),
                            withId("-9223372036854775809"),
                            withId("1.5"),
                            withId("1e400"),
                            withId("{}"),
                            withId("1,\"id\":2"),
                            withId("1,\"method\":[]"),
                            withId("1,\"jsonrpc\":2") }) {
    asio::ip::tcp::socket socket(context);
    socket.connect({ asio::ip::make_address("127.0.0.1"), server_.Port() });
    boost::system::error_code error;
    asio::write(socket, asio::buffer(line), error);
    std::string answer;
    asio::read_until(socket, asio::dynamic_buffer(answer), '\n', error);
    EXPECT_NE(answer, "") << line.substr(0, 80);
    const auto call = withId("7");
    asio::write(bystander, asio::buffer(call));
    std::string own;
    asio::read_until(bystander, asio::dynamic_buffer(own), '\n');
    EXPECT_NE(own.find("got"), std::string::npos) << line.substr(0, 80);
  }
}

TEST_F(ServerTest, ClosesAConnectionWithAnEndlessLine)
{
  namespace asio = boost::asio;
  asio::io_context context;
  asio::ip::tcp::socket socket(context);
  socket.connect({ asio::ip::make_address("127.0.0.1"), server_.Port() });
  const std::string part(std::size_t{ 1 } << 16U, 'x');
  boost::system::error_code error;
  for (int index = 0; index < 64 && !error; ++index) {
    asio::write(socket, asio::buffer(part), error);
  }
  std::string answer;
  asio::read_until(socket, asio::dynamic_buffer(answer), '\n', error);
  EXPECT_TRUE(error);
  EXPECT_EQ(server_.Counters().oversized_, 1U);
}

// Guards against an answer of the server that is nested too deeply and ends
// the caller instead of being reported.
TEST(Client, ReportsAnAnswerNestedTooDeeply)
{
  const auto deep = std::string(100'000, '[') + std::string(100'000, ']');
  Server server({ "127.0.0.1", 0 },
                {},
                { "deep" },
                [&deep](const std::string&, const std::string&) {
                  return Reply{ ErrorCode::None, deep, "" };
                });
  std::string error;
  ASSERT_TRUE(server.Start(error)) << error;
  const auto reply =
    Call({ "127.0.0.1", server.Port() }, {}, "deep", "{}", kPatience);
  EXPECT_NE(reply.code_, ErrorCode::None);
}

// Guards against an answer that breaks off and is handed on as a complete one,
// whether or not an end of line follows the piece.
TEST(Client, ReportsAnAnswerCutAnywhere)
{
  namespace asio = boost::asio;
  const std::string whole =
    R"({"jsonrpc":"2.0","id":1,"result":{"version":12,"outcome":"accepted"}})";
  asio::io_context context;
  asio::ip::tcp::acceptor acceptor(context,
                                   { asio::ip::address_v4::loopback(), 0 });
  const Endpoint at{ "127.0.0.1", acceptor.local_endpoint().port() };
  const auto callWith = [&](const std::string& aAnswer) {
    std::thread server([&] {
      auto socket = acceptor.accept();
      std::string line;
      asio::read_until(socket, asio::dynamic_buffer(line), '\n');
      asio::write(socket, asio::buffer(aAnswer));
    });
    auto reply = Call(at, {}, "echo", "{}", kPatience);
    server.join();
    return reply;
  };
  ASSERT_EQ(callWith(whole + "\n").code_, ErrorCode::None);
  for (std::size_t size = 0; size <= whole.size(); ++size) {
    const auto piece = whole.substr(0, size);
    EXPECT_NE(callWith(piece).code_, ErrorCode::None) << piece;
    if (size < whole.size()) {
      const auto reply = callWith(piece + "\n");
      EXPECT_NE(reply.code_, ErrorCode::None) << piece;
      EXPECT_NE(reply.code_, ErrorCode::Refused) << piece;
    }
  }
}

TEST(Client, SaysThatNobodyListens)
{
  const auto reply = Call({ "127.0.0.1", 1 }, {}, "echo", "{}", kPatience);
  EXPECT_EQ(reply.code_, ErrorCode::Transport);
}

} // namespace
} // namespace cornelshore::rpc
