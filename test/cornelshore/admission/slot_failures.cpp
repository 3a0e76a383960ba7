#include <algorithm>
#include <map>
#include <set>

#include <gtest/gtest.h>

#include <cornelshore/admission/slot_scheduler.hpp>

#include "support.hpp"

namespace cornelshore::admission {
namespace {

constexpr std::int64_t kHold = 100 * kMillisecond;

SlotScheduler
Scheduler(const ServiceTarget& aTarget, const FleetSlotRange& aSpan)
{
  auto scheduler = *SlotScheduler::Builder().WithSeed(1).Build();
  EXPECT_TRUE(scheduler.Configure(At(0), aTarget, aSpan).empty());
  return scheduler;
}

Work
WorkOf(const ServiceTarget& aTarget, std::size_t aClass, std::uint64_t aId)
{
  return { RequestId{ 0, aId }, aTarget.classes_[aClass].id_, CallerId{ 1 } };
}

/** Finishes work one by one until the limit reaches all slots. */
TimePoint
WarmUp(SlotScheduler& aScheduler,
       const ServiceTarget& aTarget,
       std::size_t aClass)
{
  std::int64_t now = 0;
  for (std::uint64_t id = 1; id <= 40; ++id) {
    const auto work = WorkOf(aTarget, aClass, id + 1000000);
    EXPECT_EQ(aScheduler.Offer(At(now), work).outcome_, Outcome::Started);
    now += kHold;
    EXPECT_TRUE(aScheduler.Finish(At(now), work.id_, Result::Done).empty());
  }
  return At(now);
}

TEST(SlotFailures, LongLivedWorkOf19000HostsLeavesEveryWholeFloorFree)
{
  const auto target =
    MakeService({ { "boards", 9, 1000, 333 }, { "downloads", 1, 1000, 200 } });
  for (const auto& [hosts, slots] : { std::pair{ 7U, 3U },
                                      std::pair{ 3U, 3U },
                                      std::pair{ 7U, 4U },
                                      std::pair{ 4U, 4U },
                                      std::pair{ 19000U, 3U } }) {
    const auto total = hosts * slots;
    const auto fleet = ApportionFleet(target, total);
    std::uint32_t lent = 0;
    std::uint32_t back = 0;
    for (std::uint32_t host = 0; host < hosts; ++host) {
      auto scheduler = Scheduler(
        target, { host * slots, static_cast<std::uint16_t>(slots), total });
      const auto now = WarmUp(scheduler, target, 0);
      for (std::uint64_t id = 0; id < slots; ++id) {
        auto work = WorkOf(target, 1, id);
        work.longLived_ = true;
        const auto offered = scheduler.Offer(now, work);
        lent += offered.outcome_ == Outcome::Started ? 1 : 0;
      }
      for (std::uint64_t id = 100; id < 100 + slots; ++id) {
        auto work = WorkOf(target, 0, id);
        work.longLived_ = true;
        const auto offered = scheduler.Offer(now, work);
        back += offered.outcome_ == Outcome::Started ? 1 : 0;
      }
    }
    EXPECT_EQ(lent, fleet.classes_[1].keeps_ + fleet.unreserved_);
    EXPECT_EQ(back, fleet.classes_[0].keeps_);
  }
}

TEST(SlotFailures, GivesAFloorTheNextSlotThatComesFree)
{
  const auto target =
    MakeService({ { "boards", 0, 1000, 300 }, { "flood", 9, 1000, 0 } });
  auto scheduler = Scheduler(target, { 0, 3, 3 });
  const auto now = WarmUp(scheduler, target, 1);
  for (std::uint64_t id = 1; id <= 9; ++id) {
    EXPECT_NE(scheduler.Offer(now, WorkOf(target, 1, id)).outcome_,
              Outcome::Refused);
  }
  EXPECT_EQ(scheduler.Dump(now).running_, 3U);
  EXPECT_EQ(scheduler.Offer(now, WorkOf(target, 0, 50)).outcome_,
            Outcome::Queued);
  const auto released =
    scheduler.Finish(now + Duration{ 1 }, RequestId{ 0, 1 }, Result::Done);
  ASSERT_EQ(released.size(), 1U);
  EXPECT_EQ(released[0].work_.id_, (RequestId{ 0, 50 }));
}

TEST(SlotFailures, WorkThatOutlastsTheLendingBoundIsLentNoMore)
{
  const auto target =
    MakeService({ { "boards", 9, 1000, 500 }, { "slow", 1, 1000, 0 } });
  auto scheduler = Scheduler(target, { 0, 4, 4 });
  std::int64_t now = 0;
  for (std::uint64_t id = 1; id <= 20; ++id) {
    EXPECT_EQ(scheduler.Offer(At(now), WorkOf(target, 1, id)).outcome_,
              Outcome::Started);
    now += 5 * kSecond;
    EXPECT_TRUE(
      scheduler.Finish(At(now), RequestId{ 0, id }, Result::Done).empty());
  }
  std::uint32_t started = 0;
  for (std::uint64_t id = 100; id < 104; ++id) {
    const auto offered = scheduler.Offer(At(now), WorkOf(target, 1, id));
    started += offered.outcome_ == Outcome::Started ? 1 : 0;
  }
  EXPECT_EQ(started, 1U);
}

TEST(SlotFailures, RefusesAtOnceWhatCannotFinishInTime)
{
  const auto target = MakeService({ { "a", 5, 1000, 0 } });
  auto scheduler = Scheduler(target, { 0, 3, 3 });
  const auto now = WarmUp(scheduler, target, 0);
  auto work = WorkOf(target, 0, 1);
  work.deadline_ = now + Duration{ kHold / 2 };
  const auto offered = scheduler.Offer(now, work);
  EXPECT_EQ(offered.outcome_, Outcome::Refused);
  EXPECT_EQ(offered.reason_, Refusal::DeadlineUnreachable);
  EXPECT_GT(offered.retryAfter_, Duration::zero());

  std::uint64_t refused = 0;
  for (std::uint64_t id = 10; id < 40; ++id) {
    work = WorkOf(target, 0, id);
    work.deadline_ = now + Duration{ 3 * kHold };
    const auto answer = scheduler.Offer(now, work);
    refused += answer.outcome_ == Outcome::Refused ? 1 : 0;
  }
  EXPECT_GE(refused, 21U);
  const auto timer = scheduler.NextTimer();
  ASSERT_TRUE(timer.has_value());
  EXPECT_LE(*timer, work.deadline_);
  for (const auto& released : scheduler.Tick(work.deadline_)) {
    EXPECT_EQ(released.outcome_, Outcome::Refused);
    EXPECT_EQ(released.reason_, Refusal::DeadlineUnreachable);
  }
  EXPECT_EQ(scheduler.Dump(work.deadline_).classes_[0].queued_, 0U);
}

TEST(SlotFailures, AHostThatWasTooSlowIsTriedAgain)
{
  const auto target = MakeService({ { "a", 5, 1000, 0 } });
  auto scheduler = Scheduler(target, { 0, 3, 3 });
  auto now = WarmUp(scheduler, target, 0);
  auto work = WorkOf(target, 0, 1);
  work.deadline_ = now + Duration{ kHold / 2 };
  EXPECT_EQ(scheduler.Offer(now, work).outcome_, Outcome::Refused);
  now += std::chrono::seconds{ 2 };
  work.deadline_ = now + Duration{ kHold / 2 };
  EXPECT_EQ(scheduler.Offer(now, work).outcome_, Outcome::Started);
}

TEST(SlotFailures, OneCallersFloodDoesNotTakeTheClass)
{
  const auto target = MakeService({ { "a", 5, 1000, 0 } });
  auto scheduler = Scheduler(target, { 0, 3, 3 });
  const auto now = WarmUp(scheduler, target, 0);
  for (std::uint64_t id = 1; id <= 200; ++id) {
    static_cast<void>(scheduler.Offer(now, WorkOf(target, 0, id)));
  }
  auto light = WorkOf(target, 0, 500);
  light.caller_ = CallerId{ 2 };
  const auto offered = scheduler.Offer(now, light);
  EXPECT_EQ(offered.outcome_, Outcome::Queued);
  ASSERT_EQ(offered.released_.size(), 1U);
  EXPECT_EQ(offered.released_[0].reason_, Refusal::CallerOverShare);
  EXPECT_EQ(offered.released_[0].work_.caller_, CallerId{ 1 });
  bool started = false;
  for (std::uint64_t id = 1; id <= 2; ++id) {
    for (const auto& released :
         scheduler.Finish(now, RequestId{ 0, id }, Result::Done)) {
      started |= released.work_.id_ == light.id_;
    }
  }
  EXPECT_TRUE(started);
}

TEST(SlotFailures, PushbacksStayWithinTheirBudget)
{
  const auto target = MakeService({ { "a", 5, 1000, 0 } });
  auto scheduler = Scheduler(target, { 0, 3, 3 });
  auto now = WarmUp(scheduler, target, 0);
  constexpr std::uint64_t kSeconds = 20;
  double bytes = 0.0;
  std::uint64_t sequence = 0;
  std::uint16_t refused = 0;
  for (std::uint64_t id = 1; id <= kSeconds * 1000; ++id) {
    now += Duration{ kMillisecond };
    static_cast<void>(scheduler.Offer(now, WorkOf(target, 0, id)));
    const auto pushback = scheduler.TakePushback(now);
    if (pushback) {
      EXPECT_GT(pushback->sequence_, sequence);
      sequence = pushback->sequence_;
      refused = pushback->classes_.at(0).refused_;
      bytes += 38.0;
    }
  }
  EXPECT_GT(refused, 900);
  EXPECT_GT(bytes,
            0.5 * static_cast<double>(kSeconds) * kPushbackBytesPerSecond);
  EXPECT_LE(bytes, static_cast<double>(kSeconds + 1) * kPushbackBytesPerSecond);
}

/** Random events; checks for one outcome per item and no excess use. */
class Chaos
{
public:
  explicit Chaos(std::uint64_t aSeed)
    : random_(aSeed)
    , scheduler_(
        *SlotScheduler::Builder().WithSeed(aSeed).WithQueueBound(5).Build())
  {
    Configure();
  }

