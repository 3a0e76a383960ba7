#include <algorithm>
#include <utility>

#include <cornelshore/consensus/replica.hpp>

namespace cornelshore::consensus {

bool
Replica::KnowsOtherLeader() const
{
  if (role_ == Role::Leader) {
    return HoldsLease(now_);
  }
  return lastLeaderContact_ &&
         now_ < *lastLeaderContact_ + settings_.electionTimeout_;
}

bool
Replica::CanGrantVote(const Message& aMessage, const VoteRequest& aBody) const
{
  if (!verifier_.Verified() || KnowsOtherLeader() ||
      !verifier_.IsElectable(aBody.term_, aBody.last_) ||
      aBody.last_ < LastPosition()) {
    return false;
  }
  if (aBody.ballot_ == Ballot::PreVote) {
    return aBody.term_ > hard_.term_;
  }
  const auto canVoteForSender = !hard_.vote_ || *hard_.vote_ == aMessage.from_;
  return aBody.term_ == hard_.term_ && canVoteForSender && !leader_;
}

void
Replica::On(const Message& aMessage, const VoteRequest& aBody)
{
  const auto& committed = log_.MembersAt(commit_);
  if (committed.index_ > aBody.membership_ &&
      log_.Members().Find(aMessage.from_) == nullptr &&
      committed.Find(aMessage.from_) == nullptr) {
    SendTo(aMessage.from_, Refusal{ Fault::Removed });
    return;
  }
  if (KnowsOtherLeader() || !verifier_.Verified()) {
    return;
  }
  const auto granted = CanGrantVote(aMessage, aBody);
  const auto isPreVote = aBody.ballot_ == Ballot::PreVote;
  if (granted && !isPreVote) {
    if (!hard_.vote_) {
      hard_.vote_ = aMessage.from_;
      hardChanged_ = true;
    }
    role_ = Role::Follower;
    ResetElectionTimer();
  } else if (granted && YieldsTo(aMessage.from_)) {
    DeferToCandidate();
  }
  SendTo(aMessage.from_,
         VoteReply{
           isPreVote ? Ballot::PreVote : Ballot::Vote, aBody.term_, granted });
}

bool
Replica::IsTransfer(const VoteRequest& aBody) const
{
  return aBody.ballot_ == Ballot::Transfer && role_ == Role::Follower &&
         aBody.term_.value_ == hard_.term_.value_ + 1;
}

void
Replica::On(const Message& aMessage, const VoteReply& aBody)
{
  const auto isExpected =
    (aBody.ballot_ == Ballot::PreVote && role_ == Role::PreCandidate &&
     aBody.term_.value_ == hard_.term_.value_ + 1) ||
    (aBody.ballot_ == Ballot::Vote && role_ == Role::Candidate &&
     aBody.term_ == hard_.term_);
  if (!isExpected || !aBody.granted_) {
    return;
  }
  votes_.insert(aMessage.from_);
  CountVotes();
}

void
Replica::CountVotes()
{
  if (Clock() >= campaignStart_.time_since_epoch() + LeaseLength()) {
    return;
  }
  if (role_ == Role::Candidate && hardPersist_ <= synced_ && !hardChanged_) {
    votes_.insert(id_);
  }
  const auto& members = log_.Members();
  const auto granted =
    std::count_if(votes_.begin(), votes_.end(), [&](const ReplicaId& aId) {
      return members.IsVoter(aId);
    });
  if (static_cast<std::size_t>(granted) < members.Quorum()) {
    return;
  }
  if (role_ == Role::PreCandidate) {
    StartElection(Ballot::Vote);
  } else {
    BecomeLeader();
  }
}

void
Replica::TickElection()
{
  ResetElectionTimer();
  const auto canCampaign =
    !leavingSince_ && verifier_.Verified() && log_.Members().IsVoter(id_) &&
    verifier_.IsElectable(Term{ hard_.term_.value_ + 1 }, LastPosition());
  if (canCampaign) {
    StartPreVote();
  } else if (leader_) {
    leader_.reset();
  }
}

void
Replica::StartPreVote()
{
  const auto continuesCampaign =
    role_ == Role::PreCandidate &&
    now_ - campaignStart_ < settings_.electionTimeout_ / 2;
  role_ = Role::PreCandidate;
  leader_.reset();
  if (!continuesCampaign) {
    votes_ = { id_ };
    campaignStart_ = now_;
  }
  RequestVotes(Ballot::PreVote, Term{ hard_.term_.value_ + 1 });
  ShortenElectionTimer();
  CountVotes();
}

void
Replica::StartElection(Ballot aBallot)
{
  role_ = Role::Candidate;
  EnterTerm(Term{ hard_.term_.value_ + 1 });
  hard_.vote_ = id_;
  votes_.clear();
  campaignStart_ = now_;
  ResetElectionTimer();
  RequestVotes(aBallot, hard_.term_);
}

void
Replica::RequestVotes(Ballot aBallot, Term aTerm)
{
  for (const auto& member : log_.Members().members_) {
    if (member.role_ == MemberRole::Voter && member.id_ != id_) {
      SendTo(
        member.id_,
        VoteRequest{ aBallot, aTerm, LastPosition(), log_.Members().index_ });
    }
  }
}

void
Replica::EnterTerm(Term aTerm)
{
  hard_.term_ = aTerm;
  hard_.vote_.reset();
  hardChanged_ = true;
  verifiedMatch_ = commit_;
  leaderSentAt_ = Duration::min();
}

void
Replica::BecomeFollower(Term aTerm, std::optional<ReplicaId> aLeader)
{
  if (role_ == Role::Leader) {
    FailPendingRequests();
    ResetElectionTimer();
  }
  if (aTerm > hard_.term_) {
    EnterTerm(aTerm);
  }
  role_ = Role::Follower;
  leader_ = aLeader;
  votes_.clear();
  progress_.clear();
}

void
Replica::BecomeLeader()
{
  role_ = Role::Leader;
  leader_.reset();
  heartbeatDue_ = now_ + settings_.heartbeat_;
  progress_.clear();
  SyncProgressWithMembership();
  AppendLocal(NoOp{});
  SendHeartbeats();
}

void
Replica::ResetElectionTimer()
{
  const auto spread =
    static_cast<std::uint64_t>(settings_.electionTimeout_.count());
  const auto extra = random_.Below(spread);
  electionDue_ = now_ + settings_.electionTimeout_ +
                 Duration{ static_cast<std::int64_t>(extra) };
}

void
Replica::ShortenElectionTimer()
{
  const auto spread = static_cast<std::uint64_t>(settings_.heartbeat_.count());
  electionDue_ = now_ + settings_.heartbeat_ +
                 Duration{ static_cast<std::int64_t>(random_.Below(spread)) };
}

bool
Replica::YieldsTo(const ReplicaId& aCandidate) const
{
  return role_ == Role::Follower ||
         (role_ == Role::PreCandidate && aCandidate < id_);
}

void
Replica::DeferToCandidate()
{
  role_ = Role::Follower;
  votes_.clear();
  const auto spread = static_cast<std::uint64_t>(settings_.heartbeat_.count());
  const auto wait =
    settings_.heartbeat_ +
    Duration{ static_cast<std::int64_t>(random_.Below(spread)) };
  electionDue_ = std::max(electionDue_, now_ + wait);
}

void
Replica::RecordDurabilityProof()
{
  if (hard_.durabilityProven_ ||
      !verifier_.RestoresDurability(hard_.term_, LastPosition())) {
    return;
  }
  if (!hard_.vote_) {
    hard_.vote_ = id_;
  }
  hard_.durabilityProven_ = true;
  hardChanged_ = true;
}

void
Replica::SendHellos()
{
  if (verifier_.Verified() || now_ < verifier_.WaitEnd()) {
    return;
  }
  for (const auto& voter : verifier_.VotersToQuery()) {
    SendTo(voter,
           Hello{ verifier_.Nonce(), LastPosition(), log_.Members().index_ });
  }
}

void
Replica::On(const Message& aMessage, const Hello& aBody)
{
  const auto& committed = log_.MembersAt(commit_);
  if (committed.index_ > aBody.membership_ &&
      log_.Members().Find(aMessage.from_) == nullptr &&
      committed.Find(aMessage.from_) == nullptr) {
    SendTo(aMessage.from_, Refusal{ Fault::Removed });
    return;
  }
  const auto observation = peerObservations_.Of(aMessage.from_);
  SendAfterSync(aMessage.from_,
                HelloReply{ aBody.nonce_,
                            LastPosition(),
                            observation.term_,
                            observation.committed_,
                            committed,
                            log_.Members() },
                lastPersist_);
}

void
Replica::On(const Message& aMessage, const HelloReply& aBody)
{
  if (aBody.nonce_ != verifier_.Nonce()) {
    return;
  }
  if (aBody.observedTerm_ > hard_.term_ ||
      aBody.acknowledgedIndex_ > LastPosition().index_) {
    Fail(Fault::RolledBack);
    return;
  }
  verifier_.AddReply(aMessage.from_, aMessage.term_, aBody);
}

void
Replica::On(const Message&, const Refusal& aBody)
{
  if (aBody.fault_ == Fault::RolledBack || wasMember_) {
    Fail(aBody.fault_);
  }
}

void
Replica::SendJoins()
{
  if (log_.Members().Find(id_) != nullptr) {
    return;
  }
  auto nodes = seeds_;
  nodes.insert(nodes.end(), discovered_.begin(), discovered_.end());
  std::sort(nodes.begin(), nodes.end());
  nodes.erase(std::unique(nodes.begin(), nodes.end()), nodes.end());
  for (const auto& node : nodes) {
    if (node != id_.node_) {
      SendTo(ReplicaId{ node, {} }, Join{ id_ });
    }
  }
}

} // namespace cornelshore::consensus
