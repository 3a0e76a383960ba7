#ifndef CORNELSHORE_DISSEMINATION_NODE_STATE_HPP
#define CORNELSHORE_DISSEMINATION_NODE_STATE_HPP

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include <cornelshore/dissemination/byte_budget.hpp>
#include <cornelshore/dissemination/config_store.hpp>
#include <cornelshore/dissemination/freshness.hpp>
#include <cornelshore/dissemination/ledger.hpp>
#include <cornelshore/dissemination/node.hpp>
#include <cornelshore/dissemination/packer.hpp>
#include <cornelshore/dissemination/partners.hpp>
#include <cornelshore/dissemination/rumors.hpp>
#include <cornelshore/dissemination/transfers.hpp>

namespace cornelshore::dissemination {

/** Age of the records of a process that was never in step. */
inline constexpr Duration kNeverInStep = std::chrono::hours(24);

/** Joining rounds after a start for the sake of being in step with enough
 * others. Where a whole fleet starts and its links are full, more of them take
 * the bytes that their answers need. */
inline constexpr std::uint64_t kMostJoiningRounds = 20;

/** @brief The parts of a node and what joins them. */
struct Node::State
{
  State(const NodeSettings& aSettings, membership::View aHosts);

  void Handle(TimePoint aNow, const Received& aEvent);
  void Handle(TimePoint aNow, const HostAnnounced& aEvent);
  void Handle(TimePoint aNow, const SelfAnnounced& aEvent);
  void Handle(TimePoint aNow, const ConfigAccepted& aEvent);
  void Handle(TimePoint aNow, const ControlConfirmed& aEvent);
  void Handle(TimePoint aNow, const SeedsChanged& aEvent);
  void Handle(TimePoint aNow, const Tick& aEvent);

  /** @brief Announces this process when it has not been announced yet. */
  void AnnounceSelf(TimePoint aNow);
  /** @brief Takes what the handling of an event left to do. */
  std::vector<Action> TakeActions(TimePoint aNow);

  [[nodiscard]] bool IsAgent() const noexcept;
  [[nodiscard]] std::optional<Address> AddressOf(NodeId aNode) const;
  [[nodiscard]] ConfigVersion InForce() const noexcept;
  [[nodiscard]] std::optional<TimePoint> ConfirmedAt() const noexcept;
  /** @brief Whether it lacks a configuration, or has just started and was not
   * yet in step with enough others. */
  [[nodiscard]] bool IsBehind() const noexcept;

  NodeSettings settings_;
  Ledger ledger_;
  ConfigStore config_;
  ConfirmationTracker confirmation_;
  InStep inStep_;
  Partners partners_;
  Rumors rumors_;
  Transfers transfers_;
  ByteBudget budget_;
  std::vector<Address> seeds_;
  std::uint64_t nextSeed_; ///< Begins elsewhere at each process.
  TimePoint now_;
  TimePoint nextRound_;
  std::optional<TimePoint> spreadAt_; ///< When waiting news is pushed.
  std::uint64_t bytesSent_{};
  std::uint64_t heldBack_{};
  std::uint64_t recordsRefused_{};

private:
  [[nodiscard]] Header HeaderFor(TimePoint aNow,
                                 NodeId aTo,
                                 MessageKind aKind) const;
  [[nodiscard]] ServiceId ScopeWith(NodeId aTo) const;
  [[nodiscard]] std::uint64_t DigestOf(ServiceId aScope) const;
  [[nodiscard]] std::size_t OthersNeeded() const noexcept;

  void SendTo(TimePoint aNow,
              NodeId aTo,
              const Address& aAddress,
              std::vector<Message> aMessages,
              Priority aPriority);
  void Spread(TimePoint aNow);
  void SpreadRecords(TimePoint aNow, const std::vector<NodeId>& aSubjects);
  void SpreadConfig(TimePoint aNow);
  void PushConfig(TimePoint aNow, NodeId aTo, const Address& aAddress);
  void PushToLaggards(TimePoint aNow);
  void AddNewestDelta(Packer& aPacker) const;
  void Round(TimePoint aNow);
  void RoundWith(TimePoint aNow, NodeId aPeer);
  void AskSeeds(TimePoint aNow);
  /** @brief Seeds at whose address no live peer is known. */
  [[nodiscard]] std::vector<Address> UnmetSeeds() const;
  void AskFellow(TimePoint aNow);
  [[nodiscard]] bool LeavesToFellows();
  void Renew(TimePoint aNow);
  void AddRumors(TimePoint aNow, std::size_t aMost, Packer& aPacker);
  void AddSubject(TimePoint aNow, NodeId aSubject, Packer& aPacker) const;

  void TakeHost(TimePoint aNow, const HostUpdate& aUpdate, bool aMended);
  void TakePeer(TimePoint aNow, const PeerUpdate& aUpdate, bool aMended);
  void Adopt(TimePoint aNow, const Received& aEvent);
  void Answer(TimePoint aNow, const Received& aEvent, bool aProgress);
  void Release(TimePoint aNow);

  void CompareHashes(TimePoint aNow, const Received& aEvent, Packer& aPacker);
  void CompareLeaves(TimePoint aNow, const Message& aMessage, Packer& aPacker);
  void CompareDigest(TimePoint aNow, const Message& aMessage, Packer& aPacker);
  void AddPieces(TimePoint aNow, const Received& aEvent, Packer& aPacker);
  void AddRecent(TimePoint aNow, ServiceId aScope, Packer& aPacker) const;
  void AddSample(TimePoint aNow, bool aStrange, Packer& aPacker);
  /** @brief Whether to be in step with them says that all is known here. */
  [[nodiscard]] bool KnowsEnough(TimePoint aNow, const Header& aTheirs) const;
  void NoteSynced(TimePoint aNow, const Received& aEvent);

  std::uint64_t selfSequence_{};
  bool selfGone_{};
  std::optional<TimePoint> startedAt_;
  bool wasConfirmed_{}; ///< At the last event; others that wait are told.
  bool comparesPart_{}; ///< The last comparison left differences out.
  bool joined_{};       ///< Was in step once.
  bool mending_{};      ///< The last comparison found much to mend.
  bool released_{};     ///< The held configuration is in force.
  std::uint64_t round_{};
  bool hastens_{}; ///< Takes joining rounds.
  TimePoint renewAt_;
  TimePoint wantedAt_;
  NodeId wantedFrom_;
  std::size_t wantedBytes_{}; ///< Of pieces that came since it was asked.
  TimePoint spreadLast_;
  std::optional<TimePoint> candidateSince_;
  absl::flat_hash_map<NodeId, ConfigVersion> vouchers_;
  ConfigVersion announcedConfig_;
  ConfigVersion spreadConfig_;
  ConfigVersion newestHeard_;   ///< Greatest version any process held.
  std::uint64_t configRound_{}; ///< When the held version arrived.
  std::deque<NodeId> recent_;   ///< Changed by urgent news, newest first.
  std::vector<HostRecord> changedHosts_;
  std::vector<NodeId> urgentSubjects_;
  std::vector<NodeId> pushedSubjects_; ///< Pushed once; again next round.
  std::vector<membership::PeerRecord> changedPeers_;
  std::vector<Action> sends_;
};

} // namespace cornelshore::dissemination

#endif
