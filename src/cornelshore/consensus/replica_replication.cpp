#include <algorithm>
#include <utility>

#include <cornelshore/consensus/replica.hpp>

namespace cornelshore::consensus {

namespace {

constexpr std::int64_t kMillion = 1000000;

bool
IsWellFormed(const Entry& aEntry)
{
  if (const auto* change =
        std::get_if<std::shared_ptr<const Change>>(&aEntry.payload_)) {
    return *change != nullptr;
  }
  if (const auto* members =
        std::get_if<std::shared_ptr<const Membership>>(&aEntry.payload_)) {
    return *members != nullptr && (*members)->index_ == aEntry.index_;
  }
  return true;
}

bool
IsWellFormed(const Message& aMessage, const AppendRequest& aBody)
{
  auto previous = aBody.previous_;
  for (const auto& entry : aBody.entries_) {
    if (entry.index_.value_ != previous.index_.value_ + 1 ||
        entry.term_ < previous.term_ || !IsWellFormed(entry)) {
      return false;
    }
    previous = entry.At();
  }
  return previous.term_ <= aMessage.term_;
}

} // namespace

Duration
Replica::LeaseLength() const
{
  const auto drift = std::int64_t{ settings_.clockDriftPpm_ };
  return Duration{ settings_.electionTimeout_.count() * (kMillion - drift) /
                   (kMillion + drift) };
}

bool
Replica::IsRecent(const std::optional<Duration>& aSentAt) const
{
  return aSentAt && Clock() < *aSentAt + LeaseLength();
}

std::optional<Duration>
Replica::QuorumAckedAt() const
{
  std::vector<Duration> acked;
  const auto& members = log_.Members();
  for (const auto& [id, progress] : progress_) {
    if (members.IsVoter(id) && progress.ackSentAt_) {
      acked.push_back(*progress.ackSentAt_);
    }
  }
  if (members.IsVoter(id_)) {
    acked.push_back(Clock());
  }
  const auto quorum = members.Quorum();
  if (acked.size() < quorum) {
    return std::nullopt;
  }
  std::sort(acked.begin(), acked.end(), std::greater<>());
  return acked[quorum - 1];
}

bool
Replica::HoldsLease(TimePoint aNow) const
{
  if (role_ != Role::Leader || fault_ != Fault::None) {
    return false;
  }
  const auto acked = QuorumAckedAt();
  return acked && aNow.time_since_epoch() < *acked + LeaseLength();
}

void
Replica::SyncProgressWithMembership()
{
  const auto& members = log_.Members();
  for (const auto& member : members.members_) {
    if (member.id_ != id_ && progress_.count(member.id_) == 0) {
      Progress progress;
      progress.next_ = LogIndex{ LastPosition().index_.value_ + 1 };
      progress.trackedSince_ = Clock();
      progress_[member.id_] = progress;
    }
  }
  std::erase_if(progress_, [&](const auto& aRow) {
    return members.Find(aRow.first) == nullptr;
  });
  peerObservations_.RetainMembers(members);
}

void
Replica::AppendLocal(Payload aPayload)
{
  const LogIndex index{ LastPosition().index_.value_ + 1 };
  log_.Append({ hard_.term_, index, std::move(aPayload) });
  entriesFrom_ = entriesFrom_ ? std::min(*entriesFrom_, index) : index;
}

void
Replica::ReplicateAll()
{
  for (auto& [id, progress] : progress_) {
    Replicate(id, progress);
  }
}

void
Replica::Replicate(const ReplicaId& aTo, Progress& aProgress)
{
  const auto ahead = aProgress.next_.value_ - aProgress.match_.value_ - 1;
  if (aProgress.probing_ || ahead >= settings_.maxEntriesInFlight_ ||
      aProgress.next_ > LastPosition().index_) {
    return;
  }
  SendEntries(aTo, aProgress, aProgress.next_);
}

void
Replica::SendHeartbeats()
{
  for (auto& [id, progress] : progress_) {
    Heartbeat(id, progress);
  }
}

void
Replica::Heartbeat(const ReplicaId& aTo, Progress& aProgress)
{
  const auto stalled = aProgress.match_ == aProgress.matchAtHeartbeat_ &&
                       aProgress.match_ < LastPosition().index_;
  aProgress.matchAtHeartbeat_ = aProgress.match_;
  if (aProgress.probing_) {
    SendEntries(aTo, aProgress, aProgress.next_);
  } else if (stalled) {
    SendEntries(aTo, aProgress, LogIndex{ aProgress.match_.value_ + 1 });
  } else if (const auto term = log_.TermAt(aProgress.match_)) {
    SendTo(aTo,
           AppendRequest{ { *term, aProgress.match_ }, {}, commit_, Clock() });
  } else {
    SendSnapshot(aTo, aProgress);
  }
}

void
Replica::SendEntries(const ReplicaId& aTo, Progress& aProgress, LogIndex aFrom)
{
  const LogIndex previous{ aFrom.value_ - 1 };
  const auto term = log_.TermAt(previous);
  if (!term) {
    SendSnapshot(aTo, aProgress);
    return;
  }
  AppendRequest request{ { *term, previous },
                         log_.Slice(aFrom,
                                    settings_.maxEntriesPerMessage_,
                                    settings_.maxBytesPerMessage_),
                         commit_,
                         Clock() };
  if (!aProgress.probing_) {
    const LogIndex after{ aFrom.value_ + request.entries_.size() };
    aProgress.next_ = std::max(aProgress.next_, after);
  }
  SendTo(aTo, std::move(request));
}

void
Replica::SendSnapshot(const ReplicaId& aTo, Progress& aProgress)
{
  const auto snapshotPending =
    aProgress.snapshotSentAt_ &&
    Clock() < *aProgress.snapshotSentAt_ + settings_.electionTimeout_;
  if (snapshotPending) {
    SendTo(aTo, AppendRequest{ {}, {}, {}, Clock() });
    return;
  }
  aProgress.snapshotSentAt_ = Clock();
  SendTo(aTo, SnapshotRequest{ log_.LatestSnapshot(), Clock() });
}

void
Replica::FollowLeader(const Message& aMessage, Duration aSentAt)
{
  BecomeFollower(aMessage.term_, aMessage.from_);
  lastLeaderContact_ = now_;
  leaderSentAt_ = std::max(leaderSentAt_, aSentAt);
  ResetElectionTimer();
}

bool
Replica::HasEntry(const Position& aPosition) const
{
  return aPosition.index_ <= commit_ ||
         log_.TermAt(aPosition.index_) == aPosition.term_;
}

void
Replica::On(const Message& aMessage, const AppendRequest& aBody)
{
  if (role_ == Role::Leader || !IsWellFormed(aMessage, aBody)) {
    return;
  }
  if (aMessage.term_ < hard_.term_) {
    SendTo(aMessage.from_, AppendReply{ false, {}, {}, aBody.sentAt_ });
    return;
  }
  FollowLeader(aMessage, aBody.sentAt_);
  if (!HasEntry(aBody.previous_)) {
    const LogIndex hint{ std::min(LastPosition().index_.value_,
                                  aBody.previous_.index_.value_ - 1) };
    SendTo(aMessage.from_, AppendReply{ false, {}, hint, aBody.sentAt_ });
    return;
  }
  for (const auto& entry : aBody.entries_) {
    AcceptEntry(entry);
  }
  const LogIndex matched{ aBody.previous_.index_.value_ +
                          aBody.entries_.size() };
  verifiedMatch_ = std::max(verifiedMatch_, matched);
  commit_ = std::max(commit_, std::min(aBody.commit_, verifiedMatch_));
  ApplyCommitted();
  ReplyToLeader();
}

void
Replica::AcceptEntry(const Entry& aEntry)
{
  if (HasEntry(aEntry.At())) {
    return;
  }
  if (aEntry.index_ <= LastPosition().index_) {
    Truncate(aEntry.index_);
  }
  log_.Append(aEntry);
  entriesFrom_ =
    entriesFrom_ ? std::min(*entriesFrom_, aEntry.index_) : aEntry.index_;
}

void
Replica::Truncate(LogIndex aFrom)
{
  const LogIndex kept{ aFrom.value_ - 1 };
  log_.TruncateFrom(aFrom);
  syncedIndex_ = std::min(syncedIndex_, kept);
  for (auto& pending : pendingSyncs_) {
    pending.last_ = std::min(pending.last_, kept);
  }
}

void
Replica::On(const Message& aMessage, const SnapshotRequest& aBody)
{
  if (role_ == Role::Leader || aBody.snapshot_ == nullptr) {
    return;
  }
  if (aMessage.term_ < hard_.term_) {
    SendTo(aMessage.from_, AppendReply{ false, {}, {}, aBody.sentAt_ });
    return;
  }
  FollowLeader(aMessage, aBody.sentAt_);
  const auto last = aBody.snapshot_->last_;
  if (!HasEntry(last)) {
    Install(aBody.snapshot_);
  }
  commit_ = std::max(commit_, last.index_);
  ApplyCommitted();
  verifiedMatch_ = std::max(verifiedMatch_, last.index_);
  ReplyToLeader();
}

void
Replica::Install(const std::shared_ptr<const Snapshot>& aSnapshot)
{
  Truncate(LogIndex{ 1 });
  log_.Reset(aSnapshot);
  register_ = Register(aSnapshot->register_);
  commit_ = applied_ = aSnapshot->last_.index_;
  snapshotChanged_ = true;
  hardChanged_ = true;
  entriesFrom_.reset();
  actions_.emplace_back(Applied{ register_.Current().version_ });
  ApplyMembership(aSnapshot->membership_);
}

void
Replica::ReplyToLeader()
{
  if (!leader_ || role_ != Role::Follower || fault_ != Fault::None) {
    return;
  }
  const auto match = std::min(verifiedMatch_, syncedIndex_);
  SendTo(*leader_, AppendReply{ true, match, {}, leaderSentAt_ });
}

void
Replica::On(const Message& aMessage, const AppendReply& aBody)
{
  const auto row = progress_.find(aMessage.from_);
  if (role_ != Role::Leader || aMessage.term_ != hard_.term_ ||
      row == progress_.end() || aBody.sentAt_ > Clock()) {
    return;
  }
  auto& progress = row->second;
  progress.ackSentAt_ =
    std::max(progress.ackSentAt_.value_or(aBody.sentAt_), aBody.sentAt_);
  if (aBody.accepted_) {
    OnMatch(aMessage, progress, aBody);
  } else {
    OnMismatch(aMessage, progress, aBody);
  }
  AnswerConfirmedReads();
}

void
Replica::OnMatch(const Message& aMessage,
                 Progress& aProgress,
                 const AppendReply& aBody)
{
  if (aBody.match_ < aProgress.match_ || aBody.match_ > LastPosition().index_) {
    return;
  }
  aProgress.match_ = aBody.match_;
  aProgress.matchSentAt_ =
    std::max(aProgress.matchSentAt_.value_or(aBody.sentAt_), aBody.sentAt_);
  aProgress.next_ =
    std::max(aProgress.next_, LogIndex{ aBody.match_.value_ + 1 });
  const auto reached = aBody.match_.value_ + 1 >= aProgress.next_.value_;
  aProgress.probing_ = aProgress.probing_ && !reached;
  peerObservations_.RecordAcknowledgement(aMessage.from_,
                                          std::min(commit_, aBody.match_));
  AdvanceCommit();
  AnswerReplicatedChanges();
  Replicate(aMessage.from_, aProgress);
}

void
Replica::OnMismatch(const Message& aMessage,
                    Progress& aProgress,
                    const AppendReply& aBody)
{
  const auto newer =
    !aProgress.matchSentAt_ || aBody.sentAt_ > *aProgress.matchSentAt_;
  if (!newer) {
    return;
  }
  if (aBody.last_ < aProgress.match_) {
    SendTo(aMessage.from_, Refusal{ Fault::RolledBack });
    return;
  }
  const LogIndex next{ aBody.last_.value_ + 1 };
  if (aProgress.probing_ && next >= aProgress.next_) {
    return;
  }
  aProgress.probing_ = true;
  aProgress.next_ = next;
  SendEntries(aMessage.from_, aProgress, next);
}

void
Replica::AdvanceCommit()
{
  std::vector<LogIndex> matches;
  const auto& members = log_.Members();
  for (const auto& [id, progress] : progress_) {
    if (members.IsVoter(id) && IsRecent(progress.matchSentAt_)) {
      matches.push_back(progress.match_);
    }
  }
  if (members.IsVoter(id_)) {
    matches.push_back(syncedIndex_);
  }
  const auto quorum = members.Quorum();
  if (matches.size() < quorum) {
    return;
  }
  std::sort(matches.begin(), matches.end(), std::greater<>());
  const auto quorumMatch = matches[quorum - 1];
  if (quorumMatch > commit_ && log_.TermAt(quorumMatch) == hard_.term_) {
    commit_ = quorumMatch;
    ApplyCommitted();
    AnswerConfirmedReads();
  }
}

void
Replica::ApplyCommitted()
{
  while (applied_ < commit_ && fault_ == Fault::None) {
    ++applied_.value_;
    ApplyEntry(Entry(log_.At(applied_)));
  }
  AnswerAppliedReads();
  Compact();
}

void
Replica::ApplyEntry(const Entry& aEntry)
{
  std::optional<ChangeAnswer> answer;
  if (const auto* change =
        std::get_if<std::shared_ptr<const Change>>(&aEntry.payload_)) {
    answer = register_.Apply(**change);
    if (answer->outcome_ == ChangeOutcome::Accepted && !answer->replayed_) {
      actions_.emplace_back(Applied{ answer->version_ });
    }
  }
  const auto requester = requesters_.find(aEntry.index_);
  if (requester != requesters_.end()) {
    const auto needsCopies =
      answer && CopiesOf(aEntry.index_) < settings_.minCopies_;
    if (needsCopies) {
      pendingAnswers_.emplace(aEntry.index_,
                              PendingAnswer{ requester->second, *answer });
    } else {
      AnswerRequester(requester->second, answer, true);
    }
    requesters_.erase(requester);
  }
  if (const auto* members =
        std::get_if<std::shared_ptr<const Membership>>(&aEntry.payload_)) {
    ApplyMembership(**members);
  }
}

void
Replica::ApplyMembership(const Membership& aMembership)
{
  std::erase_if(joining_, [&](const ReplicaId& aId) {
    return aMembership.Find(aId) != nullptr;
  });
  const auto isMember = aMembership.Find(id_) != nullptr;
  if (wasMember_ && !isMember) {
    Fail(Fault::Removed);
  }
  wasMember_ = wasMember_ || isMember;
}

void
Replica::Compact()
{
  const auto appliedSinceSnapshot =
    applied_.value_ - log_.SnapshotIndex().value_;
  const auto due = appliedSinceSnapshot >= settings_.snapshotAfterEntries_ ||
                   log_.Bytes() >= settings_.snapshotAfterBytes_;
  if (appliedSinceSnapshot == 0 || !due || fault_ != Fault::None) {
    return;
  }
  Snapshot snapshot{ { *log_.TermAt(applied_), applied_ },
                     log_.MembersAt(applied_),
                     register_.State() };
  log_.Compact(std::make_shared<const Snapshot>(std::move(snapshot)),
               settings_.trailingEntries_,
               settings_.snapshotAfterBytes_ / 4);
  snapshotChanged_ = true;
}

} // namespace cornelshore::consensus
