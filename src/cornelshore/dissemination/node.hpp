#ifndef CORNELSHORE_DISSEMINATION_NODE_HPP
#define CORNELSHORE_DISSEMINATION_NODE_HPP

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <absl/status/statusor.h>

#include <cornelshore/core/host.hpp>
#include <cornelshore/core/time.hpp>
#include <cornelshore/core/types.hpp>
#include <cornelshore/dissemination/message.hpp>
#include <cornelshore/membership/record.hpp>
#include <cornelshore/membership/view.hpp>

namespace cornelshore::dissemination {

/** @brief An authenticated message arrived. */
struct Received
{
  NodeId from_;
  Address address_; ///< Where it came from.
  Message message_;
};

/**
 * @brief A record to spread: the agent's own, or a `Gone` record declared by
 * a `membership::HealthWatcher`.
 */
struct HostAnnounced
{
  HostRecord record_;
};

/**
 * @brief Records that this process held in an earlier run; only at control
 * VMs, at their start.
 *
 * They say which hosts exist and where, not in what state they are. A host that
 * is not gone becomes known as starting, with sequence 0 of its incarnation:
 * each record that its agent makes, and each tombstone, is newer.
 */
struct HostsRecovered
{
  /** Ages at the time of storing: of a tombstone as ever, of another record the
   * time since an agent or another process last confirmed it. A record that has
   * reached a tombstone's life is dropped: if the host has left, the tombstone
   * may have expired. */
  std::vector<HostUpdate> hosts_;
  Duration age_{}; ///< Time since the records were stored.
};

/** @brief This process's own peer record: leaving, or another address. */
struct SelfAnnounced
{
  Address address_;
  bool gone_{};
};

/** @brief A configuration was accepted; only at control VMs. */
struct ConfigAccepted
{
  ConfigVersion version_;
  std::string bytes_; ///< Encoded; opaque here.
};

/** @brief Control holds its lease and this version is the accepted one. */
struct ControlConfirmed
{
  ConfigVersion version_;
  std::uint64_t term_{};
};

/** @brief Seed addresses from the settings. */
struct SeedsChanged
{
  std::vector<Address> addresses_;
};

/** @brief A process works by this version; learned from its other messages. */
struct VersionSeen
{
  NodeId from_;
  Address address_;
  ConfigVersion version_;
};

/** @brief Time has passed; see `Node::NextTimer()`. */
struct Tick
{};

using Event = std::variant<Received,
                           HostAnnounced,
                           HostsRecovered,
                           SelfAnnounced,
                           ConfigAccepted,
                           ControlConfirmed,
                           SeedsChanged,
                           VersionSeen,
                           Tick>;

/** @brief Send a message; `to_` is 0 for a seed whose id is not known yet. */
struct Send
{
  NodeId to_;
  Address address_;
  Message message_;
};

/** @brief Host records that are new in the view, tombstones included. */
struct HostsChanged
{
  std::vector<HostRecord> records_;
};

/** @brief Peer records that are new here. */
struct PeersChanged
{
  std::vector<membership::PeerRecord> records_;
};

/** @brief A complete and verified configuration came in force. */
struct ConfigChanged
{
  ConfigVersion version_;
  std::string bytes_;
  bool confirmed_{}; ///< Whether control has confirmed it lately.
};

using Action = std::variant<Send, HostsChanged, PeersChanged, ConfigChanged>;

/** @brief State of a node for the state dump. */
struct NodeDump
{
  ConfigVersion config_;
  bool confirmed_{};
  std::optional<Confirmation> confirmation_;
  Duration syncAge_{};
  std::uint64_t digest_{};
  std::size_t hosts_{};
  std::size_t peers_{};
  std::size_t rumors_{};
  std::uint64_t bytesSent_{};
  std::uint64_t sendsThrottled_{};
  std::uint64_t recordsRefused_{};
  std::uint64_t configsRefused_{};
};

/**
 * @brief Spreads host records, peer records and the accepted configuration.
 *
 * Runs in every process. Updates are pushed by gossip (Demers et al., 1987),
 * with anti-entropy over digest trees; configurations are sent as deltas or
 * in full, in chunks, and come in force only when complete and verified.
 * Balancers and control VMs track every host; an agent tracks the hosts of
 * its own service, or its own host only, and exchanges messages with a few
 * balancers.
 */
class Node
{
public:
  class Builder;

