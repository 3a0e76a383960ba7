#ifndef CORNELSHORE_STORAGE_LOG_HPP
#define CORNELSHORE_STORAGE_LOG_HPP

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cornelshore/consensus/entry.hpp>
#include <cornelshore/storage/file_hooks.hpp>

/**
 * @brief Durable state of a control replica, stored as one segment of
 * checksummed frames that is rewritten at each snapshot and start.
 */
namespace cornelshore::storage {

class Log;

/** @brief An opened log and the state recovered from it. */
struct Recovered
{
  std::unique_ptr<Log> log_;
  consensus::DurableState state_;
  /**
   * `Continued` when the VM has not been rebooted since the last run and the
   * tail of the log is intact; otherwise the log may be an older copy or lack
   * its tail. `state_.hard_.durabilityProven_` holds the same fact durably,
   * until the replica proves otherwise.
   */
  consensus::Verification verification_{ consensus::Verification::Unproven };
  std::uint64_t tornBytes_{}; ///< Discarded unsynced bytes at the end.
};

/**
 * @brief Durable log of one replica in a dedicated folder.
 *
 * A small marker file next to the segment records how far the segment is
 * synced. It is written after each sync and not synced itself: it may lag
 * behind, but a segment that ends before the marked offset has lost synced
 * bytes.
 *
 * `Append` writes, `Sync` makes all appended writes durable. After the first
 * failure every call returns that failure again: pages that a failed sync left
 * in the page cache must not be treated as durable. The next `Open` writes the
 * recovered state to a new segment and syncs it before returning it.
 *
 * A full disk is the exception: `Resume` goes on once it has room again.
 */
class Log
{
public:
  /**
   * @brief Creates a log with an initial state in an empty folder.
   * @return The log, `AlreadyExists` when the folder holds one, or the error of
   * a file operation (see `FileHooks`).
   */
  [[nodiscard]] static absl::StatusOr<std::unique_ptr<Log>> Create(
    std::string aFolder,
    consensus::DurableState aState,
    FileHooks aHooks = SystemFiles());

  /**
   * @brief Recovers the log in the folder.
   * On a full disk the log opens with its state and `Append` fails until
   * `Resume` succeeds.
   * @return The log and its state, `NotFound` when there is no log (a new or
   * emptied disk), `DataLoss` when synced state is damaged, moved or missing,
   * or the error of a file operation.
   */
  [[nodiscard]] static absl::StatusOr<Recovered> Open(
    std::string aFolder,
    FileHooks aHooks = SystemFiles());

  Log(const Log&) = delete;
  Log& operator=(const Log&) = delete;
  ~Log();

  /**
   * @brief Appends a write; one with a snapshot is durable on return.
   * @return OK, or the first error: `ResourceExhausted` for a full disk,
   * `DataLoss` for a failed sync, else `Unavailable`.
   */
  [[nodiscard]] absl::Status Append(const consensus::Persist& aPersist);

  /** @brief Makes all appended writes durable. @return As for `Append`. */
  [[nodiscard]] absl::Status Sync();

  /**
   * @brief Goes on after a full disk: writes the state, with every write that
   * was appended, to a new segment and syncs it. What the failed write left
   * behind is never read again.
   * @return OK, `ResourceExhausted` while the disk is full, or the first other
   * error, after which the log stays failed.
   */
  [[nodiscard]] absl::Status Resume();

  /** @brief OK, or the failure that every call returns. */
  [[nodiscard]] const absl::Status& Failure() const noexcept
  {
    return failure_;
  }

  /** @brief Size of the current segment, in bytes. */
  [[nodiscard]] std::uint64_t Bytes() const noexcept { return bytes_; }

private:
  Log(std::string aFolder, FileHooks aHooks);

  [[nodiscard]] absl::Status LockFolder();
  [[nodiscard]] absl::Status RewriteAll();
  void RemoveSegmentsBefore(std::uint64_t aSegment);
  [[nodiscard]] absl::Status WriteSegment(std::uint64_t aSegment);
  [[nodiscard]] absl::Status WriteState();
  [[nodiscard]] absl::Status PublishSegment(std::uint64_t aSegment);
  [[nodiscard]] absl::Status WriteFrame(std::uint64_t aSeed,
                                        std::uint8_t aKind,
                                        std::string_view aPayload);
  [[nodiscard]] absl::Status WritePersist(const consensus::Persist& aPersist);
  [[nodiscard]] absl::Status Recover(Recovered& aRecovered);
  void RemoveTemporary(const std::vector<std::string>& aNames);
  [[nodiscard]] absl::Status ReadSegment(std::uint64_t aSegment,
                                         Recovered& aRecovered);
  [[nodiscard]] absl::Status OpenMarker();
  [[nodiscard]] absl::Status WriteMarker();
  absl::Status RecordFailure(absl::Status aStatus);
  void CloseFile(int& aHandle);
  [[nodiscard]] std::string PathOf(std::uint64_t aSegment) const;
  [[nodiscard]] std::string TemporaryPathOf(std::uint64_t aSegment) const;
  [[nodiscard]] std::string MarkerPath() const;

  std::string folder_;
  FileHooks hooks_;
  consensus::DurableState state_;
  absl::Status failure_;
  int lock_{ -1 };
  int handle_{ -1 };
  int marker_{ -1 };
  std::uint64_t segment_{};
  std::uint64_t seed_{};
  std::uint64_t bytes_{};
  std::uint64_t syncedBytes_{};
  std::uint64_t rewriteThresholdBytes_{};
};

/**
 * @brief Removes all files of a folder, so that the process rejoins the group
 * as a new replica.
 * @return OK, or the error of a file operation (see `FileHooks`).
 */
[[nodiscard]] absl::Status Discard(const std::string& aFolder,
                                   const FileHooks& aHooks = SystemFiles());

/** @brief Fault to report to the replica after a failed call. */
[[nodiscard]] consensus::Fault FaultOf(const absl::Status& aFailure) noexcept;

} // namespace cornelshore::storage

#endif
