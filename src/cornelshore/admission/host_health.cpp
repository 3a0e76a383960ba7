#include <cornelshore/admission/host_health.hpp>

#include <algorithm>
#include <utility>

#include <cornelshore/admission/internal/hold_estimate.hpp>

namespace cornelshore::admission {

namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds{ 500 };
constexpr Duration kNextTrialDelay = std::chrono::milliseconds{ 250 };
constexpr double kInitialTrialSeconds = 2.0;
constexpr double kMaxTrialSeconds = 60.0;
constexpr double kGain = 0.1;
constexpr double kFailureGain = 0.15;
constexpr double kSlowFactor = 3.0;
constexpr double kMaxRatio = 30.0;
constexpr double kLateRatio = 10.0;
constexpr double kMaxFailureRate = 0.5;
constexpr double kMaxMedianFailureRate = 0.25;
constexpr double kMaxSampleRatio = 4.0;
constexpr std::uint32_t kMinSamples = 8;
constexpr std::uint32_t kTrialsToRecover = 3;
constexpr std::size_t kMaxAvoidedDivisor = 4;
constexpr std::size_t kMinHosts = 3;

double
MedianOf(std::vector<double>& aValues, double aDefault)
{
  if (aValues.empty()) {
    return aDefault;
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
HostHealth::Normalise(ClassId aClass, Duration aElapsed)
{
  const auto seconds = std::max(internal::Seconds(aElapsed), 1e-6);
  const auto known = classSeconds_.find(aClass);
  if (known == classSeconds_.end()) {
    if (classSeconds_.size() < kMaxClassTimes) {
      classSeconds_[aClass] = seconds;
    }
    return 1.0;
  }
  auto& usual = known->second;
  const auto ratio = std::min(seconds / usual, kMaxRatio);
  usual += kGain * (std::min(seconds, kMaxSampleRatio * usual) - usual);
  return ratio;
}

void
HostHealth::OnResult(TimePoint aNow,
                     HostId aHost,
                     ClassId aClass,
                     HostResult aResult,
                     Duration aElapsed)
{
  const auto found = hosts_.find(aHost);
  if (found == hosts_.end() || aResult == HostResult::Refused) {
    return;
  }
  auto& host = found->second;
  const bool answered = aResult == HostResult::Answered;
  auto ratio = 1.0;
  if (answered) {
    ratio = Normalise(aClass, aElapsed);
  } else if (aResult == HostResult::Late) {
    ratio = kLateRatio;
  }
  if (host.avoided_) {
    const bool quick = ratio < kSlowFactor * medianSlowness_;
    OnTrial(aNow, host, answered && quick);
    return;
  }
  host.slowness_ += kGain * (ratio - host.slowness_);
  host.failures_ += kFailureGain * ((answered ? 0.0 : 1.0) - host.failures_);
  ++host.sampleCount_;
}

void
HostHealth::OnTrial(TimePoint aNow, Host& aHost, bool aSucceeded)
{
  if (!aSucceeded) {
    aHost.succeededTrials_ = 0;
    ++aHost.failedTrials_;
    aHost.nextTrial_ = aNow + TrialDelay(aHost.failedTrials_);
    return;
  }
  ++aHost.succeededTrials_;
  aHost.nextTrial_ = aNow + kNextTrialDelay;
  if (aHost.succeededTrials_ >= kTrialsToRecover) {
    aHost = Host{};
  }
}

Duration
HostHealth::TrialDelay(std::uint32_t aFailedTrials)
{
  constexpr std::uint32_t kMaxDoublings = 5;
  const auto doublings = std::min(aFailedTrials, kMaxDoublings);
  const auto seconds =
    std::min(kInitialTrialSeconds * static_cast<double>(1U << doublings),
             kMaxTrialSeconds);
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
  host.nextTrial_ = aNow + TrialDelay(host.failedTrials_);
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
HostHealth::ComputeMedians()
{
  std::vector<double> slowness;
  std::vector<double> failures;
  for (const auto& [id, host] : hosts_) {
    if (host.sampleCount_ >= kMinSamples) {
      slowness.push_back(host.slowness_);
      failures.push_back(host.failures_);
    }
  }
  medianSlowness_ = std::max(MedianOf(slowness, 1.0), 1e-3);
  medianFailures_ = MedianOf(failures, 0.0);
}

double
HostHealth::OutlierScore(const Host& aHost) const
{
  const auto slow = aHost.slowness_ / (kSlowFactor * medianSlowness_);
  const bool othersFail = medianFailures_ > kMaxMedianFailureRate;
  const auto failing = othersFail ? 0.0 : aHost.failures_ / kMaxFailureRate;
  return std::max(slow, failing);
}

void
HostHealth::MarkAvoided(TimePoint aNow, Host& aHost)
{
  aHost.avoided_ = true;
  aHost.succeededTrials_ = 0;
  aHost.failedTrials_ = 0;
  aHost.nextTrial_ = aNow + TrialDelay(0);
}

void
HostHealth::Tick(TimePoint aNow)
{
  nextTick_ = aNow + kTickInterval;
  ComputeMedians();
  const auto bound =
    hosts_.size() < kMinHosts
      ? 0
      : std::max<std::size_t>(1, hosts_.size() / kMaxAvoidedDivisor);
  std::size_t avoided = 0;
  std::vector<std::pair<double, std::uint64_t>> bad;
  for (const auto& [id, host] : hosts_) {
    avoided += host.avoided_ ? 1 : 0;
    const auto score = OutlierScore(host);
    if (!host.avoided_ && host.sampleCount_ >= kMinSamples && score > 1.0) {
      bad.emplace_back(score, id.value_);
    }
  }
  std::sort(bad.rbegin(), bad.rend());
  for (const auto& [score, id] : bad) {
    if (avoided >= bound) {
      break;
    }
    MarkAvoided(aNow, hosts_[HostId{ id }]);
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
