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
 * @brief Operations on files that the log is made of.
 *
 * A full disk is `ResourceExhausted`, a failed sync `DataLoss`, a missing
 * file or folder `NotFound`, a lock that another process holds
 * `FailedPrecondition`, everything else `Unavailable`.
 */
struct FileHooks
{
  /** Names of the files in a folder. */
  std::function<absl::StatusOr<std::vector<std::string>>(const std::string&)>
    list_;
  /** Content of a file. */
  std::function<absl::StatusOr<std::string>(const std::string&)> read_;
  /** Creates an empty file, or empties it; gives a handle. */
  std::function<absl::StatusOr<int>(const std::string&)> create_;
  /** Appends all of the bytes. */
  std::function<absl::Status(int, std::string_view)> append_;
  /** Writes the bytes over the beginning of a file. */
  std::function<absl::Status(int, std::string_view)> overwrite_;
  /** Returns once everything written to the file is on the disk. */
  std::function<absl::Status(int)> sync_;
  std::function<void(int)> close_;
  std::function<absl::Status(const std::string&, const std::string&)> rename_;
  std::function<absl::Status(const std::string&)> remove_;
  /** Returns once names made and removed in the folder are on the disk. */
  std::function<absl::Status(const std::string&)> syncFolder_;
  /** Locks the folder for this process until the handle is closed. */
  std::function<absl::StatusOr<int>(const std::string&)> lock_;
  /** Other after each start of the VM; 0 when it is not known. */
  std::function<std::uint64_t()> bootId_;
};

/** @brief Hooks that work on the operating system's files. */
[[nodiscard]] FileHooks SystemFiles();

} // namespace cornelshore::storage

#endif
