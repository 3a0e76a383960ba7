#include <cornelshore/admission/apportion.hpp>

#include <algorithm>
#include <numeric>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "support.hpp"

namespace cornelshore::admission {
namespace {

std::vector<FleetSlotRange>
Spans(const std::vector<std::uint16_t>& aSlots)
{
  const auto total = std::accumulate(aSlots.begin(), aSlots.end(), 0U);
  std::vector<FleetSlotRange> spans;
  std::uint32_t before = 0;
  for (const auto slots : aSlots) {
    spans.push_back({ before, slots, total });
    before += slots;
  }
  return spans;
}

/** Checks that each class's slots over all hosts sum to the fleet's. */
void
ExpectExact(const ServiceTarget& aTarget,
            const std::vector<std::uint16_t>& aSlots,
            std::uint32_t aSpread)
{
  const auto spans = Spans(aSlots);
  auto left = ApportionFleet(aTarget, spans.front().total_);
  for (const auto& span : spans) {
    const auto host = ApportionHost(aTarget, span);
    auto used = host.open_ + host.unreserved_;
    for (std::size_t index = 0; index < host.classes_.size(); ++index) {
      const auto& own = host.classes_[index];
      ASSERT_LE(own.keeps_, own.most_);
      ASSERT_LE(own.most_, span.slots_);
      const auto exact = std::uint32_t{ span.slots_ } *
                         aTarget.classes_[index].keeps_ / kFullShare;
      ASSERT_LE(own.keeps_, exact + aSpread);
      ASSERT_GE(own.keeps_ + aSpread + own.missing_, exact);
      left.classes_[index].keeps_ -= own.keeps_;
      left.classes_[index].most_ -= own.most_;
      used += own.keeps_;
    }
    ASSERT_EQ(used, span.slots_);
    left.open_ -= host.open_;
    left.unreserved_ -= host.unreserved_;
  }
  for (const auto& share : left.classes_) {
    ASSERT_EQ(share.keeps_, 0U);
    ASSERT_EQ(share.most_, 0U);
  }
  ASSERT_EQ(left.open_, 0U);
  ASSERT_EQ(left.unreserved_, 0U);
}

TEST(Apportion, AddsUpOnTodaysFleetsAndOn19000Hosts)
{
  const auto service = MakeService({ { "boards", 9, 500, 150 },
                                     { "payments", 7, 1000, 250 },
                                     { "statements", 1, 600, 100 } });
  for (const auto& [hosts, slots] : { std::pair{ 7, 3 },
                                      std::pair{ 3, 3 },
                                      std::pair{ 7, 4 },
                                      std::pair{ 4, 4 },
                                      std::pair{ 19000, 3 } }) {
    const std::vector<std::uint16_t> fleet(static_cast<std::size_t>(hosts),
                                           static_cast<std::uint16_t>(slots));
    ExpectExact(service, fleet, 2);
  }
}

TEST(Apportion, AddsUpOnAnyFleetAndTargets)
{
  const bool holds = rc::check([] {
    const auto slots = *rc::gen::container<std::vector<std::uint16_t>>(
      *rc::gen::inRange<std::size_t>(1, 40),
      rc::gen::inRange<std::uint16_t>(1, 9));
    std::vector<Row> rows;
    std::uint16_t left = kFullShare;
    const auto count = *rc::gen::inRange(1, 12);
    for (int index = 0; index < count; ++index) {
      Row row;
      row.name_ = std::to_string(index);
      row.urgency_ = *rc::gen::inRange<std::uint8_t>(0, 10);
      row.keeps_ = *rc::gen::inRange<std::uint16_t>(
        0, static_cast<std::uint16_t>(left + 1));
      row.most_ = *rc::gen::inRange<std::uint16_t>(
        std::max<std::uint16_t>(row.keeps_, 1), kFullShare + 1);
      left = static_cast<std::uint16_t>(left - row.keeps_);
      rows.push_back(row);
    }
    ExpectExact(MakeService(rows), slots, 9);
    RC_ASSERT(!::testing::Test::HasFatalFailure());
  });
  EXPECT_TRUE(holds);
}

TEST(Apportion, ShrunkenFleetTakesRoundingThenLastSlotFromTheLeastUrgent)
{
  const auto service = MakeService({ { "low", 1, 1000, 340 },
                                     { "high", 9, 1000, 330 },
                                     { "middle", 5, 1000, 330 } });
  const auto keeps = [&service](std::uint32_t aTotal) {
    std::vector<std::uint32_t> found;
    for (const auto& share : ApportionFleet(service, aTotal).classes_) {
      found.push_back(share.keeps_);
      found.push_back(share.missing_);
    }
    return found;
  };
  using Figures = std::vector<std::uint32_t>;
  EXPECT_EQ(keeps(100), (Figures{ 34, 0, 33, 0, 33, 0 }));
  EXPECT_EQ(keeps(9), (Figures{ 3, 1, 3, 0, 3, 0 }));
  EXPECT_EQ(keeps(2), (Figures{ 0, 1, 1, 0, 1, 0 }));
  EXPECT_EQ(keeps(1), (Figures{ 0, 1, 1, 0, 0, 1 }));
  EXPECT_EQ(keeps(0), (Figures{ 0, 0, 0, 0, 0, 0 }));
}

} // namespace
} // namespace cornelshore::admission
