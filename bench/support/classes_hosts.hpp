#ifndef CORNELSHORE_BENCH_SUPPORT_CLASSES_HOSTS_HPP
#define CORNELSHORE_BENCH_SUPPORT_CLASSES_HOSTS_HPP

#include <algorithm>
#include <array>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include <cornelshore/admission/slot_scheduler.hpp>

namespace cornelshore::bench {

using admission::OfferResult;
using admission::Outcome;
using admission::QueueRelease;
using admission::Refusal;
using admission::Work;

/** @brief How a host shares its slots. */
enum class Policy : std::uint8_t
{
  Targets,   ///< The product's scheduler.
  FirstCome, ///< One queue, first come first served.
  Priority,  ///< Strict priority by urgency.
};

/** @brief One host's admission, whatever its policy. */
class HostAdmission
{
public:
  HostAdmission() = default;
  HostAdmission(const HostAdmission&) = delete;
  HostAdmission& operator=(const HostAdmission&) = delete;
  virtual ~HostAdmission() = default;

  virtual OfferResult Offer(TimePoint aNow, const Work& aWork) = 0;
  virtual std::vector<QueueRelease> Finish(TimePoint aNow, RequestId aId) = 0;
  virtual std::vector<QueueRelease> Tick(TimePoint /*aNow*/) { return {}; }
  [[nodiscard]] virtual std::optional<TimePoint> NextTimer() const
  {
    return std::nullopt;
  }
  virtual std::optional<admission::Pushback> TakePushback(TimePoint /*aNow*/)
  {
    return std::nullopt;
  }
  /** @brief Works that run and wait. */
  [[nodiscard]] virtual std::uint32_t Load(TimePoint aNow) const = 0;
};

/** @brief The product's scheduler. */
class TargetsHost : public HostAdmission
{
public:
  TargetsHost(const ServiceTarget& aTarget,
              const admission::FleetSlotRange& aSpan,
              std::uint64_t aSeed)
    : scheduler_(*admission::SlotScheduler::Builder()
                    .WithSeed(aSeed)
                    .WithIncarnation(Incarnation{ 1 })
                    .Build())
  {
    static_cast<void>(scheduler_.Configure({}, aTarget, aSpan));
  }

  OfferResult Offer(TimePoint aNow, const Work& aWork) override
  {
    return scheduler_.Offer(aNow, aWork);
  }
  std::vector<QueueRelease> Finish(TimePoint aNow, RequestId aId) override
  {
    return scheduler_.Finish(aNow, aId, admission::Result::Done);
  }
  std::vector<QueueRelease> Tick(TimePoint aNow) override
  {
    return scheduler_.Tick(aNow);
  }
  [[nodiscard]] std::optional<TimePoint> NextTimer() const override
  {
    return scheduler_.NextTimer();
  }
  std::optional<admission::Pushback> TakePushback(TimePoint aNow) override
  {
    return scheduler_.TakePushback(aNow);
  }
  [[nodiscard]] std::uint32_t Load(TimePoint aNow) const override
  {
    const auto dump = scheduler_.Dump(aNow);
    auto load = dump.running_;
    for (const auto& row : dump.classes_) {
      load += row.queued_;
    }
    return load;
  }

private:
  admission::SlotScheduler scheduler_;
};

/** @brief Baselines: bounded queues by urgency, or one for all. */
class QueueHost : public HostAdmission
{
public:
  QueueHost(const ServiceTarget& aTarget, std::uint16_t aSlots, Policy aPolicy)
    : slots_(aSlots)
  {
    for (const auto& target : aTarget.classes_) {
      const bool strict = aPolicy == Policy::Priority;
      levels_.emplace_back(target.id_, strict ? target.urgency_ : 0);
    }
  }

  OfferResult Offer(TimePoint /*aNow*/, const Work& aWork) override
  {
    if (running_ < slots_) {
      ++running_;
      return { Outcome::Started, Refusal::None, {}, {} };
    }
    OfferResult offered{ Outcome::Queued, Refusal::None, {}, {} };
    const auto level = LevelOf(aWork.class_);
    if (queued_ >= kQueueBound && !Displace(level, offered)) {
      return { Outcome::Refused, Refusal::QueueFull, {}, {} };
    }
    queues_[level].push_back(aWork);
    ++queued_;
    return offered;
  }

  std::vector<QueueRelease> Finish(TimePoint /*aNow*/,
                                   RequestId /*aId*/) override
  {
    --running_;
    for (std::size_t level = kLevels; level-- > 0;) {
      auto& queue = queues_[level];
      if (queue.empty()) {
        continue;
      }
      const auto work = queue.front();
      queue.pop_front();
      --queued_;
      ++running_;
      return { { work, Outcome::Started, Refusal::None, {} } };
    }
    return {};
  }

  [[nodiscard]] std::uint32_t Load(TimePoint /*aNow*/) const override
  {
    return running_ + queued_;
  }

private:
  static constexpr std::size_t kLevels = kMaxUrgency + 1;
  static constexpr std::uint32_t kQueueBound = 64;

  [[nodiscard]] std::size_t LevelOf(ClassId aClass) const
  {
    for (const auto& [id, level] : levels_) {
      if (id == aClass) {
        return level;
      }
    }
    return 0;
  }

  bool Displace(std::size_t aLevel, OfferResult& aOffered)
  {
    for (std::size_t level = 0; level < aLevel; ++level) {
      auto& queue = queues_[level];
      if (!queue.empty()) {
        aOffered.released_.push_back(
          { queue.back(), Outcome::Refused, Refusal::QueueFull, {} });
        queue.pop_back();
        --queued_;
        return true;
      }
    }
    return false;
  }

  std::uint16_t slots_;
  std::uint32_t running_{};
  std::uint32_t queued_{};
  std::vector<std::pair<ClassId, std::size_t>> levels_;
  std::array<std::deque<Work>, kLevels> queues_;
};

/** @brief Makes one host of a fleet of equal hosts. */
inline std::unique_ptr<HostAdmission>
MakeHost(Policy aPolicy,
         const ServiceTarget& aTarget,
         const admission::FleetSlotRange& aSpan,
         std::uint64_t aSeed)
{
  if (aPolicy == Policy::Targets) {
    return std::make_unique<TargetsHost>(aTarget, aSpan, aSeed);
  }
  return std::make_unique<QueueHost>(aTarget, aSpan.slots_, aPolicy);
}

} // namespace cornelshore::bench

#endif
