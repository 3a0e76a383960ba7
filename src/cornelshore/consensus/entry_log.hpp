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
 * @brief A replica's log in memory: a snapshot and the entries around it.
 *
 * Some entries from before the snapshot are kept, so that a replica a little
 * behind needs no snapshot.
 */
class EntryLog
{
public:
  EntryLog(std::shared_ptr<const Snapshot> aSnapshot,
           std::deque<Entry> aEntries);

  /** @brief Last entry, or the snapshot's when there are none. */
  [[nodiscard]] Position Last() const noexcept;
  /** @brief Entry right before the first one held. */
  [[nodiscard]] Position Base() const noexcept { return base_; }
  /** @brief Term of the entry, or nothing when it is not known. */
  [[nodiscard]] std::optional<Term> TermAt(LogIndex aIndex) const noexcept;
  /** @brief The entry, which must be held. */
  [[nodiscard]] const Entry& At(LogIndex aIndex) const;
  [[nodiscard]] const std::shared_ptr<const Snapshot>& LatestSnapshot()
    const noexcept
  {
    return snapshot_;
  }
  [[nodiscard]] LogIndex SnapshotIndex() const noexcept;
  /** @brief Newest membership, committed or not. */
  [[nodiscard]] const Membership& Members() const noexcept;
  /** @brief Newest membership at or before the index. */
  [[nodiscard]] const Membership& MembersAt(LogIndex aIndex) const noexcept;

  /** @brief Appends the entry that follows the last one. */
  void Append(Entry aEntry);
  /** @brief Drops the entry and all after it. */
  void TruncateFrom(LogIndex aIndex);
  /** @brief Entries from the index on, at least one, within both bounds. */
  [[nodiscard]] std::vector<Entry> Slice(LogIndex aFrom,
                                         std::size_t aMaxEntries,
                                         std::size_t aMaxBytes) const;
  /** @brief All entries from the index on. */
  [[nodiscard]] std::vector<Entry> EntriesFrom(LogIndex aFrom) const;

  /** @brief Takes the log's own snapshot; drops all but a few before it. */
  void Compact(std::shared_ptr<const Snapshot> aSnapshot,
               std::size_t aTrailing,
               std::size_t aTrailingBytes);
  /** @brief Takes a leader's snapshot in place of the whole log. */
  void Reset(std::shared_ptr<const Snapshot> aSnapshot);

  /** @brief Bytes of all entries held. */
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
