#ifndef CORNELSHORE_SETTINGS_TARGETS_HPP
#define CORNELSHORE_SETTINGS_TARGETS_HPP

#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include <cornelshore/core/target.hpp>

namespace cornelshore::settings {

/**
 * @brief Reads an operator's file of services, classes and their targets.
 * @return The services, or `NotFound` / `InvalidArgument` with one line a
 * problem: file, line, key, what is allowed.
 */
[[nodiscard]] absl::StatusOr<std::vector<ServiceTarget>> LoadTargets(
  const std::string& aFile);

} // namespace cornelshore::settings

#endif
