#include <utility>

#include <cornelshore/net/http_server.hpp>

#include <atomic>
#include <chrono>
#include <future>
#include <optional>
#include <thread>
#include <vector>

#include <absl/strings/str_cat.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <cornelshore/net/asio_address.hpp>
#include <cornelshore/net/peer_timeout.hpp>

namespace cornelshore::net {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

/** Pause after the process ran out of descriptors. */
constexpr std::chrono::milliseconds kAcceptPause{ 100 };

/** How often `Finish` looks whether all connections have ended. */
constexpr std::chrono::milliseconds kFinishPoll{ 1 };

/** Whether the peer sent something that is no call, rather than nothing. */
bool
IsMalformed(beast::error_code aError)
{
  const beast::error_code ofHttp = http::error::bad_method;
  return aError.category() == ofHttp.category() &&
         aError != http::error::end_of_stream &&
         aError != http::error::partial_message;
}

/** Answers one call, once; with 503 if nobody else did. */
class Answerer
{
public:
  using Give = std::function<void(HttpResponse)>;

  explicit Answerer(Give aGive)
    : give_(std::move(aGive))
  {
  }

  ~Answerer() { (*this)({ 503, R"({"error":"not answered"})" }); }
  Answerer(const Answerer&) = delete;
  Answerer& operator=(const Answerer&) = delete;

  void operator()(HttpResponse aResponse)
  {
    if (!given_.exchange(true)) {
      give_(std::move(aResponse));
    }
  }

private:
  Give give_;
  std::atomic<bool> given_{ false };
};

/** What the connections of one server share. */
struct Shared
{
  HttpLimits limits_;
  HttpServer::Handle handle_;
  std::atomic<std::size_t> connections_{ 0 };
  std::atomic<bool> finishing_{ false }; ///< No connection is kept alive.
};

/** One connection; its calls are served one after the other. */
class Session : public std::enable_shared_from_this<Session>
{
public:
  Session(tcp::socket aSocket, std::shared_ptr<Shared> aShared)
    : stream_(std::move(aSocket))
    , shared_(std::move(aShared))
  {
    ++shared_->connections_;
  }

  ~Session() { --shared_->connections_; }
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  void Read()
  {
    parser_.emplace();
    parser_->header_limit(
      static_cast<std::uint32_t>(shared_->limits_.headerBytes_));
    parser_->body_limit(shared_->limits_.bodyBytes_);
    stream_.expires_after(shared_->limits_.readTimeout_);
    http::async_read(
      stream_,
      buffer_,
      *parser_,
      [self = shared_from_this()](beast::error_code aError, std::size_t) {
        self->OnRead(aError);
      });
  }

  /** Closes a connection that awaits its next call, unless some of it has
   * arrived. */
  void CloseIfIdle()
  {
    beast::error_code error;
    const auto arrived = stream_.socket().available(error);
    if (served_ && !pending_ && buffer_.size() == 0 && !error && arrived == 0) {
      stream_.close();
    }
  }

private:
  void OnRead(beast::error_code aError)
  {
    if (!aError) {
      Serve();
    } else if (aError == http::error::body_limit) {
      Answer({ 413, R"({"error":"too large"})" }, false);
    } else if (IsMalformed(aError)) {
      Answer({ 400, R"({"error":"malformed"})" }, false);
    }
  }

  void Serve()
  {
    auto& message = parser_->get();
    const auto keepAlive = message.keep_alive();
    HttpRequest request{ std::string(message.method_string()),
                         std::string(message.target()),
                         std::move(message.body()) };
    stream_.expires_never();
    std::weak_ptr<Session> weak = shared_from_this();
    pending_ = shared_from_this();
    const auto answerer =
      std::make_shared<Answerer>([weak, keepAlive](HttpResponse aResponse) {
        const auto self = weak.lock();
        if (!self) {
          return;
        }
        asio::post(self->stream_.get_executor(),
                   [self, keepAlive, response = std::move(aResponse)]() {
                     self->Answer(response, keepAlive);
                   });
      });
    shared_->handle_(std::move(request), [answerer](HttpResponse aResponse) {
      (*answerer)(std::move(aResponse));
    });
  }

  void Answer(const HttpResponse& aResponse, bool aMayKeepAlive)
  {
    const auto keepAlive = aMayKeepAlive && !shared_->finishing_;
    served_ = true;
    response_ = {};
    response_.version(11);
    response_.result(aResponse.status_);
    response_.set(http::field::content_type, "application/json");
    response_.keep_alive(keepAlive);
    response_.body() = aResponse.body_;
    response_.prepare_payload();
    stream_.expires_after(shared_->limits_.readTimeout_);
    http::async_write(stream_,
                      response_,
                      [self = shared_from_this(),
                       keepAlive](beast::error_code aError, std::size_t) {
                        self->pending_.reset();
                        if (!aError && keepAlive) {
                          self->Read();
                          return;
                        }
                        beast::error_code ignored;
                        self->stream_.socket().shutdown(
                          tcp::socket::shutdown_send, ignored);
                      });
  }

  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  std::shared_ptr<Shared> shared_;
  std::optional<http::request_parser<http::string_body>> parser_;
  http::response<http::string_body> response_;
  std::shared_ptr<Session> pending_; ///< Itself, while a call is served.
  bool served_{};                    ///< A call before the next one.
};

} // namespace

