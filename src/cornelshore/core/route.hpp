#ifndef CORNELSHORE_CORE_ROUTE_HPP
#define CORNELSHORE_CORE_ROUTE_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include <absl/status/status.h>

#include <cornelshore/core/address.hpp>
#include <cornelshore/core/names.hpp>
#include <cornelshore/core/time.hpp>
#include <cornelshore/core/types.hpp>

namespace cornelshore {

/** @brief What may be done with the requests that a route's flows carry. */
enum class RouteKind : std::uint8_t
{
  Idempotent, ///< Small answers; may run more than once.
  Download,   ///< Large answers; may run more than once.
  Single,     ///< May run at most once.
};

/** @brief Names of `RouteKind`. */
inline constexpr std::array<EnumName<RouteKind>, 3> kRouteKindNames{ {
  { RouteKind::Idempotent, "idempotent" },
  { RouteKind::Download, "download" },
  { RouteKind::Single, "single" },
} };

/** @brief A service that takes a part of a route's new flows. */
struct RouteShare
{
  ServiceId service_;
  std::uint32_t weight_{}; ///< Part of the sum of the route's weights.

  bool operator==(const RouteShare&) const noexcept = default;
};

/** @brief Where the new flows to one address go. */
struct Route
{
  std::string name_;
  Address address_; ///< Address that callers use; one route each.
  RouteKind kind_{ RouteKind::Idempotent };
  Duration timeout_{};          ///< Longest time of one request.
  Duration latencyObjective_{}; ///< Latency that callers want; 0: none.
  std::uint8_t precedence_{};   ///< 0 is served first.
  std::vector<RouteShare> to_;  ///< At least one, of known services.

  bool operator==(const Route&) const noexcept = default;
};

/** @brief Most routes of one configuration. */
inline constexpr std::size_t kMaxRoutes = 16'384;

/** @brief Most services that one route's flows are shared among. */
inline constexpr std::size_t kMaxRouteShares = 64;

struct Configuration;

/**
 * @brief Checks the routes of a configuration against each other and its
 * services.
 * @return OK, or `InvalidArgument` naming the route: two at one address, an
 * unknown service, no share, weights that add up to nothing, no timeout.
 */
[[nodiscard]] absl::Status CheckRoutes(const Configuration& aConfiguration);

} // namespace cornelshore

#endif
