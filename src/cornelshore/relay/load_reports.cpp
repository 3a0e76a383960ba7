#include <cornelshore/relay/load_reports.hpp>

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

std::vector<Address>
LoadReports::Take(TimePoint aNow, const HostLoad& aLoad, bool aForced)
{
  if (aNow < next_ && !aForced) {
    return {};
  }
  next_ = aNow + settings_.least_;
  if (aLoad == told_ && aNow - toldAt_ < settings_.most_ && !aForced) {
    return {};
  }
  told_ = aLoad;
  toldAt_ = aNow;
  absl::erase_if(watchers_, [&](const auto& aRow) {
    return aNow - aRow.second > settings_.watchLife_;
  });
  std::vector<Address> watchers;
  for (const auto& [balancer, since] : watchers_) {
    watchers.push_back(balancer);
  }
  return watchers;
}

} // namespace cornelshore::relay
