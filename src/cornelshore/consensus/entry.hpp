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

/** @brief No-op entry that a new leader appends to commit entries of earlier
 * terms (Raft 5.4.2). */
struct NoOp
{
  bool operator==(const NoOp&) const noexcept = default;
};

/** @brief Command of an entry; large values are shared and immutable. */
using Payload = std::variant<NoOp,
                             std::shared_ptr<const Change>,
                             std::shared_ptr<const Membership>>;

/** @brief One entry of the replicated log. */
struct Entry
{
  Term term_;
  LogIndex index_;
  Payload payload_;

  [[nodiscard]] Position At() const noexcept { return { term_, index_ }; }

  /** @brief Compares payloads by value, not by address. */
  bool operator==(const Entry& aOther) const noexcept;
};

/** @brief Approximate size of the entry in memory, in bytes. */
[[nodiscard]] std::size_t SizeOf(const Entry& aEntry) noexcept;

/** @brief Raft state that must be synced before any message that depends on it.
 */
struct HardState
{
  Term term_;
  std::optional<ReplicaId> vote_; ///< Voted for in `term_`.
  LogIndex commit_; ///< Lower bound, written along with the other fields.
  /** No synced write was lost, or it has been replicated again since. */
  bool durabilityProven_{ true };

  bool operator==(const HardState&) const noexcept = default;
};

/** @brief State of the replicated log up to and including `last_`. */
struct Snapshot
{
  Position last_;
  Membership membership_;
  RegisterState register_;

  bool operator==(const Snapshot&) const noexcept = default;
};

/** @brief Write that the storage must perform completely, in order of `id_`. */
struct Persist
{
  PersistId id_;
  std::optional<HardState> hard_;
  std::shared_ptr<const Snapshot> snapshot_;
  /** Replace all stored entries from the first one's index on. */
  std::vector<Entry> entries_;
};

/** @brief Complete durable state of a replica. */
struct DurableState
{
  ReplicaId id_;
  HardState hard_;
  std::shared_ptr<const Snapshot> snapshot_; ///< None before the first one.
  std::deque<Entry> entries_;                ///< Contiguous after the snapshot.

  /** @brief Applies one write: snapshot, entries, then hard state. */
  void Apply(const Persist& aPersist);

  /**
   * @brief Checks that indices are contiguous and terms never decrease.
   * @return OK, or `DataLoss` naming the inconsistency.
   */
  [[nodiscard]] absl::Status Check() const;
};

/**
 * @brief Initial state of a founding member, written once when a group is
 * bootstrapped.
 *
 * Its durability is not proven: a VM whose disk was emptied and bootstrapped
 * again must not be treated as one that never voted.
 *
 * @param aVoters All founding members; the same list at each of them.
 * @param aRegister Initial register, the same at each of them. A group that
 * replaces one that lost its quorum starts from that group's register, so that
 * versions keep increasing.
 */
[[nodiscard]] DurableState BootstrapState(const ReplicaId& aId,
                                          const std::vector<ReplicaId>& aVoters,
                                          RegisterState aRegister = {});

/** @brief State of a replica with an empty disk, which asks to join the group.
 */
[[nodiscard]] DurableState JoiningState(const ReplicaId& aId);

/**
 * @brief Checks that a change is within the bounds of the codec.
 * @return OK, or `InvalidArgument` naming the field.
 */
[[nodiscard]] absl::Status CheckChange(const Change& aChange);

/** @brief Upper bounds of one change, equal to those of the codec. */
inline constexpr std::size_t kMaxServicesPerChange = 4096;
inline constexpr std::size_t kMaxClassesPerService = 64;
inline constexpr std::size_t kMaxNameBytes = 128;
inline constexpr std::size_t kMaxChangeBytes = 1U << 20U;

} // namespace cornelshore::consensus

#endif
