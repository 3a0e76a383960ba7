#include <cornelshore/trace/clocks.hpp>

#include <algorithm>

namespace cornelshore::trace {

namespace {

constexpr std::int64_t kMicrosInMilli = 1000;

} // namespace

Clocks::Clocks(const std::vector<Line>& aLines)
{
  std::map<std::pair<std::string, std::string>, const Line*> taken;
  const auto flowOf = [](const Line& aLine) {
    return std::pair(std::string(aLine.Field("caller")),
                     std::string(aLine.Field("service_address")));
  };
  for (const auto& line : aLines) {
    if (line.event_ == "flow_taken") {
      taken[flowOf(line)] = &line;
    }
  }
  for (const auto& opened : aLines) {
    const auto found =
      opened.event_ == "flow_opened" ? taken.find(flowOf(opened)) : taken.end();
    if (found == taken.end()) {
      continue;
    }
    const auto& agent = *found->second;
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
