#ifndef CORNELSHORE_CONSENSUS_REPLICA_HPP
#define CORNELSHORE_CONSENSUS_REPLICA_HPP

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/status/statusor.h>

#include <cornelshore/consensus/entry_log.hpp>
#include <cornelshore/consensus/event.hpp>
#include <cornelshore/consensus/register.hpp>
#include <cornelshore/consensus/verifier.hpp>
#include <cornelshore/core/random.hpp>
#include <cornelshore/core/time.hpp>

namespace cornelshore::consensus {

/** @brief What a replica is in its present term. */
enum class Role : std::uint8_t
{
  Follower,
  PreCandidate,
  Candidate,
  Leader,
};

/** @brief Names of `Role`. */
inline constexpr std::array<EnumName<Role>, 4> kRoleNames{ {
  { Role::Follower, "follower" },
  { Role::PreCandidate, "pre_candidate" },
  { Role::Candidate, "candidate" },
  { Role::Leader, "leader" },
} };

/** @brief Times and bounds of a replica; the same at all of a group. */
struct ReplicaSettings
{
  Duration heartbeat_{ std::chrono::milliseconds{ 150 } };
  /** Least time without a leader before an election; at most twice it. */
  Duration electionTimeout_{ std::chrono::milliseconds{ 1500 } };
  /** Bound on how far any clock's rate is off, in parts per million. */
  std::uint32_t clockDriftPpm_{ 10000 };
  /** After it a proposal's fate is given as unknown. */
  Duration answerTimeout_{ std::chrono::seconds{ 6 } };
  std::size_t snapshotAfterEntries_{ 1024 };     ///< Snapshot after so many.
  std::size_t snapshotAfterBytes_{ 16U << 20U }; ///< Snapshot after so much.
  std::size_t trailingEntries_{ 128 };           ///< Kept before a snapshot.
  std::size_t maxEntriesPerMessage_{ 64 };       ///< Most in one message.
  std::size_t maxBytesPerMessage_{ 1U << 20U };  ///< Unless one is larger.
  std::size_t maxEntriesInFlight_{ 256 };  ///< Most sent ahead of a reply.
  std::size_t maxPendingProposals_{ 256 }; ///< Most under way.
  std::size_t maxPendingReads_{ 1024 };    ///< Most under way.
  /**
   * Voters that the group forms by itself from those who join; 0: operators
   * add and remove members.
   */
  std::size_t targetVoters_{ 0 };
  /**
   * A voter unheard for so long gives way to a learner that is caught up. A VM
   * that took a lost one's place must vote before others may be lost, 4 s after
   * its start, also when the leader is lost meanwhile: an election of 0.9 s and
   * this silence once more.
   */
  Duration voterTimeout_{ std::chrono::milliseconds{ 1200 } };
  /** A learner unheard for so long is dropped from a group that forms itself.
   */
  Duration learnerTimeout_{ std::chrono::seconds{ 20 } };
  /** Disks that must hold a change before its proposer is told; 0: a quorum. */
  std::size_t minCopies_{ 0 };
  /** Whether a lease answers reads; otherwise each asks a quorum. */
  bool leaseReads_{ true };
};

/** @brief What a leader knows of another member. */
struct MemberProgress
{
  ReplicaId id_;
  LogIndex match_; ///< Synced there.
  LogIndex next_;  ///< To be sent next.
  bool recent_{};  ///< Proved so within the lease's length.
};

/** @brief Who leads, as far as a replica knows, and who belongs to the group.
 */
struct Standing
{
  Role role_{ Role::Follower };
  Term term_;
  std::optional<ReplicaId> leader_;
  Membership membership_;

  bool operator==(const Standing&) const noexcept = default;
};

/** @brief State of a replica as the state dump shows it. */
struct ReplicaDump
{
  ReplicaId id_;
  Role role_{ Role::Follower };
  Fault fault_{ Fault::None };
  bool verified_{};
  bool holdsLease_{};
  Term term_;
  std::optional<ReplicaId> leader_;
  Position last_;
  LogIndex synced_;
  LogIndex commit_;
  LogIndex applied_;
  LogIndex snapshot_;
  ConfigVersion version_;
  Membership membership_;
  std::vector<MemberProgress> progress_; ///< At a leader.
  std::vector<ReplicaId> votes_;         ///< At a candidate.
  bool knowsLeader_{};                   ///< Gives no vote for now.
  std::vector<ReplicaId> joining_; ///< Ask to join; nobody added them yet.
  std::size_t pendingProposals_{};
  std::size_t pendingReads_{};
  std::size_t logBytes_{};
};

/**
 * @brief One replica of the control group's log.
 *
 * A state machine without input or output: the host hands in events with the
 * present time and carries out the actions, in order. A `Persist` may be
 * batched with later ones, but `Synced` is reported only once it is on the
 * disk; whatever depends on it is held back until then.
 */
class Replica
{
public:
  /** @brief Carries out one event. @return What the host must do. */
  [[nodiscard]] std::vector<Action> On(TimePoint aNow, Event aEvent);

