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
 * @brief What a control VM's disk holds: the replica's state as one segment
 * of checksummed frames, replaced as a whole at each snapshot and start.
 */
namespace cornelshore::storage {

class Log;

/** @brief A log that was opened, and what it holds. */
struct Recovered
{
  std::unique_ptr<Log> log_;
  consensus::DurableState state_;
  /**
   * `Continued` when the VM has not been restarted since the last run and
   * the log's end is whole; else an older copy or a lost end is possible.
   * `state_.hard_.durabilityProven_` tells the same, durably until the replica
   * proves otherwise.
   */
  consensus::Verification verification_{ consensus::Verification::Unproven };
  std::uint64_t tornBytes_{}; ///< Unsynced bytes at the end, left out.
};

/**
 * @brief Durable state of one replica in a folder of its own.
 *
 * Beside the segment a small marker file tells how far the segment was synced.
 * It is written after each sync and not synced itself: it may be behind, but
 * a segment that ends before it has lost synced bytes.
 *
 * `Append` writes, `Sync` makes all that was appended durable. After the
 * first failure every call gives that failure again: pages that a failed sync
 * left in the cache are never taken for durable. The next `Open` writes all
 * it read into a new segment and syncs that one before it gives anything out.
 */
class Log
{
public:
  /**
   * @brief Sets up an empty folder with a first state.
   * @return The log, `AlreadyExists` when the folder holds one, or the
   * failure of a file operation (see `FileHooks`).
   */
  [[nodiscard]] static absl::StatusOr<std::unique_ptr<Log>> Create(
    std::string aFolder,
    consensus::DurableState aState,
    FileHooks aHooks = SystemFiles());

  /**
   * @brief Recovers what the folder holds.
   * @return `NotFound` when there is no log (a new or emptied disk),
   * `DataLoss` when synced state is damaged, moved or missing, or the
   * failure of a file operation.
   */
  [[nodiscard]] static absl::StatusOr<Recovered> Open(
    std::string aFolder,
    FileHooks aHooks = SystemFiles());

  Log(const Log&) = delete;
  Log& operator=(const Log&) = delete;
  ~Log();

  /**
   * @brief Writes; a write with a snapshot is durable on return.
   * @return OK, or the first failure: `ResourceExhausted` for a full disk,
   * `DataLoss` for a failed sync, else `Unavailable`.
   */
  [[nodiscard]] absl::Status Append(const consensus::Persist& aPersist);

  /** @brief Makes all writes durable. @return As `Append`. */
  [[nodiscard]] absl::Status Sync();

  /** @brief Bytes of the present segment. */
  [[nodiscard]] std::uint64_t Bytes() const noexcept { return bytes_; }

private:
  Log(std::string aFolder, FileHooks aHooks);

  [[nodiscard]] absl::Status LockFolder();
  [[nodiscard]] absl::Status RewriteAll();
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
  absl::Status Keep(absl::Status aStatus);
  void CloseFile(int& aHandle);
  [[nodiscard]] std::string PathOf(std::uint64_t aSegment) const;
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
  std::uint64_t mostBytes_{};
};

/**
 * @brief Empties a folder, so that its process joins as another replica.
 * @return OK, or the failure of a file operation (see `FileHooks`).
 */
[[nodiscard]] absl::Status Discard(const std::string& aFolder,
                                   const FileHooks& aHooks = SystemFiles());

/** @brief The fault that a replica is told of after a failed call. */
[[nodiscard]] consensus::Fault FaultOf(const absl::Status& aFailure) noexcept;

} // namespace cornelshore::storage

#endif
