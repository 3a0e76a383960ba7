#ifndef CORNELSHORE_ADMISSION_VALIDATE_HPP
#define CORNELSHORE_ADMISSION_VALIDATE_HPP

#include <cstddef>
#include <cstdint>
#include <span>

#include <absl/status/status.h>

#include <cornelshore/core/target.hpp>

namespace cornelshore::admission {

/** @brief Most services of a configuration and classes of a service. */
inline constexpr std::size_t kMostServices = 4096;
inline constexpr std::size_t kMostClasses = 32;

/** @brief What a service's ready hosts offer together. */
struct FleetCapacity
{
  ServiceId service_;
  std::uint32_t hosts_{};
  std::uint32_t slots_{};

  bool operator==(const FleetCapacity&) const noexcept = default;
};

/**
 * @brief Checks targets before they are accepted.
 * @param aFleet Present capacities; a service that is not listed or has no
 * slots is checked without its fleet.
 * @return OK; `InvalidArgument` for a target that no fleet can keep, and
 * `FailedPrecondition` for one that the present fleet cannot keep. The message
 * names the service and class, the figures, and what would fit.
 */
[[nodiscard]] absl::Status Validate(const Configuration& aConfiguration,
                                    std::span<const FleetCapacity> aFleet);

} // namespace cornelshore::admission

#endif
