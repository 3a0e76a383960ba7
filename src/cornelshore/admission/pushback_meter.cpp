#include <cornelshore/admission/pushback_meter.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

#include <cornelshore/admission/internal/hold_estimate.hpp>

namespace cornelshore::admission {

namespace {

constexpr double kDecaySeconds = 0.3;
constexpr double kHeaderBytes = 24.0;
constexpr double kClassBytes = 14.0;
constexpr double kMinOffered = 0.05;
constexpr Duration kIdleInterval = std::chrono::milliseconds{ 300 };

} // namespace

PushbackMeter::Window&
PushbackMeter::WindowOf(ClassId aClass)
{
  for (auto& window : windows_) {
    if (window.class_ == aClass) {
      return window;
    }
  }
  windows_.emplace_back();
  windows_.back().class_ = aClass;
  return windows_.back();
}

void
PushbackMeter::Decay(TimePoint aNow, Window& aWindow)
{
  const auto age = internal::Seconds(aNow - aWindow.start_);
  const auto factor = std::exp(-age / kDecaySeconds);
  aWindow.offered_ *= factor;
  aWindow.refused_ *= factor;
  aWindow.start_ = aNow;
}

void
PushbackMeter::RecordOffer(TimePoint aNow, ClassId aClass, bool aRefused)
{
  auto& window = WindowOf(aClass);
  Decay(aNow, window);
  window.offered_ += 1.0;
  window.refused_ += aRefused ? 1.0 : 0.0;
}

void
PushbackMeter::RecordLateRefusal(TimePoint aNow, ClassId aClass)
{
  auto& window = WindowOf(aClass);
  Decay(aNow, window);
  window.refused_ = std::min(window.refused_ + 1.0, window.offered_);
}

void
PushbackMeter::RetainClasses(const std::vector<ClassId>& aClasses)
{
  std::erase_if(windows_, [&aClasses](const Window& aWindow) {
    return std::find(aClasses.begin(), aClasses.end(), aWindow.class_) ==
           aClasses.end();
  });
}

void
PushbackMeter::Refill(TimePoint aNow)
{
  const auto refill =
    internal::Seconds(aNow - refilledAt_) * kPushbackBytesPerSecond;
  budget_ = std::min(budget_ + refill, kPushbackBytesPerSecond);
  refilledAt_ = aNow;
}

std::vector<ClassLoad>
PushbackMeter::Loads(TimePoint aNow)
{
  std::vector<ClassLoad> loads;
  for (auto& window : windows_) {
    Decay(aNow, window);
    if (window.offered_ < kMinOffered) {
      continue;
    }
    const auto part = window.refused_ / window.offered_;
    loads.push_back(
      { window.class_,
        static_cast<std::uint16_t>(std::lround(part * kFullShare)),
        {} });
  }
  std::stable_sort(loads.begin(),
                   loads.end(),
                   [](const ClassLoad& aLeft, const ClassLoad& aRight) {
                     return aLeft.refused_ > aRight.refused_;
                   });
  if (loads.size() > kMaxPushbackClasses) {
    loads.resize(kMaxPushbackClasses);
  }
  return loads;
}

std::optional<Pushback>
PushbackMeter::Take(TimePoint aNow)
{
  Refill(aNow);
  if (budget_ < kHeaderBytes + kClassBytes) {
    return std::nullopt;
  }
  auto loads = Loads(aNow);
  if (loads.empty()) {
    return std::nullopt;
  }
  const bool idle = loads.front().refused_ == 0;
  if (idle && aNow - sentAt_ < kIdleInterval) {
    return std::nullopt;
  }
  sentAt_ = aNow;
  budget_ -= kHeaderBytes + kClassBytes * static_cast<double>(loads.size());
  return Pushback{ incarnation_, ++sequence_, std::move(loads) };
}

} // namespace cornelshore::admission
