#include <cornelshore/rpc/server.hpp>

#include <array>
#include <atomic>
#include <chrono>
#include <istream>
#include <sstream>
#include <thread>
#include <utility>

#include <boost/asio.hpp>
#include <boost/asio/ssl.hpp>
#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/server/abstractserver.h>
#include <jsonrpccpp/server/abstractserverconnector.h>

#include <cornelshore/rpc/tls.hpp>

namespace cornelshore {
namespace rpc {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using ErrorValue = boost::system::error_code;

constexpr std::size_t kLongestLineBytes = 1024 * 1024;
constexpr int kMostConnections = 64;
constexpr int kThreads = 4;
constexpr std::chrono::seconds kLongestSilence{ 15 };

struct Counts
{
  std::atomic<std::uint64_t> calls_{ 0 };
  std::atomic<std::uint64_t> refused_{ 0 };
  std::atomic<std::uint64_t> oversized_{ 0 };
  std::atomic<std::uint64_t> stalled_{ 0 };
  std::atomic<int> open_{ 0 };
};

using LineHandler = std::function<std::string(const std::string&)>;

/** One connection: reads a line, answers it, reads the next. */
template<typename Stream>
class Session : public std::enable_shared_from_this<Session<Stream>>
{
public:
  template<typename... Arguments>
  Session(Counts& aCounts,
          const LineHandler& aHandler,
          tcp::socket aSocket,
          Arguments&... aArguments)
    : counts_(aCounts)
    , handler_(aHandler)
    , stream_(std::move(aSocket), aArguments...)
    , timer_(stream_.get_executor())
    , buffer_(kLongestLineBytes)
  {
    ++counts_.open_;
  }

  ~Session() { --counts_.open_; }
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  void Start() { Handshake(stream_); }

private:
  using Base = std::enable_shared_from_this<Session<Stream>>;

  void Handshake(tcp::socket&) { ReadLine(); }

  void Handshake(asio::ssl::stream<tcp::socket>& aStream)
  {
    Watch();
    auto self = Base::shared_from_this();
    aStream.async_handshake(asio::ssl::stream_base::server,
                            [self](const ErrorValue& aError) {
                              if (aError) {
                                ++self->counts_.refused_;
                                self->Close();
                                return;
                              }
                              self->ReadLine();
                            });
  }

  void Watch()
  {
    timer_.expires_after(kLongestSilence);
    std::weak_ptr<Session> weak = Base::shared_from_this();
    timer_.async_wait([weak](const ErrorValue& aError) {
      const auto self = weak.lock();
      if (!aError && self) {
        ++self->counts_.stalled_;
        self->Close();
      }
    });
  }

  void Close()
  {
    ErrorValue ignored;
    timer_.cancel(ignored);
    stream_.lowest_layer().close(ignored);
  }

  void ReadLine()
  {
    Watch();
    auto self = Base::shared_from_this();
    asio::async_read_until(
      stream_, buffer_, '\n', [self](const ErrorValue& aError, std::size_t) {
        if (aError) {
          if (aError == asio::error::not_found) {
            ++self->counts_.oversized_;
          }
          self->Close();
          return;
        }
        self->Answer();
      });
  }

  void Answer()
  {
    std::istream input(&buffer_);
    std::string line;
    std::getline(input, line);
    ++counts_.calls_;
    answer_ = handler_(line);
    if (answer_.empty() || answer_.back() != '\n') {
      answer_.push_back('\n');
    }
    Watch();
    auto self = Base::shared_from_this();
    asio::async_write(stream_,
                      asio::buffer(answer_),
                      [self](const ErrorValue& aError, std::size_t) {
                        if (aError) {
                          self->Close();
                          return;
                        }
                        self->ReadLine();
                      });
  }

  Counts& counts_;
  const LineHandler& handler_;
  Stream stream_;
  asio::steady_timer timer_;
  asio::streambuf buffer_;
  std::string answer_;
};

/** Connector for libjsonrpccpp that binds an address and checks peers. */
class AsioConnector : public jsonrpc::AbstractServerConnector
{
public:
  AsioConnector(Endpoint aEndpoint, TlsFiles aTls)
    : endpoint_(std::move(aEndpoint))
    , tls_(std::move(aTls))
    , context_(asio::ssl::context::tls)
    , acceptor_(io_)
    , handler_([this](const std::string& aLine) { return Handle(aLine); })
  {
  }

  bool StartListening() override
  {
    try {
      if (!tls_.authority_.empty()) {
        internal::Configure(context_, tls_);
      }
      const tcp::endpoint endpoint(asio::ip::make_address(endpoint_.ip_),
                                   endpoint_.port_);
      acceptor_.open(endpoint.protocol());
      acceptor_.set_option(tcp::acceptor::reuse_address(true));
      acceptor_.bind(endpoint);
      acceptor_.listen();
    } catch (const boost::system::system_error& error) {
      error_ = error.what();
      return false;
    }
    Accept();
    for (int index = 0; index < kThreads; ++index) {
      threads_.emplace_back([this] { io_.run(); });
    }
    return true;
  }

