#include <algorithm>

#include <cornelshore/consensus/types.hpp>

namespace cornelshore::consensus {

const Member*
Membership::Find(const ReplicaId& aId) const noexcept
{
  const auto found =
    std::find_if(members_.begin(), members_.end(), [&](const Member& aMember) {
      return aMember.id_ == aId;
    });
  return found == members_.end() ? nullptr : &*found;
}

bool
Membership::IsVoter(const ReplicaId& aId) const noexcept
{
  const auto* member = Find(aId);
  return member != nullptr && member->role_ == MemberRole::Voter;
}

std::size_t
Membership::Voters() const noexcept
{
  return static_cast<std::size_t>(
    std::count_if(members_.begin(), members_.end(), [](const Member& aMember) {
      return aMember.role_ == MemberRole::Voter;
    }));
}

std::size_t
Membership::Quorum() const noexcept
{
  return Voters() / 2 + 1;
}

void
Membership::Set(const ReplicaId& aId, MemberRole aRole)
{
  Remove(aId);
  members_.push_back({ aId, aRole });
  std::sort(members_.begin(), members_.end());
}

void
Membership::Remove(const ReplicaId& aId)
{
  std::erase_if(members_,
                [&](const Member& aMember) { return aMember.id_ == aId; });
}

} // namespace cornelshore::consensus