  void Step()
  {
    now_ += Duration{ static_cast<std::int64_t>(random_.Below(kSecond / 4)) };
    switch (random_.Below(8)) {
      case 0:
        return Take(scheduler_.Tick(now_));
      case 1:
        return Cancel();
      case 2:
      case 3:
        return Finish();
      case 4:
        return random_.Below(20) == 0 ? Configure() : Finish();
      default:
        return Offer();
    }
  }

private:
  void Configure()
  {
    std::vector<Row> rows;
    for (const auto* name : { "a", "b", "c", "d" }) {
      if (random_.Below(4) > 0) {
        const auto keeps = static_cast<std::uint16_t>(random_.Below(250));
        const auto most = static_cast<std::uint16_t>(250 + random_.Below(751));
        const auto urgency = static_cast<std::uint8_t>(random_.Below(10));
        rows.push_back({ name, urgency, most, keeps });
      }
    }
    slots_ = static_cast<std::uint16_t>(random_.Below(5));
    Take(scheduler_.Configure(now_, MakeService(rows), { 3, slots_, 20 }));
  }

  void Offer()
  {
    const std::array<const char*, 5> names{ "a", "b", "c", "d", "unknown" };
    const Work work{ RequestId{ 1, ++next_ },
                     ClassIdOf("s", names.at(random_.Below(names.size()))),
                     CallerId{ random_.Below(3) },
                     now_ + Duration{ static_cast<std::int64_t>(
                              random_.Below(5 * kSecond)) },
                     random_.Below(4) == 0 };
    const auto offered = scheduler_.Offer(now_, work);
    if (offered.outcome_ == Outcome::Queued) {
      queued_.insert(next_);
    } else if (offered.outcome_ == Outcome::Started) {
      Started(next_);
    }
    Take(offered.released_);
    if (offered.outcome_ != Outcome::Refused) {
      EXPECT_EQ(scheduler_.Offer(now_, work).reason_, Refusal::DuplicateId);
    }
  }

