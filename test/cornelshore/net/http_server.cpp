#include <utility>

#include <cornelshore/net/http_server.hpp>

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

} // namespace
} // namespace cornelshore::net
