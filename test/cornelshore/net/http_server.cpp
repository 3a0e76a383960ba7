#include <utility>

#include <cornelshore/net/http_server.hpp>

#include <chrono>
#include <future>
#include <string>
#include <thread>

#include <boost/asio.hpp>
#include <gtest/gtest.h>

#include <cornelshore/net/asio_address.hpp>

namespace cornelshore::net {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::chrono::seconds kPatience{ 20 };

/** A server on a free port that answers with what it was asked. */
class HttpServerTest : public testing::Test
{
protected:
  void Listen(const HttpLimits& aLimits)
  {
    Listen(
      aLimits,
      [](const HttpRequest& aRequest, const HttpServer::Reply& aReply) {
        aReply({ 200, aRequest.method_ + aRequest.target_ + aRequest.body_ });
      });
  }

  void Listen(const HttpLimits& aLimits, HttpServer::Handle aHandle)
  {
    auto server = HttpServer::Listen(
      context_, MakeIpv4(0x7F000001U, 0), aLimits, std::move(aHandle));
    ASSERT_TRUE(server.ok()) << server.status();
    server_ = *std::move(server);
    thread_ = std::thread([this] { context_.run(); });
  }

  void TearDown() override
  {
    context_.stop();
    if (thread_.joinable()) {
      thread_.join();
    }
  }

  /** Sends bytes and reads until the server closes or the patience is over. */
  std::string Exchange(const std::string& aBytes)
  {
    asio::io_context own;
    tcp::socket socket(own);
    socket.connect(ToEndpoint<tcp>(server_->Local()));
    asio::write(socket, asio::buffer(aBytes));
    asio::streambuf answer;
    asio::async_read(socket, answer, [](auto, auto) {});
    own.run_for(kPatience);
    return { asio::buffers_begin(answer.data()),
             asio::buffers_end(answer.data()) };
  }

