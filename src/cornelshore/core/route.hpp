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

/** @brief How the requests of a route may be executed. */
enum class RouteKind : std::uint8_t
{
  Idempotent, ///< Idempotent, with small answers.
  Download,   ///< Idempotent, with large answers.
  Single,     ///< Not idempotent; executed at most once.
};

/** @brief Names of `RouteKind`. */
inline constexpr std::array<EnumName<RouteKind>, 3> kRouteKindNames{ {
  { RouteKind::Idempotent, "idempotent" },
  { RouteKind::Download, "download" },
  { RouteKind::Single, "single" },
} };

/** @brief A service with its weight for the new flows of a route. */
struct RouteShare
{
  ServiceId service_;
  std::uint32_t weight_{}; ///< Relative to the sum of the route's weights.

  bool operator==(const RouteShare&) const noexcept = default;
};

/** @brief Routing rule for the new flows to one address. */
struct Route
{
  std::string name_;
  Address address_; ///< Address that callers connect to; unique.
  RouteKind kind_{ RouteKind::Idempotent };
  Duration timeout_{};          ///< Maximum time of one request.
  Duration latencyObjective_{}; ///< Target latency; 0: none.
  std::uint8_t precedence_{};   ///< 0 is the highest.
  std::vector<RouteShare> to_;  ///< Not empty; configured services.

  bool operator==(const Route&) const noexcept = default;
};

/** @brief Maximum number of routes in a configuration. */
inline constexpr std::size_t kMaxRoutes = 16'384;

/** @brief Maximum number of services in one route. */
inline constexpr std::size_t kMaxRouteShares = 64;

struct Configuration;

/**
 * @brief Checks the routes of a configuration against each other and its
 * services.
 * @return OK, or `InvalidArgument` naming the route: duplicate address, unknown
 * service, no services, weights with a sum of 0, or no timeout.
 */
[[nodiscard]] absl::Status CheckRoutes(const Configuration& aConfiguration);

} // namespace cornelshore

#endif
