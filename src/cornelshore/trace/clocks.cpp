#include <cornelshore/trace/clocks.hpp>

#include <algorithm>

namespace cornelshore::trace {

namespace {

constexpr std::int64_t kMicrosInMilli = 1000;

} // namespace

Clocks::Clocks(const std::vector<Line>& aLines)
{
  struct Taken
  {
    const Line* line_{};
    std::size_t count_{};
  };
  std::map<std::pair<std::string, std::string>, Taken> taken;
  const auto flowOf = [](const Line& aLine) {
    return std::pair(std::string(aLine.Field("caller")),
                     std::string(aLine.Field("service_address")));
  };
  for (const auto& line : aLines) {
    if (line.event_ == "flow_taken") {
      auto& flow = taken[flowOf(line)];
      flow.line_ = &line;
      ++flow.count_;
    }
  }
  for (const auto& opened : aLines) {
    const auto found =
      opened.event_ == "flow_opened" ? taken.find(flowOf(opened)) : taken.end();
    // Of an opening taken twice it is not known which one the balancer logged.
    if (found == taken.end() || found->second.count_ > 1) {
      continue;
    }
    const auto& agent = *found->second.line_;
    const auto waited = (opened.Number("waited_ms") + 1) * kMicrosInMilli;
    const auto least = agent.micros_ - opened.micros_;
    const auto [row, added] = leads_.try_emplace(
      { agent.process_, opened.process_ }, ClockLead{ least, least + waited });
    if (!added) {
      auto& lead = row->second;
      lead.least_ = std::max(lead.least_, least);
      lead.most_ = std::min(lead.most_, least + waited);
    }
  }
}

std::optional<ClockLead>
Clocks::LeadOf(const std::string& aProcess, const std::string& aReference) const
{
  if (aProcess == aReference) {
    return ClockLead{};
  }
  const auto found = leads_.find({ aProcess, aReference });
  const auto turned = leads_.find({ aReference, aProcess });
  std::optional<ClockLead> lead;
  if (found != leads_.end()) {
    lead = found->second;
  } else if (turned != leads_.end()) {
    lead = ClockLead{ -turned->second.most_, -turned->second.least_ };
  }
  return lead && lead->least_ <= lead->most_ ? lead : std::nullopt;
}

} // namespace cornelshore::trace
