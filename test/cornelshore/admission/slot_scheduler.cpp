#include <cornelshore/admission/slot_scheduler.hpp>

#include <cmath>
#include <map>
#include <queue>

#include <gtest/gtest.h>

#include "naive_allocator.hpp"
#include "support.hpp"

namespace cornelshore::admission {
namespace {

/** One host whose classes keep their queues at a fixed length. */
class SaturatedHost
{
public:
  SaturatedHost(const ServiceTarget& aTarget,
                std::uint16_t aSlots,
                std::vector<double> aHolds,
                std::vector<std::uint32_t> aBacklogs)
    : target_(aTarget)
    , holds_(std::move(aHolds))
    , backlogs_(std::move(aBacklogs))
    , used_(holds_.size())
    , lastStart_(holds_.size())
    , largestGap_(holds_.size())
    , random_(7)
    , scheduler_(*SlotScheduler::Builder().WithSeed(1).Build())
  {
    Take({}, scheduler_.Configure({}, target_, { 0, aSlots, aSlots }));
  }

  /** Mean slots in use of each class from `aFrom` to `aUntil`. */
  std::vector<double> Run(std::int64_t aFrom, std::int64_t aUntil)
  {
    TimePoint now;
    while (now < At(aUntil)) {
      Refill(now);
      const auto timer = scheduler_.NextTimer();
      const auto finish =
        ends_.empty() ? TimePoint::max() : ends_.begin()->first;
      if (timer && *timer < finish) {
        now = std::max(now, *timer);
        Take(now, scheduler_.Tick(now));
        continue;
      }
      now = finish;
      const auto id = ends_.begin()->second;
      ends_.erase(ends_.begin());
      const auto& run = runs_[id];
      const auto from = std::max(run.second, At(aFrom));
      used_[run.first] += std::max(0.0, internal::Seconds(now - from));
      runs_.erase(id);
      Take(now, scheduler_.Finish(now, RequestId{ 0, id }, Result::Done));
    }
    for (auto& used : used_) {
      used /= internal::Seconds(Duration{ aUntil - aFrom });
    }
    return used_;
  }

  /** Longest time between two starts of a class. */
  [[nodiscard]] Duration LargestGap(std::size_t aClass) const
  {
    return largestGap_[aClass];
  }

private:
  void Refill(TimePoint aNow)
  {
    const auto dump = scheduler_.Dump(aNow);
    for (std::size_t index = 0; index < holds_.size(); ++index) {
      for (auto queued = dump.classes_[index].queued_;
           queued < backlogs_[index];
           ++queued) {
        Offer(aNow, index);
      }
    }
  }

  void Offer(TimePoint aNow, std::size_t aClass)
  {
    const Work work{ RequestId{ 0, ++next_ },
                     target_.classes_[aClass].id_,
                     CallerId{ next_ % 5 } };
    classOf_[next_] = aClass;
    const auto offered = scheduler_.Offer(aNow, work);
    if (offered.outcome_ == Outcome::Started) {
      Begin(aNow, next_);
    }
    Take(aNow, offered.released_);
  }

  void Begin(TimePoint aNow, std::uint64_t aId)
  {
    const auto index = classOf_[aId];
    classOf_.erase(aId);
    const auto hold = -holds_[index] * std::log(1.0 - random_.Unit());
    largestGap_[index] = std::max(largestGap_[index], aNow - lastStart_[index]);
    lastStart_[index] = aNow;
    ends_.emplace(aNow + internal::FromSeconds(hold), aId);
    runs_[aId] = { index, aNow };
  }

  void Take(TimePoint aNow, const std::vector<QueueRelease>& aReleased)
  {
    for (const auto& released : aReleased) {
      if (released.outcome_ == Outcome::Started) {
        Begin(aNow, released.work_.id_.low_);
      }
    }
  }

