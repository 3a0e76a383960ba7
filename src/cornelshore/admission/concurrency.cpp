#include <cornelshore/admission/concurrency.hpp>

#include <algorithm>

namespace cornelshore::admission {

namespace {

constexpr double kDecreaseFactor = 0.5;
constexpr double kSlowFactor = 3.0;
constexpr double kMinHalvedRateRatio = 0.9;
constexpr std::uint32_t kTrialRounds = 8;
constexpr Duration kGrowthInterval = std::chrono::seconds{ 1 };
constexpr Duration kTrialInterval = std::chrono::seconds{ 30 };

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
                      Duration aTypicalHold) noexcept
{
  if (aResult == Result::Shed) {
    Decrease(aNow);
    return;
  }
  if (aResult == Result::Cancelled || aHold < Duration::zero()) {
    return;
  }
  hold_.Add(internal::Seconds(aHold));
  if (aTypicalHold > Duration::zero()) {
    slowness_.Add(internal::Seconds(aHold) / internal::Seconds(aTypicalHold));
  }
  EvaluateTrial(aNow);
  if (trial_ == Trial::None && aResult == Result::Done) {
    Increase(aNow);
  }
}

void
Concurrency::Increase(TimePoint aNow) noexcept
{
  if (aNow < halvedUntil_) {
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
Concurrency::OnTimer(TimePoint aNow, bool aFull) noexcept
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
               : std::max(changedAt_ + kGrowthInterval, halvedUntil_);
}

void
Concurrency::Decrease(TimePoint aNow) noexcept
{
  trial_ = Trial::None;
  if (aNow < nextDecreaseAt_) {
    return;
  }
  limit_ = std::max(1.0, limit_ * kDecreaseFactor);
  threshold_ = limit_;
  changedAt_ = aNow;
  nextDecreaseAt_ = aNow + internal::FromSeconds(hold_.ValueOr(0.1));
}

void
Concurrency::EvaluateTrial(TimePoint aNow) noexcept
{
  if (trial_ == Trial::None) {
    const bool slow = slowness_.ValueOr(1.0) > kSlowFactor;
    if (slow && aNow >= nextTrialAt_ && limit_ >= 2.0) {
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
    limit_ = std::max(1.0, limit_ * kDecreaseFactor);
    return;
  }
  trial_ = Trial::None;
  nextTrialAt_ = aNow + kTrialInterval;
  threshold_ = limit_;
  if (rate < kMinHalvedRateRatio * fullRate_) {
    limit_ = fullLimit_;
  } else {
    halvedUntil_ = nextTrialAt_;
  }
}

} // namespace cornelshore::admission