  Node(Node&&) noexcept;
  Node& operator=(Node&&) noexcept;
  ~Node();

  /** @brief Takes one event; the actions are to be carried out in order. */
  [[nodiscard]] std::vector<Action> On(TimePoint aNow, const Event& aEvent);

  /** @brief Counts bytes that the process sends beside this node's messages;
   * these wait until the link has room. */
  void NoteOtherTraffic(TimePoint aNow, std::size_t aBytes) noexcept;

  /** @brief When the next `Tick` is due. */
  [[nodiscard]] TimePoint NextTimer() const noexcept;

  /** @brief Host records known here. */
  [[nodiscard]] const membership::View& Hosts() const noexcept;

  /** @brief Peer records known here that are not gone, by id. */
  [[nodiscard]] std::vector<membership::PeerRecord> Peers() const;

  /** @brief Whether a peer has left a message unanswered for longer than the
   * answer timeout. */
  [[nodiscard]] bool IsSilent(TimePoint aNow, NodeId aPeer) const;

  /** @brief Address of a process, when it is known here. */
  [[nodiscard]] std::optional<Address> AddressOf(NodeId aNode) const;

  /** @brief Version in force; 0 before the first. */
  [[nodiscard]] ConfigVersion Config() const noexcept;

  /**
   * @brief Whether control confirmed the version in force within the
   * confirmation life.
   */
  [[nodiscard]] bool Confirmed(TimePoint aNow) const noexcept;

  /**
   * @brief When the host records here were last known to be in step with
   * those of other processes; nothing before the first time.
   */
  [[nodiscard]] std::optional<TimePoint> ConfirmedAt() const noexcept;

  /** @brief State for the state dump. */
  [[nodiscard]] NodeDump Dump(TimePoint aNow) const;

private:
  struct State;

  explicit Node(std::unique_ptr<State> aState) noexcept;

  std::unique_ptr<State> state_;
};

/** @brief Smallest burst, in bytes, that admits single messages. */
inline constexpr std::uint32_t kLeastBurstBytes = 8'192;

/** @brief Settings of a `Node`. */
struct NodeSettings
{
  NodeId self_;
  Incarnation incarnation_;
  membership::NodeRole role_{ membership::NodeRole::Balancer };
  DataCentreId dataCentre_;
  Address address_;
  ServiceId interest_; ///< Of an agent: its service.
  /** Of an agent: it holds its own host's record and no other one, so that a
   * change of one host costs the agents of others nothing. */
  bool ownRecordOnly_{};
  std::uint64_t seed_{}; ///< Of the pseudo-random generator.
  Duration round_{ std::chrono::seconds(1) };
  /** Round interval until the first synchronisation, as after a restart. */
  Duration joiningRoundInterval_{ std::chrono::seconds(1) };
  Duration confirmationLife_{ std::chrono::seconds(30) };
  Duration peerRefresh_{ std::chrono::hours(1) };
  Duration tombstoneLife_{ std::chrono::hours(6) };
  std::uint32_t bytesPerSecond_{ 2000 }; ///< Sent on average, at most.
  std::uint32_t burstBytes_{ 98'304 };
  /** Bandwidth of the VM's link; 0: unknown. An eighth of what it passes
   * in a second bounds the average and the burst further. */
  std::uint64_t linkBytesPerSecond_{};
  std::size_t mostHosts_{ 32'768 };
  std::size_t maxPeers_{ 4096 };
};

/** @brief Builds a `Node`. */
class Node::Builder
{
public:
  /** @param aSettings Identity and limits of the node. */
  explicit Builder(NodeSettings aSettings);

  /** @return The node, or `InvalidArgument` naming the bad setting. */
  [[nodiscard]] absl::StatusOr<Node> Build() const;

private:
  NodeSettings settings_;
};

} // namespace cornelshore::dissemination

#endif
