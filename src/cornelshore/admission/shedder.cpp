#include <cornelshore/admission/shedder.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

#include <cornelshore/admission/internal/hold_estimate.hpp>
#include <cornelshore/core/hash.hpp>

namespace cornelshore::admission {

namespace {

using internal::FromSeconds;
using internal::Seconds;

constexpr Duration kPeriod = std::chrono::milliseconds{ 200 };
constexpr Duration kReportLifetime = std::chrono::seconds{ 1 };
constexpr Duration kReportReplaceAge = std::chrono::seconds{ 5 };
constexpr double kTargetRefusal = 0.3;
constexpr double kRateGain = 0.4;
constexpr double kCallerGain = 0.1;
constexpr double kMinRate = 1.0;
constexpr double kBurst = 1.5;
constexpr std::uint32_t kMaxBurst = 3;
constexpr std::uint32_t kRecoveryPeriods = 10;
constexpr std::uint32_t kReseedPeriods = 150;
constexpr double kMaxOverload = 60.0;

/** Max-min fair level: counts capped at it sum to the capacity. */
template<typename Counts>
double
FairLevel(const Counts& aCounts, double aCapacity)
{
  auto counts = aCounts;
  std::sort(counts.begin(), counts.end());
  double left = aCapacity;
  for (std::size_t index = 0; index < counts.size(); ++index) {
    const auto sharers = static_cast<double>(counts.size() - index);
    if (counts[index] * sharers >= left) {
      return left / sharers;
    }
    left -= counts[index];
  }
  return counts.back() + left;
}

} // namespace

Shedder::Shedder(std::uint64_t aSeed)
  : random_(aSeed)
{
}

void
Shedder::Configure(const Configuration& aConfiguration)
{
  absl::flat_hash_map<ClassId, ClassShed> classes;
  for (const auto& service : aConfiguration.services_) {
    for (const auto& target : service.classes_) {
      auto& shed = classes[target.id_];
      const auto old = classes_.find(target.id_);
      if (old != classes_.end()) {
        shed = std::move(old->second);
      }
      shed.name_ = target.name_;
      shed.service_ = service.id_;
    }
  }
  classes_ = std::move(classes);
}

Admission
Shedder::Admit(TimePoint aNow,
               ServiceId aService,
               ClassId aClass,
               CallerId aCaller)
{
  const auto found = classes_.find(aClass);
  if (found == classes_.end() || found->second.service_ != aService) {
    return { false, Refusal::UnknownClass, {} };
  }
  auto& shed = found->second;
  if (aNow >= shed.periodEnd_) {
    StartPeriod(aNow, shed);
  }
  ++shed.periodArrivals_;
  if (shed.limiting_ && !PassesLimit(shed, aCaller)) {
    ++shed.shed_;
    return { false, Refusal::Shed, RetryAfter(shed) };
  }
  ++shed.periodPassed_;
  ++shed.passed_;
  return { true, Refusal::None, {} };
}

bool
Shedder::PassesLimit(ClassShed& aClass, CallerId aCaller)
{
  const auto bucket = HashPair(aCaller.value_, aClass.seed_) % kCallerCounters;
  ++aClass.callers_->arrived_[bucket];
  const auto pass = aClass.callers_->pass_[bucket];
  if (pass >= 1.0F) {
    return aClass.periodPassed_ < kMaxBurst * aClass.maxPeriodPassed_;
  }
  return aClass.periodPassed_ < aClass.maxPeriodPassed_ &&
         random_.Unit() < pass;
}

Duration
Shedder::RetryAfter(const ClassShed& aClass)
{
  const auto overload = std::clamp(
    aClass.arrivedRate_ / std::max(aClass.rate_, kMinRate), 1.0, kMaxOverload);
  return FromSeconds(1.0 + 2.0 * overload * random_.Unit());
}

void
Shedder::StartPeriod(TimePoint aNow, ClassShed& aClass)
{
  const auto seconds = Seconds(aNow - aClass.periodStart_);
  const bool first = aClass.periodEnd_ == TimePoint{};
  if (!first) {
    const auto gain =
      1.0 - std::pow(1.0 - kRateGain, seconds / Seconds(kPeriod));
    aClass.arrivedRate_ +=
      gain * (aClass.periodArrivals_ / seconds - aClass.arrivedRate_);
    aClass.passedRate_ +=
      gain * (aClass.periodPassed_ / seconds - aClass.passedRate_);
    UpdateRate(aNow, aClass);
  }
  if (aClass.limiting_) {
    ShareAmongCallers(aClass, seconds);
  }
  aClass.periodArrivals_ = 0;
  aClass.periodPassed_ = 0;
  aClass.periodStart_ = aNow;
  aClass.periodEnd_ = aNow + kPeriod;
}

void
Shedder::UpdateRate(TimePoint aNow, ClassShed& aClass)
{
  aClass.refused_ = MedianRefusal(aNow, aClass);
  if (aClass.refused_ > kTargetRefusal) {
    const auto taken = aClass.passedRate_ * (1.0 - aClass.refused_);
    aClass.rate_ = std::max(taken / (1.0 - kTargetRefusal), kMinRate);
    aClass.recoveryPeriods_ = 0;
    if (!aClass.limiting_) {
      StartLimiting(aClass);
    }
    return;
  }
  if (!aClass.limiting_) {
    return;
  }
  aClass.rate_ *= 1.0 + kTargetRefusal - aClass.refused_;
  aClass.recoveryPeriods_ =
    aClass.arrivedRate_ < aClass.rate_ ? aClass.recoveryPeriods_ + 1 : 0;
  if (aClass.recoveryPeriods_ >= kRecoveryPeriods) {
    StopLimiting(aClass);
  }
}

void
Shedder::StartLimiting(ClassShed& aClass)
{
  aClass.limiting_ = true;
  aClass.callers_ = std::make_unique<CallerCounts>();
  Reseed(aClass);
}

void
Shedder::StopLimiting(ClassShed& aClass)
{
  aClass.limiting_ = false;
  aClass.callers_.reset();
  aClass.recoveryPeriods_ = 0;
}

void
Shedder::Reseed(ClassShed& aClass)
{
  aClass.seed_ = random_.Next();
  aClass.periods_ = 0;
  aClass.callers_->arrived_.fill(0);
  aClass.callers_->rate_.fill(aClass.arrivedRate_ / kCallerCounters);
}

void
Shedder::ShareAmongCallers(ClassShed& aClass, double aSeconds)
{
  auto& callers = *aClass.callers_;
  const auto gain = std::max(kCallerGain, 1.0 / (1.0 + aClass.periods_));
  for (std::size_t index = 0; index < kCallerCounters; ++index) {
    const auto arrived = callers.arrived_[index] / aSeconds;
    callers.rate_[index] += gain * (arrived - callers.rate_[index]);
  }
  const auto level = FairLevel(callers.rate_, aClass.rate_);
  for (std::size_t index = 0; index < kCallerCounters; ++index) {
    const auto rate = callers.rate_[index];
    callers.pass_[index] =
      rate <= level ? 1.0F : static_cast<float>(level / rate);
  }
  callers.arrived_.fill(0);
  aClass.maxPeriodPassed_ = static_cast<std::uint32_t>(
    std::ceil(aClass.rate_ * Seconds(kPeriod) * kBurst) + 1.0);
  ++aClass.periods_;
  if (aClass.periods_ > kReseedPeriods) {
    Reseed(aClass);
  }
}

double
Shedder::MedianRefusal(TimePoint aNow, const ClassShed& aClass)
{
  std::array<std::uint16_t, kMaxReports> fresh{};
  std::size_t count = 0;
  for (const auto& report : aClass.reports_) {
    if (aNow - report.receivedAt_ <= kReportLifetime) {
      fresh[count++] = report.refused_;
    }
  }
  if (count == 0) {
    return 0.0;
  }
  const auto median =
    fresh.begin() + static_cast<std::ptrdiff_t>((count - 1) / 2);
  std::nth_element(
    fresh.begin(), median, fresh.begin() + static_cast<std::ptrdiff_t>(count));
  return static_cast<double>(*median) / kFullShare;
}

void
Shedder::OnPushback(TimePoint aNow, HostId aHost, const Pushback& aPushback)
{
  for (const auto& load : aPushback.classes_) {
    const auto found = classes_.find(load.class_);
    if (found != classes_.end()) {
      const auto refused = std::min(load.refused_, kFullShare);
      RecordReport(aNow, aHost, aPushback, refused, found->second);
    }
  }
}

void
Shedder::RecordReport(TimePoint aNow,
                      HostId aHost,
                      const Pushback& aPushback,
                      std::uint16_t aRefused,
                      ClassShed& aClass)
{
  const HostReport received{
    aHost, aPushback.incarnation_, aPushback.sequence_, aRefused, aNow
  };
  HostReport* oldest = nullptr;
  for (auto& report : aClass.reports_) {
    if (report.host_ == aHost) {
      const auto last = std::pair(report.incarnation_.value_, report.sequence_);
      if (last < std::pair(received.incarnation_.value_, received.sequence_)) {
        report = received;
      }
      return;
    }
    if (oldest == nullptr || report.receivedAt_ < oldest->receivedAt_) {
      oldest = &report;
    }
  }
  if (aClass.reports_.size() < kMaxReports) {
    aClass.reports_.push_back(received);
  } else if (aNow - oldest->receivedAt_ > kReportReplaceAge) {
    *oldest = received;
  }
}

std::vector<ShedDump>
Shedder::Dump() const
{
  std::vector<ShedDump> dump;
  for (const auto& [id, shed] : classes_) {
    dump.push_back({ shed.name_,
                     shed.limiting_,
                     shed.rate_,
                     shed.refused_,
                     shed.passed_,
                     shed.shed_ });
  }
  std::sort(
    dump.begin(), dump.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.name_ < aRight.name_;
    });
  return dump;
}

} // namespace cornelshore::admission
