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

/** @brief Raft role of a replica in its current term. */
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

/** @brief Timeouts and limits of a replica; identical across a group. */
struct ReplicaSettings
{
  Duration heartbeat_{ std::chrono::milliseconds{ 150 } };
  /** Minimum time without contact to a leader before an election; randomised up
   * to twice this value. */
  Duration electionTimeout_{ std::chrono::milliseconds{ 1500 } };
  /** Bound on the rate error of any clock, in parts per million. */
  std::uint32_t clockDriftPpm_{ 10000 };
  /** Age at which a pending proposal is answered with `Unknown`. */
  Duration answerTimeout_{ std::chrono::seconds{ 6 } };
  std::size_t snapshotAfterEntries_{ 1024 }; ///< Applied entries per snapshot.
  std::size_t snapshotAfterBytes_{ 16U << 20U }; ///< Log bytes per snapshot.
  std::size_t trailingEntries_{ 128 };          ///< Retained before a snapshot.
  std::size_t maxEntriesPerMessage_{ 64 };      ///< Per append request.
  std::size_t maxBytesPerMessage_{ 1U << 20U }; ///< Unless one entry is larger.
  std::size_t maxEntriesInFlight_{ 256 };       ///< Unacknowledged, per member.
  std::size_t maxPendingProposals_{ 256 };      ///< Maximum pending.
  std::size_t maxPendingReads_{ 1024 };         ///< Maximum pending.
  /**
   * Number of voters that the group maintains automatically from joining
   * replicas; 0: operators add and remove members.
   */
  std::size_t targetVoters_{ 0 };
  /**
   * Time without a response after which a caught-up learner replaces a voter. A
   * VM that replaces a lost one must vote within 4 s of its start, before
   * further VMs may be lost, even if the leader is lost meanwhile: that adds an
   * election of 0.9 s and this timeout once more.
   */
  Duration voterTimeout_{ std::chrono::milliseconds{ 1200 } };
  /** Time without a response after which a learner is removed, if membership is
   * automatic.
   */
  Duration learnerTimeout_{ std::chrono::seconds{ 20 } };
  /** Time after which a stopping replica no longer waits for its replacement.
   */
  Duration leaveTimeout_{ std::chrono::seconds{ 2 } };
  /** Disks that must hold a change before its proposer is answered; 0: a
   * quorum. */
  std::size_t minCopies_{ 0 };
  /** Whether the lease confirms reads; otherwise each needs a quorum. */
  bool leaseReads_{ true };
};

/** @brief Replication progress of a member, as the leader knows it. */
struct MemberProgress
{
  ReplicaId id_;
  LogIndex match_; ///< Synced and matching up to here.
  LogIndex next_;  ///< Next entry to send.
  bool recent_{};  ///< `match_` was confirmed within the lease length.
};

/** @brief A replica's view of the leader and the membership.
 */
struct Standing
{
  Role role_{ Role::Follower };
  Term term_;
  std::optional<ReplicaId> leader_;
  Membership membership_;

  bool operator==(const Standing&) const noexcept = default;
};

/** @brief State of a replica for the state dump. */
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
  bool knowsLeader_{};                   ///< Grants no vote for now.
  std::vector<ReplicaId> joining_;       ///< Asked to join, not added yet.
  std::size_t pendingProposals_{};
  std::size_t pendingReads_{};
  std::size_t logBytes_{};
};

/**
 * @brief Raft replica of the control group's log.
 *
 * A state machine without I/O: the host passes in events with the current time
 * and performs the returned actions in order. A `Persist` may be batched with
 * later ones, but `Synced` must be reported only once it is on the disk;
 * messages that depend on it are deferred until then.
 */
class Replica
{
public:
  /** @brief Processes one event. @return Actions for the host, in order. */
  [[nodiscard]] std::vector<Action> On(TimePoint aNow, Event aEvent);

  /** @brief Time at which `Tick` is due. */
  [[nodiscard]] TimePoint NextTimer() const;

  /** @brief Configuration and history as of this replica's last applied entry.
   */
  [[nodiscard]] const Register& AppliedRegister() const noexcept
  {
    return register_;
  }

  /** @brief Whether this replica leads and its lease is valid at the given
   * time. */
  [[nodiscard]] bool HoldsLease(TimePoint aNow) const;

