#ifndef CORNELSHORE_DISSEMINATION_NODE_STATE_HPP
#define CORNELSHORE_DISSEMINATION_NODE_STATE_HPP

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include <cornelshore/dissemination/config_store.hpp>
#include <cornelshore/dissemination/freshness.hpp>
#include <cornelshore/dissemination/ledger.hpp>
#include <cornelshore/dissemination/link_budget.hpp>
#include <cornelshore/dissemination/node.hpp>
#include <cornelshore/dissemination/outreach.hpp>
#include <cornelshore/dissemination/packer.hpp>
#include <cornelshore/dissemination/partners.hpp>
#include <cornelshore/dissemination/rumors.hpp>
#include <cornelshore/dissemination/transfers.hpp>

namespace cornelshore::dissemination {

/** Sync age sent by a process that has never synchronised. */
inline constexpr Duration kNeverSynced = std::chrono::hours(24);

/** Limit on the joining rounds after a start. When a whole fleet starts and
 * its links are saturated, more rounds use up the bytes of their answers. */
inline constexpr std::uint64_t kMaxJoiningRounds = 20;

/** Peers named to a node that is referred to others. */
inline constexpr std::size_t kReferredPeers = 4;

/** Most peers that a node starts rounds with at a time. */
inline constexpr std::size_t kMaxRoundWidth = 8;

/** Interval after which an unanswered request for a configuration is repeated.
 */
inline constexpr Duration kRequestRetryInterval =
  std::chrono::milliseconds(300);

/** The same while parts of the configuration arrive; doubled each time that
 * none does, up to `kRequestRetryInterval`. */
inline constexpr Duration kStalledTransferInterval =
  std::chrono::milliseconds(100);

/** Most processes remembered as holding a newer configuration. */
inline constexpr std::size_t kMaxConfigHolders = 16;

/** @brief State of a node and its event handlers. */
struct Node::State
{
  State(const NodeSettings& aSettings, membership::View aHosts);

  void Handle(TimePoint aNow, const Received& aEvent);
  void Handle(TimePoint aNow, const HostAnnounced& aEvent);
  void Handle(TimePoint aNow, const HostsRecovered& aEvent);
  void Handle(TimePoint aNow, const SelfAnnounced& aEvent);
  void Handle(TimePoint aNow, const ConfigAccepted& aEvent);
  void Handle(TimePoint aNow, const ControlConfirmed& aEvent);
  void Handle(TimePoint aNow, const SeedsChanged& aEvent);
  void Handle(TimePoint aNow, const VersionSeen& aEvent);
  void Handle(TimePoint aNow, const Tick& aEvent);

  /** @brief Announces this process when it has not been announced yet. */
  void AnnounceSelf(TimePoint aNow);
  /** @brief Returns the actions that the handled event caused. */
  std::vector<Action> TakeActions(TimePoint aNow);

  [[nodiscard]] bool IsAgent() const noexcept;
  [[nodiscard]] std::optional<Address> AddressOf(NodeId aNode) const;
  [[nodiscard]] ConfigVersion InForce() const noexcept;
  [[nodiscard]] std::optional<TimePoint> ConfirmedAt() const noexcept;
  /** @brief Whether no configuration is in force, or the node has just started
   * and has not yet synchronised with enough peers. */
  [[nodiscard]] bool IsBehind() const noexcept;
  /** @brief When a request for a newer configuration is repeated; nothing when
   * none is known, or the requests follow the rounds. */
  [[nodiscard]] std::optional<TimePoint> ConfigRequestDue() const noexcept;

  NodeSettings settings_;
  Ledger ledger_;
  ConfigStore config_;
  ConfirmationTracker confirmation_;
  SyncTracker syncTracker_;
  Partners partners_;
  Outreach roundOutreach_;
  Rumors rumors_;
  Transfers transfers_;
  LinkBudget budget_;
  std::vector<Address> seeds_;
  std::uint64_t nextSeed_; ///< Starts at another seed in each process.
  TimePoint now_;
  TimePoint nextRound_;
  std::optional<TimePoint> spreadAt_; ///< When queued updates are pushed.
  std::uint64_t bytesSent_{};
  std::uint64_t sendsThrottled_{};
  std::uint64_t recordsRefused_{};

private:
  [[nodiscard]] Header HeaderFor(TimePoint aNow,
                                 NodeId aTo,
                                 MessageKind aKind) const;
  [[nodiscard]] ServiceId ScopeWith(NodeId aTo) const;
  /** @brief Digest of the records that this node shares with another one. */
  [[nodiscard]] std::uint64_t DigestWith(NodeId aOther) const;
  /** @brief Whether an agent attached here holds only its own record. */
  [[nodiscard]] bool HoldsOwnRecordOnly(NodeId aAgent) const;
  [[nodiscard]] std::size_t RequiredSyncPeers() const noexcept;

