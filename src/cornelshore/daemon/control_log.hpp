#ifndef CORNELSHORE_DAEMON_CONTROL_LOG_HPP
#define CORNELSHORE_DAEMON_CONTROL_LOG_HPP

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cornelshore/consensus/types.hpp>
#include <cornelshore/daemon/runtime.hpp>
#include <cornelshore/settings/settings.hpp>
#include <cornelshore/storage/log.hpp>

namespace cornelshore::daemon {

/**
 * @brief Opens a control process's log, or sets one up in an empty folder.
 *
 * Waits a few seconds for room on a full disk. In a group that forms itself, a
 * damaged log is discarded: its member joins as another replica.
 *
 * @return The log and what it holds, or the failure of a file operation (see
 * `storage::FileHooks`) or `DataLoss`.
 */
[[nodiscard]] absl::StatusOr<storage::Recovered> OpenControlLog(
  const Runtime& aRuntime);

/**
 * @brief Readies the folder of a member whose group forms itself for its next
 * start: one that the group went on without, or whose disk is behind, joins
 * anew.
 * @return Why the process ends: `Aborted`, or the failure of a file operation.
 */
[[nodiscard]] absl::Status HealControlLog(
  const settings::ControlSettings& aControl,
  consensus::Fault aFault);

} // namespace cornelshore::daemon

#endif
