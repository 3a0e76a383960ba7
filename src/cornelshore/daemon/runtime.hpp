#ifndef CORNELSHORE_DAEMON_RUNTIME_HPP
#define CORNELSHORE_DAEMON_RUNTIME_HPP

#include <array>
#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <cornelshore/core/figure.hpp>
#include <cornelshore/daemon/sender.hpp>
#include <cornelshore/dissemination/node.hpp>
#include <cornelshore/metrics/publisher.hpp>
#include <cornelshore/net/peer_streams.hpp>
#include <cornelshore/net/udp_socket.hpp>
#include <cornelshore/role/event.hpp>
#include <cornelshore/role/link_meter.hpp>
#include <cornelshore/settings/settings.hpp>
#include <cornelshore/wire/seal.hpp>

namespace cornelshore::daemon {

/** @brief Which thread sends. */
enum class SendBy : std::uint8_t
{
  OwnThread,      ///< The `Sender`'s.
  DecidingThread, ///< Between two events; see `Runtime::SendDecided`.
};

/**
 * @brief What every role's process has: sockets, keys, threads, metrics.
 *
 * The receiving thread runs the context: it takes datagrams and frames in,
 * checks and decodes them, and hands the messages on. The sending thread is
 * the `Sender`.
 */
class Runtime
{
public:
  /** @brief Takes an authentic message; on the receiving thread. */
  using OnMessage = std::function<void(role::NodeMessage)>;

  /**
   * @brief Reads the key file and opens the sockets.
   * @return The runtime; `NotFound`, `PermissionDenied`, `InvalidArgument` or
   * `Unavailable`, each saying which file or address and why.
   */
  [[nodiscard]] static absl::StatusOr<std::unique_ptr<Runtime>> Open(
    const settings::Settings& aSettings);

  ~Runtime();
  Runtime(const Runtime&) = delete;
  Runtime& operator=(const Runtime&) = delete;

  /** @brief Starts the receiving thread and, if there is one, the sending
   * thread. */
  void Start(OnMessage aOnMessage,
             std::function<void()> aOnStop,
             SendBy aSendBy = SendBy::OwnThread);

  /** @brief Sends what was decided, unless a thread of its own does. */
  void SendDecided();

  /** @brief Ends both threads; what waits to be sent is sent first. */
  void Stop();

  [[nodiscard]] const settings::Settings& Settings() const noexcept
  {
    return settings_;
  }
  [[nodiscard]] boost::asio::io_context& Context() noexcept { return context_; }
  [[nodiscard]] daemon::Sender& Sender() noexcept { return *sender_; }
  [[nodiscard]] metrics::Publisher* Metrics() noexcept
  {
    return metrics_.get();
  }
  [[nodiscard]] NodeId Self() const noexcept { return self_; }
  [[nodiscard]] Incarnation Run() const noexcept { return incarnation_; }

  /** @brief Settings of the dissemination node of this process. */
  [[nodiscard]] dissemination::NodeSettings NodeSettings() const;

  /** @brief Counters of the process's own sockets, for the metrics. */
  [[nodiscard]] std::vector<MetricSample> Figures() const;

  /** @brief Logs what was refused since the last call. */
  void LogRefused();

  /** @brief A log line about the VM's link when it has been busy since the last
   * call. */
  [[nodiscard]] std::optional<role::Log> MeasureLink(TimePoint aNow);

private:
  explicit Runtime(settings::Settings aSettings);

  absl::Status OpenSockets(const wire::KeyRing& aKeys);
  void Receive(const Address& aFrom, std::string_view aBytes);
  void WaitForSignal();
  void ReloadKeys();

  settings::Settings settings_;
  NodeId self_;
  Incarnation incarnation_;
  wire::ReplayCheck replayCheck_;
  boost::asio::io_context context_;
  boost::asio::signal_set signals_;
  std::unique_ptr<net::UdpSocket> socket_;
  std::unique_ptr<net::PeerStreams> streams_;
  std::unique_ptr<wire::Opener> opener_;
  std::unique_ptr<daemon::Sender> sender_;
  SendBy sendBy_{ SendBy::OwnThread };
  std::unique_ptr<metrics::Publisher> metrics_;
  OnMessage onMessage_;
  std::function<void()> onStop_;
  std::array<std::atomic<std::uint64_t>, wire::kOpenOutcomeNames.size()>
    opened_{};
  std::array<std::atomic<std::uint64_t>, role::kTrafficPurposeNames.size()>
    receivedBytes_{};
  std::atomic<std::uint64_t> undecodable_{ 0 };
  std::uint64_t refusedLogged_{};
  role::LinkMeter linkMeter_;
  std::thread thread_;
};

/** @brief Present time for the roles; counts on while the VM is suspended. */
[[nodiscard]] TimePoint Now();

/** @brief Wall clock in ms since 1970; may step. */
[[nodiscard]] std::uint64_t WallMillis();

} // namespace cornelshore::daemon

#endif
