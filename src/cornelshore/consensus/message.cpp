#include <cornelshore/consensus/message.hpp>

namespace cornelshore::consensus {

namespace {

template<typename Value>
bool
PointeesEqual(const std::shared_ptr<const Value>& aLeft,
              const std::shared_ptr<const Value>& aRight) noexcept
{
  return aLeft == aRight ||
         (aLeft != nullptr && aRight != nullptr && *aLeft == *aRight);
}

} // namespace

bool
SnapshotRequest::operator==(const SnapshotRequest& aOther) const noexcept
{
  return sentAt_ == aOther.sentAt_ &&
         PointeesEqual(snapshot_, aOther.snapshot_);
}

bool
Forward::operator==(const Forward& aOther) const noexcept
{
  return token_ == aOther.token_ && PointeesEqual(change_, aOther.change_);
}

} // namespace cornelshore::consensus
