#include <cornelshore/routing/table.hpp>
#include <cornelshore/routing/view.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <map>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cornelshore/core/hash.hpp>

namespace cornelshore::routing {
namespace {

constexpr Duration kWindow = std::chrono::seconds(30);
constexpr ServiceId kService{ 1 };

TimePoint
At(std::int64_t aSeconds)
{
  return TimePoint(std::chrono::seconds(aSeconds));
}

BucketId
Bucket(std::size_t aIndex)
{
  return BucketId{ static_cast<std::uint16_t>(aIndex) };
}

HostRecord
Record(std::uint64_t aHost, std::uint64_t aSequence, HostState aState)
{
  HostRecord record;
  record.id_ = { aHost };
  record.incarnation_ = { 1 };
  record.sequence_ = aSequence;
  record.service_ = kService;
  record.slots_ = 3;
  record.state_ = aState;
  return record;
}

/** Reference order: all hosts of a bucket sorted by score. */
std::vector<HostId>
NaiveOwners(const std::map<HostId, std::uint16_t>& aSlots, std::size_t aBucket)
{
  std::vector<std::pair<double, HostId>> scored;
  for (const auto& [host, slots] : aSlots) {
    const auto hash = HashPair(host.value_, aBucket);
    const auto unit = (static_cast<double>(hash >> 11U) + 0.5) * 0x1.0p-53;
    scored.emplace_back(std::log(unit) / slots, host);
  }
  std::sort(scored.rbegin(), scored.rend());
  std::vector<HostId> hosts;
  hosts.reserve(scored.size());
  for (const auto& [score, host] : scored) {
    hosts.push_back(host);
  }
  return hosts;
}

RC_GTEST_PROP(Table, MatchesTheNaiveOrderAfterAnyChanges, ())
{
  const auto owners = *rc::gen::inRange<std::size_t>(1, kMaxOwners + 1);
  Table table(owners);
  std::map<HostId, std::uint16_t> slots;
  const auto rounds = *rc::gen::inRange(1, 12);
  for (int round = 0; round < rounds; ++round) {
    std::vector<Weight> changes;
    const auto count = *rc::gen::inRange(1, 7);
    for (int change = 0; change < count; ++change) {
      const HostId host{ *rc::gen::inRange<std::uint64_t>(1, 16) };
      const auto weight = *rc::gen::inRange<std::uint16_t>(0, 5);
      changes.push_back({ host, weight });
      slots.erase(host);
      if (weight != 0) {
        slots[host] = weight;
      }
    }
    table.Apply(changes);
  }
  RC_ASSERT(table.HostCount() == slots.size());
  for (std::size_t bucket = 0; bucket < kBucketCount; bucket += 7) {
    auto naive = NaiveOwners(slots, bucket);
    naive.resize(std::min(naive.size(), owners));
    const auto list = table.Owners(Bucket(bucket));
    RC_ASSERT(std::vector<HostId>(list.begin(), list.end()) == naive);
    RC_ASSERT(table.First(Bucket(bucket)) ==
              (naive.empty() ? HostId{} : naive[0]));
  }
}

TEST(View, ListsFormerOwnersWithinTheWindowOnlyAndHoldersAlways)
{
  View view(kService, kWindow);
  std::vector<HostRecord> all;
  for (std::uint64_t host = 1; host <= 7; ++host) {
    all.push_back(Record(host, 1, HostState::Ready));
  }
  view.Apply(At(0), all);
  const auto bucket = Bucket(5);
  EXPECT_FALSE(view.IsSettled(At(29), bucket));
  EXPECT_TRUE(view.IsSettled(At(30), bucket));
  const auto first = view.Routes().First(bucket);
  auto leaving = Record(first.value_, 2, HostState::Leaving);
  view.Apply(At(100), { &leaving, 1 });
  EXPECT_NE(view.Routes().First(bucket), first);
  EXPECT_FALSE(view.IsSettled(At(129), bucket));
  EXPECT_EQ(view.FirstSince(bucket), At(100));
  EXPECT_EQ(view.FormerOwners(At(129), bucket).at(0), first);
  EXPECT_TRUE(view.FormerOwners(At(131), bucket).empty());
  leaving.held_.set(5);
  EXPECT_FALSE(view.Apply(At(131), { &leaving, 1 }));
  leaving.sequence_ = 3;
  EXPECT_TRUE(view.Apply(At(131), { &leaving, 1 }));
  EXPECT_EQ(view.Holders(bucket), std::vector{ first });
}

TEST(View, TreatsAHostOfAnotherServiceAsGone)
{
  View view(kService, kWindow);
  auto record = Record(1, 1, HostState::Ready);
  view.Apply(At(0), { &record, 1 });
  record.incarnation_ = { 2 };
  record.service_ = { 2 };
  view.Apply(At(1), { &record, 1 });
  EXPECT_TRUE(view.IsKnownGone({ 1 }));
  EXPECT_EQ(view.Routes().HostCount(), 0U);
  record.incarnation_ = { 1 };
  record.service_ = kService;
  EXPECT_FALSE(view.Apply(At(2), { &record, 1 }));
}

} // namespace
} // namespace cornelshore::routing