  /**
   * @brief Whether `AppliedRegister()` includes every change accepted so far:
   * this leader holds the lease, and an entry of its own term is committed
   * (Raft 6.4). Before that, entries of earlier terms may be committed without
   * this leader knowing.
   */
  [[nodiscard]] bool IsRegisterCurrent(TimePoint aNow) const;

  /** @brief Whether the newest membership known here has this replica. */
  [[nodiscard]] bool IsMember() const noexcept
  {
    return log_.Members().Find(id_) != nullptr;
  }

  [[nodiscard]] ReplicaDump Dump(TimePoint aNow) const;

  [[nodiscard]] consensus::Standing Standing() const;

private:
  friend class ReplicaBuilder;

  /** Origin of the request that an entry carries. */
  struct Requester
  {
    Token token_;
    std::optional<ReplicaId> forwarder_; ///< None: the local host.
    bool membership_{};
  };

  /** Replication state of a member at the leader. */
  struct Progress
  {
    LogIndex match_;
    LogIndex next_;
    std::optional<Duration> matchSentAt_; ///< Request that confirmed `match_`.
    std::optional<Duration> ackSentAt_;   ///< Last acknowledged request.
    std::optional<Duration> snapshotSentAt_;
    LogIndex matchAtHeartbeat_; ///< `match_` at the last heartbeat.
    bool probing_{ true };      ///< The last matching index is still unknown.
    Duration trackedSince_{};   ///< Start of replication to it.
  };

  /** Read that waits for a quorum, or for its index to be applied. */
  struct PendingRead
  {
    Token token_;
    std::optional<ReplicaId> remoteRequester_; ///< None: the local host.
    TimePoint since_;
    LogIndex index_; ///< Must be applied first.
  };

  /** Request of the local host that was forwarded to the leader. */
  struct ForwardedRequest
  {
    Token token_;
    TimePoint since_;
  };

  /** Answer to a committed change that waits for more copies. */
  struct PendingAnswer
  {
    Requester requester_;
    ChangeAnswer answer_;
  };

  /** Message that waits for a sync. */
  struct Deferred
  {
    PersistId after_;
    Message message_;
  };

  /** Write that is not synced yet. */
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
  void Handle(const Leave& aEvent);

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
  void On(const Message& aMessage, const LeaveRequest& aBody);
  void On(const Message& aMessage, const LeaveReply& aBody);
  void On(const Message& aMessage, const TimeoutNow& aBody);

  [[nodiscard]] bool Accepts(const Message& aMessage);
  void AdoptTerm(const Message& aMessage);

  // Elections.
  [[nodiscard]] Position LastPosition() const noexcept { return log_.Last(); }
  [[nodiscard]] bool KnowsOtherLeader() const;
  [[nodiscard]] bool CanGrantVote(const Message& aMessage,
                                  const VoteRequest& aBody) const;
  void StartPreVote();
  void StartElection(Ballot aBallot);
  /** @brief Whether the request comes on behalf of the leader known here. */
  [[nodiscard]] bool IsTransfer(const VoteRequest& aBody) const;
  void RequestVotes(Ballot aBallot, Term aTerm);
  void CountVotes();
  void EnterTerm(Term aTerm);
  void BecomeFollower(Term aTerm, std::optional<ReplicaId> aLeader);
  void BecomeLeader();
  void FailPendingRequests();
  void ResetElectionTimer();
  /**
   * @brief Schedules the next pre-vote within two heartbeats.
   *
   * All replicas may have restarted, so that there is no leader and a quorum
   * may become available at any moment. Pre-votes do not disrupt replicas that
   * have contact to a leader.
   */
  void ShortenElectionTimer();
  /** @brief Whether a replica that granted a pre-vote lets the other campaign
   * first. Two that campaign at the same time split the votes, and with just a
   * quorum up both lose an election timeout. */
  [[nodiscard]] bool YieldsTo(const ReplicaId& aCandidate) const;
  /** @brief Ends an own campaign and gives the other time to win. */
  void DeferToCandidate();
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
  /** Latest time at which a quorum had acknowledged this leader. */
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
  /** @brief Number of disks known to hold the entry, including those of
   * learners. */
  [[nodiscard]] std::size_t CopiesOf(LogIndex aIndex) const;
  /** @brief Answers a change that is sent again, once everything applied here
   * has enough copies: the change is among it. */
  void AnswerAgain(const Change& aChange, const Requester& aRequester);
  /** @brief Answers proposers whose changes have enough copies. */
  void AnswerReplicatedChanges();
  void AppendRequested(Payload aPayload, const Requester& aRequester);
  /** @brief Whether this leader appends changes: while it transfers its
   * leadership, proposers retry at the next one. */
  [[nodiscard]] bool AcceptsProposals() const;
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
  /** @brief Another member at the replica's node: its earlier disk. */
  [[nodiscard]] const Member* Predecessor(const ReplicaId& aId) const;
  /** @brief Whether a member responded, or was added, within the lease length.
   */
  [[nodiscard]] bool IsResponsive(const ReplicaId& aId) const;
  [[nodiscard]] bool AdmitJoiningReplica();
  [[nodiscard]] bool ManagesMembership() const noexcept
  {
    return settings_.targetVoters_ != 0;
  }
  /** @brief Member that has not responded for the longest time, if beyond the
   * limit. */
  [[nodiscard]] const Member* LongestUnresponsiveMember(MemberRole aRole,
                                                        Duration aLimit) const;
  [[nodiscard]] bool RemoveUnresponsiveLearner();
  void AnswerConfirmedReads();
  /** @brief Sends heartbeats when reads are not confirmed by the lease: a read
   * then needs acknowledgements of messages sent after it. */
  void ConfirmLeadership();
  void FinishRead(const PendingRead& aRead, bool aConfirmed);
  void AnswerAppliedReads();
  void ExpireRequests(Duration aReadAge, Duration aProposalAge);

