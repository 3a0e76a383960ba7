// Stand-in for an upstream: runs requests by JSON-RPC 2.0 over TCP, echoes
// plain datagrams and IP packets carried in UDP, and counts what it ran.
#include <utility>

#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <istream>
#include <map>
#include <memory>
#include <string>

#include <boost/asio.hpp>
#include <json/json.h>

#include <cornelshore/net/asio_address.hpp>
#include <cornelshore/net/udp_socket.hpp>
#include <cornelshore/wire/ip_packet.hpp>

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using cornelshore::Address;
using ErrorValue = boost::system::error_code;

constexpr std::size_t kLongestLineBytes = std::size_t{ 8 } << 20U;
constexpr int kShed = -32001;

struct Options
{
  std::string name_;
  Address requests_;
  Address flows_;
  Address gue_;
  int slots_{ 3 };
  std::chrono::milliseconds work_{ 20 };
  std::chrono::milliseconds coldStart_{ 0 };
};

std::string
ToLine(const Json::Value& aValue)
{
  Json::StreamWriterBuilder writer;
  writer["indentation"] = "";
  return Json::writeString(writer, aValue) + "\n";
}

/** Slots, and how often each id ran. */
class Work
{
public:
  Work(asio::io_context& aContext, const Options& aOptions)
    : context_(aContext)
    , options_(aOptions)
    , readyAt_(std::chrono::steady_clock::now() + aOptions.coldStart_)
  {
  }

  [[nodiscard]] bool Ready() const
  {
    return std::chrono::steady_clock::now() >= readyAt_;
  }

  bool Run(const std::string& aId, const std::function<void()>& aDone)
  {
    if (!Ready() || busy_ >= options_.slots_) {
      return false;
    }
    ++busy_;
    ++runs_[aId];
    auto timer = std::make_shared<asio::steady_timer>(context_, options_.work_);
    timer->async_wait([this, timer, aDone](const ErrorValue&) {
      --busy_;
      aDone();
    });
    return true;
  }

  [[nodiscard]] Json::Value Report() const
  {
    Json::Value report;
    Json::UInt64 most = 0;
    report["ids"] = Json::objectValue;
    for (const auto& [id, count] : runs_) {
      most = std::max<Json::UInt64>(most, count);
      report["ids"][id] = count;
    }
    report["most_runs_of_an_id"] = most;
    return report;
  }

private:
  asio::io_context& context_;
  const Options& options_;
  std::chrono::steady_clock::time_point readyAt_;
  int busy_{ 0 };
  std::map<std::string, Json::UInt64> runs_;
};

class Session : public std::enable_shared_from_this<Session>
{
public:
  Session(tcp::socket aSocket, Work& aWork)
    : socket_(std::move(aSocket))
    , work_(aWork)
    , buffer_(kLongestLineBytes)
  {
  }

  void Read()
  {
    const auto self = shared_from_this();
    asio::async_read_until(
      socket_, buffer_, '\n', [self](const ErrorValue& aError, std::size_t) {
        if (!aError && self->TakeLine()) {
          self->Read();
        }
      });
  }

private:
  bool TakeLine()
  {
    std::istream input(&buffer_);
    std::string line;
    std::getline(input, line);
    Json::Value message;
    Json::CharReaderBuilder builder;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    if (!reader->parse(
          line.data(), line.data() + line.size(), &message, nullptr) ||
        !message.isObject()) {
      return false;
    }
    Handle(message);
    return true;
  }

  void Handle(const Json::Value& aMessage)
  {
    const auto method = aMessage["method"].asString();
    const auto& params = aMessage["params"];
    Json::Value answer;
    answer["jsonrpc"] = "2.0";
    answer["id"] = aMessage["id"];
    if (method == "run") {
      answer["result"]["body"] = params["body"];
      const auto self = shared_from_this();
      if (work_.Run(params["id"].asString(),
                    [self, answer] { self->Write(answer); })) {
        return;
      }
      answer.removeMember("result");
      answer["error"]["code"] = kShed;
      answer["error"]["message"] = "busy";
    } else if (method == "health") {
      answer["result"]["ready"] = work_.Ready();
    } else if (method == "report") {
      answer["result"] = work_.Report();
    } else {
      answer["result"] = Json::objectValue;
    }
    Write(answer);
  }

