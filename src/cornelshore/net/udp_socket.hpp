#ifndef CORNELSHORE_NET_UDP_SOCKET_HPP
#define CORNELSHORE_NET_UDP_SOCKET_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cornelshore/core/address.hpp>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace cornelshore::net {

/** @brief Largest datagram that is sent or received. */
inline constexpr std::size_t kLargestDatagramBytes = 65507;

/** @brief One datagram to send. */
struct OutDatagram
{
  Address to_;
  std::string bytes_;
};

/**
 * @brief UDP socket that receives and sends in batches.
 *
 * Receives on an Asio thread; sends from any one thread. Batches use
 * `recvmmsg` and `sendmmsg` on the socket's native handle.
 */
class UdpSocket
{
public:
  /** @brief Called for each datagram; the bytes live until it returns. */
  using Receive = std::function<void(const Address&, std::string_view)>;

  /** @brief Counts of what the socket met. */
  struct Counters
  {
    std::uint64_t received_{};
    std::uint64_t truncated_{};
    std::uint64_t sent_{};
    std::uint64_t sendErrors_{};
  };

  /**
   * @brief Opens and binds a socket.
   * @param aAddress Address to bind; port 0 picks a free one.
   * @return The socket, or `Unavailable` with the address and why.
   */
  [[nodiscard]] static absl::StatusOr<std::unique_ptr<UdpSocket>> Open(
    boost::asio::io_context& aContext,
    const Address& aAddress);

  ~UdpSocket();
  UdpSocket(const UdpSocket&) = delete;
  UdpSocket& operator=(const UdpSocket&) = delete;

  /** @brief Starts to receive on the context's threads. */
  void StartReceiving(Receive aReceive);

  /** @brief Stops receiving; sending stays possible. */
  void StopReceiving();

  /**
   * @brief Sends datagrams, dropping those the kernel does not take.
   * @return How many the kernel took.
   */
  std::size_t Send(std::span<const OutDatagram> aDatagrams);

  /** @brief Sends one datagram; false when the kernel did not take it. */
  bool Send(const Address& aTo, std::string_view aBytes);

  /** @brief Address it is bound to. */
  [[nodiscard]] Address Local() const;

  [[nodiscard]] Counters Count() const;

private:
  class Implementation;

  explicit UdpSocket(std::shared_ptr<Implementation> aImplementation);

  std::shared_ptr<Implementation> implementation_;
};

} // namespace cornelshore::net

#endif
