#include <algorithm>
#include <utility>

#include <cornelshore/consensus/replica.hpp>

namespace cornelshore::consensus {

namespace {

/** Heartbeats without a repetition after which a stop request has lapsed. */
constexpr int kLeaveRequestHeartbeats = 2;

} // namespace

void
Replica::Handle(const Leave&)
{
  if (leavingSince_) {
    return;
  }
  leavingSince_ = now_;
  ContinueLeaving();
}

void
Replica::ContinueLeaving()
{
  leaveDue_ = now_ + settings_.heartbeat_ / 2;
  const auto isVoter = log_.Members().IsVoter(id_);
  const auto isOver = now_ - *leavingSince_ >= settings_.leaveTimeout_;
  if (fault_ != Fault::None || !isVoter || isOver) {
    FinishLeaving(false);
  } else if (role_ == Role::Leader) {
    if (!TransferLeadership()) {
      FinishLeaving(false);
    }
  } else if (leader_) {
    SendTo(*leader_, LeaveRequest{ id_, leaderSentAt_ });
  }
}

void
Replica::FinishLeaving(bool aReplaced)
{
  if (std::exchange(leavingSince_, std::nullopt)) {
    actions_.emplace_back(LeaveFinished{ aReplaced });
  }
}

bool
Replica::TransferLeadership()
{
  const auto& members = log_.Members();
  auto mayFollow = false;
  for (const auto& [id, progress] : progress_) {
    if (!members.IsVoter(id) || leaving_.count(id) != 0 ||
        !IsRecent(progress.matchSentAt_)) {
      continue;
    }
    mayFollow = true;
    const auto isIdle = requesters_.empty() && pendingAnswers_.empty();
    if (isIdle && progress.match_ == LastPosition().index_) {
      SendTo(id, TimeoutNow{});
      BecomeFollower(hard_.term_, std::nullopt);
      return true;
    }
  }
  return mayFollow;
}

void
Replica::On(const Message& aMessage, const TimeoutNow&)
{
  const auto isFromLeader = role_ == Role::Follower &&
                            leader_ == aMessage.from_ &&
                            aMessage.term_ == hard_.term_;
  const auto canLead =
    !leavingSince_ && verifier_.Verified() && log_.Members().IsVoter(id_) &&
    verifier_.IsElectable(Term{ hard_.term_.value_ + 1 }, LastPosition());
  if (isFromLeader && canLead) {
    leader_.reset();
    lastLeaderContact_.reset();
    StartElection(Ballot::Transfer);
  }
}

void
Replica::On(const Message& aMessage, const LeaveRequest& aBody)
{
  if (role_ == Role::Leader) {
    const auto isMember = log_.Members().Find(aBody.replica_) != nullptr;
    if (!isMember || IsRecent(aBody.leaderSentAt_)) {
      leaving_[aBody.replica_] = now_;
    }
  } else if (leader_ && aBody.replica_ == aMessage.from_) {
    SendTo(*leader_, aBody);
  }
}

void
Replica::On(const Message&, const LeaveReply& aBody)
{
  FinishLeaving(aBody.replaced_);
}

void
Replica::ServeLeavingMembers()
{
  std::erase_if(leaving_, [&](const auto& aRow) {
    return role_ != Role::Leader ||
           now_ - aRow.second >= settings_.heartbeat_ * kLeaveRequestHeartbeats;
  });
  const auto isPending =
    !HasCommittedInTerm() || log_.Members().index_ > commit_;
  if (leaving_.empty() || isPending) {
    return;
  }
  const auto leaving = leaving_;
  for (const auto& [id, askedAt] : leaving) {
    const auto isVoter = ManagesMembership() && log_.Members().IsVoter(id);
    if (isVoter && ReplaceLeavingVoter(id)) {
      return;
    }
    if (!isVoter || !(HasSurplusVoter() || AwaitsSpare())) {
      leaving_.erase(id);
      SendTo(id, LeaveReply{ log_.Members().Find(id) == nullptr });
    }
  }
}

bool
Replica::ReplaceLeavingVoter(const ReplicaId& aLeaving)
{
  auto members = log_.Members();
  // The learner votes before the leaving replica is removed, so that the group
  // bears the loss of as many disks as before at each step.
  if (HasSurplusVoter()) {
    members.Remove(aLeaving);
  } else if (const auto* spare = Spare()) {
    members.Set(ReplicaId(spare->id_), MemberRole::Voter);
  } else {
    return false;
  }
  return TryAppendMembership(std::move(members), std::nullopt) ==
         MembershipStatus::Done;
}

const Member*
Replica::Spare() const
{
  const Member* spare = nullptr;
  auto longest = LogIndex{};
  for (const auto& member : log_.Members().members_) {
    const auto canReplace =
      member.role_ == MemberRole::Learner && leaving_.count(member.id_) == 0 &&
      Predecessor(member.id_) == nullptr && IsCaughtUp(member.id_);
    if (canReplace && progress_.at(member.id_).match_ >= longest) {
      longest = progress_.at(member.id_).match_;
      spare = &member;
    }
  }
  return spare;
}

bool
Replica::AwaitsSpare() const
{
  const auto& members = log_.Members().members_;
  return std::any_of(
    members.begin(), members.end(), [&](const Member& aMember) {
      return aMember.role_ == MemberRole::Learner &&
             leaving_.count(aMember.id_) == 0 &&
             Predecessor(aMember.id_) == nullptr && IsResponsive(aMember.id_);
    });
}

bool
Replica::HasSurplusVoter() const
{
  return ManagesMembership() &&
         log_.Members().Voters() > settings_.targetVoters_;
}

bool
Replica::RemoveSurplusVoter()
{
  if (!HasSurplusVoter() || !leaving_.empty()) {
    return false;
  }
  auto members = log_.Members();
  if (const auto* unresponsive =
        LongestUnresponsiveMember(MemberRole::Voter, settings_.voterTimeout_)) {
    members.Remove(ReplicaId(unresponsive->id_));
  } else if (const auto* silent =
               LongestUnresponsiveMember(MemberRole::Voter, {})) {
    members.Set(ReplicaId(silent->id_), MemberRole::Learner);
  }
  return TryAppendMembership(std::move(members), std::nullopt) ==
         MembershipStatus::Done;
}

} // namespace cornelshore::consensus
