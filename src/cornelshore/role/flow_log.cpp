#include <cornelshore/role/flow_log.hpp>

#include <string>
#include <utility>

#include <cornelshore/role/host_dump.hpp>

namespace cornelshore::role::internal {

namespace {

Log
LineOf(const relay::FlowDecision& aDecision)
{
  Log line{ relay::FlowSampler::IsFailure(aDecision.event_) ? Severity::Warning
                                                            : Severity::Info,
            std::string(NameIn(relay::kFlowEventNames, aDecision.event_)),
            { { "caller", ToString(aDecision.key_.caller_) },
              { "service_address", ToString(aDecision.key_.service_) } } };
  const auto with = [&](const char* aKey, std::string aValue) {
    line.fields_.emplace_back(aKey, std::move(aValue));
  };
  if (aDecision.reason_ != relay::FlowReason::None) {
    with("reason",
         std::string(NameIn(relay::kFlowReasonNames, aDecision.reason_)));
  }
  if (aDecision.host_ != HostId{}) {
    with("host", HexOf(aDecision.host_.value_));
  }
  if (aDecision.offers_ > 0) {
    with("offers", std::to_string(aDecision.offers_));
  }
  if (aDecision.waited_ > Duration::zero()) {
    with("waited_ms", MillisOf(aDecision.waited_));
  }
  with("host_busy", std::to_string(aDecision.load_.busy_));
  with("host_slots", std::to_string(aDecision.load_.slots_));
  with("report_age_ms", MillisOf(aDecision.reportAge_));
  with("config_version", std::to_string(aDecision.version_.value_));
  if (aDecision.hosts_ > 0) {
    with("hosts", std::to_string(aDecision.hosts_));
  }
  return line;
}

} // namespace

std::vector<Log>
FlowLog::LinesOf(TimePoint aNow, const relay::FlowDecision& aDecision)
{
  std::vector<Log> lines;
  const auto admitted = sampler_.Admits(aNow, aDecision);
  if (const auto leftOut = sampler_.TakeSuppressed(aNow)) {
    lines.push_back(
      Log{ Severity::Warning,
           "flow_lines_left_out",
           { { "routine", std::to_string(leftOut->routine_) },
             { "failures", std::to_string(leftOut->failures_) },
             { "one_of", std::to_string(leftOut->sampledOneIn_) } } });
  }
  if (admitted) {
    lines.push_back(LineOf(aDecision));
  }
  return lines;
}

} // namespace cornelshore::role::internal