  // Planned stops.
  void ContinueLeaving();
  void FinishLeaving(bool aReplaced);
  /** @brief Transfers leadership to a voter that holds the whole log. @return
   * Whether one was found, or might yet be. */
  [[nodiscard]] bool TransferLeadership();
  /** @brief Stop requests of members at the leader: replaces one, and answers
   * those that are replaced or cannot be. */
  void ServeLeavingMembers();
  [[nodiscard]] bool ReplaceLeavingVoter(const ReplicaId& aLeaving);
  /** @brief Caught-up learner that can take the place of any voter, the one
   * with the longest matching log. */
  [[nodiscard]] const Member* Spare() const;
  /** @brief Whether a responsive learner might become a spare. */
  [[nodiscard]] bool AwaitsSpare() const;
  [[nodiscard]] bool HasSurplusVoter() const;
  /** @brief Ends a replacement whose leaving voter has stopped, or has not
   * stopped after all: removes the voter that does not respond, or makes one a
   * learner. */
  [[nodiscard]] bool RemoveSurplusVoter();

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
  std::vector<NodeId> discovered_;
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
  LogIndex verifiedMatch_; ///< Matches the current leader's log up to here.

  absl::flat_hash_set<ReplicaId> votes_;
  TimePoint campaignStart_;
  bool wasMember_{}; ///< Was in a committed membership.
  std::map<ReplicaId, Progress> progress_;

  std::map<LogIndex, Requester> requesters_;
  std::multimap<LogIndex, PendingAnswer> pendingAnswers_;
  absl::flat_hash_map<Token, ForwardedRequest> forwards_; ///< By local token.
  std::vector<PendingRead> unconfirmedReads_; ///< Waiting for a quorum.
  std::vector<PendingRead> unappliedReads_;   ///< Waiting for their index.
  absl::flat_hash_map<Token, ForwardedRequest>
    forwardedReads_;        ///< By local token.
  std::uint64_t nextToken_; ///< Starts at random, to differ between runs.
  std::vector<ReplicaId> joining_;
  std::map<ReplicaId, TimePoint> leaving_; ///< Latest stop request, by member.
  std::optional<TimePoint> leavingSince_;  ///< This replica's own stop.
  TimePoint leaveDue_;

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

/** @brief Builds a replica from its durable state. */
class ReplicaBuilder
{
public:
  ReplicaBuilder& Settings(ReplicaSettings aSettings);
  /** @brief State recovered from storage, `BootstrapState` or `JoiningState`.
   */
  ReplicaBuilder& State(DurableState aState);
  ReplicaBuilder& VerificationMode(Verification aVerification);
  /** @brief Configured control nodes that a joining replica contacts. */
  ReplicaBuilder& Seeds(std::vector<NodeId> aNodes);
  /** @brief Seed of the random election timeouts; must differ at each start. */
  ReplicaBuilder& Seed(std::uint64_t aSeed);

  /**
   * @param aNow Time of the start.
   * @return The replica, `InvalidArgument` for invalid timeouts or limits, or
   * `DataLoss` for an inconsistent state.
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
