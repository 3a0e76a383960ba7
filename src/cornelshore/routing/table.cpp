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

/** Pseudo-random value of a host for one bucket, uniform in (0, 1). */
double
DrawOf(std::size_t aBucket, HostId aHost) noexcept
{
  const auto hash = HashPair(aHost.value_, aBucket);
  return (static_cast<double>(hash >> 11U) + 0.5) * 0x1.0p-53;
}

/** Weight divided by the exponential variate derived from the value. */
double
ScoreOf(double aDraw, const Weight& aWeight) noexcept
{
  return static_cast<double>(aWeight.slots_) / -std::log(aDraw);
}

/** Compares two scores; equal weights need no logarithm. */
bool
Ahead(double aDraw,
      const Weight& aWeight,
      double aOtherDraw,
      const Weight& aOther) noexcept
{
  if (aDraw == aOtherDraw) {
    return aWeight.slots_ != aOther.slots_ ? aWeight.slots_ > aOther.slots_
                                           : aWeight.host_ < aOther.host_;
  }
  if (aWeight.slots_ == aOther.slots_) {
    return aDraw > aOtherDraw;
  }
  return ScoreOf(aDraw, aWeight) > ScoreOf(aOtherDraw, aOther);
}

} // namespace

BucketId
BucketOf(const FlowKey& aKey) noexcept
{
  return BucketId{ static_cast<std::uint16_t>(HashOf(aKey) % kBucketCount) };
}

Table::Table(std::size_t aOwners)
  : owners_(std::clamp<std::size_t>(aOwners, 1, kMaxOwners))
  , rows_(kBucketCount * owners_, kNoIndex)
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
  const auto& weight = members_[aIndex];
  const auto draw = DrawOf(aBucket, weight.host_);
  const auto behind = [&](Index aOther) {
    if (aOther == kNoIndex) {
      return true;
    }
    const auto& other = members_[aOther];
    return Ahead(draw, weight, DrawOf(aBucket, other.host_), other);
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
  struct Drawn
  {
    double draw_{};
    Index index_{ kNoIndex };
  };
  std::array<Drawn, kMaxOwners> best{};
  std::size_t count = 0;
  for (std::size_t index = 0; index < members_.size(); ++index) {
    const auto& weight = members_[index];
    if (weight.slots_ == 0) {
      continue;
    }
    const Drawn drawn{ DrawOf(aBucket, weight.host_),
                       static_cast<Index>(index) };
    const auto before = [&](const Drawn& aOther) {
      return Ahead(drawn.draw_, weight, aOther.draw_, members_[aOther.index_]);
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
    *place = drawn;
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

std::uint16_t
Table::SlotsOf(HostId aHost) const noexcept
{
  const auto index = IndexOf(aHost);
  return index == kNoIndex ? std::uint16_t{ 0 } : members_[index].slots_;
}

void
Table::Change(const Weight& aWeight)
{
  const auto old = IndexOf(aWeight.host_);
  if (old != kNoIndex) {
    Drop(old);
    for (std::size_t bucket = 0; bucket < kBucketCount; ++bucket) {
      Erase(bucket, old);
    }
  }
  const auto added = aWeight.slots_ == 0 ? kNoIndex : Put(aWeight);
  for (std::size_t bucket = 0; added != kNoIndex && bucket < kBucketCount;
       ++bucket) {
    Insert(bucket, added);
  }
}

/** The last change of each host, without those that have no effect. */
std::vector<Weight>
Table::EffectiveChanges(std::span<const Weight> aChanges) const
{
  std::vector<Weight> sorted(aChanges.begin(), aChanges.end());
  std::stable_sort(
    sorted.begin(), sorted.end(), [](const Weight& aOne, const Weight& aOther) {
      return aOne.host_ < aOther.host_;
    });
  std::vector<Weight> real;
  for (std::size_t index = 0; index < sorted.size(); ++index) {
    const auto& change = sorted[index];
    const bool last =
      index + 1 == sorted.size() || sorted[index + 1].host_ != change.host_;
    if (last && SlotsOf(change.host_) != change.slots_) {
      real.push_back(change);
    }
  }
  return real;
}

bool
Table::Apply(std::span<const Weight> aChanges)
{
  const auto real = EffectiveChanges(aChanges);
  if (real.size() <= kMostSingleChanges) {
    for (const auto& change : real) {
      Change(change);
    }
    return !real.empty();
  }
  for (const auto& change : real) {
    const auto old = IndexOf(change.host_);
    if (old != kNoIndex) {
      Drop(old);
    }
    if (change.slots_ != 0) {
      Put(change);
    }
  }
  for (std::size_t bucket = 0; bucket < kBucketCount; ++bucket) {
    Fill(bucket);
  }
  return true;
}

HostId
Table::First(BucketId aBucket) const noexcept
{
  const auto index = *Row(aBucket.value_ % kBucketCount);
  return index == kNoIndex ? HostId{} : members_[index].host_;
}

OwnerList
Table::Owners(BucketId aBucket) const noexcept
{
  OwnerList owners;
  const auto* row = Row(aBucket.value_ % kBucketCount);
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