  ServiceTarget target_;
  std::vector<double> holds_;
  std::vector<std::uint32_t> backlogs_;
  std::vector<double> used_;
  std::vector<TimePoint> lastStart_;
  std::vector<Duration> largestGap_;
  Random random_;
  SlotScheduler scheduler_;
  std::uint64_t next_{};
  std::multimap<TimePoint, std::uint64_t> ends_;
  std::map<std::uint64_t, std::pair<std::size_t, TimePoint>> runs_;
  std::map<std::uint64_t, std::size_t> classOf_;
};

TEST(SlotScheduler, DividesASaturatedHostAsTheCentralAllocatorDoes)
{
  struct Case
  {
    std::vector<Row> rows_;
    std::vector<double> holds_;
    std::uint16_t slots_;
  };
  const std::vector<Case> cases{
    { { { "a", 9, 500, 200 }, { "b", 6, 800, 300 }, { "c", 1, 600, 100 } },
      { 0.1, 0.3, 0.5 },
      3 },
    { { { "a", 7, 800, 300 }, { "b", 2, 600, 200 }, { "c", 0, 500, 0 } },
      { 0.2, 1.0, 0.3 },
      3 },
    { { { "a", 9, 500, 200 }, { "b", 7, 800, 350 }, { "c", 1, 500, 50 } },
      { 0.1, 0.25, 0.5 },
      4 },
    { { { "a", 8, 600, 250 }, { "b", 2, 800, 250 }, { "c", 0, 400, 100 } },
      { 0.15, 1.5, 0.6 },
      4 },
    { { { "a", 5, 1000, 0 }, { "b", 4, 1000, 0 }, { "c", 3, 1000, 250 } },
      { 0.1, 0.2, 0.1 },
      4 },
  };
  for (const auto& row : cases) {
    const auto target = MakeService(row.rows_);
    SaturatedHost host(target, row.slots_, row.holds_, { 16, 16, 16 });
    const auto used = host.Run(20 * kSecond, 2000 * kSecond);
    const auto ideal = AllocateCentrally(
      target, std::vector<double>(used.size(), 100.0), row.slots_);
    for (std::size_t index = 0; index < used.size(); ++index) {
      EXPECT_NEAR(used[index], ideal[index], 0.02 * row.slots_)
        << target.classes_[index].name_ << " of " << row.slots_;
    }
  }
}

/** Random targets, hold times and slots; some classes have low demand. */
TEST(SlotScheduler, DividesAnySaturatedHostAsTheCentralAllocatorDoes)
{
  Random random(11);
  for (int round = 0; round < 24; ++round) {
    std::vector<Row> rows;
    std::vector<double> holds;
    std::uint64_t left = 900;
    for (const auto* name : { "a", "b", "c", "d", "e" }) {
      const auto keeps = random.Below(left / 2);
      left -= keeps;
      rows.push_back({ name,
                       static_cast<std::uint8_t>(random.Below(10)),
                       static_cast<std::uint16_t>(
                         keeps + 1 + random.Below(kFullShare - keeps)),
                       static_cast<std::uint16_t>(keeps) });
      holds.push_back(0.02 + 0.2 * random.Unit());
    }
    const auto slots = static_cast<std::uint16_t>(2 + random.Below(4));
    const auto target = MakeService(rows);
    SaturatedHost host(target, slots, holds, { 8, 8, 8, 8, 8 });
    const auto used = host.Run(20 * kSecond, 320 * kSecond);
    const auto ideal =
      AllocateCentrally(target, std::vector<double>(used.size(), 100.0), slots);
    double total = 0.0;
    double idealTotal = 0.0;
    for (std::size_t index = 0; index < used.size(); ++index) {
      EXPECT_NEAR(used[index], ideal[index], 0.02 * slots)
        << "round " << round << " class " << index;
      total += used[index];
      idealTotal += ideal[index];
    }
    EXPECT_GE(total, 0.97 * idealTotal) << "round " << round;
  }
}

/** After 10 s it takes the next slot that is not due to a floor. */
TEST(SlotScheduler, AClassWithoutAFloorDoesNotStarve)
{
  constexpr double kMeanHold = 0.5;
  constexpr int kHoldsUntilUnowed = 10;
  const auto target =
    MakeService({ { "urgent", 9, 1000, 500 }, { "least", 0, 1000, 0 } });
  SaturatedHost host(target, 3, { kMeanHold, kMeanHold }, { 32, 32 });
  const auto used = host.Run(0, 600 * kSecond);
  EXPECT_LE(host.LargestGap(1),
            internal::FromSeconds(10.0 + kHoldsUntilUnowed * kMeanHold));
  EXPECT_LE(used[1], 0.1);
}

} // namespace
} // namespace cornelshore::admission
