#include <utility>

#include <cornelshore/net/udp_socket.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <cstring>

#include <netinet/in.h>
#include <sys/socket.h>

#include <absl/strings/str_cat.h>
#include <boost/asio.hpp>

namespace cornelshore::net {

namespace {

namespace asio = boost::asio;
using asio::ip::udp;

constexpr std::size_t kBatch = 64;
constexpr std::size_t kMostBatchesAtOnce = 8;
constexpr int kKernelBufferBytes = 4 * 1024 * 1024;
constexpr std::size_t kIpv4Offset = 12;

socklen_t
ToSocketAddress(const Address& aAddress, bool aIpv6, sockaddr_storage& aOut)
{
  std::memset(&aOut, 0, sizeof(aOut));
  if (!aIpv6) {
    auto* four = reinterpret_cast<sockaddr_in*>(&aOut);
    four->sin_family = AF_INET;
    four->sin_port = htons(aAddress.port_);
    std::memcpy(&four->sin_addr, aAddress.ip_.data() + kIpv4Offset, 4);
    return sizeof(sockaddr_in);
  }
  auto* six = reinterpret_cast<sockaddr_in6*>(&aOut);
  six->sin6_family = AF_INET6;
  six->sin6_port = htons(aAddress.port_);
  std::memcpy(&six->sin6_addr, aAddress.ip_.data(), aAddress.ip_.size());
  return sizeof(sockaddr_in6);
}

Address
FromSocketAddress(const sockaddr_storage& aFrom)
{
  if (aFrom.ss_family == AF_INET) {
    const auto* four = reinterpret_cast<const sockaddr_in*>(&aFrom);
    return MakeIpv4(ntohl(four->sin_addr.s_addr), ntohs(four->sin_port));
  }
  const auto* six = reinterpret_cast<const sockaddr_in6*>(&aFrom);
  Address address;
  std::memcpy(address.ip_.data(), &six->sin6_addr, address.ip_.size());
  address.port_ = ntohs(six->sin6_port);
  return address;
}

/** Room for one batch; a thread needs one for all its sockets. */
class Batch
{
public:
  Batch()
    : buffer_(kBatch * kLargestDatagramBytes)
  {
    for (std::size_t index = 0; index < kBatch; ++index) {
      vectors_[index].iov_base = buffer_.data() + index * kLargestDatagramBytes;
      vectors_[index].iov_len = kLargestDatagramBytes;
      messages_[index].msg_hdr.msg_iov = &vectors_[index];
      messages_[index].msg_hdr.msg_iovlen = 1;
      messages_[index].msg_hdr.msg_name = &addresses_[index];
    }
  }

  Batch(const Batch&) = delete;
  Batch& operator=(const Batch&) = delete;

  int Receive(int aSocket)
  {
    for (auto& message : messages_) {
      message.msg_hdr.msg_namelen = sizeof(sockaddr_storage);
    }
    return ::recvmmsg(aSocket, messages_.data(), kBatch, MSG_DONTWAIT, nullptr);
  }

  [[nodiscard]] bool Truncated(std::size_t aIndex) const
  {
    return (messages_[aIndex].msg_hdr.msg_flags & MSG_TRUNC) != 0;
  }

  [[nodiscard]] Address From(std::size_t aIndex) const
  {
    return FromSocketAddress(addresses_[aIndex]);
  }

