#include <cornelshore/routing/table.hpp>

#include <algorithm>
#include <cmath>
#include <limits>

#include <cornelshore/core/check.hpp>
#include <cornelshore/core/hash.hpp>

namespace cornelshore::routing {

namespace {

constexpr std::size_t kMostSingleChanges = 3;
constexpr auto kNoIndex = std::numeric_limits<std::uint16_t>::max();

/** Weight over the exponential variate that the pair draws. */
double
WeightedScore(std::size_t aBucket, HostId aHost, std::uint16_t aSlots) noexcept
{
  const auto hash = HashPair(aHost.value_, aBucket);
  const auto unit = (static_cast<double>(hash >> 11U) + 0.5) * 0x1.0p-53;
  return static_cast<double>(aSlots) / -std::log(unit);
}

} // namespace

BucketId
BucketOf(const FlowKey& aKey) noexcept
{
  return BucketId{ static_cast<std::uint16_t>(HashOf(aKey) % kBuckets) };
}

Table::Table(std::size_t aOwners)
  : owners_(std::clamp<std::size_t>(aOwners, 1, kMostOwners))
  , rows_(kBuckets * owners_, kNoIndex)
{
}

Table::Index*
Table::Row(std::size_t aBucket) noexcept
{
  return rows_.data() + aBucket * owners_;
}

const Table::Index*
Table::Row(std::size_t aBucket) const noexcept
{
  return rows_.data() + aBucket * owners_;
}

double
Table::Score(std::size_t aBucket, Index aIndex) const noexcept
{
  const auto& member = members_[aIndex];
  return WeightedScore(aBucket, member.host_, member.slots_);
}

Table::Index
Table::FreeIndex()
{
  const auto found =
    std::find_if(members_.begin(), members_.end(), [](const Weight& aMember) {
      return aMember.slots_ == 0;
    });
  if (found != members_.end()) {
    return static_cast<Index>(found - members_.begin());
  }
  if (members_.size() >= kNoIndex) {
    return kNoIndex;
  }
  members_.emplace_back();
  return static_cast<Index>(members_.size() - 1);
}

void
Table::Insert(std::size_t aBucket, Index aIndex)
{
  auto* row = Row(aBucket);
  auto rank = owners_;
  const auto score = Score(aBucket, aIndex);
  const auto behind = [&](Index aOther) {
    if (aOther == kNoIndex) {
      return true;
    }
    const auto other = Score(aBucket, aOther);
    return score != other ? score > other
                          : members_[aIndex].host_ < members_[aOther].host_;
  };
  for (; rank > 0 && behind(row[rank - 1]); --rank) {
    if (rank < owners_) {
      row[rank] = row[rank - 1];
    }
  }
  if (rank < owners_) {
    row[rank] = aIndex;
  }
}

void
Table::Erase(std::size_t aBucket, Index aIndex)
{
  auto* row = Row(aBucket);
  auto* const end = row + owners_;
  auto* const place = std::find(row, end, aIndex);
  if (place == end) {
    return;
  }
  if (hosts_ >= owners_) {
    Fill(aBucket);
    return;
  }
  std::copy(place + 1, end, place);
  *(end - 1) = kNoIndex;
}

void
Table::Fill(std::size_t aBucket)
{
  struct Scored
  {
    double score_{};
    Index index_{ kNoIndex };
  };
  std::array<Scored, kMostOwners> best{};
  std::size_t count = 0;
  for (std::size_t index = 0; index < members_.size(); ++index) {
    if (members_[index].slots_ == 0) {
      continue;
    }
    const Scored scored{ Score(aBucket, static_cast<Index>(index)),
                         static_cast<Index>(index) };
    const auto before = [this, &scored](const Scored& aOther) {
      return scored.score_ != aOther.score_
               ? scored.score_ > aOther.score_
               : members_[scored.index_].host_ < members_[aOther.index_].host_;
    };
    auto* const end = best.begin() + count;
    auto* const place = std::find_if(best.begin(), end, before);
    if (count < owners_) {
      ++count;
    } else if (place == end) {
      continue;
    }
    auto* const last = best.begin() + count;
    std::copy_backward(place, last - 1, last);
    *place = scored;
  }
  auto* row = Row(aBucket);
  for (std::size_t rank = 0; rank < owners_; ++rank) {
    row[rank] = best[rank].index_;
  }
}

Table::Index
Table::IndexOf(HostId aHost) const noexcept
{
  for (std::size_t index = 0; index < members_.size(); ++index) {
    if (members_[index].slots_ != 0 && members_[index].host_ == aHost) {
      return static_cast<Index>(index);
    }
  }
  return kNoIndex;
}

Table::Index
Table::Put(const Weight& aWeight)
{
  const auto index = FreeIndex();
  if (index != kNoIndex) {
    members_[index] = aWeight;
    ++hosts_;
  }
  return index;
}

void
Table::Drop(Index aIndex)
{
  members_[aIndex] = {};
  --hosts_;
}

bool
Table::Change(const Weight& aWeight)
{
  const auto old = IndexOf(aWeight.host_);
  const auto slots = old == kNoIndex ? 0 : members_[old].slots_;
  if (slots == aWeight.slots_) {
    return false;
  }
  if (old != kNoIndex) {
    Drop(old);
    for (std::size_t bucket = 0; bucket < kBuckets; ++bucket) {
      Erase(bucket, old);
    }
  }
  const auto added = aWeight.slots_ == 0 ? kNoIndex : Put(aWeight);
  for (std::size_t bucket = 0; added != kNoIndex && bucket < kBuckets;
       ++bucket) {
    Insert(bucket, added);
  }
  return true;
}

bool
Table::Apply(std::span<const Weight> aChanges)
{
  if (aChanges.size() <= kMostSingleChanges) {
    bool changed = false;
    for (const auto& change : aChanges) {
      changed = Change(change) || changed;
    }
    return changed;
  }
  for (const auto& change : aChanges) {
    const auto old = IndexOf(change.host_);
    if (old != kNoIndex) {
      Drop(old);
    }
    if (change.slots_ != 0) {
      Put(change);
    }
  }
  for (std::size_t bucket = 0; bucket < kBuckets; ++bucket) {
    Fill(bucket);
  }
  return true;
}

HostId
Table::First(BucketId aBucket) const noexcept
{
  const auto index = *Row(aBucket.value_ % kBuckets);
  return index == kNoIndex ? HostId{} : members_[index].host_;
}

OwnerList
Table::Owners(BucketId aBucket) const noexcept
{
  OwnerList owners;
  const auto* row = Row(aBucket.value_ % kBuckets);
  for (std::size_t rank = 0; rank < owners_ && row[rank] != kNoIndex; ++rank) {
    owners.Append(members_[row[rank]].host_);
  }
  return owners;
}

std::size_t
Table::MemoryBytes() const noexcept
{
  return rows_.capacity() * sizeof(Index) +
         members_.capacity() * sizeof(Weight);
}

} // namespace cornelshore::routing
