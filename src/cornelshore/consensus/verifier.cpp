#include <cornelshore/consensus/verifier.hpp>

#include <algorithm>

namespace cornelshore::consensus::internal {

Verifier::Verifier(ReplicaId aId,
                   Verification aMode,
                   TimePoint aEnd,
                   std::uint64_t aNonce)
  : id_(aId)
  , mode_(aMode)
  , end_(aEnd)
  , nonce_(aNonce)
  , verified_(aMode == Verification::Durable)
{
}

void
Verifier::Learn(const Membership& aCommitted, const Membership& aNewest)
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
Verifier::Answer(const ReplicaId& aFrom, Term aTerm, const HelloReply& aReply)
{
  if (verified_ || aReply.nonce_ != nonce_) {
    return;
  }
  Learn(aReply.committed_, aReply.newest_);
  floor_ = std::max(floor_, aReply.last_);
  termFloor_ = std::max(termFloor_, aTerm);
  const auto known =
    std::find(answered_.begin(), answered_.end(), aFrom) != answered_.end();
  if (!known && answered_.size() < kMaxMembers) {
    answered_.push_back(aFrom);
  }
}

void
Verifier::Update(TimePoint aNow)
{
  if (verified_ || aNow < end_ || memberships_.empty()) {
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
  verified_ = std::all_of(
    first, last, [&](const Membership& aRow) { return Suffices(aRow); });
}

std::vector<ReplicaId>
Verifier::Asked() const
{
  std::vector<ReplicaId> asked;
  for (const auto& membership : memberships_) {
    for (const auto& member : membership.members_) {
      if (member.role_ == MemberRole::Voter && member.id_ != id_) {
        asked.push_back(member.id_);
      }
    }
  }
  std::sort(asked.begin(), asked.end());
  asked.erase(std::unique(asked.begin(), asked.end()), asked.end());
  return asked;
}

bool
Verifier::Proves(Term aTerm, Position aLast) const noexcept
{
  return verified_ && (mode_ != Verification::Unproven ||
                       (aTerm >= termFloor_ && aLast >= floor_));
}

bool
Verifier::MayElect(Term aTerm, Position aLast) const noexcept
{
  if (mode_ != Verification::Unproven) {
    return true;
  }
  return aTerm > termFloor_ && aLast >= floor_;
}

bool
Verifier::Suffices(const Membership& aMembership) const noexcept
{
  const auto voters = aMembership.Voters();
  const auto quorum = aMembership.Quorum();
  const auto others = voters - (aMembership.IsVoter(id_) ? 1 : 0);
  const auto needed =
    mode_ == Verification::Continued ? quorum - 1 : voters - quorum + 1;
  const auto answers =
    std::count_if(answered_.begin(), answered_.end(), [&](const auto& aId) {
      return aMembership.IsVoter(aId);
    });
  return static_cast<std::size_t>(answers) >= std::min(others, needed);
}

void
Witnesses::HeardTerm(const ReplicaId& aFrom, Term aTerm)
{
  auto& witness = witnesses_[aFrom];
  witness.term_ = std::max(witness.term_, aTerm);
}

void
Witnesses::Acknowledged(const ReplicaId& aFrom, LogIndex aCommitted)
{
  auto& witness = witnesses_[aFrom];
  witness.committed_ = std::max(witness.committed_, aCommitted);
}

Witness
Witnesses::Of(const ReplicaId& aReplica) const
{
  const auto found = witnesses_.find(aReplica);
  return found == witnesses_.end() ? Witness{} : found->second;
}

void
Witnesses::Keep(const Membership& aMembership)
{
  for (auto row = witnesses_.begin(); row != witnesses_.end();) {
    const auto current = row++;
    if (aMembership.Find(current->first) == nullptr) {
      witnesses_.erase(current);
    }
  }
}

} // namespace cornelshore::consensus::internal
