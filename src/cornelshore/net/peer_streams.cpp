#include <utility>

#include <cornelshore/net/peer_streams.hpp>

#include <array>
#include <atomic>
#include <chrono>
#include <deque>
#include <map>
#include <vector>

#include <absl/strings/str_cat.h>
#include <boost/asio.hpp>

#include <cornelshore/net/asio_address.hpp>
#include <cornelshore/net/peer_timeout.hpp>

namespace cornelshore::net {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using ErrorValue = boost::system::error_code;

constexpr std::size_t kHeadBytes = 4;
constexpr std::size_t kMostQueuedFrames = 256;
constexpr std::size_t kMostQueuedBytes = 4 * kLargestFrameBytes;
constexpr std::size_t kMostIncoming = 64;
constexpr std::chrono::seconds kLongestHalfFrame{ 10 };

/** A peer that acknowledges nothing for so long is connected to anew: many
 * round trips between regions, and less than an election takes. */
constexpr std::chrono::milliseconds kPeerTimeout{ 1000 };

/** A connection that is not there by then is tried again: the system would
 * repeat a lost opening packet only after a second or more. */
constexpr std::chrono::milliseconds kConnectTimeout{ 300 };

struct Counts
{
  std::atomic<std::uint64_t> dropped_{ 0 };
  std::atomic<std::uint64_t> oversized_{ 0 };
  std::atomic<std::uint64_t> stalled_{ 0 };
  std::atomic<std::size_t> incoming_{ 0 };
};

std::string
Framed(const std::string& aFrame)
{
  const auto size = static_cast<std::uint32_t>(aFrame.size());
  std::string framed;
  framed.reserve(kHeadBytes + aFrame.size());
  for (const auto shift : { 24U, 16U, 8U, 0U }) {
    framed.push_back(static_cast<char>((size >> shift) & 0xFFU));
  }
  return framed + aFrame;
}

/** A connection that others opened: frames come in. */
class Incoming : public std::enable_shared_from_this<Incoming>
{
public:
  Incoming(tcp::socket aSocket,
           const PeerStreams::Receive& aReceive,
           std::shared_ptr<Counts> aCounts)
    : socket_(std::move(aSocket))
    , timer_(socket_.get_executor())
    , receive_(aReceive)
    , counts_(std::move(aCounts))
  {
    ++counts_->incoming_;
  }

  ~Incoming() { --counts_->incoming_; }
  Incoming(const Incoming&) = delete;
  Incoming& operator=(const Incoming&) = delete;

  void ReadHead()
  {
    ErrorValue ignored;
    timer_.cancel(ignored);
    const auto self = shared_from_this();
    asio::async_read(socket_,
                     asio::buffer(head_),
                     [self](const ErrorValue& aError, std::size_t) {
                       if (!aError) {
                         self->ReadBody();
                       }
                     });
  }

private:
  void ReadBody()
  {
    std::size_t size = 0;
    for (const auto byte : head_) {
      size = (size << 8U) | byte;
    }
    if (size == 0 || size > kLargestFrameBytes) {
      ++counts_->oversized_;
      return;
    }
    body_.clear();
    Watch();
    ReadPart(size);
  }

  /** Reads in parts, so that a length alone reserves no memory. */
  void ReadPart(std::size_t aLeft)
  {
    constexpr std::size_t kPartBytes = 64 * 1024;
    const auto before = body_.size();
    const auto part = std::min(aLeft, kPartBytes);
    body_.resize(before + part);
    const auto self = shared_from_this();
    asio::async_read(
      socket_,
      asio::buffer(body_.data() + before, part),
      [self, aLeft, part](const ErrorValue& aError, std::size_t) {
        if (aError) {
          return;
        }
        if (aLeft > part) {
          self->ReadPart(aLeft - part);
          return;
        }
        self->receive_(self->body_);
        self->ReadHead();
      });
  }

  void Watch()
  {
    timer_.expires_after(kLongestHalfFrame);
    std::weak_ptr<Incoming> weak = shared_from_this();
    timer_.async_wait([weak](const ErrorValue& aError) {
      const auto self = weak.lock();
      if (!aError && self) {
        ++self->counts_->stalled_;
        ErrorValue ignored;
        self->socket_.close(ignored);
      }
    });
  }

  tcp::socket socket_;
  asio::steady_timer timer_;
  const PeerStreams::Receive& receive_;
  std::shared_ptr<Counts> counts_;
  std::array<std::uint8_t, kHeadBytes> head_{};
  std::string body_;
};

/** A connection of ours to another process: frames go out. */
class Outgoing : public std::enable_shared_from_this<Outgoing>
{
public:
  Outgoing(asio::io_context& aContext,
           const Address& aTo,
           std::shared_ptr<Counts> aCounts)
    : socket_(aContext)
    , timer_(aContext)
    , to_(aTo)
    , counts_(std::move(aCounts))
  {
  }

  void Send(const std::string& aFrame)
  {
    if (queue_.size() >= kMostQueuedFrames ||
        queuedBytes_ + aFrame.size() > kMostQueuedBytes) {
      ++counts_->dropped_;
      return;
    }
    queue_.push_back(Framed(aFrame));
    queuedBytes_ += queue_.back().size();
    if (!connected_) {
      Connect();
    } else if (!writing_) {
      Write();
    }
  }

