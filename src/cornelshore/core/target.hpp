#ifndef CORNELSHORE_CORE_TARGET_HPP
#define CORNELSHORE_CORE_TARGET_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <cornelshore/core/route.hpp>
#include <cornelshore/core/types.hpp>

namespace cornelshore {

/** @brief A share of 100 %: shares are in units of 1/1000. */
inline constexpr std::uint16_t kFullShare = 1000;

/** @brief Minimum and maximum of `ClassTarget::urgency_`. */
inline constexpr std::uint8_t kMinUrgency = 0;
inline constexpr std::uint8_t kMaxUrgency = 9;

/** @brief Resource target that an operator sets for one class of work. */
struct ClassTarget
{
  ClassId id_;       ///< Hash of `service/name`.
  std::string name_; ///< Unique in its service.
  ServiceId service_;
  std::uint8_t urgency_{};           ///< 9 is the most urgent.
  std::uint16_t most_{ kFullShare }; ///< Maximum share, in 1/1000.
  std::uint16_t keeps_{}; ///< Share guaranteed under overload, in 1/1000.
  bool repeatable_{};     ///< Whether its requests are idempotent.

  bool operator==(const ClassTarget&) const noexcept = default;
};

/** @brief A service and its classes of work. */
struct ServiceTarget
{
  ServiceId id_; ///< Hash of the name.
  std::string name_;
  std::vector<ClassTarget> classes_;

  bool operator==(const ServiceTarget&) const noexcept = default;
};

/** @brief An accepted configuration: targets of all services, and routes. */
struct Configuration
{
  ConfigVersion version_;
  std::vector<ServiceTarget> services_;
  std::vector<Route> routes_{};
  Duration flowIdleTimeout_{}; ///< Idle flows may be dropped after this time;
                               ///< 0: never.

  bool operator==(const Configuration&) const noexcept = default;
};

/** @brief Id of a service by its name. */
[[nodiscard]] ServiceId ServiceIdOf(std::string_view aService) noexcept;

/** @brief Id of a class by its service's and its own name. */
[[nodiscard]] ClassId ClassIdOf(std::string_view aService,
                                std::string_view aClass) noexcept;

/** @brief Id of a process by its name in the settings. */
[[nodiscard]] NodeId NodeIdOf(std::string_view aName) noexcept;

/** @brief Id of a data centre by its name. */
[[nodiscard]] DataCentreId DataCentreIdOf(std::string_view aName) noexcept;

} // namespace cornelshore

#endif
