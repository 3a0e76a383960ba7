#include <cornelshore/core/route.hpp>

#include <absl/container/flat_hash_set.h>
#include <absl/strings/str_cat.h>

#include <cornelshore/core/target.hpp>

namespace cornelshore {

namespace {

absl::Status
RouteError(const Route& aRoute, std::string_view aWhat)
{
  return absl::InvalidArgumentError(
    absl::StrCat("route ", aRoute.name_, ": ", std::string(aWhat)));
}

absl::Status
CheckShares(const Route& aRoute, const absl::flat_hash_set<ServiceId>& aKnown)
{
  std::uint64_t weights = 0;
  for (const auto& share : aRoute.to_) {
    if (!aKnown.contains(share.service_)) {
      return RouteError(aRoute, "refers to a service that is not configured");
    }
    weights += share.weight_;
  }
  if (aRoute.to_.size() > kMaxRouteShares) {
    return RouteError(aRoute, "has too many services");
  }
  return weights == 0
           ? RouteError(aRoute, "has no service with a weight above 0")
           : absl::OkStatus();
}

} // namespace

absl::Status
CheckRoutes(const Configuration& aConfiguration)
{
  if (aConfiguration.routes_.size() > kMaxRoutes) {
    return absl::InvalidArgumentError("too many routes");
  }
  absl::flat_hash_set<ServiceId> known;
  for (const auto& service : aConfiguration.services_) {
    known.insert(service.id_);
  }
  absl::flat_hash_set<Address> usedAddresses;
  for (const auto& route : aConfiguration.routes_) {
    if (!usedAddresses.insert(route.address_).second) {
      return RouteError(route, "another route has the same address");
    }
    if (route.timeout_ <= Duration::zero()) {
      return RouteError(route, "the timeout must be above 0");
    }
    if (auto status = CheckShares(route, known); !status.ok()) {
      return status;
    }
  }
  return absl::OkStatus();
}

} // namespace cornelshore
