#ifndef CORNELSHORE_DAEMON_SENDER_HPP
#define CORNELSHORE_DAEMON_SENDER_HPP

#include <array>
#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <thread>
#include <variant>
#include <vector>

#include <cornelshore/core/address.hpp>
#include <cornelshore/net/peer_streams.hpp>
#include <cornelshore/net/ring.hpp>
#include <cornelshore/net/udp_socket.hpp>
#include <cornelshore/role/message.hpp>
#include <cornelshore/wire/seal.hpp>

namespace cornelshore::daemon {

/** @brief Bytes for a caller, by one of the process's own sockets. */
struct ToCaller
{
  net::UdpSocket* socket_{};
  std::string bytes_;
};

/** @brief One thing to send; messages are encoded and sealed on the way. */
struct Outgoing
{
  Address to_;
  std::variant<role::Message, ToCaller> body_;
};

/** @brief Ring from one thread to the sending thread. */
using SendRing = net::Ring<Outgoing>;

/**
 * @brief Encodes, seals and sends in batches.
 *
 * By a thread of its own, or by the deciding thread between two events: where
 * a core's share is small, each hand-over to another thread costs more than
 * the sending.
 *
 * Messages of the control group go by streams, all else by datagrams.
 */
class Sender
{
public:
  /** @brief Counts of what was sent. */
  struct Counters
  {
    std::uint64_t sent_{};
    std::uint64_t dropped_{}; ///< Full rings.
  };

  /**
   * @param aKeys Keys that seal.
   * @param aSocket Socket for datagrams to other processes.
   * @param aStreams Streams of the control group; null at other roles.
   */
  Sender(const wire::KeyRing& aKeys,
         NodeId aSelf,
         Incarnation aIncarnation,
         net::UdpSocket& aSocket,
         net::PeerStreams* aStreams);
  ~Sender();
  Sender(const Sender&) = delete;
  Sender& operator=(const Sender&) = delete;

  /** @brief Makes a ring for one producer; only before `Start()`. */
  [[nodiscard]] SendRing& AddRing();

  /** @brief Starts the sending thread; without it, `Poll` sends. */
  void Start();

  /** @brief Sends what waits; on one thread only, and not after `Start`. */
  void Poll();

  /** @brief Sends what waits, then ends. */
  void Stop();

  /** @brief Goes over to another key ring; from any thread. */
  void Rotate(const wire::KeyRing& aKeys);

  [[nodiscard]] Counters Count() const;

  /** @brief Bytes handed to the sockets, with seals, by purpose. */
  [[nodiscard]] std::uint64_t BytesFor(
    role::TrafficPurpose aPurpose) const noexcept
  {
    return bytes_[static_cast<std::size_t>(aPurpose)];
  }

private:
  void Run();
  void TakeNewKeys();
  std::size_t SendWaiting();
  void Take(Outgoing& aOutgoing);
  void CountBytes(role::TrafficPurpose aPurpose, std::size_t aBytes);
  void Flush();

  net::UdpSocket& socket_;
  net::PeerStreams* streams_;
  wire::Sealer datagrams_;
  wire::Sealer frames_;
  net::Signal signal_;
  std::vector<std::unique_ptr<SendRing>> rings_;
  std::vector<net::OutDatagram> batch_;
  std::shared_ptr<const wire::KeyRing> newKeys_;
  std::atomic<bool> stopping_{ false };
  std::atomic<std::uint64_t> sent_{ 0 };
  std::array<std::atomic<std::uint64_t>, role::kTrafficPurposeNames.size()>
    bytes_{};
  std::thread thread_;
};

} // namespace cornelshore::daemon

#endif
