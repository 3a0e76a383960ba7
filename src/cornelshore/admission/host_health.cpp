#include <cornelshore/admission/host_health.hpp>

#include <algorithm>
#include <utility>

#include <cornelshore/admission/internal/hold_estimate.hpp>

namespace cornelshore::admission {

namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds{ 500 };
constexpr Duration kGoodTrialDelay = std::chrono::milliseconds{ 250 };
constexpr double kTrialSeconds = 2.0;
constexpr double kMostTrialSeconds = 60.0;
constexpr double kGain = 0.1;
constexpr double kFailureGain = 0.15;
constexpr double kSlowFactor = 3.0;
constexpr double kMostRatio = 30.0;
constexpr double kLateRatio = 10.0;
constexpr double kMostFailures = 0.5;
constexpr double kUsualFailures = 0.25;
constexpr double kTimeClamp = 4.0;
constexpr std::uint32_t kLeastEvidence = 8;
constexpr std::uint32_t kGoodTrials = 3;
constexpr std::size_t kAvoidDivisor = 4;
constexpr std::size_t kLeastHosts = 3;

double
MiddleOf(std::vector<double>& aValues, double aElse)
{
  if (aValues.empty()) {
    return aElse;
  }
  const auto middle =
    aValues.begin() + static_cast<std::ptrdiff_t>((aValues.size() - 1) / 2);
  std::nth_element(aValues.begin(), middle, aValues.end());
  return *middle;
}

bool
IdLess(HostId aLeft, HostId aRight)
{
  return aLeft.value_ < aRight.value_;
}

} // namespace

HostHealth::HostHealth(std::uint64_t aSeed)
  : random_(aSeed)
{
}

void
HostHealth::SetHosts(TimePoint aNow, std::span<const HostId> aHosts)
{
  absl::flat_hash_map<HostId, Host> hosts;
  for (const auto host : aHosts) {
    const auto old = hosts_.find(host);
    hosts[host] = old == hosts_.end() ? Host{} : old->second;
  }
  hosts_ = std::move(hosts);
  if (!nextTick_) {
    nextTick_ = aNow + kTickInterval;
  }
}

double
HostHealth::Normalise(ClassId aClass, Duration aTook)
{
  const auto seconds = std::max(internal::Seconds(aTook), 1e-6);
  const auto known = classSeconds_.find(aClass);
  if (known == classSeconds_.end()) {
    if (classSeconds_.size() < kMostClassTimes) {
      classSeconds_[aClass] = seconds;
    }
    return 1.0;
  }
  auto& usual = known->second;
  const auto ratio = std::min(seconds / usual, kMostRatio);
  usual += kGain * (std::min(seconds, kTimeClamp * usual) - usual);
  return ratio;
}

void
HostHealth::OnResult(TimePoint aNow,
                     HostId aHost,
                     ClassId aClass,
                     HostResult aResult,
                     Duration aTook)
{
  const auto found = hosts_.find(aHost);
  if (found == hosts_.end() || aResult == HostResult::Refused) {
    return;
  }
  auto& host = found->second;
  const bool answered = aResult == HostResult::Answered;
  auto ratio = 1.0;
  if (answered) {
    ratio = Normalise(aClass, aTook);
  } else if (aResult == HostResult::Late) {
    ratio = kLateRatio;
  }
  if (host.avoided_) {
    const bool quick = ratio < kSlowFactor * middleSlowness_;
    OnTrial(aNow, host, answered && quick);
    return;
  }
  host.slowness_ += kGain * (ratio - host.slowness_);
  host.failures_ += kFailureGain * ((answered ? 0.0 : 1.0) - host.failures_);
  ++host.evidence_;
}

void
HostHealth::OnTrial(TimePoint aNow, Host& aHost, bool aGood)
{
  if (!aGood) {
    aHost.goodTrials_ = 0;
    ++aHost.badTrials_;
    aHost.nextTrial_ = aNow + TrialDelay(aHost.badTrials_);
    return;
  }
  ++aHost.goodTrials_;
  aHost.nextTrial_ = aNow + kGoodTrialDelay;
  if (aHost.goodTrials_ >= kGoodTrials) {
    aHost = Host{};
  }
}

