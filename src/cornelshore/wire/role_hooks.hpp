#ifndef CORNELSHORE_WIRE_ROLE_HOOKS_HPP
#define CORNELSHORE_WIRE_ROLE_HOOKS_HPP

#include <cornelshore/role/hooks.hpp>

namespace cornelshore::wire {

/** @brief Hooks of the roles, made of the codec of configurations. */
[[nodiscard]] role::Hooks RoleHooks();

} // namespace cornelshore::wire

#endif
