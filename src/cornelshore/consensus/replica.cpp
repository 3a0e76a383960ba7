#include <cornelshore/consensus/replica.hpp>

#include <algorithm>
#include <limits>
#include <utility>

#include <cornelshore/core/check.hpp>

namespace cornelshore::consensus {

namespace {

constexpr std::uint32_t kMillion = 1000000;

absl::Status
CheckSettings(const ReplicaSettings& aSettings)
{
  if (aSettings.heartbeat_ <= Duration::zero() ||
      aSettings.electionTimeout_ < 4 * aSettings.heartbeat_) {
    return absl::InvalidArgumentError(
      "election timeout must be at least four heartbeat intervals");
  }
  if (aSettings.clockDriftPpm_ >= kMillion / 2) {
    return absl::InvalidArgumentError(
      "clock drift bound must be below 500000 ppm");
  }
  if (aSettings.snapshotAfterEntries_ == 0 ||
      aSettings.maxEntriesPerMessage_ == 0 ||
      aSettings.maxEntriesInFlight_ == 0 ||
      aSettings.maxPendingProposals_ == 0) {
    return absl::InvalidArgumentError(
      "limits on snapshots, messages and proposals must be positive");
  }
  return absl::OkStatus();
}

/** Whether a message with a later term makes its receiver adopt that term. */
bool
AdvancesTerm(const Body& aBody)
{
  return std::holds_alternative<VoteRequest>(aBody) ||
         std::holds_alternative<VoteReply>(aBody) ||
         std::holds_alternative<AppendRequest>(aBody) ||
         std::holds_alternative<SnapshotRequest>(aBody) ||
         std::holds_alternative<AppendReply>(aBody);
}

/** Local duration after which `aLength` has passed on any clock. */
Duration
ScaleForClockDrift(Duration aLength, std::uint32_t aDriftPpm)
{
  return Duration{
    aLength.count() * (kMillion + aDriftPpm) / (kMillion - aDriftPpm) + 1
  };
}

} // namespace

Replica::Replica(ReplicaSettings aSettings,
                 DurableState aState,
                 Verification aVerification,
                 std::vector<NodeId> aSeeds,
                 std::uint64_t aSeed,
                 TimePoint aNow)
  : settings_(aSettings)
  , id_(aState.id_)
  , seeds_(std::move(aSeeds))
  , random_(aSeed)
  , verifier_(id_,
              aState.hard_.durabilityProven_ ? aVerification
                                             : Verification::Unproven,
              aNow + ScaleForClockDrift(aSettings.electionTimeout_,
                                        aSettings.clockDriftPpm_),
              random_.Next())
  , hard_(aState.hard_)
  , log_(std::move(aState.snapshot_), std::move(aState.entries_))
  , nextToken_(random_.Next())
  , now_(aNow)
  , heartbeatDue_(aNow)
  , maintenanceDue_(aNow)
{
  if (log_.LatestSnapshot() != nullptr) {
    register_ = Register(log_.LatestSnapshot()->register_);
    commit_ = applied_ = log_.LatestSnapshot()->last_.index_;
  }
  syncedIndex_ = log_.Last().index_;
  if (hard_.durabilityProven_ && aVerification == Verification::Unproven) {
    hard_.durabilityProven_ = false;
    hardChanged_ = true;
  }
  wasMember_ = log_.MembersAt(commit_).Find(id_) != nullptr;
  commit_ = std::max(commit_, hard_.commit_);
  ApplyCommitted();
  verifier_.AddMemberships(log_.MembersAt(commit_), log_.Members());
  ResetElectionTimer();
  if (aVerification == Verification::Durable) {
    ShortenElectionTimer();
  }
}

std::vector<Action>
Replica::On(TimePoint aNow, Event aEvent)
{
  now_ = std::max(now_, aNow);
  StepDownWithoutQuorum();
  std::visit([this](const auto& aKind) { Handle(aKind); }, aEvent);
  if (fault_ == Fault::None) {
    ServeLeavingMembers();
    verifier_.AddMemberships(log_.MembersAt(commit_), log_.Members());
    verifier_.Update(now_);
    RecordDurabilityProof();
    Flush();
  }
  return std::exchange(actions_, {});
}

void
Replica::Handle(const Received& aEvent)
{
  const auto& message = aEvent.message_;
  if (!Accepts(message)) {
    return;
  }
  AdoptTerm(message);
  std::visit([&](const auto& aBody) { On(message, aBody); }, message.body_);
}

bool
Replica::Accepts(const Message& aMessage)
{
  const auto isForThisReplica =
    aMessage.to_ == id_ ||
    (aMessage.to_.node_ == id_.node_ && aMessage.to_.disk_.value_ == 0);
  if (fault_ != Fault::None || !isForThisReplica || aMessage.from_ == id_) {
    return false;
  }
  const auto isReplication =
    std::holds_alternative<AppendRequest>(aMessage.body_) ||
    std::holds_alternative<SnapshotRequest>(aMessage.body_);
  if (isReplication && verifier_.MustNotAcknowledge(now_)) {
    return false;
  }
  if (log_.Members().Find(aMessage.from_) != nullptr) {
    peerObservations_.RecordTerm(aMessage.from_, aMessage.term_);
  }
  return true;
}

void
Replica::AdoptTerm(const Message& aMessage)
{
  if (aMessage.term_ <= hard_.term_) {
    return;
  }
  if (const auto* request = std::get_if<VoteRequest>(&aMessage.body_)) {
    if (IsTransfer(*request)) {
      lastLeaderContact_.reset();
    }
    const auto isDisruptive = KnowsOtherLeader() || !verifier_.Verified();
    if (request->ballot_ == Ballot::PreVote || isDisruptive) {
      return;
    }
  }
  if (AdvancesTerm(aMessage.body_)) {
    BecomeFollower(aMessage.term_, std::nullopt);
  }
}

void
Replica::Handle(const Synced& aEvent)
{
  if (fault_ != Fault::None || aEvent.id_ <= synced_) {
    return;
  }
  synced_ = aEvent.id_;
  while (!pendingSyncs_.empty() && pendingSyncs_.front().id_ <= synced_) {
    syncedIndex_ = pendingSyncs_.front().last_;
    pendingSyncs_.pop_front();
  }
  if (role_ == Role::Candidate) {
    CountVotes();
  } else if (role_ == Role::Leader) {
    AdvanceCommit();
    AnswerReplicatedChanges();
  } else if (leader_) {
    ReplyToLeader();
  }
}

void
Replica::Handle(const StorageFailed& aEvent)
{
  Fail(aEvent.fault_);
}

void
Replica::Handle(const TrustDisk&)
{
  verifier_.Trust();
}

void
Replica::Handle(const PeersDiscovered& aEvent)
{
  discovered_ = aEvent.nodes_;
  discovered_.resize(std::min(discovered_.size(), kMaxMembers));
}

void
Replica::Fail(Fault aFault)
{
  if (fault_ != Fault::None) {
    return;
  }
  FailPendingRequests();
  ExpireRequests(Duration::zero(), Duration::zero());
  FinishLeaving(false);
  fault_ = aFault;
  role_ = Role::Follower;
  leader_.reset();
  deferred_.clear();
  actions_.emplace_back(ReplicaFaulted{ aFault });
}

void
Replica::Handle(const Tick&)
{
  if (fault_ != Fault::None) {
    return;
  }
  ExpireRequests(settings_.electionTimeout_, settings_.answerTimeout_);
  if (maintenanceDue_ <= now_) {
    maintenanceDue_ = now_ + settings_.heartbeat_ * 2;
    SendHellos();
    SendJoins();
  }
  if (leavingSince_ && leaveDue_ <= now_) {
    ContinueLeaving();
  }
  if (role_ == Role::Leader) {
    TickLeader();
  } else if (electionDue_ <= now_) {
    TickElection();
  }
}

void
Replica::TickLeader()
{
  if (heartbeatDue_ <= now_) {
    heartbeatDue_ = now_ + settings_.heartbeat_;
    UpdateMembership();
    SendHeartbeats();
  }
}

void
Replica::StepDownWithoutQuorum()
{
  if (role_ != Role::Leader) {
    return;
  }
  const auto acked = std::max(QuorumAckedAt().value_or(Duration::min()),
                              campaignStart_.time_since_epoch());
  if (Clock() >= acked + LeaseLength()) {
    BecomeFollower(hard_.term_, std::nullopt);
  }
}

TimePoint
Replica::NextTimer() const
{
  if (fault_ != Fault::None) {
    return TimePoint::max();
  }
  return std::min({ role_ == Role::Leader ? heartbeatDue_ : electionDue_,
                    maintenanceDue_,
                    leavingSince_ ? leaveDue_ : TimePoint::max() });
}

void
Replica::SendTo(const ReplicaId& aTo, Body aBody)
{
  SendAfterSync(aTo, std::move(aBody), PersistId{});
}

void
Replica::SendAfterSync(const ReplicaId& aTo, Body aBody, PersistId aAfter)
{
  Message message{ id_, aTo, hard_.term_, std::move(aBody) };
  deferred_.push_back({ aAfter, std::move(message) });
}

void
Replica::Flush()
{
  if (hardChanged_ || snapshotChanged_ || entriesFrom_) {
    Persist persist;
    persist.id_ = PersistId{ ++lastPersist_.value_ };
    if (hardChanged_ || entriesFrom_) {
      hard_.commit_ =
        std::max(hard_.commit_, std::min(commit_, LastPosition().index_));
      persist.hard_ = hard_;
    }
    if (snapshotChanged_) {
      persist.snapshot_ = log_.LatestSnapshot();
    }
    if (entriesFrom_) {
      const LogIndex afterSnapshot{ log_.SnapshotIndex().value_ + 1 };
      persist.entries_ =
        log_.EntriesFrom(std::max(*entriesFrom_, afterSnapshot));
    }
    if (hardChanged_) {
      hardPersist_ = lastPersist_;
    }
    pendingSyncs_.push_back({ lastPersist_, LastPosition().index_ });
    hardChanged_ = snapshotChanged_ = false;
    entriesFrom_.reset();
    PrependPersist(std::move(persist));
  }
  ReleaseDeferred();
}

void
Replica::PrependPersist(Persist aPersist)
{
  std::vector<Action> ordered;
  ordered.reserve(actions_.size() + 1);
  ordered.emplace_back(std::move(aPersist));
  for (auto& action : actions_) {
    ordered.emplace_back(std::move(action));
  }
  actions_ = std::move(ordered);
}

void
Replica::ReleaseDeferred()
{
  std::vector<Deferred> deferred;
  for (auto& row : deferred_) {
    if (row.message_.term_ < hard_.term_) {
      continue;
    }
    if (std::max(row.after_, hardPersist_) > synced_) {
      deferred.push_back(std::move(row));
    } else {
      actions_.emplace_back(Send{ std::move(row.message_) });
    }
  }
  deferred_ = std::move(deferred);
}

consensus::Standing
Replica::Standing() const
{
  return { role_,
           hard_.term_,
           role_ == Role::Leader ? std::optional(id_) : leader_,
           log_.Members() };
}

ReplicaDump
Replica::Dump(TimePoint aNow) const
{
  ReplicaDump dump;
  dump.id_ = id_;
  dump.role_ = role_;
  dump.fault_ = fault_;
  dump.verified_ = verifier_.Verified();
  dump.holdsLease_ = HoldsLease(aNow);
  dump.term_ = hard_.term_;
  dump.leader_ = role_ == Role::Leader ? id_ : leader_;
  dump.last_ = LastPosition();
  dump.synced_ = syncedIndex_;
  dump.commit_ = commit_;
  dump.applied_ = applied_;
  dump.snapshot_ = log_.SnapshotIndex();
  dump.version_ = register_.Current().version_;
  dump.membership_ = log_.Members();
  for (const auto& [id, progress] : progress_) {
    dump.progress_.push_back(
      { id, progress.match_, progress.next_, IsRecent(progress.matchSentAt_) });
  }
  dump.votes_.assign(votes_.begin(), votes_.end());
  std::sort(dump.votes_.begin(), dump.votes_.end());
  dump.knowsLeader_ = KnowsOtherLeader();
  dump.joining_ = joining_;
  dump.pendingProposals_ = requesters_.size() + forwards_.size();
  dump.pendingReads_ =
    unconfirmedReads_.size() + unappliedReads_.size() + forwardedReads_.size();
  dump.logBytes_ = log_.Bytes();
  return dump;
}

ReplicaBuilder&
ReplicaBuilder::Settings(ReplicaSettings aSettings)
{
  settings_ = aSettings;
  return *this;
}

ReplicaBuilder&
ReplicaBuilder::State(DurableState aState)
{
  state_ = std::move(aState);
  return *this;
}

ReplicaBuilder&
ReplicaBuilder::VerificationMode(Verification aVerification)
{
  verification_ = aVerification;
  return *this;
}

ReplicaBuilder&
ReplicaBuilder::Seeds(std::vector<NodeId> aNodes)
{
  seeds_ = std::move(aNodes);
  return *this;
}

ReplicaBuilder&
ReplicaBuilder::Seed(std::uint64_t aSeed)
{
  seed_ = aSeed;
  return *this;
}

absl::StatusOr<Replica>
ReplicaBuilder::Build(TimePoint aNow) const
{
  if (auto status = CheckSettings(settings_); !status.ok()) {
    return status;
  }
  if (verification_ == Verification::Durable && settings_.leaseReads_) {
    return absl::InvalidArgumentError(
      "lease reads require a verification mode that waits after a restart");
  }
  if (state_.id_.disk_.value_ == 0) {
    return absl::InvalidArgumentError(
      "replica has disk id 0; expected a non-zero id");
  }
  if (auto status = state_.Check(); !status.ok()) {
    return status;
  }
  return Replica(settings_, state_, verification_, seeds_, seed_, aNow);
}

} // namespace cornelshore::consensus