Duration
HostHealth::TrialDelay(std::uint32_t aBadTrials)
{
  constexpr std::uint32_t kMostDoublings = 5;
  const auto doublings = std::min(aBadTrials, kMostDoublings);
  const auto seconds = std::min(
    kTrialSeconds * static_cast<double>(1U << doublings), kMostTrialSeconds);
  return internal::FromSeconds(seconds * (0.5 + random_.Unit()));
}

bool
HostHealth::TryAdmit(TimePoint aNow, HostId aHost)
{
  const auto found = hosts_.find(aHost);
  if (found == hosts_.end()) {
    return false;
  }
  auto& host = found->second;
  if (!host.avoided_) {
    return true;
  }
  if (aNow < host.nextTrial_) {
    return false;
  }
  host.nextTrial_ = aNow + TrialDelay(host.badTrials_);
  return true;
}

std::vector<HostId>
HostHealth::Avoided() const
{
  std::vector<HostId> avoided;
  for (const auto& [id, host] : hosts_) {
    if (host.avoided_) {
      avoided.push_back(id);
    }
  }
  std::sort(avoided.begin(), avoided.end(), IdLess);
  return avoided;
}

void
HostHealth::FindMiddle()
{
  std::vector<double> slowness;
  std::vector<double> failures;
  for (const auto& [id, host] : hosts_) {
    if (host.evidence_ >= kLeastEvidence) {
      slowness.push_back(host.slowness_);
      failures.push_back(host.failures_);
    }
  }
  middleSlowness_ = std::max(MiddleOf(slowness, 1.0), 1e-3);
  middleFailures_ = MiddleOf(failures, 0.0);
}

double
HostHealth::Badness(const Host& aHost) const
{
  const auto slow = aHost.slowness_ / (kSlowFactor * middleSlowness_);
  const bool othersFail = middleFailures_ > kUsualFailures;
  const auto failing = othersFail ? 0.0 : aHost.failures_ / kMostFailures;
  return std::max(slow, failing);
}

void
HostHealth::Avoid(TimePoint aNow, Host& aHost)
{
  aHost.avoided_ = true;
  aHost.goodTrials_ = 0;
  aHost.badTrials_ = 0;
  aHost.nextTrial_ = aNow + TrialDelay(0);
}

void
HostHealth::Tick(TimePoint aNow)
{
  nextTick_ = aNow + kTickInterval;
  FindMiddle();
  const auto bound =
    hosts_.size() < kLeastHosts
      ? 0
      : std::max<std::size_t>(1, hosts_.size() / kAvoidDivisor);
  std::size_t avoided = 0;
  std::vector<std::pair<double, std::uint64_t>> bad;
  for (const auto& [id, host] : hosts_) {
    avoided += host.avoided_ ? 1 : 0;
    const auto badness = Badness(host);
    if (!host.avoided_ && host.evidence_ >= kLeastEvidence && badness > 1.0) {
      bad.emplace_back(badness, id.value_);
    }
  }
  std::sort(bad.rbegin(), bad.rend());
  for (const auto& [badness, id] : bad) {
    if (avoided >= bound) {
      break;
    }
    Avoid(aNow, hosts_[HostId{ id }]);
    ++avoided;
  }
}

std::optional<TimePoint>
HostHealth::NextTimer() const
{
  return nextTick_;
}

std::vector<HostHealthDump>
HostHealth::Dump() const
{
  std::vector<HostHealthDump> dump;
  for (const auto& [id, host] : hosts_) {
    dump.push_back({ id, host.slowness_, host.failures_, host.avoided_ });
  }
  std::sort(
    dump.begin(), dump.end(), [](const auto& aLeft, const auto& aRight) {
      return IdLess(aLeft.host_, aRight.host_);
    });
  return dump;
}

} // namespace cornelshore::admission
