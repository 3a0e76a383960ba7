#include <cornelshore/membership/view.hpp>

#include <algorithm>
#include <map>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cornelshore/core/random.hpp>

namespace cornelshore::membership {
namespace {

HostRecord
RecordOf(std::uint64_t aHost,
         std::uint64_t aIncarnation,
         std::uint64_t aSequence,
         HostState aState)
{
  HostRecord record;
  record.id_ = HostId{ aHost };
  record.incarnation_ = Incarnation{ aIncarnation };
  record.sequence_ = aSequence;
  record.service_ =
    ServiceId{ static_cast<std::uint32_t>(1 + (aHost + aIncarnation) % 2) };
  record.state_ = aState;
  return record;
}

/** Arbitrary record; equal versions of one host have equal contents. */
HostRecord
AnyRecord()
{
  const auto host = *rc::gen::inRange<std::uint64_t>(1, 6);
  const auto incarnation = *rc::gen::inRange<std::uint64_t>(1, 4);
  const auto sequence = *rc::gen::inRange<std::uint64_t>(1, 6);
  const bool gone = *rc::gen::inRange(0, 4) == 0;
  const auto state = gone                ? HostState::Gone
                     : sequence % 2 == 0 ? HostState::Ready
                                         : HostState::Leaving;
  return RecordOf(host, incarnation, sequence, state);
}

RC_GTEST_PROP(View, HoldsWhatANaiveMapHoldsInAnyOrder, ())
{
  auto records =
    *rc::gen::container<std::vector<HostRecord>>(rc::gen::exec(AnyRecord));
  std::map<HostId, HostRecord> naive;
  for (const auto& record : records) {
    const auto found = naive.find(record.id_);
    if (found == naive.end() || VersionOf(found->second) < VersionOf(record)) {
      naive[record.id_] = record;
    }
  }
  Random random(*rc::gen::arbitrary<std::uint64_t>());
  for (int order = 0; order < 3; ++order) {
    auto view = *View::Builder().Build();
    for (const auto& record : records) {
      const auto epoch = view.Epoch();
      const auto outcome = view.Merge(TimePoint{}, record);
      RC_ASSERT((outcome == MergeOutcome::Changed) == (epoch < view.Epoch()));
    }
    std::vector<HostRecord> expected;
    std::map<ServiceId, std::vector<HostRecord>> byService;
    for (const auto& [id, record] : naive) {
      expected.push_back(record);
      if (record.state_ != HostState::Gone) {
        byService[record.service_].push_back(record);
      }
    }
    RC_ASSERT(view.All() == expected);
    for (const auto service : { ServiceId{ 1 }, ServiceId{ 2 } }) {
      RC_ASSERT(view.OfService(service) == byService[service]);
    }
    for (std::size_t index = records.size(); index > 1; --index) {
      std::swap(records[index - 1], records[random.Below(index)]);
    }
  }
}

TEST(View, KeepsTombstonesForTheirLifeAndNoLonger)
{
  auto view =
    *View::Builder().TombstoneLife(std::chrono::hours(1)).MostHosts(2).Build();
  const TimePoint start{ std::chrono::hours(10) };
  const auto ready = RecordOf(1, 1, 1, HostState::Ready);
  const auto gone = RecordOf(1, 1, 1, HostState::Gone);
  EXPECT_EQ(view.Merge(start, ready), MergeOutcome::Changed);
  EXPECT_EQ(view.Merge(start, gone, std::chrono::minutes(20)),
            MergeOutcome::Changed);
  EXPECT_EQ(view.Merge(start, ready), MergeOutcome::Known);
  EXPECT_EQ(view.AgeOf(start, gone.id_), std::chrono::minutes(20));
  EXPECT_TRUE(view.Expire(start + std::chrono::minutes(39)).empty());
  EXPECT_EQ(view.Expire(start + std::chrono::minutes(40)).size(), 1U);
  EXPECT_EQ(view.Merge(start, gone, std::chrono::minutes(60)),
            MergeOutcome::Expired);
  EXPECT_EQ(view.Merge(start, RecordOf(2, 1, 1, HostState::Ready)),
            MergeOutcome::Changed);
  EXPECT_EQ(view.Merge(start, RecordOf(3, 1, 1, HostState::Ready)),
            MergeOutcome::Changed);
  EXPECT_EQ(view.Merge(start, RecordOf(4, 1, 1, HostState::Ready)),
            MergeOutcome::Full);
  EXPECT_FALSE(View::Builder().MostHosts(0).Build().ok());
}

} // namespace
} // namespace cornelshore::membership
