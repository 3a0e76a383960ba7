#include <algorithm>
#include <utility>

#include <cornelshore/relay/agent.hpp>

namespace cornelshore::relay {

namespace {

/** Report intervals within which a running host reports to an agent that has
 * just started. */
constexpr double kIntervalsForAReport = 1.25;

/** Maximum step of the wall clock between the starts of the agent and a host
 * beside it; clocks step by seconds. */
constexpr std::chrono::milliseconds kMaxClockStep = std::chrono::hours{ 24 };

bool
IsSameRun(const HostReport& aOne, const HostReport& aOther) noexcept
{
  return aOne.startMillis_ == aOther.startMillis_ &&
         aOne.instance_ == aOther.instance_;
}

} // namespace

FlowReason
Agent::ReasonToRefuse(TimePoint aNow,
                      const FlowKey& aKey,
                      const RelayedPacket& aPacket) const
{
  if (!host_) {
    return FlowReason::NoReport;
  }
  if (IsLeaving(aNow)) {
    return FlowReason::Leaving;
  }
  if (!HostAlive(aNow)) {
    return FlowReason::Silent;
  }
  if (host_->service_ != aPacket.service_) {
    return FlowReason::OtherService;
  }
  const auto newerHere = routes_.Version() > aPacket.version_;
  return newerHere && !routes_.LeadsTo(aKey.service_, aPacket.service_)
           ? FlowReason::NoRoute
           : FlowReason::None;
}

ReportOutcome
Agent::OnReport(TimePoint aNow, const HostReport& aReport)
{
  if (aReport.service_ != settings_.service_) {
    return ReportOutcome::Foreign;
  }
  if (StartsInTheFuture(aNow, aReport)) {
    return ReportOutcome::Implausible;
  }
  const auto& last = host_ ? host_ : endedInstance_;
  if (last && IsLate(aNow, aReport, *last)) {
    NoteOtherInstance(aNow, aReport);
    return ReportOutcome::Late;
  }
  if (!last || !IsSameRun(aReport, *last)) {
    StartRun(aNow, aReport);
  }
  endedInstance_.reset();
  host_ = aReport;
  lastReportAt_ = aNow;
  return ReportOutcome::Taken;
}

void
Agent::StartRun(TimePoint aNow, const HostReport& aReport)
{
  if (host_ && MayHoldUnseenFlows(aNow)) {
    olderInstanceReplacedAt_ = aNow;
  }
  otherInstance_.reset();
  hostStartedAt_ = EarliestStartOf(aNow, aReport);
  sawFirstReport_ = IsFirstReport(aNow, aReport);
  if (host_ || endedInstance_ || sawFirstReport_) {
    UnassignFlows();
  }
}

TimePoint
Agent::EarliestStartOf(TimePoint aNow, const HostReport& aReport) const
{
  const auto reportsBefore = std::max<std::uint64_t>(aReport.sequence_, 1) - 1;
  const auto maxReports = static_cast<std::uint64_t>(
    settings_.flowTimeout_ /
    std::max(settings_.reportInterval_, Duration{ 1 }));
  const auto byCount =
    aNow - settings_.reportInterval_ *
             static_cast<std::int64_t>(std::min(reportsBefore, maxReports));
  const auto now = WallMillis(aNow);
  if (now == 0) {
    return byCount;
  }
  if (aReport.startMillis_ > now) {
    return {};
  }
  const std::chrono::milliseconds age{ now - aReport.startMillis_ };
  return age < settings_.flowTimeout_ ? std::min(byCount, aNow - age)
                                      : TimePoint{};
}

bool
Agent::IsFirstReport(TimePoint aNow, const HostReport& aReport) const
{
  if (aReport.sequence_ != 1) {
    return aReport.sequence_ == 0;
  }
  const auto now = WallMillis(aNow);
  const std::chrono::milliseconds age{ now - aReport.startMillis_ };
  return now == 0 ||
         (aReport.startMillis_ <= now && age < settings_.reportInterval_ / 2);
}

std::uint64_t
Agent::WallMillis(TimePoint aNow) const
{
  if (settings_.startMillis_ == 0) {
    return 0;
  }
  const auto uptime =
    std::chrono::duration_cast<std::chrono::milliseconds>(aNow - start_);
  return settings_.startMillis_ + static_cast<std::uint64_t>(uptime.count());
}

bool
Agent::StartsInTheFuture(TimePoint aNow, const HostReport& aReport) const
{
  const auto now = WallMillis(aNow);
  const auto step = static_cast<std::uint64_t>(kMaxClockStep.count());
  return now != 0 && aReport.startMillis_ > now + step;
}

bool
Agent::IsLate(TimePoint aNow,
              const HostReport& aReport,
              const HostReport& aLast) const
{
  if (IsSameRun(aReport, aLast)) {
    const auto hasEnded = !host_ && aLast.leaving_;
    return aReport.sequence_ <= aLast.sequence_ || hasEnded;
  }
  const auto lastIsRecent = aNow - lastReportAt_ < settings_.hostReportTimeout_;
  return aReport.startMillis_ < aLast.startMillis_ && lastIsRecent;
}

void
Agent::UnassignFlows()
{
  for (const auto& [key, flow] : flows_) {
    if (!flow.closed_) {
      unassigned_[key] = { flow.balancer_, flow.openedAt_ };
    }
  }
  flows_.clear();
  expectedRequests_.clear();
  busy_ = 0;
  closed_ = 0;
}

void
Agent::NoteOtherInstance(TimePoint aNow, const HostReport& aReport)
{
  if (host_ && !IsSameRun(aReport, *host_)) {
    otherInstance_ = { aReport.instance_,
                       aNow,
                       aReport.leaving_,
                       EarliestStartOf(aNow, aReport) < start_ };
  }
}

bool
Agent::IsLeaving(TimePoint aNow) const noexcept
{
  const auto otherLeaves =
    otherInstance_ && otherInstance_->leaving_ &&
    aNow - otherInstance_->reportedAt_ < settings_.hostReportTimeout_;
  const auto left =
    earlierRunLeaving_ && hostStartedAt_ < start_ && AwaitsOlderReport(aNow);
  return otherLeaves || left || (host_ && host_->leaving_);
}

bool
Agent::OnHostEnded(TimePoint aNow, std::string_view aInstance)
{
  if (!host_ || host_->instance_ != aInstance) {
    if (otherInstance_ && otherInstance_->instance_ == aInstance) {
      otherInstance_->leaving_ = true;
      otherInstance_->reportedAt_ = aNow;
    }
    return false;
  }
  endedInstance_ = std::exchange(host_, std::nullopt);
  return true;
}

void
Agent::NoteEarlierRun(TimePoint aNow, Duration aHeardAgo, bool aLeft)
{
  earlierRunLeaving_ |= aLeft;
  const auto heardAt =
    aNow - std::clamp(aHeardAgo, Duration::zero(), settings_.flowTimeout_);
  earlierRunHeardAt_ = std::max(earlierRunHeardAt_.value_or(heardAt), heardAt);
}

Coverage
Agent::CoverageAt(TimePoint aNow) const noexcept
{
  if (aNow - start_ >= settings_.flowTimeout_) {
    return Coverage::OutlivedFlows;
  }
  if (!host_ && !endedInstance_) {
    return Coverage::NoReport;
  }
  if (MayOlderInstanceRun(aNow)) {
    return Coverage::OlderMayRun;
  }
  if (hostStartedAt_ >= start_) {
    return AwaitsOlderReport(aNow) ? Coverage::AwaitsOlderHost
                                   : Coverage::HostIsNewer;
  }
  if (!sawFirstReport_) {
    return Coverage::HostIsOlder;
  }
  if (earlierRunHeardAt_ &&
      *earlierRunHeardAt_ + settings_.maxLoadReportAge_ > hostStartedAt_) {
    return Coverage::EarlierRun;
  }
  return aNow - start_ < settings_.earlierRunNoticeTime_
           ? Coverage::AwaitsEarlierRun
           : Coverage::BothAreNew;
}

bool
Agent::AwaitsOlderReport(TimePoint aNow) const noexcept
{
  return aNow - start_ < settings_.reportInterval_ * kIntervalsForAReport;
}

bool
Agent::MayOlderInstanceRun(TimePoint aNow) const noexcept
{
  const auto isRecent = [&](TimePoint aAt) {
    return aNow - aAt < settings_.hostReportTimeout_;
  };
  return (olderInstanceReplacedAt_ && isRecent(*olderInstanceReplacedAt_)) ||
         (otherInstance_ && otherInstance_->older_ &&
          isRecent(otherInstance_->reportedAt_));
}

bool
Agent::MayHoldUnseenFlows(TimePoint aNow) const noexcept
{
  return CoverageAt(aNow) > Coverage::OutlivedFlows;
}

} // namespace cornelshore::relay