  /** @brief When `Tick` is due. */
  [[nodiscard]] TimePoint NextTimer() const;

  /** @brief The configuration and history as far as this replica knows. */
  [[nodiscard]] const Register& AppliedRegister() const noexcept
  {
    return register_;
  }

  /** @brief Tells whether the lease holds at the given time. */
  [[nodiscard]] bool HoldsLease(TimePoint aNow) const;

  /**
   * @brief Tells whether `AppliedRegister()` has everything that was ever
   * accepted: this leader holds the lease, and an entry of its own term is
   * committed (Raft 6.4). Until then, entries of former terms may be accepted
   * without its knowing.
   */
  [[nodiscard]] bool IsRegisterCurrent(TimePoint aNow) const;

  [[nodiscard]] ReplicaDump Dump(TimePoint aNow) const;

  [[nodiscard]] consensus::Standing Standing() const;

private:
  friend class ReplicaBuilder;

  /** Who asked for what the entry at an index does. */
  struct Requester
  {
    Token token_;
    std::optional<ReplicaId> forwarder_; ///< None: the host itself.
    bool membership_{};
  };

  /** What a leader knows of another member. */
  struct Progress
  {
    LogIndex match_;
    LogIndex next_;
    std::optional<Duration> matchSentAt_; ///< Of the proof of `match_`.
    std::optional<Duration> ackSentAt_;   ///< Of the last answered message.
    std::optional<Duration> snapshotSentAt_;
    LogIndex matchAtHeartbeat_; ///< `match_` at the last heartbeat.
    bool probing_{ true };      ///< Not known where the logs part.
    Duration trackedSince_{};   ///< When this leader began to follow it up.
  };

  /** A read that waits for a quorum, or for the index to be applied. */
  struct PendingRead
  {
    Token token_;
    std::optional<ReplicaId> remoteRequester_; ///< None: the host itself.
    TimePoint since_;
    LogIndex index_; ///< Must be applied first.
  };

  /** A request of the host that another replica is to answer. */
  struct ForwardedRequest
  {
    Token token_;
    TimePoint since_;
  };

  /** A committed change whose proposer waits for more copies. */
  struct PendingAnswer
  {
    Requester requester_;
    ChangeAnswer answer_;
  };

  /** A message that waits for a sync. */
  struct Deferred
  {
    PersistId after_;
    Message message_;
  };

  /** A write that is not synced yet. */
  struct PendingSync
  {
    PersistId id_;
    LogIndex last_;
  };

  Replica(ReplicaSettings aSettings,
          DurableState aState,
          Verification aVerification,
          std::vector<NodeId> aSeeds,
          std::uint64_t aSeed,
          TimePoint aNow);

  void Handle(const Received& aEvent);
  void Handle(const Synced& aEvent);
  void Handle(const StorageFailed& aEvent);
  void Handle(const Tick& aEvent);
  void Handle(const Propose& aEvent);
  void Handle(const ChangeMembership& aEvent);
  void Handle(const Read& aEvent);
  void Handle(const TrustDisk& aEvent);
  void Handle(const PeersDiscovered& aEvent);

  void On(const Message& aMessage, const VoteRequest& aBody);
  void On(const Message& aMessage, const VoteReply& aBody);
  void On(const Message& aMessage, const AppendRequest& aBody);
  void On(const Message& aMessage, const SnapshotRequest& aBody);
  void On(const Message& aMessage, const AppendReply& aBody);
  void On(const Message& aMessage, const Hello& aBody);
  void On(const Message& aMessage, const HelloReply& aBody);
  void On(const Message& aMessage, const Join& aBody);
  void On(const Message& aMessage, const Forward& aBody);
  void On(const Message& aMessage, const ForwardReply& aBody);
  void On(const Message& aMessage, const ReadIndexRequest& aBody);
  void On(const Message& aMessage, const ReadIndexReply& aBody);
  void On(const Message& aMessage, const Refusal& aBody);