  void Write(const Json::Value& aAnswer)
  {
    const auto line = std::make_shared<std::string>(ToLine(aAnswer));
    const auto self = shared_from_this();
    asio::async_write(socket_,
                      asio::buffer(*line),
                      [self, line](const ErrorValue&, std::size_t) {});
  }

  tcp::socket socket_;
  Work& work_;
  asio::streambuf buffer_;
};

void
Accept(tcp::acceptor& aAcceptor, Work& aWork)
{
  aAcceptor.async_accept([&](const ErrorValue& aError, tcp::socket aSocket) {
    if (!aError) {
      std::make_shared<Session>(std::move(aSocket), aWork)->Read();
    }
    Accept(aAcceptor, aWork);
  });
}

/** Echoes a datagram with the upstream's name before it. */
void
EchoPlain(cornelshore::net::UdpSocket& aSocket, const std::string& aName)
{
  aSocket.StartReceiving(
    [&aSocket, aName](const Address& aFrom, std::string_view aBytes) {
      aSocket.Send(aFrom, aName + " " + std::string(aBytes));
    });
}

/** Echoes an IP packet with its ends exchanged. */
void
EchoGue(cornelshore::net::UdpSocket& aSocket, const std::string& aName)
{
  using cornelshore::wire::TcpFlags;
  aSocket.StartReceiving(
    [&aSocket, aName](const Address& aFrom, std::string_view aBytes) {
      const auto packet = cornelshore::wire::ParseIpPacket(aBytes);
      if (packet.ok()) {
        aSocket.Send(aFrom,
                     cornelshore::wire::BuildIpPacket(
                       packet->key_.service_,
                       packet->key_.caller_,
                       packet->key_.transport_,
                       packet->opening_ ? TcpFlags::SynAck : TcpFlags::Ack,
                       aName + " " + packet->payload_));
      }
    });
}

bool
Take(Options& aOptions, const std::string& aKey, const std::string& aValue)
{
  const auto address = [&](Address& aOut) {
    const auto parsed = cornelshore::ParseAddress(aValue);
    aOut = parsed.value_or(Address{});
    return parsed.ok();
  };
  if (aKey == "--name") {
    aOptions.name_ = aValue;
    return true;
  }
  if (aKey == "--slots") {
    aOptions.slots_ = std::atoi(aValue.c_str());
    return aOptions.slots_ > 0;
  }
  if (aKey == "--work-ms") {
    aOptions.work_ = std::chrono::milliseconds(std::atoi(aValue.c_str()));
    return true;
  }
  if (aKey == "--cold-start-ms") {
    aOptions.coldStart_ = std::chrono::milliseconds(std::atoi(aValue.c_str()));
    return true;
  }
  return (aKey == "--requests" && address(aOptions.requests_)) ||
         (aKey == "--flows" && address(aOptions.flows_)) ||
         (aKey == "--gue" && address(aOptions.gue_));
}

} // namespace

int
main(int aCount, char** aArguments)
{
  Options options;
  for (int index = 1; index + 1 < aCount; index += 2) {
    if (!Take(options, aArguments[index], aArguments[index + 1])) {
      std::fprintf(stderr, "bad option %s\n", aArguments[index]);
      return 2;
    }
  }
  asio::io_context context;
  Work work(context, options);
  tcp::acceptor acceptor(context,
                         cornelshore::net::ToEndpoint<tcp>(options.requests_));
  Accept(acceptor, work);
  const auto flows = cornelshore::net::UdpSocket::Open(context, options.flows_);
  const auto gue = cornelshore::net::UdpSocket::Open(context, options.gue_);
  if (!flows.ok() || !gue.ok()) {
    std::cerr << flows.status() << ' ' << gue.status() << '\n';
    return 1;
  }
  EchoPlain(**flows, options.name_);
  EchoGue(**gue, options.name_);
  asio::signal_set signals(context, SIGINT, SIGTERM);
  signals.async_wait([&](const ErrorValue&, int) { context.stop(); });
  context.run();
  return 0;
}
