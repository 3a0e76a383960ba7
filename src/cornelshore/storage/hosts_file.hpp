#ifndef CORNELSHORE_STORAGE_HOSTS_FILE_HPP
#define CORNELSHORE_STORAGE_HOSTS_FILE_HPP

#include <string>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cornelshore/storage/file_hooks.hpp>
#include <cornelshore/storage/hosts_format.hpp>

namespace cornelshore::storage {

/**
 * @brief Replaces the file `hosts` of a data folder. After a crash at any
 * moment the folder holds the old file or the new one, whole.
 * @return OK once the new file is durable, `OutOfRange` when there are too many
 * records, or the error of a file operation (see `FileHooks`), after which the
 * temporary file is removed.
 */
[[nodiscard]] absl::Status WriteHosts(const std::string& aFolder,
                                      const StoredHosts& aHosts,
                                      const FileHooks& aHooks = SystemFiles());

/**
 * @brief Reads the file `hosts` of a data folder.
 * @return The records, `NotFound` when there is no file, `OutOfRange` when it
 * is too large, `DataLoss` when it is damaged, `Unimplemented` when a newer
 * program wrote it, or the error of a file operation (see `FileHooks`).
 */
[[nodiscard]] absl::StatusOr<StoredHosts> ReadHosts(
  const std::string& aFolder,
  const FileHooks& aHooks = SystemFiles());

} // namespace cornelshore::storage

#endif