  [[nodiscard]] bool Accepts(const Message& aMessage);
  void AdoptTerm(const Message& aMessage);

  // Elections.
  [[nodiscard]] Position LastPosition() const noexcept { return log_.Last(); }
  [[nodiscard]] bool KnowsOtherLeader() const;
  [[nodiscard]] bool CanGrantVote(const Message& aMessage,
                                  const VoteRequest& aBody) const;
  void StartPreVote();
  void StartElection();
  void RequestVotes(Ballot aBallot, Term aTerm);
  void CountVotes();
  void EnterTerm(Term aTerm);
  void BecomeFollower(Term aTerm, std::optional<ReplicaId> aLeader);
  void BecomeLeader();
  void FailPendingRequests();
  void ResetElectionTimer();
  /**
   * @brief Lets the next pre-vote come within two heartbeats.
   *
   * After a start all may have restarted, so that nobody leads, and a quorum
   * may be back at any moment. Pre-votes disturb nobody who hears a leader.
   */
  void ShortenElectionTimer();
  void Fail(Fault aFault);
  void RecordDurabilityProof();
  void SendHellos();
  void SendJoins();

  // Replication.
  void AppendLocal(Payload aPayload);
  void Replicate(const ReplicaId& aTo, Progress& aProgress);
  void ReplicateAll();
  void SendHeartbeats();
  void Heartbeat(const ReplicaId& aTo, Progress& aProgress);
  void SendEntries(const ReplicaId& aTo, Progress& aProgress, LogIndex aFrom);
  void SendSnapshot(const ReplicaId& aTo, Progress& aProgress);
  void FollowLeader(const Message& aMessage, Duration aSentAt);
  [[nodiscard]] bool HasEntry(const Position& aPosition) const;
  void AcceptEntry(const Entry& aEntry);
  void Truncate(LogIndex aFrom);
  void Install(const std::shared_ptr<const Snapshot>& aSnapshot);
  void ReplyToLeader();
  void OnMatch(const Message& aMessage,
               Progress& aProgress,
               const AppendReply& aBody);
  void OnMismatch(const Message& aMessage,
                  Progress& aProgress,
                  const AppendReply& aBody);
  void AdvanceCommit();
  void ApplyCommitted();
  void ApplyEntry(const Entry& aEntry);
  void ApplyMembership(const Membership& aMembership);
  void Compact();
  void SyncProgressWithMembership();
  [[nodiscard]] Duration LeaseLength() const;
  /** Latest time at which a quorum was known to follow this leader. */
  [[nodiscard]] std::optional<Duration> QuorumAckedAt() const;
  [[nodiscard]] bool IsRecent(const std::optional<Duration>& aSentAt) const;

  // Requests.
  void AnswerProposal(Token aToken,
                      ProposalStatus aStatus,
                      const ChangeAnswer& aAnswer = {});
  void AnswerMembership(Token aToken, MembershipStatus aStatus);
  void AnswerRequester(const Requester& aRequester,
                       const std::optional<ChangeAnswer>& aAnswer,
                       bool aCommitted);
  /** @brief Disks known to hold the entry, learners' too. */
  [[nodiscard]] std::size_t CopiesOf(LogIndex aIndex) const;
  /** @brief Answers the proposers whose changes have copies enough. */
  void AnswerReplicatedChanges();
  void AppendRequested(Payload aPayload, const Requester& aRequester);
  void ForwardToLeader(const Propose& aEvent);
  [[nodiscard]] MembershipStatus TryChangeMembership(
    const ChangeMembership& aEvent);
  [[nodiscard]] MembershipStatus TryAppendMembership(
    Membership aMembership,
    const std::optional<Requester>& aRequester);
  [[nodiscard]] std::size_t ActiveVoters(const Membership& aMembership) const;
  [[nodiscard]] bool HasCommittedInTerm() const;
  void UpdateMembership();
  [[nodiscard]] bool PromoteLearner(const Member& aLearner);
  [[nodiscard]] bool IsCaughtUp(const ReplicaId& aId) const;
  [[nodiscard]] const Member* Predecessor(const ReplicaId& aId) const;
  [[nodiscard]] bool AdmitJoiningReplica();
  [[nodiscard]] bool ManagesMembership() const noexcept
  {
    return settings_.targetVoters_ != 0;
  }
  /** @brief Member that has been silent for longest, past the limit. */
  [[nodiscard]] const Member* LongestUnresponsiveMember(MemberRole aRole,
                                                        Duration aLimit) const;
  [[nodiscard]] bool RemoveUnresponsiveLearner();
  void AnswerConfirmedReads();
  /** @brief Without a lease, a read needs answers sent after it. */
  void ConfirmLeadership();
  void FinishRead(const PendingRead& aRead, bool aConfirmed);
  void AnswerAppliedReads();
  void ExpireRequests(Duration aReadAge, Duration aProposalAge);

