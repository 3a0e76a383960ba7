#include <utility>

#include <cornelshore/net/upstream_client.hpp>

#include <chrono>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <absl/strings/escaping.h>
#include <boost/asio.hpp>
#include <gtest/gtest.h>
#include <json/json.h>

#include <cornelshore/net/asio_address.hpp>

namespace cornelshore::net {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kPatience{ 20 };

std::string
AnswerTo(std::uint64_t aCall, const std::string& aBody)
{
  return R"({"jsonrpc":"2.0","id":)" + std::to_string(aCall) +
         R"(,"result":{"body":")" + absl::Base64Escape(aBody) + "\"}}";
}

/** The upstream's end of one connection. */
class Connection
{
public:
  explicit Connection(tcp::acceptor& aAcceptor)
    : socket_(aAcceptor.accept())
  {
  }

  void Send(const std::string& aBytes)
  {
    asio::write(socket_, asio::buffer(aBytes));
  }

  void Close() { socket_.close(); }

  /** Next line that the client sent. */
  Json::Value Next()
  {
    const auto size =
      asio::read_until(socket_, asio::dynamic_buffer(received_), '\n');
    const auto line = received_.substr(0, size);
    received_.erase(0, size);
    Json::Value message;
    const std::unique_ptr<Json::CharReader> reader(
      Json::CharReaderBuilder().newCharReader());
    EXPECT_TRUE(
      reader->parse(line.data(), line.data() + line.size(), &message, nullptr));
    return message;
  }

  /** Call number of the next run. */
  std::uint64_t NextRun()
  {
    for (;;) {
      const auto message = Next();
      if (message["method"].asString() == "run") {
        return message["id"].asUInt64();
      }
    }
  }

private:
  tcp::socket socket_;
  std::string received_;
};

/** A client of an upstream that the test plays. */
class UpstreamClientTest : public testing::Test
{
protected:
  UpstreamClientTest()
    : acceptor_(own_)
    , guard_(asio::make_work_guard(context_))
    , thread_([this] { context_.run(); })
  {
    Renew();
  }

  ~UpstreamClientTest() override
  {
    client_->Stop();
    guard_.reset();
    context_.stop();
    thread_.join();
  }

