#ifndef CORNELSHORE_ROLE_HOOKS_HPP
#define CORNELSHORE_ROLE_HOOKS_HPP

#include <functional>
#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include <cornelshore/core/target.hpp>

namespace cornelshore::role {

/** @brief What the roles need of a codec, which is no part of the core. */
struct Hooks
{
  /** @brief Reads a configuration, or gives `InvalidArgument`. */
  std::function<absl::StatusOr<Configuration>(std::string_view)> decode_;
  /** @brief Writes a configuration as `decode_` reads it. */
  std::function<std::string(const Configuration&)> encode_;
};

} // namespace cornelshore::role

#endif