  bool StopListening() override
  {
    io_.stop();
    for (auto& thread : threads_) {
      thread.join();
    }
    threads_.clear();
    return true;
  }

  bool SendResponse(const std::string&, void*) override { return false; }

  std::uint16_t Port() const { return acceptor_.local_endpoint().port(); }
  const std::string& Error() const { return error_; }
  const Counts& Counters() const { return counts_; }

private:
  /** libjsonrpccpp lets the errors of its JSON parser through: nesting beyond
   * its bound, or a value of another type than it expects. */
  std::string Handle(const std::string& aLine)
  {
    std::string response;
    try {
      GetHandler()->HandleRequest(aLine, response);
    } catch (const std::exception&) {
      ++counts_.refused_;
      response = R"({"jsonrpc":"2.0","id":null,"error":{"code":-32600,)"
                 R"("message":"the line is no valid call"}})";
    }
    return response;
  }

  void Accept()
  {
    acceptor_.async_accept(
      asio::make_strand(io_),
      [this](const ErrorValue& aError, tcp::socket aSocket) {
        if (!aError) {
          Begin(std::move(aSocket));
        }
        if (acceptor_.is_open()) {
          Accept();
        }
      });
  }

  void Begin(tcp::socket aSocket)
  {
    if (counts_.open_ >= kMostConnections) {
      ++counts_.refused_;
      return;
    }
    if (tls_.authority_.empty()) {
      std::make_shared<Session<tcp::socket>>(
        counts_, handler_, std::move(aSocket))
        ->Start();
      return;
    }
    std::make_shared<Session<asio::ssl::stream<tcp::socket>>>(
      counts_, handler_, std::move(aSocket), context_)
      ->Start();
  }

  Endpoint endpoint_;
  TlsFiles tls_;
  Counts counts_;
  asio::ssl::context context_;
  asio::io_context io_;
  tcp::acceptor acceptor_;
  LineHandler handler_;
  std::vector<std::thread> threads_;
  std::string error_;
};

/** Hands every method to one handler. */
class MethodServer : public jsonrpc::AbstractServer<MethodServer>
{
public:
  MethodServer(AsioConnector& aConnector,
               const std::vector<std::string>& aMethods,
               Server::Handler aHandler)
    : jsonrpc::AbstractServer<MethodServer>(aConnector,
                                            jsonrpc::JSONRPC_SERVER_V2)
    , handle_(std::move(aHandler))
  {
    for (const auto& method : aMethods) {
      bindAndAddMethod(
        jsonrpc::Procedure(
          method, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, nullptr),
        &MethodServer::Unreached);
    }
  }

  void HandleMethodCall(jsonrpc::Procedure& aProcedure,
                        const Json::Value& aInput,
                        Json::Value& aOutput) override
  {
    Json::StreamWriterBuilder writer;
    writer["indentation"] = "";
    const auto reply =
      handle_(aProcedure.GetProcedureName(), Json::writeString(writer, aInput));
    if (reply.code_ != ErrorCode::None) {
      throw jsonrpc::JsonRpcException(static_cast<int>(reply.code_),
                                      reply.message_);
    }
    std::istringstream stream(reply.json_);
    Json::parseFromStream(Json::CharReaderBuilder(), stream, &aOutput, nullptr);
  }

private:
  void Unreached(const Json::Value&, Json::Value&) {}

  Server::Handler handle_;
};

} // namespace

class Server::Implementation
{
public:
  Implementation(Endpoint aEndpoint,
                 TlsFiles aTls,
                 const std::vector<std::string>& aMethods,
                 Handler aHandler)
    : connector_(std::move(aEndpoint), std::move(aTls))
    , methods_(connector_, aMethods, std::move(aHandler))
  {
  }

  AsioConnector connector_;
  MethodServer methods_;
};

Server::Server(Endpoint aEndpoint,
               TlsFiles aTls,
               std::vector<std::string> aMethods,
               Handler aHandler)
  : implementation_(new Implementation(std::move(aEndpoint),
                                       std::move(aTls),
                                       aMethods,
                                       std::move(aHandler)))
{
}

Server::~Server()
{
  Stop();
}

bool
Server::Start(std::string& aError)
{
  if (implementation_->methods_.StartListening()) {
    return true;
  }
  aError = implementation_->connector_.Error();
  return false;
}

void
Server::Stop()
{
  implementation_->connector_.StopListening();
}

std::uint16_t
Server::Port() const
{
  return implementation_->connector_.Port();
}

ServerCounters
Server::Counters() const
{
  const auto& counts = implementation_->connector_.Counters();
  return { counts.calls_, counts.refused_, counts.oversized_, counts.stalled_ };
}

} // namespace rpc
} // namespace cornelshore
