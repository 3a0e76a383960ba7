#include <cornelshore/admission/apportion.hpp>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace cornelshore::admission {

namespace {

constexpr std::uint32_t kOpenDivisor = 100;

std::uint32_t
RoundedUp(std::uint32_t aTotal, std::uint16_t aShare)
{
  const auto product = std::uint64_t{ aTotal } * aShare;
  return static_cast<std::uint32_t>((product + kFullShare - 1) / kFullShare);
}

std::uint32_t
RoundedDown(std::uint32_t aTotal, std::uint16_t aShare)
{
  return static_cast<std::uint32_t>(std::uint64_t{ aTotal } * aShare /
                                    kFullShare);
}

/** Returns class indices by descending urgency, then by ascending id. */
std::vector<std::size_t>
ByUrgency(const ServiceTarget& aTarget)
{
  std::vector<std::size_t> order(aTarget.classes_.size());
  std::iota(order.begin(), order.end(), 0U);
  std::sort(order.begin(), order.end(), [&aTarget](auto aLeft, auto aRight) {
    const auto& left = aTarget.classes_[aLeft];
    const auto& right = aTarget.classes_[aRight];
    if (left.urgency_ != right.urgency_) {
      return left.urgency_ > right.urgency_;
    }
    return left.id_.value_ < right.id_.value_;
  });
  return order;
}

/** Raises floors to `aGetFloor(index)`, in order, while slots remain. */
template<typename GetFloor>
void
Grant(Apportionment& aShares,
      const std::vector<std::size_t>& aOrder,
      std::uint32_t& aLeft,
      GetFloor aGetFloor)
{
  for (const auto index : aOrder) {
    auto& keeps = aShares.classes_[index].keeps_;
    const auto floor = std::max<std::uint32_t>(aGetFloor(index), keeps);
    const auto granted = std::min(floor - keeps, aLeft);
    keeps += granted;
    aLeft -= granted;
  }
}

/** Returns a stride near the golden section of the total, coprime to it. */
std::uint32_t
Stride(std::uint32_t aTotal)
{
  constexpr double kGoldenSection = 0.6180339887498949;
  auto stride = static_cast<std::uint32_t>(aTotal * kGoldenSection);
  stride = std::max(stride, 1U);
  while (std::gcd(stride, aTotal) != 1) {
    ++stride;
  }
  return stride;
}

/** Whether a rank is among the `aSize` ranks from `aFirst`, cyclically. */
bool
InArc(std::uint32_t aRank,
      std::uint32_t aFirst,
      std::uint32_t aSize,
      std::uint32_t aTotal)
{
  const auto offset = (std::uint64_t{ aRank } + aTotal - aFirst) % aTotal;
  return offset < aSize;
}

void
AssignSlot(const Apportionment& aFleet,
           std::uint32_t aRank,
           std::uint32_t aTotal,
           Apportionment& aHost)
{
  std::uint32_t first = 0;
  bool reserved = false;
  for (std::size_t index = 0; index < aFleet.classes_.size(); ++index) {
    const auto& share = aFleet.classes_[index];
    auto& own = aHost.classes_[index];
    const auto start = aTotal == 0 ? 0 : first % aTotal;
    if (aRank >= first && aRank < first + share.keeps_) {
      ++own.keeps_;
      reserved = true;
    }
    if (InArc(aRank, start, share.most_, aTotal)) {
      ++own.most_;
    }
    first += share.keeps_;
  }
  if (!reserved) {
    ++(aRank < first + aFleet.open_ ? aHost.open_ : aHost.unreserved_);
  }
}

} // namespace

Apportionment
ApportionFleet(const ServiceTarget& aTarget, std::uint32_t aTotal)
{
  Apportionment shares;
  for (const auto& target : aTarget.classes_) {
    shares.classes_.push_back({ .class_ = target.id_ });
  }
  const auto order = ByUrgency(aTarget);
  const auto keeps = [&aTarget](std::size_t aIndex) {
    return aTarget.classes_[aIndex].keeps_;
  };
  auto left = aTotal;
  Grant(shares, order, left, [&](std::size_t aIndex) {
    return RoundedDown(aTotal, keeps(aIndex));
  });
  Grant(shares, order, left, [&](std::size_t aIndex) {
    return keeps(aIndex) == 0 ? 0U : 1U;
  });
  Grant(shares, order, left, [&](std::size_t aIndex) {
    return RoundedUp(aTotal, keeps(aIndex));
  });
  for (std::size_t index = 0; index < shares.classes_.size(); ++index) {
    auto& share = shares.classes_[index];
    share.missing_ = RoundedUp(aTotal, keeps(index)) - share.keeps_;
    const auto most = RoundedDown(aTotal, aTarget.classes_[index].most_);
    share.most_ = std::min(aTotal, std::max({ most, share.keeps_, 1U }));
  }
  shares.open_ = std::min(left, (aTotal + kOpenDivisor - 1) / kOpenDivisor);
  shares.unreserved_ = left - shares.open_;
  return shares;
}

Apportionment
ApportionHost(const ServiceTarget& aTarget, const FleetSlotRange& aSpan)
{
  const auto total =
    std::max<std::uint32_t>(aSpan.total_, aSpan.before_ + aSpan.slots_);
  const auto fleet = ApportionFleet(aTarget, total);
  Apportionment host;
  for (const auto& share : fleet.classes_) {
    host.classes_.push_back(
      { .class_ = share.class_, .missing_ = share.missing_ });
  }
  const auto stride = Stride(total);
  for (std::uint32_t slot = 0; slot < aSpan.slots_; ++slot) {
    const auto place = std::uint64_t{ aSpan.before_ } + slot;
    const auto rank = static_cast<std::uint32_t>(place * stride % total);
    AssignSlot(fleet, rank, total, host);
  }
  return host;
}

} // namespace cornelshore::admission
