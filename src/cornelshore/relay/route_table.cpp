#include <cornelshore/relay/route_table.hpp>

#include <algorithm>

namespace cornelshore::relay {

void
RouteTable::Update(const Configuration& aConfiguration)
{
  if (aConfiguration.version_ < version_) {
    return;
  }
  version_ = aConfiguration.version_;
  flowIdleTimeout_ = aConfiguration.flowIdleTimeout_;
  routes_.clear();
  for (const auto& route : aConfiguration.routes_) {
    routes_.emplace(route.address_, route);
  }
}

const Route*
RouteTable::Find(const Address& aAddress) const
{
  const auto found = routes_.find(aAddress);
  return found == routes_.end() ? nullptr : &found->second;
}

std::optional<ServiceId>
RouteTable::ServiceOf(const FlowKey& aKey) const
{
  const auto* route = Find(aKey.service_);
  if (route == nullptr) {
    return std::nullopt;
  }
  std::uint64_t sum = 0;
  for (const auto& share : route->to_) {
    sum += share.weight_;
  }
  auto place = sum == 0 ? 0 : HashOf(aKey) % sum;
  for (const auto& share : route->to_) {
    if (place < share.weight_) {
      return share.service_;
    }
    place -= share.weight_;
  }
  return std::nullopt;
}

bool
RouteTable::LeadsTo(const Address& aAddress, ServiceId aService) const
{
  const auto* route = Find(aAddress);
  return route != nullptr &&
         std::any_of(
           route->to_.begin(), route->to_.end(), [&](const auto& aShare) {
             return aShare.service_ == aService && aShare.weight_ > 0;
           });
}

} // namespace cornelshore::relay
