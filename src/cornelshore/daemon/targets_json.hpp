#ifndef CORNELSHORE_DAEMON_TARGETS_JSON_HPP
#define CORNELSHORE_DAEMON_TARGETS_JSON_HPP

#include <string>

#include <absl/status/statusor.h>
#include <json/json.h>

#include <cornelshore/consensus/register.hpp>
#include <cornelshore/consensus/types.hpp>
#include <cornelshore/core/dump.hpp>
#include <cornelshore/core/target.hpp>

namespace cornelshore::daemon {

/** @brief A change id as 32 hexadecimal digits. */
[[nodiscard]] std::string ChangeIdText(const RequestId& aId);

/**
 * @brief Reads an operator's change.
 * @return The change, or `InvalidArgument` naming the field at fault.
 */
[[nodiscard]] absl::StatusOr<consensus::Change> ReadChange(
  const Json::Value& aParams);

/**
 * @brief Reads a replica, named by `node` and `disk` in hexadecimal.
 * @return The replica, or `InvalidArgument` naming the field at fault.
 */
[[nodiscard]] absl::StatusOr<consensus::ReplicaId> ReadReplica(
  const Json::Value& aParams);

/** @brief A configuration as operators see it. */
[[nodiscard]] Dump DumpConfiguration(const Configuration& aConfiguration,
                                     bool aConfirmed);

} // namespace cornelshore::daemon

#endif
