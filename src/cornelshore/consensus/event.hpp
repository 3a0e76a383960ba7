#ifndef CORNELSHORE_CONSENSUS_EVENT_HPP
#define CORNELSHORE_CONSENSUS_EVENT_HPP

#include <array>
#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include <cornelshore/consensus/message.hpp>

namespace cornelshore::consensus {

/** @brief A message from another replica arrived. */
struct Received
{
  Message message_;
};

/** @brief The storage synced every write up to and including `id_`. */
struct Synced
{
  PersistId id_;
};

/** @brief A write or sync failed; later writes are not durable either. */
struct StorageFailed
{
  Fault fault_{ Fault::WriteFailed };
};

/** @brief The time given by `NextTimer()` was reached. */
struct Tick
{};

/** @brief An operator proposes a change; answered by `ProposalResponse`. */
struct Propose
{
  Token token_;
  Change change_;
};

/** @brief Kind of membership change. */
enum class MembershipChangeKind : std::uint8_t
{
  AddLearner, ///< Promoted to voter automatically once it has caught up.
  Remove,
};

/** @brief Names of `MembershipChangeKind`. */
inline constexpr std::array<EnumName<MembershipChangeKind>, 2>
  kMembershipChangeKindNames{ {
    { MembershipChangeKind::AddLearner, "add_learner" },
    { MembershipChangeKind::Remove, "remove" },
  } };

/** @brief An operator changes the group; answered by `MembershipResponse`. */
struct ChangeMembership
{
  Token token_;
  MembershipChangeKind kind_{ MembershipChangeKind::AddLearner };
  ReplicaId replica_;
};

/** @brief A linearizable read of the configuration; answered by `ReadResponse`.
 */
struct Read
{
  Token token_;
};

/**
 * @brief An operator confirms that the disk holds every write that was ever
 * synced.
 *
 * Needed when too few other replicas are left to verify an `Unproven` disk.
 */
struct TrustDisk
{};

/** @brief The process stops; answered by `LeaveFinished`. A leader transfers
 * its leadership, and a caught-up learner replaces a voter. */
struct Leave
{};

/** @brief Control nodes that are known now and answer; a joining replica
 * contacts the first `kMaxMembers` of the latest ones besides its seeds. */
struct PeersDiscovered
{
  std::vector<NodeId> nodes_;
};

/** @brief Input of a replica. */
using Event = std::variant<Received,
                           PeersDiscovered,
                           Synced,
                           StorageFailed,
                           Tick,
                           Propose,
                           ChangeMembership,
                           Read,
                           TrustDisk,
                           Leave>;

/** @brief Outcome of a proposal. */
enum class ProposalStatus : std::uint8_t
{
  Decided,     ///< `answer_` is final, and durable on a quorum.
  Unavailable, ///< Not appended; retry, preferably at the leader.
  Overloaded,  ///< Not appended: too many proposals are pending.
  Invalid,     ///< Not appended: the change is out of bounds.
  Unknown,     ///< May still be committed; retry with the same id.
};

/** @brief Names of `ProposalStatus`. */
inline constexpr std::array<EnumName<ProposalStatus>, 5> kProposalStatusNames{ {
  { ProposalStatus::Decided, "decided" },
  { ProposalStatus::Unavailable, "unavailable" },
  { ProposalStatus::Overloaded, "overloaded" },
  { ProposalStatus::Invalid, "invalid" },
  { ProposalStatus::Unknown, "unknown" },
} };

/** @brief Sends a message to the node `message_.to_.node_`. */
struct Send
{
  Message message_;
};

/** @brief Answers a `Propose`. */
struct ProposalResponse
{
  Token token_;
  ProposalStatus status_{ ProposalStatus::Unavailable };
  ChangeAnswer answer_;          ///< Valid only when the status is `Decided`.
  std::optional<NodeId> leader_; ///< Current leader, if known.
};

/** @brief Outcome of a membership change. */
enum class MembershipStatus : std::uint8_t
{
  Done,
  Unavailable, ///< This replica is not the leader, or its lease has expired.
  Pending,     ///< Another membership change is not committed yet.
  Unchanged,   ///< The membership already has the requested state.
  TooMany,     ///< The group would exceed its size limit.
  Unsafe,      ///< Fewer voters than the new quorum respond at present.
  Unknown,     ///< May still be committed: the leader stepped down.
};

/** @brief Names of `MembershipStatus`. */
inline constexpr std::array<EnumName<MembershipStatus>, 7>
  kMembershipStatusNames{ {
    { MembershipStatus::Done, "done" },
    { MembershipStatus::Unavailable, "unavailable" },
    { MembershipStatus::Pending, "pending" },
    { MembershipStatus::Unchanged, "needless" },
    { MembershipStatus::TooMany, "too_many" },
    { MembershipStatus::Unsafe, "unsafe" },
    { MembershipStatus::Unknown, "unknown" },
  } };

/** @brief Answers a `ChangeMembership`. */
struct MembershipResponse
{
  Token token_;
  MembershipStatus status_{ MembershipStatus::Unavailable };
  std::optional<NodeId> leader_;
};

/** @brief Answers a `Read`; the value is that of `Replica::AppliedRegister()`
 * on return. */
struct ReadResponse
{
  Token token_;
  bool confirmed_{}; ///< Confirmed as current by a lease or a quorum.
};

/** @brief The register applied a newer configuration or a snapshot. */
struct Applied
{
  ConfigVersion version_;
};

/** @brief The process may end. */
struct LeaveFinished
{
  bool replaced_{}; ///< No longer a member: its disk must not be used again.
};

/** @brief The replica stopped participating; see `Fault`. */
struct ReplicaFaulted
{
  Fault fault_{ Fault::None };
};

/** @brief Output of a replica, which its host must perform in order. */
using Action = std::variant<Persist,
                            Send,
                            ProposalResponse,
                            MembershipResponse,
                            ReadResponse,
                            Applied,
                            LeaveFinished,
                            ReplicaFaulted>;

} // namespace cornelshore::consensus

#endif