  void SendTo(TimePoint aNow,
              NodeId aTo,
              const Address& aAddress,
              std::vector<Message> aMessages,
              Priority aPriority);
  void Spread(TimePoint aNow);
  /** @brief Peers that a change is pushed to: fewer while bytes are short, as
   * rounds then bring many changes for fewer bytes. */
  [[nodiscard]] std::size_t PushFanout(TimePoint aNow);
  void SpreadRecords(TimePoint aNow, const std::vector<NodeId>& aSubjects);
  void SpreadConfig(TimePoint aNow);
  void PushConfig(TimePoint aNow, NodeId aTo, const Address& aAddress);
  void PushToLaggards(TimePoint aNow);
  void AddNewestDelta(Packer& aPacker) const;
  /** @brief The newest delta, if it fits one chunk. */
  [[nodiscard]] std::optional<ConfigChunk> NewestDeltaChunk() const;
  /** @brief Interval of joining rounds; grows to the normal one when joining
   * takes long, as while control has no leader. */
  [[nodiscard]] Duration JoiningInterval() const noexcept;
  void Round(TimePoint aNow);
  void BeginRoundOutreach(TimePoint aNow);
  /** @brief Starts rounds with further peers in place of those that did not
   * answer in time. */
  void ContinueRoundOutreach(TimePoint aNow);
  /** @brief Whether no other peer is known, or to an agent none that answers:
   * its table may be full of lost ones. */
  [[nodiscard]] bool IsAlone(TimePoint aNow) const;
  void RoundWith(TimePoint aNow, NodeId aPeer);
  void ContactSeeds(TimePoint aNow);
  /** @brief Seeds at whose address no live peer is known. */
  [[nodiscard]] std::vector<Address> UnknownSeeds() const;
  void RequestFromServiceAgent(TimePoint aNow);
  /** @brief Requests what is missing of the newest configuration. */
  void RequestConfig(TimePoint aNow, NodeId aFrom, const Address& aAddress);
  /** @brief Remembers a process that holds a newer configuration. */
  void NoteConfigHolder(NodeId aNode,
                        const Address& aAddress,
                        ConfigVersion aVersion);
  /** @brief Repeats a request that brought nothing, at another holder: the one
   * asked may be busy, or a message was lost. */
  void RepeatConfigRequest(TimePoint aNow);
  /** @brief Requests the next part of what is missing, and notes that. */
  void AddConfigRequest(TimePoint aNow, NodeId aFrom, Packer& aPacker);
  /** @brief Whether the message has the last chunk of the requested part: one
   * that is still missing before it was lost. */
  [[nodiscard]] bool EndsRequestedPart(const Message& aMessage) const;
  [[nodiscard]] bool DefersToServiceAgents();
  void Renew(TimePoint aNow);
  void AddRumors(TimePoint aNow, std::size_t aMost, Packer& aPacker);
  /** @return Bytes of the record; 0: unknown. */
  std::size_t AddSubject(TimePoint aNow,
                         NodeId aSubject,
                         Packer& aPacker) const;

  void TakeHost(TimePoint aNow, const HostUpdate& aUpdate, bool aFromRepair);
  void TakePeer(TimePoint aNow, const PeerUpdate& aUpdate, bool aFromRepair);
  void Adopt(TimePoint aNow, const Received& aEvent);
  void Answer(TimePoint aNow, const Received& aEvent, bool aProgress);
  /** @brief Whether a newcomer is to ask others, as bytes are short here. */
  [[nodiscard]] bool MustRefer(TimePoint aNow, const Header& aTheirs);
  /** @brief Answers a newcomer with the records of a few balancers. */
  void Refer(TimePoint aNow, const Received& aEvent);
  void Release(TimePoint aNow);

