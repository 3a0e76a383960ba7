#ifndef CORNELSHORE_CONSENSUS_ENTRY_HPP
#define CORNELSHORE_CONSENSUS_ENTRY_HPP

#include <cstddef>
#include <deque>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

#include <absl/status/status.h>

#include <cornelshore/consensus/register.hpp>
#include <cornelshore/consensus/types.hpp>

namespace cornelshore::consensus {

/** @brief Entry that a new leader commits its predecessors' entries with. */
struct NoOp
{
  bool operator==(const NoOp&) const noexcept = default;
};

/** @brief What an entry does; large values are shared, never altered. */
using Payload = std::variant<NoOp,
                             std::shared_ptr<const Change>,
                             std::shared_ptr<const Membership>>;

/** @brief One entry of the log. */
struct Entry
{
  Term term_;
  LogIndex index_;
  Payload payload_;

  [[nodiscard]] Position At() const noexcept { return { term_, index_ }; }

  /** @brief Compares the payloads' values, not their places in memory. */
  bool operator==(const Entry& aOther) const noexcept;
};

/** @brief Bytes that the entry takes, within a small factor. */
[[nodiscard]] std::size_t SizeOf(const Entry& aEntry) noexcept;

/** @brief What must be synced before any message that depends on it. */
struct HardState
{
  Term term_;
  std::optional<ReplicaId> vote_; ///< Voted for in `term_`.
  LogIndex commit_;               ///< Lower bound, written with the rest.
  /** Nothing synced was lost, or the group has made up for it since. */
  bool durabilityProven_{ true };

  bool operator==(const HardState&) const noexcept = default;
};

/** @brief The log up to `last_` in one value. */
struct Snapshot
{
  Position last_;
  Membership membership_;
  RegisterState register_;

  bool operator==(const Snapshot&) const noexcept = default;
};

/** @brief A write that the storage must carry out whole, in order of `id_`. */
struct Persist
{
  PersistId id_;
  std::optional<HardState> hard_;
  std::shared_ptr<const Snapshot> snapshot_;
  /** Replace whatever is stored from the first one's index on. */
  std::vector<Entry> entries_;
};

/** @brief All that a replica's disk holds. */
struct DurableState
{
  ReplicaId id_;
  HardState hard_;
  std::shared_ptr<const Snapshot> snapshot_; ///< None before the first one.
  std::deque<Entry> entries_;                ///< Right after the snapshot.

  /** @brief Carries out one write: snapshot, entries, then hard state. */
  void Apply(const Persist& aPersist);

  /**
   * @brief Checks that entries and terms follow one another.
   * @return OK, or `DataLoss` telling what does not fit.
   */
  [[nodiscard]] absl::Status Check() const;
};

/**
 * @brief State of a first member, written once when a group is set up.
 *
 * It is not proven: a VM whose disk was emptied and set up once more must not
 * be taken for one that never voted.
 *
 * @param aVoters All first members, the same list at each of them.
 * @param aRegister What to begin with, the same at each of them: for a group
 * that takes the place of one that lost its quorum, so that versions go on.
 */
[[nodiscard]] DurableState BootstrapState(const ReplicaId& aId,
                                          const std::vector<ReplicaId>& aVoters,
                                          RegisterState aRegister = {});

/** @brief State of a replica on an empty disk, which asks to join. */
[[nodiscard]] DurableState JoiningState(const ReplicaId& aId);

/**
 * @brief Checks that a change can be encoded and read back.
 * @return OK, or `InvalidArgument` naming the field.
 */
[[nodiscard]] absl::Status CheckChange(const Change& aChange);

/** @brief Bounds of one change; the codec's bounds are the same. */
inline constexpr std::size_t kMaxServicesPerChange = 4096;
inline constexpr std::size_t kMaxClassesPerService = 64;
inline constexpr std::size_t kMaxNameBytes = 128;
inline constexpr std::size_t kMaxChangeBytes = 1U << 20U;

} // namespace cornelshore::consensus

#endif