  void SendTo(const ReplicaId& aTo, Body aBody);
  void SendAfterSync(const ReplicaId& aTo, Body aBody, PersistId aAfter);
  void Flush();
  void PrependPersist(Persist aPersist);
  void ReleaseDeferred();
  void TickElection();
  void TickLeader();
  void StepDownWithoutQuorum();
  [[nodiscard]] Duration Clock() const { return now_.time_since_epoch(); }

  ReplicaSettings settings_;
  ReplicaId id_;
  std::vector<NodeId> seeds_;
  Random random_;
  internal::Verifier verifier_;
  internal::PeerObservations peerObservations_;

  HardState hard_;
  internal::EntryLog log_;
  Register register_;
  LogIndex commit_;
  LogIndex applied_;
  Fault fault_{ Fault::None };

  Role role_{ Role::Follower };
  std::optional<ReplicaId> leader_;
  std::optional<TimePoint> lastLeaderContact_;
  Duration leaderSentAt_{ Duration::min() };
  LogIndex verifiedMatch_; ///< Same as the present leader's up to here.

  absl::flat_hash_set<ReplicaId> votes_;
  TimePoint campaignStart_;
  bool wasMember_{}; ///< A committed membership had this replica.
  std::map<ReplicaId, Progress> progress_;

  std::map<LogIndex, Requester> requesters_;
  std::map<LogIndex, PendingAnswer> pendingAnswers_;
  absl::flat_hash_map<Token, ForwardedRequest> forwards_; ///< By own token.
  std::vector<PendingRead> unconfirmedReads_; ///< Wait for a quorum.
  std::vector<PendingRead> unappliedReads_;   ///< Wait for their index.
  absl::flat_hash_map<Token, ForwardedRequest>
    forwardedReads_;        ///< By own token.
  std::uint64_t nextToken_; ///< Other than in any earlier run.
  std::vector<ReplicaId> joining_;

  TimePoint now_;
  TimePoint electionDue_;
  TimePoint heartbeatDue_;
  TimePoint maintenanceDue_;

  bool hardChanged_{};
  bool snapshotChanged_{};
  std::optional<LogIndex> entriesFrom_;
  PersistId lastPersist_;
  PersistId hardPersist_;
  PersistId synced_;
  LogIndex syncedIndex_;
  std::deque<PendingSync> pendingSyncs_;
  std::vector<Deferred> deferred_;
  std::vector<Action> actions_;
};

/** @brief Builds a replica from what its disk holds. */
class ReplicaBuilder
{
public:
  ReplicaBuilder& Settings(ReplicaSettings aSettings);
  /** @brief What the storage recovered, `BootstrapState` or `JoiningState`. */
  ReplicaBuilder& State(DurableState aState);
  ReplicaBuilder& VerificationMode(Verification aVerification);
  /** @brief Control nodes that a joining replica asks, by the settings. */
  ReplicaBuilder& Seeds(std::vector<NodeId> aNodes);
  /** @brief Seed of election timeouts; another at each start. */
  ReplicaBuilder& Seed(std::uint64_t aSeed);

  /**
   * @param aNow Time of the start.
   * @return The replica, `InvalidArgument` for times or bounds that make no
   * sense, or `DataLoss` for a state that does not fit together.
   */
  [[nodiscard]] absl::StatusOr<Replica> Build(TimePoint aNow) const;

private:
  ReplicaSettings settings_;
  DurableState state_;
  Verification verification_{ Verification::Unproven };
  std::vector<NodeId> seeds_;
  std::uint64_t seed_{};
};

} // namespace cornelshore::consensus

#endif
