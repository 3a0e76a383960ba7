#include <cornelshore/consensus/verifier.hpp>

#include <algorithm>

namespace cornelshore::consensus::internal {

Verifier::Verifier(ReplicaId aId,
                   Verification aMode,
                   TimePoint aWaitEnd,
                   std::uint64_t aNonce)
  : id_(aId)
  , mode_(aMode)
  , waitEnd_(aWaitEnd)
  , nonce_(aNonce)
  , verified_(aMode == Verification::Durable)
{
}

void
Verifier::AddMemberships(const Membership& aCommitted,
                         const Membership& aNewest)
{
  Add(aCommitted);
  Add(aNewest);
  std::erase_if(memberships_, [&](const Membership& aRow) {
    return aRow.index_ < aCommitted.index_;
  });
}

void
Verifier::Add(const Membership& aMembership)
{
  const auto known =
    std::find(memberships_.begin(), memberships_.end(), aMembership);
  if (known == memberships_.end() && !aMembership.members_.empty()) {
    memberships_.push_back(aMembership);
  }
}

void
Verifier::AddReply(const ReplicaId& aFrom, Term aTerm, const HelloReply& aReply)
{
  if (verified_ || aReply.nonce_ != nonce_) {
    return;
  }
  AddMemberships(aReply.committed_, aReply.newest_);
  minPosition_ = std::max(minPosition_, aReply.last_);
  minTerm_ = std::max(minTerm_, aTerm);
  const auto known =
    std::find(respondedVoters_.begin(), respondedVoters_.end(), aFrom) !=
    respondedVoters_.end();
  if (!known && respondedVoters_.size() < kMaxMembers) {
    respondedVoters_.push_back(aFrom);
  }
}

void
Verifier::Update(TimePoint aNow)
{
  if (verified_ || aNow < waitEnd_ || memberships_.empty()) {
    return;
  }
  const auto newest =
    std::max_element(memberships_.begin(),
                     memberships_.end(),
                     [](const Membership& aLeft, const Membership& aRight) {
                       return aLeft.index_ < aRight.index_;
                     });
  const auto first =
    mode_ == Verification::Continued ? newest : memberships_.begin();
  const auto last =
    mode_ == Verification::Continued ? newest + 1 : memberships_.end();
  verified_ = std::all_of(first, last, [&](const Membership& aRow) {
    return HasEnoughReplies(aRow);
  });
}

std::vector<ReplicaId>
Verifier::VotersToQuery() const
{
  std::vector<ReplicaId> voters;
  for (const auto& membership : memberships_) {
    for (const auto& member : membership.members_) {
      if (member.role_ == MemberRole::Voter && member.id_ != id_) {
        voters.push_back(member.id_);
      }
    }
  }
  std::sort(voters.begin(), voters.end());
  voters.erase(std::unique(voters.begin(), voters.end()), voters.end());
  return voters;
}

bool
Verifier::RestoresDurability(Term aTerm, Position aLast) const noexcept
{
  return verified_ && (mode_ != Verification::Unproven ||
                       (aTerm >= minTerm_ && aLast >= minPosition_));
}

bool
Verifier::IsElectable(Term aTerm, Position aLast) const noexcept
{
  if (mode_ != Verification::Unproven) {
    return true;
  }
  return aTerm > minTerm_ && aLast >= minPosition_;
}

bool
Verifier::HasEnoughReplies(const Membership& aMembership) const noexcept
{
  const auto voters = aMembership.Voters();
  const auto quorum = aMembership.Quorum();
  const auto others = voters - (aMembership.IsVoter(id_) ? 1 : 0);
  const auto needed =
    mode_ == Verification::Continued ? quorum - 1 : voters - quorum + 1;
  const auto answers =
    std::count_if(respondedVoters_.begin(),
                  respondedVoters_.end(),
                  [&](const auto& aId) { return aMembership.IsVoter(aId); });
  return static_cast<std::size_t>(answers) >= std::min(others, needed);
}

void
PeerObservations::RecordTerm(const ReplicaId& aFrom, Term aTerm)
{
  auto& observation = peerObservations_[aFrom];
  observation.term_ = std::max(observation.term_, aTerm);
}

void
PeerObservations::RecordAcknowledgement(const ReplicaId& aFrom,
                                        LogIndex aCommitted)
{
  auto& observation = peerObservations_[aFrom];
  observation.committed_ = std::max(observation.committed_, aCommitted);
}

PeerObservation
PeerObservations::Of(const ReplicaId& aReplica) const
{
  const auto found = peerObservations_.find(aReplica);
  return found == peerObservations_.end() ? PeerObservation{} : found->second;
}

void
PeerObservations::RetainMembers(const Membership& aMembership)
{
  for (auto row = peerObservations_.begin(); row != peerObservations_.end();) {
    const auto current = row++;
    if (aMembership.Find(current->first) == nullptr) {
      peerObservations_.erase(current);
    }
  }
}

} // namespace cornelshore::consensus::internal