  /** @brief Requests the next batch of the snapshot from the node it comes
   * from, or from another one when that node did not answer in time. */
  void RequestSnapshot(TimePoint aNow);
  void SendSnapshotRequest(TimePoint aNow, NodeId aTo, const Address& aAddress);
  /** @brief Whether the snapshot of this start is still to come. */
  [[nodiscard]] bool AwaitsSnapshot() const noexcept;
  void TakeSnapshotBatch(TimePoint aNow, const Received& aEvent);
  void FinishSnapshot(TimePoint aNow, const Received& aEvent);
  /** @brief Sends the requested batch, or denies it when bytes are short. */
  void AnswerSnapshotRequest(TimePoint aNow, const Received& aEvent);

  void CompareHashes(TimePoint aNow, const Received& aEvent, Packer& aPacker);
  void CompareLeaves(TimePoint aNow, const Message& aMessage, Packer& aPacker);
  void CompareDigest(TimePoint aNow,
                     NodeId aFrom,
                     const Message& aMessage,
                     Packer& aPacker);
  void AddChunks(TimePoint aNow, const Received& aEvent, Packer& aPacker);
  void AddRecent(TimePoint aNow, ServiceId aScope, Packer& aPacker) const;
  void AddSample(TimePoint aNow, bool aUnknownToSender, Packer& aPacker);
  /** @brief Whether equal digests with this sender count as synchronised. */
  [[nodiscard]] bool CountsAsSync(TimePoint aNow, const Header& aTheirs) const;
  /** @brief Whether control's host records may have arrived since the start. */
  [[nodiscard]] bool HasSettled(TimePoint aNow) const;
  void NoteSynced(TimePoint aNow, const Received& aEvent);

  /** Copy of another node's records that a node takes after its start. */
  struct Snapshot
  {
    Address from_; ///< Port 0: nobody was asked.
    std::uint16_t nextLeaf_{};
    std::uint32_t received_{}; ///< Records of the current batch.
    std::uint32_t requests_{}; ///< Without an answer that led further.
    TimePoint requestedAt_;
    bool inStep_{ true }; ///< Each sender was in step with others.
    bool complete_{};
  };

  struct ConfigHolder
  {
    NodeId node_;
    Address address_;
    ConfigVersion version_;
  };

  std::vector<ConfigHolder> configHolders_;
  TimePoint configProgressAt_; ///< When the last new part arrived.
  Duration configRetryInterval_{ kRequestRetryInterval };

  Snapshot snapshot_;
  std::uint64_t selfSequence_{};
  bool selfGone_{};
  bool wasConfirmed_{};        ///< At the last event; a rise is pushed.
  bool comparisonTruncated_{}; ///< The last one omitted differences.
  bool joined_{};              ///< Has synchronised once.
  bool repairing_{};           ///< The last comparison found many differences.
  bool configActive_{};        ///< The stored configuration is in force.
  /** When the first message of a control VM arrived, or a configuration came in
   * force, which shows that others have reached one. */
  std::optional<TimePoint> reachedControlAt_;
  std::uint64_t round_{};
  bool joiningRoundDue_{}; ///< The current round is a joining round.
  TimePoint renewAt_;
  TimePoint requestedAt_;
  NodeId requestedFrom_;
  std::size_t requestedOffset_{};
  /** New parts received since the request. A part that arrives twice does not
   * count, or the requests would outrun the answers. */
  std::size_t receivedBytes_{};
  TimePoint spreadLast_;
  std::optional<TimePoint> candidateSince_;
  absl::flat_hash_map<NodeId, ConfigVersion> activeVersions_;
  ConfigVersion announcedConfig_;
  ConfigVersion spreadConfig_;
  ConfigVersion newestKnownConfig_; ///< Greatest version held by any peer.
  std::uint64_t configRound_{}; ///< Round in which the stored version arrived.
  std::deque<NodeId> recent_;   ///< Hosts with urgent changes, newest first.
  std::vector<HostRecord> changedHosts_;
  std::vector<NodeId> urgentSubjects_;
  std::vector<NodeId> pushedSubjects_; ///< Pushed once; repeated next round.
  std::vector<membership::PeerRecord> changedPeers_;
  std::vector<Action> sends_;
};

} // namespace cornelshore::dissemination

#endif
