#ifndef CORNELSHORE_NET_PEER_STREAMS_HPP
#define CORNELSHORE_NET_PEER_STREAMS_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <absl/status/status.h>

#include <cornelshore/core/address.hpp>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace cornelshore::net {

/** @brief Largest frame of a stream between processes. */
inline constexpr std::size_t kLargestFrameBytes = 8 * 1024 * 1024;

/**
 * @brief Frames between control processes over TCP, for what a datagram does
 * not hold.
 *
 * A frame is its length as four bytes, big-endian, and its bytes. Frames may
 * be lost when a connection breaks or a queue is full, and none is given
 * twice; the messages in them are authenticated by who uses this. Methods may
 * be called from any thread.
 */
class PeerStreams
{
public:
  /** @brief Called for each frame, on the context's thread. */
  using Receive = std::function<void(std::string_view)>;

  /** @brief Counts of what the streams met. */
  struct Counters
  {
    std::uint64_t dropped_{};   ///< Frames not sent: no connection or room.
    std::uint64_t oversized_{}; ///< Connections closed for a wrong length.
    std::uint64_t stalled_{};   ///< Connections closed for a half frame.
  };

  PeerStreams(boost::asio::io_context& aContext, Receive aReceive);
  ~PeerStreams();
  PeerStreams(const PeerStreams&) = delete;
  PeerStreams& operator=(const PeerStreams&) = delete;

  /** @return OK, or `Unavailable` with the address and why. */
  [[nodiscard]] absl::Status Listen(const Address& aAddress);

  /** @brief Sends a frame, connecting first when need be. */
  void Send(const Address& aTo, std::string aFrame);

  void Stop();

  [[nodiscard]] Counters Count() const;

private:
  class Implementation;
  std::shared_ptr<Implementation> implementation_;
};

} // namespace cornelshore::net

#endif
