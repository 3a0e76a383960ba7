#include <cornelshore/consensus/entry_log.hpp>

#include <utility>

#include <cornelshore/core/check.hpp>

namespace cornelshore::consensus::internal {

namespace {

const Membership kNoMembers{};

} // namespace

EntryLog::EntryLog(std::shared_ptr<const Snapshot> aSnapshot,
                   std::deque<Entry> aEntries)
{
  Reset(std::move(aSnapshot));
  for (auto& entry : aEntries) {
    Append(std::move(entry));
  }
}

Position
EntryLog::Last() const noexcept
{
  return entries_.empty() ? base_ : entries_.back().At();
}

std::optional<Term>
EntryLog::TermAt(LogIndex aIndex) const noexcept
{
  if (aIndex == base_.index_) {
    return base_.term_;
  }
  if (aIndex < base_.index_ || aIndex > Last().index_) {
    return std::nullopt;
  }
  return At(aIndex).term_;
}

const Entry&
EntryLog::At(LogIndex aIndex) const
{
  CheckInvariant(aIndex > base_.index_ && aIndex <= Last().index_,
                 "the entry is in the log");
  return entries_[aIndex.value_ - base_.index_.value_ - 1];
}

const Membership&
EntryLog::Members() const noexcept
{
  return MembersAt(Last().index_);
}

const Membership&
EntryLog::MembersAt(LogIndex aIndex) const noexcept
{
  for (auto row = memberships_.rbegin(); row != memberships_.rend(); ++row) {
    if ((*row)->index_ <= aIndex) {
      return **row;
    }
  }
  return snapshot_ == nullptr ? kNoMembers : snapshot_->membership_;
}

void
EntryLog::Append(Entry aEntry)
{
  CheckInvariant(aEntry.index_.value_ == Last().index_.value_ + 1,
                 "entry indices are contiguous");
  if (const auto* members =
        std::get_if<std::shared_ptr<const Membership>>(&aEntry.payload_)) {
    memberships_.push_back(*members);
  }
  bytes_ += SizeOf(aEntry);
  entries_.push_back(std::move(aEntry));
}

void
EntryLog::TruncateFrom(LogIndex aIndex)
{
  while (!entries_.empty() && entries_.back().index_ >= aIndex) {
    bytes_ -= SizeOf(entries_.back());
    entries_.pop_back();
  }
  std::erase_if(memberships_,
                [&](const auto& aRow) { return aRow->index_ >= aIndex; });
}

std::vector<Entry>
EntryLog::Slice(LogIndex aFrom,
                std::size_t aMaxEntries,
                std::size_t aMaxBytes) const
{
  std::vector<Entry> slice;
  std::size_t bytes = 0;
  const auto last = Last().index_;
  for (auto index = aFrom; index <= last && slice.size() < aMaxEntries;
       ++index.value_) {
    const auto& entry = At(index);
    bytes += SizeOf(entry);
    if (!slice.empty() && bytes > aMaxBytes) {
      break;
    }
    slice.push_back(entry);
  }
  return slice;
}

std::vector<Entry>
EntryLog::EntriesFrom(LogIndex aFrom) const
{
  return Slice(aFrom, entries_.size(), bytes_);
}

void
EntryLog::Compact(std::shared_ptr<const Snapshot> aSnapshot,
                  std::size_t aTrailing,
                  std::size_t aTrailingBytes)
{
  snapshot_ = std::move(aSnapshot);
  const auto last = snapshot_->last_.index_;
  const auto exceedsTrailingBounds = [&] {
    return entries_.front().index_.value_ + aTrailing <= last.value_ ||
           bytes_ > aTrailingBytes;
  };
  while (base_.index_ < last && exceedsTrailingBounds()) {
    DropFront();
  }
  std::erase_if(memberships_,
                [&](const auto& aRow) { return aRow->index_ <= last; });
}

void
EntryLog::Reset(std::shared_ptr<const Snapshot> aSnapshot)
{
  snapshot_ = std::move(aSnapshot);
  base_ = snapshot_ == nullptr ? Position{} : snapshot_->last_;
  entries_.clear();
  memberships_.clear();
  bytes_ = 0;
}

LogIndex
EntryLog::SnapshotIndex() const noexcept
{
  return snapshot_ == nullptr ? LogIndex{} : snapshot_->last_.index_;
}

void
EntryLog::DropFront()
{
  base_ = entries_.front().At();
  bytes_ -= SizeOf(entries_.front());
  entries_.pop_front();
}

} // namespace cornelshore::consensus::internal
