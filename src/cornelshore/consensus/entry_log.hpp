#ifndef CORNELSHORE_CONSENSUS_ENTRY_LOG_HPP
#define CORNELSHORE_CONSENSUS_ENTRY_LOG_HPP

#include <cstddef>
#include <deque>
#include <memory>
#include <optional>
#include <vector>

#include <cornelshore/consensus/entry.hpp>

namespace cornelshore::consensus::internal {

/**
 * @brief In-memory log of a replica: a snapshot and the entries around it.
 *
 * Retains some entries before the snapshot, so that a follower that lags
 * slightly can catch up without a snapshot transfer.
 */
class EntryLog
{
public:
  EntryLog(std::shared_ptr<const Snapshot> aSnapshot,
           std::deque<Entry> aEntries);

  /** @brief Position of the last entry, or of the snapshot when there is no
   * entry. */
  [[nodiscard]] Position Last() const noexcept;
  /** @brief Position right before the first entry in the log. */
  [[nodiscard]] Position Base() const noexcept { return base_; }
  /** @brief Term of the entry, or nothing when the entry is not in the log. */
  [[nodiscard]] std::optional<Term> TermAt(LogIndex aIndex) const noexcept;
  /** @brief Returns the entry, which must be in the log. */
  [[nodiscard]] const Entry& At(LogIndex aIndex) const;
  [[nodiscard]] const std::shared_ptr<const Snapshot>& LatestSnapshot()
    const noexcept
  {
    return snapshot_;
  }
  [[nodiscard]] LogIndex SnapshotIndex() const noexcept;
  /** @brief Latest membership, committed or not. */
  [[nodiscard]] const Membership& Members() const noexcept;
  /** @brief Latest membership at or before the index. */
  [[nodiscard]] const Membership& MembersAt(LogIndex aIndex) const noexcept;

  /** @brief Appends an entry; its index must be one above the last. */
  void Append(Entry aEntry);
  /** @brief Removes the entry at the index and all later ones. */
  void TruncateFrom(LogIndex aIndex);
  /** @brief Entries from the index on within both bounds, but at least one when
   * there is one. */
  [[nodiscard]] std::vector<Entry> Slice(LogIndex aFrom,
                                         std::size_t aMaxEntries,
                                         std::size_t aMaxBytes) const;
  /** @brief All entries from the index on. */
  [[nodiscard]] std::vector<Entry> EntriesFrom(LogIndex aFrom) const;

  /** @brief Installs a local snapshot and removes earlier entries, except for
   * the trailing ones within both bounds. */
  void Compact(std::shared_ptr<const Snapshot> aSnapshot,
               std::size_t aTrailing,
               std::size_t aTrailingBytes);
  /** @brief Replaces the whole log by a snapshot of the leader. */
  void Reset(std::shared_ptr<const Snapshot> aSnapshot);

  /** @brief Approximate size of all entries in the log, in bytes. */
  [[nodiscard]] std::size_t Bytes() const noexcept { return bytes_; }

private:
  void DropFront();

  std::shared_ptr<const Snapshot> snapshot_;
  Position base_;
  std::deque<Entry> entries_;
  std::vector<std::shared_ptr<const Membership>> memberships_;
  std::size_t bytes_{};
};

} // namespace cornelshore::consensus::internal

#endif