class HttpServer::Implementation
  : public std::enable_shared_from_this<Implementation>
{
public:
  Implementation(asio::io_context& aContext,
                 const HttpLimits& aLimits,
                 Handle aHandle)
    : context_(aContext)
    , acceptor_(aContext)
    , pause_(aContext)
    , shared_(std::make_shared<Shared>())
  {
    shared_->limits_ = aLimits;
    shared_->handle_ = std::move(aHandle);
  }

  absl::Status Open(const Address& aAddress)
  {
    const auto endpoint = ToEndpoint<tcp>(aAddress);
    boost::system::error_code error;
    acceptor_.open(endpoint.protocol(), error);
    if (!error) {
      acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
    }
    if (!error) {
      acceptor_.bind(endpoint, error);
    }
    if (!error) {
      acceptor_.listen(tcp::acceptor::max_listen_connections, error);
    }
    if (error) {
      return absl::UnavailableError(absl::StrCat(
        "cannot listen on ", ToString(aAddress), ": ", error.message()));
    }
    return absl::OkStatus();
  }

  void Accept()
  {
    acceptor_.async_accept(
      [self = shared_from_this()](const boost::system::error_code& aError,
                                  tcp::socket aSocket) {
        self->OnAccept(aError, std::move(aSocket));
      });
  }

  void Close()
  {
    asio::post(context_,
               [self = shared_from_this()] { self->StopAccepting(); });
  }

  void Finish(Duration aLimit)
  {
    const auto until = std::chrono::steady_clock::now() + aLimit;
    const auto begun = std::make_shared<std::promise<void>>();
    asio::post(context_, [self = shared_from_this(), begun] {
      self->BeginFinish();
      begun->set_value();
    });
    begun->get_future().wait_until(until);
    while (shared_->connections_ != 0 &&
           std::chrono::steady_clock::now() < until) {
      std::this_thread::sleep_for(kFinishPoll);
    }
  }

  [[nodiscard]] Address Local() const
  {
    boost::system::error_code error;
    const auto endpoint = acceptor_.local_endpoint(error);
    if (error || !endpoint.address().is_v4()) {
      return {};
    }
    return MakeIpv4(endpoint.address().to_v4().to_uint(), endpoint.port());
  }

private:
  void OnAccept(const boost::system::error_code& aError, tcp::socket aSocket)
  {
    if (!aError) {
      Begin(std::move(aSocket));
    }
    if (!acceptor_.is_open()) {
      return;
    }
    if (aError) {
      pause_.expires_after(kAcceptPause);
      pause_.async_wait(
        [self = shared_from_this()](const boost::system::error_code& aCancel) {
          if (!aCancel) {
            self->Accept();
          }
        });
      return;
    }
    Accept();
  }

  void Begin(tcp::socket aSocket)
  {
    if (shared_->connections_ >= shared_->limits_.connections_) {
      return;
    }
    internal::SetPeerTimeout(aSocket, shared_->limits_.peerTimeout_);
    auto session = std::make_shared<Session>(std::move(aSocket), shared_);
    std::erase_if(sessions_,
                  [](const auto& aSession) { return aSession.expired(); });
    sessions_.push_back(session);
    session->Read();
  }

  void BeginFinish()
  {
    shared_->finishing_ = true;
    // The kernel has accepted these; closing the listener would reset them.
    boost::system::error_code error;
    acceptor_.non_blocking(true, error);
    while (!error) {
      tcp::socket socket(context_);
      acceptor_.accept(socket, error);
      if (!error) {
        Begin(std::move(socket));
      }
    }
    StopAccepting();
    for (const auto& weak : sessions_) {
      if (const auto session = weak.lock()) {
        session->CloseIfIdle();
      }
    }
  }

  void StopAccepting()
  {
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    pause_.cancel();
  }

  asio::io_context& context_;
  tcp::acceptor acceptor_;
  asio::steady_timer pause_;
  std::shared_ptr<Shared> shared_;
  std::vector<std::weak_ptr<Session>> sessions_;
};

HttpServer::HttpServer(std::shared_ptr<Implementation> aImplementation)
  : implementation_(std::move(aImplementation))
{
}

HttpServer::~HttpServer()
{
  implementation_->Close();
}

absl::StatusOr<std::unique_ptr<HttpServer>>
HttpServer::Listen(asio::io_context& aContext,
                   const Address& aAddress,
                   const HttpLimits& aLimits,
                   Handle aHandle)
{
  auto implementation =
    std::make_shared<Implementation>(aContext, aLimits, std::move(aHandle));
  if (auto status = implementation->Open(aAddress); !status.ok()) {
    return status;
  }
  implementation->Accept();
  return std::unique_ptr<HttpServer>(new HttpServer(std::move(implementation)));
}

void
HttpServer::Finish(Duration aLimit)
{
  implementation_->Finish(aLimit);
}

Address
HttpServer::Local() const
{
  return implementation_->Local();
}

} // namespace cornelshore::net
