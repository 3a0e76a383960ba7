#ifndef CORNELSHORE_ROLE_HOOKS_HPP
#define CORNELSHORE_ROLE_HOOKS_HPP

#include <functional>
#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include <cornelshore/core/target.hpp>

namespace cornelshore::role {

/** @brief Codec of configurations that the roles use; the implementation is
 * injected. */
struct Hooks
{
  /** @brief Decodes a configuration, or returns `InvalidArgument`. */
  std::function<absl::StatusOr<Configuration>(std::string_view)> decode_;
  /** @brief Encodes a configuration in the format that `decode_` reads. */
  std::function<std::string(const Configuration&)> encode_;
};

} // namespace cornelshore::role

#endif