  void Started(std::uint64_t aId)
  {
    EXPECT_TRUE(running_.insert(aId).second);
    EXPECT_LE(running_.size(), std::max<std::size_t>(slots_, 1));
  }

  void Take(const std::vector<QueueRelease>& aReleased)
  {
    for (const auto& released : aReleased) {
      EXPECT_EQ(queued_.erase(released.work_.id_.low_), 1U);
      if (released.outcome_ == Outcome::Started) {
        Started(released.work_.id_.low_);
      }
    }
    const auto dump = scheduler_.Dump(now_);
    std::size_t queued = 0;
    for (const auto& row : dump.classes_) {
      queued += row.queued_;
    }
    EXPECT_EQ(queued, queued_.size());
    EXPECT_EQ(dump.running_, running_.size());
  }

  void Finish()
  {
    const auto id = running_.empty() || random_.Below(10) == 0
                      ? 999999999U
                      : *running_.begin();
    running_.erase(id);
    Take(scheduler_.Finish(
      now_, RequestId{ 1, id }, static_cast<Result>(random_.Below(4))));
  }

  void Cancel()
  {
    const auto id = random_.Below(next_ + 1);
    queued_.erase(id);
    running_.erase(id);
    Take(scheduler_.Cancel(now_, RequestId{ 1, id }));
  }

  Random random_;
  SlotScheduler scheduler_;
  TimePoint now_{ At(kSecond) };
  std::uint16_t slots_{};
  std::uint64_t next_{};
  std::set<std::uint64_t> queued_;
  std::set<std::uint64_t> running_;
};

TEST(SlotFailures, EachWorkHasOneFateWhateverHappens)
{
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    Chaos chaos(seed);
    for (int step = 0; step < 3000 && !HasFailure(); ++step) {
      chaos.Step();
    }
    ASSERT_FALSE(HasFailure()) << "seed " << seed;
  }
}

} // namespace
} // namespace cornelshore::admission
