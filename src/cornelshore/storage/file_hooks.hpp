#ifndef CORNELSHORE_STORAGE_FILE_HOOKS_HPP
#define CORNELSHORE_STORAGE_FILE_HOOKS_HPP

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

namespace cornelshore::storage {

/**
 * @brief File operations of the data folder.
 *
 * Errors: `ResourceExhausted` for a full disk, `DataLoss` for a failed sync,
 * `NotFound` for a missing file or folder, `FailedPrecondition` for a lock that
 * another process holds, else `Unavailable`.
 */
struct FileHooks
{
  /** Lists the names of the files in a folder. */
  std::function<absl::StatusOr<std::vector<std::string>>(const std::string&)>
    list_;
  /** Reads the whole content of a file. */
  std::function<absl::StatusOr<std::string>(const std::string&)> read_;
  /** Creates a file or truncates an existing one; returns its handle. */
  std::function<absl::StatusOr<int>(const std::string&)> create_;
  /** Appends all of the bytes. */
  std::function<absl::Status(int, std::string_view)> append_;
  /** Overwrites the beginning of a file with the bytes. */
  std::function<absl::Status(int, std::string_view)> overwrite_;
  /** Returns once all writes to the file are on the disk. */
  std::function<absl::Status(int)> sync_;
  std::function<void(int)> close_;
  std::function<absl::Status(const std::string&, const std::string&)> rename_;
  std::function<absl::Status(const std::string&)> remove_;
  /** Returns once names created and removed in the folder are on the disk. */
  std::function<absl::Status(const std::string&)> syncFolder_;
  /** Locks the folder for this process until the returned handle is closed. */
  std::function<absl::StatusOr<int>(const std::string&)> lock_;
  /** Identifies the current boot of the VM; 0 when unknown. */
  std::function<std::uint64_t()> bootId_;
  /** Size of a file, in bytes. */
  std::function<absl::StatusOr<std::uint64_t>(const std::string&)> size_;
};

/** @brief File operations of the operating system. */
[[nodiscard]] FileHooks SystemFiles();

} // namespace cornelshore::storage

#endif
