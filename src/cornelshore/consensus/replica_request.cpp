#include <algorithm>
#include <utility>

#include <cornelshore/consensus/replica.hpp>

namespace cornelshore::consensus {

namespace {

/** Maximum lag, in entries, at which a learner is promoted to voter. */
constexpr std::uint64_t kMaxLearnerLagEntries = 64;

template<typename Map, typename Finish>
void
ExpireForwarded(Map& aForwarded, TimePoint aLatest, const Finish& aFinish)
{
  for (auto row = aForwarded.begin(); row != aForwarded.end();) {
    const auto current = row++;
    if (current->second.since_ <= aLatest) {
      aFinish(current->second.token_);
      aForwarded.erase(current);
    }
  }
}

} // namespace

void
Replica::AnswerProposal(Token aToken,
                        ProposalStatus aStatus,
                        const ChangeAnswer& aAnswer)
{
  ProposalResponse response{ aToken, aStatus, aAnswer, std::nullopt };
  if (leader_) {
    response.leader_ = leader_->node_;
  }
  actions_.emplace_back(response);
}

void
Replica::AnswerMembership(Token aToken, MembershipStatus aStatus)
{
  MembershipResponse response{ aToken, aStatus, std::nullopt };
  if (leader_) {
    response.leader_ = leader_->node_;
  }
  actions_.emplace_back(response);
}

void
Replica::AnswerRequester(const Requester& aRequester,
                         const std::optional<ChangeAnswer>& aAnswer,
                         bool aCommitted)
{
  if (aRequester.forwarder_) {
    SendTo(*aRequester.forwarder_, ForwardReply{ aRequester.token_, aAnswer });
  } else if (aRequester.membership_) {
    AnswerMembership(aRequester.token_,
                     aCommitted ? MembershipStatus::Done
                                : MembershipStatus::Unknown);
  } else if (aAnswer) {
    AnswerProposal(aRequester.token_, ProposalStatus::Decided, *aAnswer);
  } else {
    AnswerProposal(aRequester.token_, ProposalStatus::Unknown);
  }
}

void
Replica::FailPendingRequests()
{
  for (const auto& [index, requester] : std::exchange(requesters_, {})) {
    AnswerRequester(requester, std::nullopt, false);
  }
  for (const auto& [index, pending] : std::exchange(pendingAnswers_, {})) {
    AnswerRequester(pending.requester_, std::nullopt, false);
  }
  for (const auto& read : std::exchange(unconfirmedReads_, {})) {
    FinishRead(read, false);
  }
}

std::size_t
Replica::CopiesOf(LogIndex aIndex) const
{
  const auto others =
    std::count_if(progress_.begin(), progress_.end(), [&](const auto& aRow) {
      return aRow.second.match_ >= aIndex;
    });
  return static_cast<std::size_t>(others) + (syncedIndex_ >= aIndex ? 1 : 0);
}

void
Replica::AnswerReplicatedChanges()
{
  while (!pendingAnswers_.empty()) {
    const auto first = pendingAnswers_.begin();
    if (CopiesOf(first->first) < settings_.minCopies_) {
      return;
    }
    const auto pending = first->second;
    pendingAnswers_.erase(first);
    AnswerRequester(pending.requester_, pending.answer_, true);
  }
}

void
Replica::AnswerAgain(const Change& aChange, const Requester& aRequester)
{
  const auto answer = register_.Apply(aChange);
  if (CopiesOf(applied_) >= settings_.minCopies_) {
    AnswerRequester(aRequester, answer, true);
  } else {
    pendingAnswers_.emplace(applied_, PendingAnswer{ aRequester, answer });
  }
}

void
Replica::AppendRequested(Payload aPayload, const Requester& aRequester)
{
  AppendLocal(std::move(aPayload));
  requesters_[LastPosition().index_] = aRequester;
  ReplicateAll();
}

void
Replica::Handle(const Propose& aEvent)
{
  if (!CheckChange(aEvent.change_).ok()) {
    AnswerProposal(aEvent.token_, ProposalStatus::Invalid);
  } else if (settings_.minCopies_ == 0 &&
             register_.FindAnswer(aEvent.change_.id_) != nullptr) {
    AnswerProposal(
      aEvent.token_, ProposalStatus::Decided, register_.Apply(aEvent.change_));
  } else if (fault_ != Fault::None ||
             (role_ == Role::Leader && !AcceptsProposals())) {
    AnswerProposal(aEvent.token_, ProposalStatus::Unavailable);
  } else if (role_ != Role::Leader) {
    ForwardToLeader(aEvent);
  } else if (requesters_.size() + pendingAnswers_.size() >=
             settings_.maxPendingProposals_) {
    AnswerProposal(aEvent.token_, ProposalStatus::Overloaded);
  } else if (register_.FindAnswer(aEvent.change_.id_) != nullptr) {
    AnswerAgain(aEvent.change_, { aEvent.token_, std::nullopt, false });
  } else {
    AppendRequested(std::make_shared<const Change>(aEvent.change_),
                    { aEvent.token_, std::nullopt, false });
  }
}

void
Replica::ForwardToLeader(const Propose& aEvent)
{
  if (!leader_) {
    AnswerProposal(aEvent.token_, ProposalStatus::Unavailable);
  } else if (forwards_.size() >= settings_.maxPendingProposals_) {
    AnswerProposal(aEvent.token_, ProposalStatus::Overloaded);
  } else {
    const Token localToken{ ++nextToken_ };
    forwards_[localToken] = { aEvent.token_, now_ };
    SendTo(
      *leader_,
      Forward{ localToken, std::make_shared<const Change>(aEvent.change_) });
  }
}

void
Replica::On(const Message& aMessage, const Forward& aBody)
{
  if (aBody.change_ == nullptr || !CheckChange(*aBody.change_).ok()) {
    return;
  }
  const Requester requester{ aBody.token_, aMessage.from_, false };
  const auto isFull = requesters_.size() + pendingAnswers_.size() >=
                      settings_.maxPendingProposals_;
  if (!AcceptsProposals() || isFull) {
    SendTo(aMessage.from_, ForwardReply{ aBody.token_, std::nullopt });
  } else if (register_.FindAnswer(aBody.change_->id_) != nullptr) {
    AnswerAgain(*aBody.change_, requester);
  } else {
    AppendRequested(aBody.change_, requester);
  }
}

void
Replica::On(const Message&, const ForwardReply& aBody)
{
  const auto row = forwards_.find(aBody.token_);
  if (row == forwards_.end()) {
    return;
  }
  const Requester requester{ row->second.token_, std::nullopt, false };
  forwards_.erase(row);
  AnswerRequester(requester, aBody.answer_, false);
}

bool
Replica::AcceptsProposals() const
{
  return HoldsLease(now_) && !leavingSince_;
}

bool
Replica::HasCommittedInTerm() const
{
  return role_ == Role::Leader && log_.TermAt(commit_) == hard_.term_;
}

bool
Replica::IsRegisterCurrent(TimePoint aNow) const
{
  return HoldsLease(aNow) && HasCommittedInTerm() && applied_ == commit_;
}

void
Replica::Handle(const ChangeMembership& aEvent)
{
  const auto status = TryChangeMembership(aEvent);
  if (status != MembershipStatus::Done) {
    AnswerMembership(aEvent.token_, status);
  }
}

MembershipStatus
Replica::TryChangeMembership(const ChangeMembership& aEvent)
{
  auto members = log_.Members();
  const auto isMember = members.Find(aEvent.replica_) != nullptr;
  const auto adds = aEvent.kind_ == MembershipChangeKind::AddLearner;
  if (isMember == adds) {
    return MembershipStatus::Unchanged;
  }
  if (adds) {
    members.Set(aEvent.replica_, MemberRole::Learner);
  } else {
    members.Remove(aEvent.replica_);
  }
  return TryAppendMembership(std::move(members),
                             Requester{ aEvent.token_, std::nullopt, true });
}

MembershipStatus
Replica::TryAppendMembership(Membership aMembership,
                             const std::optional<Requester>& aRequester)
{
  if (fault_ != Fault::None || !HoldsLease(now_)) {
    return MembershipStatus::Unavailable;
  }
  if (!HasCommittedInTerm() || log_.Members().index_ > commit_) {
    return MembershipStatus::Pending;
  }
  if (aMembership.members_.size() > kMaxMembers ||
      aMembership.Voters() > kMaxVoters) {
    return MembershipStatus::TooMany;
  }
  if (ActiveVoters(aMembership) < aMembership.Quorum()) {
    return MembershipStatus::Unsafe;
  }
  aMembership.index_ = LogIndex{ LastPosition().index_.value_ + 1 };
  AppendLocal(std::make_shared<const Membership>(std::move(aMembership)));
  if (aRequester) {
    requesters_[LastPosition().index_] = *aRequester;
  }
  SyncProgressWithMembership();
  ReplicateAll();
  return MembershipStatus::Done;
}

std::size_t
Replica::ActiveVoters(const Membership& aMembership) const
{
  std::size_t active = aMembership.IsVoter(id_) ? 1 : 0;
  for (const auto& [id, progress] : progress_) {
    if (aMembership.IsVoter(id) && IsRecent(progress.ackSentAt_)) {
      ++active;
    }
  }
  return active;
}

void
Replica::UpdateMembership()
{
  if (!HasCommittedInTerm() || log_.Members().index_ > commit_ ||
      AdmitJoiningReplica() || RemoveUnresponsiveLearner() ||
      RemoveSurplusVoter()) {
    return;
  }
  const auto members = log_.Members().members_;
  for (const auto& member : members) {
    if (member.role_ == MemberRole::Learner && PromoteLearner(member)) {
      return;
    }
  }
}

bool
Replica::PromoteLearner(const Member& aLearner)
{
  if (!IsCaughtUp(aLearner.id_)) {
    return false;
  }
  auto members = log_.Members();
  if (const auto* predecessor = Predecessor(aLearner.id_)) {
    members.Remove(ReplicaId(predecessor->id_));
  } else if (ManagesMembership() &&
             members.Voters() >= settings_.targetVoters_) {
    const auto* unresponsive =
      LongestUnresponsiveMember(MemberRole::Voter, settings_.voterTimeout_);
    if (unresponsive == nullptr) {
      return false;
    }
    members.Remove(ReplicaId(unresponsive->id_));
  } else {
    members.Set(aLearner.id_, MemberRole::Voter);
  }
  return TryAppendMembership(std::move(members), std::nullopt) ==
         MembershipStatus::Done;
}

const Member*
Replica::LongestUnresponsiveMember(MemberRole aRole, Duration aLimit) const
{
  const Member* found = nullptr;
  auto longest = aLimit;
  for (const auto& member : log_.Members().members_) {
    const auto row = progress_.find(member.id_);
    if (member.role_ != aRole || row == progress_.end()) {
      continue;
    }
    const auto& progress = row->second;
    const auto heard = progress.ackSentAt_.value_or(progress.trackedSince_);
    if (Clock() - heard >= longest) {
      longest = Clock() - heard;
      found = &member;
    }
  }
  return found;
}

bool
Replica::RemoveUnresponsiveLearner()
{
  if (!ManagesMembership()) {
    return false;
  }
  const auto* unresponsive =
    LongestUnresponsiveMember(MemberRole::Learner, settings_.learnerTimeout_);
  if (unresponsive == nullptr) {
    return false;
  }
  auto members = log_.Members();
  members.Remove(ReplicaId(unresponsive->id_));
  return TryAppendMembership(std::move(members), std::nullopt) ==
         MembershipStatus::Done;
}

const Member*
Replica::Predecessor(const ReplicaId& aId) const
{
  const auto& members = log_.Members().members_;
  const auto found =
    std::find_if(members.begin(), members.end(), [&](const Member& aMember) {
      return aMember.id_.node_ == aId.node_ && aMember.id_ != aId;
    });
  return found == members.end() ? nullptr : &*found;
}

bool
Replica::IsResponsive(const ReplicaId& aId) const
{
  const auto row = progress_.find(aId);
  if (row == progress_.end()) {
    return aId == id_;
  }
  const auto& progress = row->second;
  return IsRecent(progress.ackSentAt_.value_or(progress.trackedSince_));
}

bool
Replica::IsCaughtUp(const ReplicaId& aId) const
{
  const auto row = progress_.find(aId);
  return row != progress_.end() && IsRecent(row->second.matchSentAt_) &&
         row->second.match_.value_ + kMaxLearnerLagEntries >=
           LastPosition().index_.value_ &&
         row->second.match_ >= log_.Members().index_;
}

void
Replica::On(const Message& aMessage, const Join& aBody)
{
  const auto& replica = aBody.replica_;
  if (replica.disk_.value_ == 0) {
    return;
  }
  if (role_ != Role::Leader) {
    if (leader_ && replica == aMessage.from_) {
      SendTo(*leader_, aBody);
    }
    return;
  }
  // A node runs one replica at a time. While its member responds, a request in
  // the name of another disk of the node was sent before the member's.
  const auto* other = Predecessor(replica);
  const auto isLate = other != nullptr && IsResponsive(other->id_);
  if (isLate || log_.Members().Find(replica) != nullptr) {
    return;
  }
  std::erase_if(
    joining_, [&](const ReplicaId& aId) { return aId.node_ == replica.node_; });
  if (joining_.size() >= kMaxMembers) {
    joining_.erase(joining_.begin());
  }
  joining_.push_back(replica);
}

bool
Replica::AdmitJoiningReplica()
{
  for (const auto& id : joining_) {
    if (Predecessor(id) == nullptr && !ManagesMembership()) {
      continue;
    }
    auto members = log_.Members();
    std::erase_if(members.members_, [&](const Member& aMember) {
      return aMember.id_.node_ == id.node_ &&
             aMember.role_ == MemberRole::Learner;
    });
    const auto* unresponsive =
      LongestUnresponsiveMember(MemberRole::Learner, settings_.voterTimeout_);
    if (members.members_.size() >= kMaxMembers && unresponsive != nullptr) {
      members.Remove(ReplicaId(unresponsive->id_));
    }
    members.Set(id, MemberRole::Learner);
    return TryAppendMembership(std::move(members), std::nullopt) ==
           MembershipStatus::Done;
  }
  return false;
}

void
Replica::Handle(const Read& aEvent)
{
  const PendingRead read{ aEvent.token_, std::nullopt, now_, {} };
  const auto pending =
    unconfirmedReads_.size() + unappliedReads_.size() + forwardedReads_.size();
  const auto hasNoLeader = role_ != Role::Leader && !leader_;
  if (fault_ != Fault::None || hasNoLeader ||
      pending >= settings_.maxPendingReads_) {
    FinishRead(read, false);
  } else if (role_ == Role::Leader) {
    unconfirmedReads_.push_back(read);
    ConfirmLeadership();
    AnswerConfirmedReads();
  } else {
    const Token localToken{ ++nextToken_ };
    forwardedReads_[localToken] = { aEvent.token_, now_ };
    SendTo(*leader_, ReadIndexRequest{ localToken });
  }
}

void
Replica::On(const Message& aMessage, const ReadIndexRequest& aBody)
{
  const PendingRead read{ aBody.token_, aMessage.from_, now_, {} };
  if (role_ != Role::Leader ||
      unconfirmedReads_.size() >= settings_.maxPendingReads_) {
    FinishRead(read, false);
    return;
  }
  unconfirmedReads_.push_back(read);
  ConfirmLeadership();
  AnswerConfirmedReads();
}

void
Replica::ConfirmLeadership()
{
  if (!settings_.leaseReads_) {
    SendHeartbeats();
  }
}

void
Replica::AnswerConfirmedReads()
{
  if (!HasCommittedInTerm()) {
    return;
  }
  const auto acked = QuorumAckedAt();
  const auto hasLease = settings_.leaseReads_ && HoldsLease(now_);
  std::vector<PendingRead> kept;
  for (const auto& read : std::exchange(unconfirmedReads_, {})) {
    if (hasLease || (acked && *acked >= read.since_.time_since_epoch())) {
      FinishRead(read, true);
    } else {
      kept.push_back(read);
    }
  }
  unconfirmedReads_ = std::move(kept);
}

void
Replica::FinishRead(const PendingRead& aRead, bool aConfirmed)
{
  if (!aRead.remoteRequester_) {
    actions_.emplace_back(ReadResponse{ aRead.token_, aConfirmed });
    return;
  }
  ReadIndexReply reply{ aRead.token_, std::nullopt };
  if (aConfirmed) {
    reply.index_ = commit_;
  }
  SendTo(*aRead.remoteRequester_, reply);
}

void
Replica::On(const Message&, const ReadIndexReply& aBody)
{
  const auto row = forwardedReads_.find(aBody.token_);
  if (row == forwardedReads_.end()) {
    return;
  }
  const PendingRead read{ row->second.token_,
                          std::nullopt,
                          row->second.since_,
                          aBody.index_.value_or(LogIndex{}) };
  forwardedReads_.erase(row);
  if (!aBody.index_) {
    FinishRead(read, false);
    return;
  }
  unappliedReads_.push_back(read);
  AnswerAppliedReads();
}

void
Replica::AnswerAppliedReads()
{
  std::vector<PendingRead> kept;
  for (const auto& read : std::exchange(unappliedReads_, {})) {
    if (read.index_ <= applied_) {
      FinishRead(read, true);
    } else {
      kept.push_back(read);
    }
  }
  unappliedReads_ = std::move(kept);
}

void
Replica::ExpireRequests(Duration aReadAge, Duration aProposalAge)
{
  ExpireForwarded(forwards_, now_ - aProposalAge, [&](Token aToken) {
    AnswerProposal(aToken, ProposalStatus::Unknown);
  });
  ExpireForwarded(forwardedReads_, now_ - aReadAge, [&](Token aToken) {
    FinishRead({ aToken, std::nullopt, now_, {} }, false);
  });
  for (auto* reads : { &unconfirmedReads_, &unappliedReads_ }) {
    for (const auto& read : std::exchange(*reads, {})) {
      if (read.since_ <= now_ - aReadAge) {
        FinishRead(read, false);
      } else {
        reads->push_back(read);
      }
    }
  }
}

} // namespace cornelshore::consensus