  [[nodiscard]] std::string_view Bytes(std::size_t aIndex) const
  {
    return { static_cast<const char*>(vectors_[aIndex].iov_base),
             messages_[aIndex].msg_len };
  }

private:
  std::vector<char> buffer_;
  std::array<mmsghdr, kBatch> messages_{};
  std::array<iovec, kBatch> vectors_{};
  std::array<sockaddr_storage, kBatch> addresses_{};
};

Batch&
BatchOfThread()
{
  thread_local Batch batch;
  return batch;
}

} // namespace

class UdpSocket::Implementation
  : public std::enable_shared_from_this<Implementation>
{
public:
  explicit Implementation(asio::io_context& aContext)
    : socket_(aContext)
  {
  }

  absl::Status Bind(const Address& aAddress)
  {
    ipv6_ = !IsIpv4(aAddress);
    boost::system::error_code error;
    socket_.open(ipv6_ ? udp::v6() : udp::v4(), error);
    sockaddr_storage address{};
    const auto size = ToSocketAddress(aAddress, ipv6_, address);
    if (error || ::bind(socket_.native_handle(),
                        reinterpret_cast<const sockaddr*>(&address),
                        size) != 0) {
      const auto why = error ? error.message() : std::strerror(errno);
      return absl::UnavailableError(
        absl::StrCat("cannot listen on ", ToString(aAddress), ": ", why));
    }
    socket_.set_option(udp::socket::receive_buffer_size(kKernelBufferBytes),
                       error);
    socket_.set_option(udp::socket::send_buffer_size(kKernelBufferBytes),
                       error);
    socket_.non_blocking(true, error);
    return absl::OkStatus();
  }

  void Wait()
  {
    std::weak_ptr<Implementation> weak = shared_from_this();
    socket_.async_wait(udp::socket::wait_read,
                       [weak](const boost::system::error_code& aError) {
                         const auto self = weak.lock();
                         if (!self || aError || self->stopped_) {
                           return;
                         }
                         self->ReceiveBatches();
                         self->Wait();
                       });
  }

  void ReceiveBatches()
  {
    for (std::size_t batch = 0; batch < kMostBatchesAtOnce; ++batch) {
      if (ReceiveBatch() < static_cast<int>(kBatch)) {
        return;
      }
    }
  }

  std::size_t Send(std::span<const OutDatagram> aDatagrams)
  {
    std::size_t taken = 0;
    while (!aDatagrams.empty()) {
      const auto count = std::min(aDatagrams.size(), kBatch);
      taken += SendBatch(aDatagrams.first(count));
      aDatagrams = aDatagrams.subspan(count);
    }
    sent_ += taken;
    return taken;
  }

  bool SendOne(const Address& aTo, std::string_view aBytes)
  {
    sockaddr_storage address{};
    const auto size = ToSocketAddress(aTo, ipv6_, address);
    const auto done = ::sendto(socket_.native_handle(),
                               aBytes.data(),
                               aBytes.size(),
                               MSG_DONTWAIT,
                               reinterpret_cast<const sockaddr*>(&address),
                               size);
    (done < 0 ? sendErrors_ : sent_) += 1;
    return done >= 0;
  }

  udp::socket socket_;
  Receive receive_;
  std::atomic<bool> stopped_{ false };
  std::atomic<std::uint64_t> received_{ 0 };
  std::atomic<std::uint64_t> truncated_{ 0 };
  std::atomic<std::uint64_t> sent_{ 0 };
  std::atomic<std::uint64_t> sendErrors_{ 0 };

private:
  int ReceiveBatch()
  {
    auto& batch = BatchOfThread();
    const auto count = batch.Receive(socket_.native_handle());
    for (std::size_t index = 0; static_cast<int>(index) < count; ++index) {
      ++received_;
      if (batch.Truncated(index)) {
        ++truncated_;
        continue;
      }
      receive_(batch.From(index), batch.Bytes(index));
    }
    return count;
  }

  std::size_t SendBatch(std::span<const OutDatagram> aBatch)
  {
    std::array<mmsghdr, kBatch> out{};
    std::array<iovec, kBatch> vectors{};
    std::array<sockaddr_storage, kBatch> addresses;
    for (std::size_t index = 0; index < aBatch.size(); ++index) {
      const auto& datagram = aBatch[index];
      vectors[index].iov_base = const_cast<char*>(datagram.bytes_.data());
      vectors[index].iov_len = datagram.bytes_.size();
      auto& header = out[index].msg_hdr;
      header.msg_iov = &vectors[index];
      header.msg_iovlen = 1;
      header.msg_name = &addresses[index];
      header.msg_namelen =
        ToSocketAddress(datagram.to_, ipv6_, addresses[index]);
    }
    return SendAll(std::span(out.data(), aBatch.size()));
  }

  std::size_t SendAll(std::span<mmsghdr> aMessages)
  {
    std::size_t taken = 0;
    while (!aMessages.empty()) {
      const auto count = ::sendmmsg(socket_.native_handle(),
                                    aMessages.data(),
                                    static_cast<unsigned>(aMessages.size()),
                                    MSG_DONTWAIT);
      if (count > 0) {
        taken += static_cast<std::size_t>(count);
        aMessages = aMessages.subspan(static_cast<std::size_t>(count));
        continue;
      }
      ++sendErrors_;
      aMessages = aMessages.subspan(1);
    }
    return taken;
  }

  bool ipv6_{};
};

UdpSocket::UdpSocket(std::shared_ptr<Implementation> aImplementation)
  : implementation_(std::move(aImplementation))
{
}

UdpSocket::~UdpSocket()
{
  StopReceiving();
}

absl::StatusOr<std::unique_ptr<UdpSocket>>
UdpSocket::Open(boost::asio::io_context& aContext, const Address& aAddress)
{
  auto implementation = std::make_shared<Implementation>(aContext);
  const auto status = implementation->Bind(aAddress);
  if (!status.ok()) {
    return status;
  }
  return std::unique_ptr<UdpSocket>(new UdpSocket(std::move(implementation)));
}

void
UdpSocket::StartReceiving(Receive aReceive)
{
  implementation_->receive_ = std::move(aReceive);
  implementation_->Wait();
}

void
UdpSocket::StopReceiving()
{
  if (implementation_->stopped_.exchange(true)) {
    return;
  }
  auto implementation = implementation_;
  asio::post(implementation->socket_.get_executor(), [implementation] {
    boost::system::error_code ignored;
    implementation->socket_.cancel(ignored);
  });
}

std::size_t
UdpSocket::Send(std::span<const OutDatagram> aDatagrams)
{
  return implementation_->Send(aDatagrams);
}

bool
UdpSocket::Send(const Address& aTo, std::string_view aBytes)
{
  return implementation_->SendOne(aTo, aBytes);
}

Address
UdpSocket::Local() const
{
  sockaddr_storage address{};
  socklen_t size = sizeof(address);
  if (::getsockname(implementation_->socket_.native_handle(),
                    reinterpret_cast<sockaddr*>(&address),
                    &size) != 0) {
    return {};
  }
  return FromSocketAddress(address);
}

UdpSocket::Counters
UdpSocket::Count() const
{
  return { implementation_->received_,
           implementation_->truncated_,
           implementation_->sent_,
           implementation_->sendErrors_ };
}

} // namespace cornelshore::net
