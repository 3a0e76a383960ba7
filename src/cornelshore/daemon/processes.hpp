#ifndef CORNELSHORE_DAEMON_PROCESSES_HPP
#define CORNELSHORE_DAEMON_PROCESSES_HPP

#include <absl/status/status.h>

#include <cornelshore/daemon/runtime.hpp>

namespace cornelshore::daemon {

/** @brief Runs a balancer until it is stopped. @return OK, or why not. */
[[nodiscard]] absl::Status RunBalancer(Runtime& aRuntime);

/** @brief Runs an agent until it is stopped. @return OK, or why not. */
[[nodiscard]] absl::Status RunAgent(Runtime& aRuntime);

/** @brief Runs a balancer of flows of segments. @return OK, or why not. */
[[nodiscard]] absl::Status RunRelayBalancer(Runtime& aRuntime);

/** @brief Runs an agent of flows of segments. @return OK, or why not. */
[[nodiscard]] absl::Status RunRelayAgent(Runtime& aRuntime);

/** @brief Runs a control process until it is stopped. @return OK, or why. */
[[nodiscard]] absl::Status RunControl(Runtime& aRuntime);

} // namespace cornelshore::daemon

#endif
