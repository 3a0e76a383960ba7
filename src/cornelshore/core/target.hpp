#ifndef CORNELSHORE_CORE_TARGET_HPP
#define CORNELSHORE_CORE_TARGET_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <cornelshore/core/route.hpp>
#include <cornelshore/core/types.hpp>

namespace cornelshore {

/** @brief Parts of a whole that shares are counted in (1,000 is all of it). */
inline constexpr std::uint16_t kFullShare = 1000;

/** @brief Least and most urgent value of `ClassTarget::urgency_`. */
inline constexpr std::uint8_t kMinUrgency = 0;
inline constexpr std::uint8_t kMaxUrgency = 9;

/** @brief An operator's target for one class of work. */
struct ClassTarget
{
  ClassId id_;       ///< Hash of `service/name`.
  std::string name_; ///< Unique in its service.
  ServiceId service_;
  std::uint8_t urgency_{};           ///< 9 is the most urgent.
  std::uint16_t most_{ kFullShare }; ///< Most it may claim, in 1/1000.
  std::uint16_t keeps_{};            ///< What it keeps in a flood, in 1/1000.
  bool repeatable_{};                ///< Whether its requests are idempotent.

  bool operator==(const ClassTarget&) const noexcept = default;
};

/** @brief A service and the classes of work that its callers bring. */
struct ServiceTarget
{
  ServiceId id_; ///< Hash of the name.
  std::string name_;
  std::vector<ClassTarget> classes_;

  bool operator==(const ServiceTarget&) const noexcept = default;
};

/** @brief One accepted configuration: every service's targets and routes. */
struct Configuration
{
  ConfigVersion version_;
  std::vector<ServiceTarget> services_;
  std::vector<Route> routes_{};
  Duration
    flowIdleTimeout_{}; ///< Idle flows may be dropped after it; 0: never.

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