  /** Replaces the client by one that connects at once, at another port. */
  void Renew()
  {
    if (client_) {
      client_->Stop();
    }
    acceptor_ =
      tcp::acceptor(own_, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    {
      const std::lock_guard lock(mutex_);
      results_.clear();
    }
    client_ = std::make_unique<UpstreamClient>(
      context_,
      MakeIpv4(0x7F000001U, acceptor_.local_endpoint().port()),
      [this](UpstreamResult aResult) {
        const std::lock_guard lock(mutex_);
        results_.push_back(std::move(aResult));
        changed_.notify_all();
      },
      [](bool) {});
    client_->Start();
  }

  void Run(std::uint64_t aId, std::uint64_t aAttempt)
  {
    client_->Run({ { aId, 0 }, aAttempt, "sheets", seconds{ 30 }, "work" });
  }

  /** Results so far, once there are so many or the patience is over. */
  std::vector<UpstreamResult> Results(std::size_t aCount)
  {
    std::unique_lock lock(mutex_);
    changed_.wait_for(
      lock, kPatience, [&] { return results_.size() >= aCount; });
    return results_;
  }

  asio::io_context own_;
  tcp::acceptor acceptor_;
  asio::io_context context_;
  asio::executor_work_guard<asio::io_context::executor_type> guard_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<UpstreamResult> results_;
  std::unique_ptr<UpstreamClient> client_;
  std::thread thread_;
};

// Guards against a late copy of an answer, on the same connection or on the
// next one, that ends another run: call numbers are never used twice.
TEST_F(UpstreamClientTest, ALateCopyOfAnAnswerEndsNoOtherRun)
{
  Connection first(acceptor_);
  first.Next();
  Run(1, 1);
  const auto one = first.NextRun();
  first.Send(AnswerTo(one, "one") + "\n");
  ASSERT_EQ(Results(1).size(), 1U);
  Run(1, 2);
  const auto two = first.NextRun();
  EXPECT_NE(two, one);
  first.Send(AnswerTo(one, "one") + "\n" + AnswerTo(two, "two") + "\n" +
             AnswerTo(two, "two") + "\n");
  ASSERT_EQ(Results(2).size(), 2U);
  Run(3, 3);
  const auto lost = first.NextRun();
  first.Close();
  ASSERT_EQ(Results(3).size(), 3U);

  Connection second(acceptor_);
  second.Next();
  Run(4, 4);
  const auto four = second.NextRun();
  for (const auto call : { one, two, lost }) {
    EXPECT_NE(four, call);
    second.Send(AnswerTo(call, "late") + "\n");
  }
  second.Send(AnswerTo(four, "four") + "\n");
  const auto results = Results(4);
  ASSERT_EQ(results.size(), 4U);
  EXPECT_EQ(results[0].body_, "one");
  EXPECT_EQ(results[1].body_, "two");
  EXPECT_EQ(results[1].attempt_, 2U);
  EXPECT_EQ(results[2].outcome_, UpstreamOutcome::Lost);
  EXPECT_EQ(results[3].body_, "four");
  EXPECT_EQ(results[3].attempt_, 4U);
}

// Guards against work that is handed over again after its answer was lost, and
// against `shed` (not run) for work that the upstream may have run.
TEST_F(UpstreamClientTest, ALostAnswerIsNeitherNotRunNorAskedForAgain)
{
  Connection first(acceptor_);
  first.Next();
  Run(1, 1);
  first.NextRun();
  first.Close();
  const auto results = Results(1);
  ASSERT_EQ(results.size(), 1U);
  EXPECT_EQ(results.front().outcome_, UpstreamOutcome::Lost);
  Run(2, 2);
  ASSERT_EQ(Results(2).size(), 2U);
  EXPECT_EQ(Results(2).back().outcome_, UpstreamOutcome::Shed);

  Connection second(acceptor_);
  for (int polls = 0; polls < 2; ++polls) {
    EXPECT_EQ(second.Next()["method"].asString(), "health");
  }
  EXPECT_EQ(Results(2).size(), 2U);
}

// Guards against an answer that breaks off, with or without an end of line
// behind the piece, and is handed on as a complete one.
TEST_F(UpstreamClientTest, AnAnswerCutAnywhereIsLost)
{
  const auto size = AnswerTo(2, "a whole answer").size();
  for (const std::string end : { "", "\n" }) {
    const auto pieces = end.empty() ? size + 1 : size;
    for (std::size_t cut = 0; cut < pieces; ++cut) {
      Renew();
      Connection connection(acceptor_);
      connection.Next();
      Run(1, 1);
      const auto answer = AnswerTo(connection.NextRun(), "a whole answer");
      ASSERT_EQ(answer.size(), size);
      connection.Send(answer.substr(0, cut) + end);
      connection.Close();
      const auto results = Results(1);
      ASSERT_EQ(results.size(), 1U);
      EXPECT_EQ(results.front().outcome_, UpstreamOutcome::Lost) << cut;
      EXPECT_EQ(results.front().body_, "") << cut;
    }
  }
}

// Guards against a line in which one answer ends within or before another: its
// first part alone must not pass for a complete answer.
TEST_F(UpstreamClientTest, ALineOfTwoAnswersIsNoAnswer)
{
  for (const std::string between : { "", " ", "," }) {
    Renew();
    Connection connection(acceptor_);
    connection.Next();
    Run(1, 1);
    Run(2, 2);
    const auto one = connection.NextRun();
    const auto two = connection.NextRun();
    connection.Send(AnswerTo(one, "one") + between + AnswerTo(two, "two") +
                    "\n");
    const auto results = Results(2);
    ASSERT_EQ(results.size(), 2U) << "'" << between << "'";
    EXPECT_EQ(results[0].outcome_, UpstreamOutcome::Lost);
    EXPECT_EQ(results[1].outcome_, UpstreamOutcome::Lost);
  }
  Renew();
  Connection connection(acceptor_);
  connection.Next();
  Run(1, 1);
  Run(2, 2);
  const auto one = connection.NextRun();
  const auto two = connection.NextRun();
  auto twice = AnswerTo(two, "two");
  twice.insert(1, R"("id":)" + std::to_string(one) + ",");
  connection.Send(twice + "\n");
  for (const auto& result : Results(2)) {
    EXPECT_EQ(result.outcome_, UpstreamOutcome::Lost);
  }
}

} // namespace
} // namespace cornelshore::net
