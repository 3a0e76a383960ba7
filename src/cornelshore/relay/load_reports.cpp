#include <cornelshore/relay/load_reports.hpp>

#include <algorithm>

namespace cornelshore::relay {

LoadReports::LoadReports(LoadReportsSettings aSettings)
  : settings_(aSettings)
{
}

bool
LoadReports::Watch(TimePoint aNow, const Address& aBalancer)
{
  return watchers_.insert_or_assign(aBalancer, aNow).second;
}

Duration
LoadReports::Interval() const noexcept
{
  const auto fair = Duration{ std::chrono::seconds{ 1 } } *
                    static_cast<std::int64_t>(watchers_.size()) /
                    settings_.maxReportsPerSecond_;
  return std::clamp(fair, settings_.minInterval_, settings_.maxInterval_);
}

std::vector<Address>
LoadReports::Take(TimePoint aNow, const HostLoad& aLoad, bool aForced)
{
  if (aNow < next_ && !aForced) {
    return {};
  }
  next_ = aNow + Interval();
  if (aLoad == lastSent_ && aNow - lastSentAt_ < settings_.maxInterval_ &&
      !aForced) {
    return {};
  }
  lastSent_ = aLoad;
  lastSentAt_ = aNow;
  absl::erase_if(watchers_, [&](const auto& aRow) {
    return aNow - aRow.second > settings_.watchTimeout_;
  });
  std::vector<Address> watchers;
  for (const auto& [balancer, since] : watchers_) {
    watchers.push_back(balancer);
  }
  return watchers;
}

} // namespace cornelshore::relay