  asio::io_context context_;
  /** As in the daemon, the context runs on while a call awaits its answer and
   * nothing else is to be done. */
  asio::executor_work_guard<asio::io_context::executor_type> work_{
    context_.get_executor()
  };
  std::unique_ptr<HttpServer> server_;
  std::thread thread_;
};

TEST_F(HttpServerTest, ServesCallsOneAfterTheOtherOnOneConnection)
{
  Listen({});
  const auto answer =
    Exchange("PUT /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"
             "GET /b HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  EXPECT_NE(answer.find("PUT/aabc"), std::string::npos);
  EXPECT_NE(answer.find("GET/b"), std::string::npos);
}

TEST_F(HttpServerTest, RefusesWhatIsNoCall)
{
  Listen({});
  EXPECT_EQ(Exchange("\x01\x02 nonsense\r\n\r\n").rfind("HTTP/1.1 400", 0), 0U);
}

TEST_F(HttpServerTest, RefusesABodyOverTheLimit)
{
  HttpLimits limits;
  limits.bodyBytes_ = 10;
  Listen(limits);
  EXPECT_EQ(Exchange("PUT /a HTTP/1.1\r\nContent-Length: 11\r\n\r\n12345678901")
              .rfind("HTTP/1.1 413", 0),
            0U);
}

TEST_F(HttpServerTest, RefusesAHeaderOverTheLimit)
{
  HttpLimits limits;
  limits.headerBytes_ = 256;
  Listen(limits);
  EXPECT_EQ(
    Exchange("GET /a HTTP/1.1\r\nX: " + std::string(1000, 'x') + "\r\n\r\n")
      .rfind("HTTP/1.1 400", 0),
    0U);
}

TEST_F(HttpServerTest, ClosesAStalledConnection)
{
  HttpLimits limits;
  limits.readTimeout_ = std::chrono::milliseconds{ 50 };
  Listen(limits);
  EXPECT_EQ(Exchange("PUT /a HTTP/1.1\r\nContent-Length: 100\r\n\r\nabc"), "");
}

// Guards against a second copy of an answer, given while the next call of the
// connection is served, that the next caller takes for its own.
TEST_F(HttpServerTest, ASecondAnswerToACallReachesNoLaterCall)
{
  HttpServer::Reply earlier;
  Listen({}, [&earlier](const HttpRequest& aRequest, HttpServer::Reply aReply) {
    if (earlier) {
      earlier({ 200, "copy" });
    }
    aReply({ 200, aRequest.target_ });
    aReply({ 200, "copy" });
    earlier = std::move(aReply);
  });
  const auto answer =
    Exchange("GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
             "GET /b HTTP/1.1\r\nHost: h\r\n\r\n"
             "GET /c HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  EXPECT_EQ(answer.find("copy"), std::string::npos) << answer;
  for (const auto* own : { "/a", "/b", "/c" }) {
    EXPECT_NE(answer.find(own), std::string::npos) << answer;
  }
}

// Guards against a call that its handler drops: unanswered, it would hold its
// connection for ever and, often enough, all that the server takes.
TEST_F(HttpServerTest, AnswersACallThatItsHandlerDrops)
{
  HttpLimits limits;
  limits.connections_ = 2;
  Listen(limits, [](const HttpRequest&, const HttpServer::Reply&) {});
  for (int call = 0; call < 5; ++call) {
    const auto answer =
      Exchange("GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    ASSERT_EQ(answer.rfind("HTTP/1.1 503", 0), 0U) << answer;
  }
}

// Guards against calls that a stop cuts off: one that is being served, one on
// a connection that the kernel has just accepted, and one that is half sent.
TEST_F(HttpServerTest, FinishesTheCallsThatItHasAccepted)
{
  std::promise<HttpServer::Reply> slow;
  Listen({}, [&slow](const HttpRequest& aRequest, HttpServer::Reply aReply) {
    if (aRequest.target_ == "/slow") {
      slow.set_value(std::move(aReply));
    } else {
      aReply({ 200, aRequest.target_ });
    }
  });
  const auto address = ToEndpoint<tcp>(server_->Local());
  asio::io_context own;
  const auto connect = [&](const std::string& aBytes) {
    tcp::socket socket(own);
    socket.connect(address);
    asio::write(socket, asio::buffer(aBytes));
    return socket;
  };
  const auto rest = [](tcp::socket& aSocket) {
    std::string answer;
    boost::system::error_code ended;
    asio::read(aSocket, asio::dynamic_buffer(answer), ended);
    EXPECT_EQ(ended, asio::error::eof) << ended.message();
    return answer;
  };
  auto idle = connect("GET /idle HTTP/1.1\r\nHost: h\r\n\r\n");
  std::string first;
  asio::read_until(idle, asio::dynamic_buffer(first), "/idle");
  auto served = connect("GET /slow HTTP/1.1\r\nHost: h\r\n\r\n");
  auto reply = slow.get_future().get();
  auto half = connect("GET /half HTTP/1.1\r\n");
  auto silent = connect("");
  std::thread finishing(
    [this] { server_->Finish(std::chrono::seconds{ 20 }); });
  EXPECT_EQ(rest(idle), "");
  asio::write(half, asio::buffer(std::string("Host: h\r\n\r\n")));
  EXPECT_NE(rest(half).find("/half"), std::string::npos);
  asio::write(silent, asio::buffer(std::string("GET /new HTTP/1.1\r\n\r\n")));
  EXPECT_NE(rest(silent).find("/new"), std::string::npos);
  reply = nullptr;
  EXPECT_EQ(rest(served).rfind("HTTP/1.1 503", 0), 0U);
  finishing.join();
  boost::system::error_code refused;
  tcp::socket late(own);
  late.connect(address, refused);
  EXPECT_TRUE(refused);
}

// Guards against a stop that waits for a peer for longer than its limit.
TEST_F(HttpServerTest, FinishesWithinItsLimit)
{
  Listen({});
  asio::io_context own;
  tcp::socket silent(own);
  silent.connect(ToEndpoint<tcp>(server_->Local()));
  const auto begun = std::chrono::steady_clock::now();
  server_->Finish(std::chrono::milliseconds{ 50 });
  const auto took = std::chrono::steady_clock::now() - begun;
  EXPECT_GE(took, std::chrono::milliseconds{ 45 });
  EXPECT_LT(took, kPatience);
}

} // namespace
} // namespace cornelshore::net
