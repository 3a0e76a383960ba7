#include <cornelshore/admission/concurrency.hpp>

#include <algorithm>

namespace cornelshore::admission {

namespace {

constexpr double kCutFactor = 0.5;
constexpr double kSlowFactor = 3.0;
constexpr double kWorthHalving = 0.9;
constexpr std::uint32_t kTrialRounds = 8;
constexpr Duration kGrowthInterval = std::chrono::seconds{ 1 };
constexpr Duration kTrialPause = std::chrono::seconds{ 30 };

} // namespace

void
Concurrency::SetSlots(std::uint16_t aSlots) noexcept
{
  slots_ = aSlots;
  threshold_ = slots_;
  limit_ = std::clamp(limit_, 1.0, std::max(1.0, double{ threshold_ }));
}

std::uint32_t
Concurrency::Limit() const noexcept
{
  return std::min<std::uint32_t>(slots_, static_cast<std::uint32_t>(limit_));
}

void
Concurrency::OnFinish(TimePoint aNow,
                      Result aResult,
                      Duration aHold,
                      Duration aUsual) noexcept
{
  if (aResult == Result::Shed) {
    Cut(aNow);
    return;
  }
  if (aResult == Result::Cancelled || aHold < Duration::zero()) {
    return;
  }
  recent_.Add(internal::Seconds(aHold));
  if (aUsual > Duration::zero()) {
    slowness_.Add(internal::Seconds(aHold) / internal::Seconds(aUsual));
  }
  Compare(aNow);
  if (trial_ == Trial::None && aResult == Result::Done) {
    Grow(aNow);
  }
}

void
Concurrency::Grow(TimePoint aNow) noexcept
{
  if (aNow < keptUntil_) {
    return;
  }
  const auto before = Limit();
  const auto step = limit_ < threshold_ ? 1.0 : 1.0 / limit_;
  limit_ = std::min<double>(limit_ + step, slots_);
  if (Limit() != before) {
    changedAt_ = aNow;
  }
}

void
Concurrency::OnTime(TimePoint aNow, bool aFull) noexcept
{
  if (aFull && aNow >= NextGrowth()) {
    limit_ = std::min<double>(limit_ + 1.0, slots_);
    changedAt_ = aNow;
  }
}

TimePoint
Concurrency::NextGrowth() const noexcept
{
  const bool fixed = Limit() >= slots_ || trial_ != Trial::None;
  return fixed ? TimePoint::max()
               : std::max(changedAt_ + kGrowthInterval, keptUntil_);
}

void
Concurrency::Cut(TimePoint aNow) noexcept
{
  trial_ = Trial::None;
  if (aNow < cutUntil_) {
    return;
  }
  limit_ = std::max(1.0, limit_ * kCutFactor);
  threshold_ = limit_;
  changedAt_ = aNow;
  cutUntil_ = aNow + internal::FromSeconds(recent_.Or(0.1));
}

void
Concurrency::Compare(TimePoint aNow) noexcept
{
  if (trial_ == Trial::None) {
    const bool slow = slowness_.Or(1.0) > kSlowFactor;
    if (slow && aNow >= noTrialBefore_ && limit_ >= 2.0) {
      trial_ = Trial::Measuring;
      trialStart_ = aNow;
      trialFinished_ = 0;
    }
    return;
  }
  ++trialFinished_;
  if (trialFinished_ < kTrialRounds || aNow <= trialStart_) {
    return;
  }
  const auto rate = trialFinished_ / internal::Seconds(aNow - trialStart_);
  trialStart_ = aNow;
  trialFinished_ = 0;
  if (trial_ == Trial::Measuring) {
    trial_ = Trial::Halved;
    fullRate_ = rate;
    fullLimit_ = limit_;
    limit_ = std::max(1.0, limit_ * kCutFactor);
    return;
  }
  trial_ = Trial::None;
  noTrialBefore_ = aNow + kTrialPause;
  threshold_ = limit_;
  if (rate < kWorthHalving * fullRate_) {
    limit_ = fullLimit_;
  } else {
    keptUntil_ = noTrialBefore_;
  }
}

} // namespace cornelshore::admission
