#ifndef CORNELSHORE_CONSENSUS_EVENT_HPP
#define CORNELSHORE_CONSENSUS_EVENT_HPP

#include <array>
#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include <cornelshore/consensus/message.hpp>

namespace cornelshore::consensus {

/** @brief A message arrived. */
struct Received
{
  Message message_;
};

/** @brief The storage synced every write up to and with `id_`. */
struct Synced
{
  PersistId id_;
};

/** @brief A write or sync failed; nothing after it can be trusted. */
struct StorageFailed
{
  Fault fault_{ Fault::WriteFailed };
};

/** @brief `NextTimer()` was reached. */
struct Tick
{};

/** @brief An operator wants a change; answered by `ProposalResponse`. */
struct Propose
{
  Token token_;
  Change change_;
};

/** @brief How a membership is to be changed. */
enum class MembershipChangeKind : std::uint8_t
{
  AddLearner, ///< Becomes a voter by itself once caught up.
  Remove,
};

/** @brief Names of `MembershipChangeKind`. */
inline constexpr std::array<EnumName<MembershipChangeKind>, 2>
  kMembershipChangeKindNames{ {
    { MembershipChangeKind::AddLearner, "add_learner" },
    { MembershipChangeKind::Remove, "remove" },
  } };

/** @brief An operator changes the group; see `MembershipResponse`. */
struct ChangeMembership
{
  Token token_;
  MembershipChangeKind kind_{ MembershipChangeKind::AddLearner };
  ReplicaId replica_;
};

/** @brief A process asks for the configuration; see `ReadResponse`. */
struct Read
{
  Token token_;
};

/**
 * @brief An operator vouches that the disk holds all that was ever synced.
 *
 * For a group in which too few others are left to verify an `Unproven` disk.
 */
struct TrustDisk
{};

/** @brief Control nodes found; one that joins asks them besides its seeds. */
struct PeersDiscovered
{
  std::vector<NodeId> nodes_;
};

/** @brief What a replica is told. */
using Event = std::variant<Received,
                           PeersDiscovered,
                           Synced,
                           StorageFailed,
                           Tick,
                           Propose,
                           ChangeMembership,
                           Read,
                           TrustDisk>;

/** @brief What became of a proposal. */
enum class ProposalStatus : std::uint8_t
{
  Decided,     ///< `answer_` is final, and durable on a quorum.
  Unavailable, ///< Nothing was done; try again, or at the leader.
  Overloaded,  ///< Nothing was done: too many proposals are under way.
  Invalid,     ///< Nothing was done: the change is out of bounds.
  Unknown,     ///< May yet come into force; resend it with the same id.
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
  ChangeAnswer answer_;          ///< Means something when decided.
  std::optional<NodeId> leader_; ///< Where to try, when it is known.
};

/** @brief What became of a membership change. */
enum class MembershipStatus : std::uint8_t
{
  Done,
  Unavailable, ///< This is not the leader, or it holds no lease.
  Pending,     ///< Another change is not committed yet.
  Unchanged,   ///< The membership is already so.
  TooMany,     ///< The group would grow over its bound.
  Unsafe,      ///< Fewer than a new quorum of voters answer at present.
  Unknown,     ///< May yet take place: the leader lost its place.
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

/** @brief Answers a `Read`; the value is `Replica::AppliedRegister()` now. */
struct ReadResponse
{
  Token token_;
  bool confirmed_{}; ///< A lease or a quorum vouches that it is current.
};

/** @brief The register took in a newer configuration, or a snapshot. */
struct Applied
{
  ConfigVersion version_;
};

/** @brief The replica takes no further part; see `Fault`. */
struct ReplicaFaulted
{
  Fault fault_{ Fault::None };
};

/** @brief What the host of a replica must carry out, in this order. */
using Action = std::variant<Persist,
                            Send,
                            ProposalResponse,
                            MembershipResponse,
                            ReadResponse,
                            Applied,
                            ReplicaFaulted>;

} // namespace cornelshore::consensus

#endif
