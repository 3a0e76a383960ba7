#ifndef CORNELSHORE_RELAY_ROUTE_TABLE_HPP
#define CORNELSHORE_RELAY_ROUTE_TABLE_HPP

#include <optional>

#include <absl/container/flat_hash_map.h>

#include <cornelshore/core/address.hpp>
#include <cornelshore/core/flow_key.hpp>
#include <cornelshore/core/target.hpp>

namespace cornelshore::relay {

/** @brief Routes of the configuration in force, by service address. */
class RouteTable
{
public:
  /** @brief Applies a configuration; an older one is ignored. */
  void Update(const Configuration& aConfiguration);

  [[nodiscard]] ConfigVersion Version() const noexcept { return version_; }

  /** @brief Route of an address, or null; valid until the next `Update`. */
  [[nodiscard]] const Route* Find(const Address& aAddress) const;

  /**
   * @brief Service of a new flow, chosen by the route's weights; the same at
   * every process that has the same configuration. Nothing without a route.
   */
  [[nodiscard]] std::optional<ServiceId> ServiceOf(const FlowKey& aKey) const;

  /** @brief Whether the address's route leads to the service. */
  [[nodiscard]] bool LeadsTo(const Address& aAddress, ServiceId aService) const;

  /** @brief Minimum time that an idle flow is kept; zero: no limit. */
  [[nodiscard]] Duration FlowIdleTimeout() const noexcept
  {
    return flowIdleTimeout_;
  }

private:
  ConfigVersion version_;
  Duration flowIdleTimeout_{};
  absl::flat_hash_map<Address, Route> routes_;
};

} // namespace cornelshore::relay

#endif
