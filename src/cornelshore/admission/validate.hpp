#ifndef CORNELSHORE_ADMISSION_VALIDATE_HPP
#define CORNELSHORE_ADMISSION_VALIDATE_HPP

#include <cstddef>
#include <cstdint>
#include <span>

#include <absl/status/status.h>

#include <cornelshore/core/target.hpp>

namespace cornelshore::admission {

/** @brief Maximum numbers of services, and of classes per service. */
inline constexpr std::size_t kMaxServices = 4096;
inline constexpr std::size_t kMaxClassesPerService = 32;

/** @brief Total capacity of a service's ready hosts. */
struct FleetCapacity
{
  ServiceId service_;
  std::uint32_t hosts_{};
  std::uint32_t slots_{};

  bool operator==(const FleetCapacity&) const noexcept = default;
};

/**
 * @brief Validates targets before they are accepted.
 * @param aFleet Current capacities; for a service that is not listed or has no
 * slots, the check against its capacity is skipped.
 * @return OK; `InvalidArgument` for a target that no fleet can satisfy, or
 * `FailedPrecondition` for one that the current fleet cannot satisfy. The
 * message names the service and class, the figures, and allowed values.
 */
[[nodiscard]] absl::Status Validate(const Configuration& aConfiguration,
                                    std::span<const FleetCapacity> aFleet);

} // namespace cornelshore::admission

#endif
