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
 * @brief Replicated log of the control VMs, and the register of
 * configurations on top of it.
 *
 * Follows Ongaro, "Consensus: Bridging Theory and Practice" (2014): leader
 * election with pre-vote (9.6), check-quorum (6.2), single-server membership
 * changes (4.1), learners (4.2.1), reads by index and by lease (6.4), and
 * compaction by snapshots (5). What is added to it is the check of a
 * restarted replica, see `Verification`.
 */
namespace cornelshore::consensus {

/** @brief Term of the log; at most one leader each. */
using Term = StrongId<struct TermTag, std::uint64_t>;

/** @brief Place of an entry in the log; the first one is 1. */
using LogIndex = StrongId<struct LogIndexTag, std::uint64_t>;

/** @brief Number of a `Persist` action; each is one more than the last. */
using PersistId = StrongId<struct PersistIdTag, std::uint64_t>;

/** @brief Names one proposal or read between the core and its host. */
using Token = StrongId<struct TokenTag, std::uint64_t>;

/** @brief Most control VMs that may vote. */
inline constexpr std::size_t kMaxVoters = 7;

/** @brief Most members of a control group, learners included. */
inline constexpr std::size_t kMaxMembers = 16;

/**
 * @brief One disk of one control VM.
 *
 * A VM whose disk was lost or rolled back comes back with another `disk_`:
 * to the others that is another replica, whose predecessor's votes and
 * acknowledgements never count for it.
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

/** @brief Last entry of a log; greater is more up to date (Raft 3.6.1). */
struct Position
{
  Term term_;
  LogIndex index_;

  constexpr auto operator<=>(const Position&) const noexcept = default;
};

/** @brief What a member of the control group does. */
enum class MemberRole : std::uint8_t
{
  Learner, ///< Receives the log; neither votes nor counts for a commit.
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

  /** @brief Role of the replica, or nothing when it is no member. */
  [[nodiscard]] const Member* Find(const ReplicaId& aId) const noexcept;
  [[nodiscard]] bool IsVoter(const ReplicaId& aId) const noexcept;
  [[nodiscard]] std::size_t Voters() const noexcept;
  /** @brief Fewest voters that are a majority. */
  [[nodiscard]] std::size_t Quorum() const noexcept;
  /** @brief Adds the member or gives it the role. */
  void Set(const ReplicaId& aId, MemberRole aRole);
  void Remove(const ReplicaId& aId);
};

/**
 * @brief How many others must answer before a started replica may vote.
 *
 * See docs/md/consensus.md, "A disk that was rolled back".
 */
enum class Verification : std::uint8_t
{
  /**
   * The disk is known to be the one of the run before: one less than a
   * quorum of others.
   */
  Continued,
  /**
   * The disk may be an older copy, or lost its end: so many others that
   * every quorum which may have counted this replica is met.
   */
  Unproven,
  /**
   * The disk never loses a synced write unless it is emptied, as Raft assumes:
   * no others. Goes without reads by lease, which a voter that has just
   * started would not know to respect.
   */
  Durable,
};

/** @brief Names of `Verification`. */
inline constexpr std::array<EnumName<Verification>, 3> kVerificationNames{ {
  { Verification::Continued, "continued" },
  { Verification::Unproven, "unproven" },
  { Verification::Durable, "durable" },
} };

/** @brief Why a replica takes part in nothing any more until restarted. */
enum class Fault : std::uint8_t
{
  None,
  DiskFull,
  WriteFailed,
  SyncFailed,
  RolledBack, ///< Others know of later state than the disk showed.
  Removed,    ///< A committed membership no longer has this replica.
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