  void Close()
  {
    ErrorValue ignored;
    socket_.close(ignored);
  }

private:
  void Connect()
  {
    if (connecting_) {
      return;
    }
    connecting_ = true;
    GiveUpLater();
    const auto self = shared_from_this();
    socket_.async_connect(
      ToEndpoint<tcp>(to_), [self](const ErrorValue& aError) {
        self->connecting_ = false;
        ErrorValue ignored;
        self->timer_.cancel(ignored);
        if (aError) {
          self->Break();
          return;
        }
        internal::SetPeerTimeout(self->socket_, kPeerTimeout);
        self->connected_ = true;
        self->Write();
      });
  }

  void GiveUpLater()
  {
    timer_.expires_after(kConnectTimeout);
    const auto self = shared_from_this();
    timer_.async_wait([self](const ErrorValue& aError) {
      if (!aError && self->connecting_) {
        self->Close();
      }
    });
  }

  void Write()
  {
    if (queue_.empty()) {
      return;
    }
    writing_ = true;
    const auto self = shared_from_this();
    asio::async_write(socket_,
                      asio::buffer(queue_.front()),
                      [self](const ErrorValue& aError, std::size_t) {
                        self->writing_ = false;
                        if (aError) {
                          self->Break();
                          return;
                        }
                        self->queuedBytes_ -= self->queue_.front().size();
                        self->queue_.pop_front();
                        self->Write();
                      });
  }

  void Break()
  {
    counts_->dropped_ += queue_.size();
    queue_.clear();
    queuedBytes_ = 0;
    connected_ = false;
    Close();
  }

  tcp::socket socket_;
  asio::steady_timer timer_;
  Address to_;
  std::shared_ptr<Counts> counts_;
  std::deque<std::string> queue_;
  std::size_t queuedBytes_{ 0 };
  bool connecting_{ false };
  bool connected_{ false };
  bool writing_{ false };
};

} // namespace

class PeerStreams::Implementation
  : public std::enable_shared_from_this<Implementation>
{
public:
  Implementation(asio::io_context& aContext, Receive aReceive)
    : context_(aContext)
    , acceptor_(aContext)
    , receive_(std::move(aReceive))
    , counts_(std::make_shared<Counts>())
  {
  }

  absl::Status Listen(const Address& aAddress)
  {
    const auto endpoint = ToEndpoint<tcp>(aAddress);
    ErrorValue error;
    acceptor_.open(endpoint.protocol(), error);
    if (!error) {
      acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
      acceptor_.bind(endpoint, error);
    }
    if (!error) {
      acceptor_.listen(tcp::socket::max_listen_connections, error);
    }
    if (error) {
      return absl::UnavailableError(absl::StrCat(
        "cannot listen on ", ToString(aAddress), ": ", error.message()));
    }
    Accept();
    return absl::OkStatus();
  }

  void Accept()
  {
    const auto self = shared_from_this();
    acceptor_.async_accept(
      [self](const ErrorValue& aError, tcp::socket aSocket) {
        if (!aError && self->counts_->incoming_ < kMostIncoming) {
          internal::SetPeerTimeout(aSocket, kLongestHalfFrame);
          std::make_shared<Incoming>(
            std::move(aSocket), self->receive_, self->counts_)
            ->ReadHead();
        }
        if (self->acceptor_.is_open()) {
          self->Accept();
        }
      });
  }

  void Send(const Address& aTo, const std::string& aFrame)
  {
    auto& stream = outgoing_[aTo];
    if (!stream) {
      stream = std::make_shared<Outgoing>(context_, aTo, counts_);
    }
    stream->Send(aFrame);
  }

  void Stop()
  {
    ErrorValue ignored;
    acceptor_.close(ignored);
    for (const auto& [address, stream] : outgoing_) {
      stream->Close();
    }
  }

  asio::io_context& context_;
  tcp::acceptor acceptor_;
  Receive receive_;
  std::shared_ptr<Counts> counts_;
  std::map<Address, std::shared_ptr<Outgoing>> outgoing_;
};

PeerStreams::PeerStreams(asio::io_context& aContext, Receive aReceive)
  : implementation_(
      std::make_shared<Implementation>(aContext, std::move(aReceive)))
{
}

PeerStreams::~PeerStreams() = default;

absl::Status
PeerStreams::Listen(const Address& aAddress)
{
  return implementation_->Listen(aAddress);
}

void
PeerStreams::Send(const Address& aTo, std::string aFrame)
{
  auto self = implementation_;
  asio::post(self->context_, [self, aTo, frame = std::move(aFrame)] {
    self->Send(aTo, frame);
  });
}

void
PeerStreams::Stop()
{
  auto self = implementation_;
  asio::post(self->context_, [self] { self->Stop(); });
}

PeerStreams::Counters
PeerStreams::Count() const
{
  const auto& counts = *implementation_->counts_;
  return { counts.dropped_, counts.oversized_, counts.stalled_ };
}

} // namespace cornelshore::net
