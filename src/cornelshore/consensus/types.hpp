#ifndef CORNELSHORE_CONSENSUS_TYPES_HPP
#define CORNELSHORE_CONSENSUS_TYPES_HPP

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

#include <cornelshore/core/names.hpp>
#include <cornelshore/core/types.hpp>

/**
 * @brief Replicated log of the control VMs, with the configuration register as
 * its state machine.
 *
 * Follows Ongaro, "Consensus: Bridging Theory and Practice" (2014): leader
 * election with pre-vote (9.6), check-quorum (6.2), single-server membership
 * changes (4.1), learners (4.2.1), reads by index and by lease (6.4), and log
 * compaction by snapshots (5). In addition, a restarted replica is verified
 * before it votes, see `Verification`.
 */
namespace cornelshore::consensus {

/** @brief Raft term; has at most one leader. */
using Term = StrongId<struct TermTag, std::uint64_t>;

/** @brief Index of an entry in the log, starting at 1. */
using LogIndex = StrongId<struct LogIndexTag, std::uint64_t>;

/** @brief Sequence number of a `Persist` action. */
using PersistId = StrongId<struct PersistIdTag, std::uint64_t>;

/** @brief Identifies one pending proposal or read between a replica and its
 * host. */
using Token = StrongId<struct TokenTag, std::uint64_t>;

/** @brief Maximum number of voters. */
inline constexpr std::size_t kMaxVoters = 7;

/** @brief Maximum number of members of a control group, including learners. */
inline constexpr std::size_t kMaxMembers = 16;

/**
 * @brief One disk of one control VM.
 *
 * A VM whose disk was lost or rolled back restarts with a new `disk_` and is a
 * different replica to its peers: votes and acknowledgements of the former
 * replica do not count for it.
 */
struct ReplicaId
{
  NodeId node_;
  Incarnation disk_;

  constexpr auto operator<=>(const ReplicaId&) const noexcept = default;

  template<typename Hash>
  friend Hash AbslHashValue(Hash aHash, const ReplicaId& aId)
  {
    return Hash::combine(std::move(aHash), aId.node_, aId.disk_);
  }
};

/** @brief Term and index of an entry; for the last entry of a log, greater is
 * more up to date (Raft 3.6.1). */
struct Position
{
  Term term_;
  LogIndex index_;

  constexpr auto operator<=>(const Position&) const noexcept = default;
};

/** @brief Role of a member in the control group. */
enum class MemberRole : std::uint8_t
{
  Learner, ///< Receives the log; neither votes nor counts towards a quorum.
  Voter,
};

/** @brief Names of `MemberRole`. */
inline constexpr std::array<EnumName<MemberRole>, 2> kMemberRoleNames{ {
  { MemberRole::Learner, "learner" },
  { MemberRole::Voter, "voter" },
} };

/** @brief One member of the control group. */
struct Member
{
  ReplicaId id_;
  MemberRole role_{ MemberRole::Learner };

  constexpr auto operator<=>(const Member&) const noexcept = default;
};

/** @brief The control group as of the log entry at `index_`. */
struct Membership
{
  LogIndex index_;
  std::vector<Member> members_; ///< Sorted by id.

  bool operator==(const Membership&) const noexcept = default;

  /** @brief Member with the id, or null. */
  [[nodiscard]] const Member* Find(const ReplicaId& aId) const noexcept;
  [[nodiscard]] bool IsVoter(const ReplicaId& aId) const noexcept;
  [[nodiscard]] std::size_t Voters() const noexcept;
  /** @brief Number of voters in a majority. */
  [[nodiscard]] std::size_t Quorum() const noexcept;
  /** @brief Adds the member, or changes its role. */
  void Set(const ReplicaId& aId, MemberRole aRole);
  void Remove(const ReplicaId& aId);
};

/**
 * @brief How many peers must reply before a restarted replica may vote.
 *
 * See docs/md/consensus.md, "A disk that was rolled back".
 */
enum class Verification : std::uint8_t
{
  /**
   * The disk is known to be that of the previous run: one peer less than a
   * quorum.
   */
  Continued,
  /**
   * The disk may be an older copy, or may have lost its tail: enough peers to
   * intersect every quorum that may have included this replica.
   */
  Unproven,
  /**
   * The disk never loses a synced write unless it is emptied, as Raft assumes:
   * no peers. Excludes lease reads, since a voter that has just restarted does
   * not know of a lease that it must respect.
   */
  Durable,
};

/** @brief Names of `Verification`. */
inline constexpr std::array<EnumName<Verification>, 3> kVerificationNames{ {
  { Verification::Continued, "continued" },
  { Verification::Unproven, "unproven" },
  { Verification::Durable, "durable" },
} };

/** @brief Reason why a replica stopped participating until its next restart. */
enum class Fault : std::uint8_t
{
  None,
  DiskFull,
  WriteFailed,
  SyncFailed,
  RolledBack, ///< Peers know of later state than the disk held.
  Removed,    ///< A committed membership no longer includes this replica.
};

/** @brief Names of `Fault`. */
inline constexpr std::array<EnumName<Fault>, 6> kFaultNames{ {
  { Fault::None, "none" },
  { Fault::DiskFull, "disk_full" },
  { Fault::WriteFailed, "write_failed" },
  { Fault::SyncFailed, "sync_failed" },
  { Fault::RolledBack, "rolled_back" },
  { Fault::Removed, "removed" },
} };

} // namespace cornelshore::consensus

#endif
