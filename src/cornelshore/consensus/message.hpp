#ifndef CORNELSHORE_CONSENSUS_MESSAGE_HPP
#define CORNELSHORE_CONSENSUS_MESSAGE_HPP

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

#include <cornelshore/consensus/entry.hpp>
#include <cornelshore/consensus/types.hpp>
#include <cornelshore/core/time.hpp>

namespace cornelshore::consensus {

/** @brief Phase of an election. */
enum class Ballot : std::uint8_t
{
  PreVote, ///< Asks whether a vote would be granted; changes no state.
  Vote,
  /** A vote on behalf of the leader of the term before, which has given up its
   * lease (Raft 4.2.3). */
  Transfer,
};

/** @brief Names of `Ballot`. */
inline constexpr std::array<EnumName<Ballot>, 3> kBallotNames{ {
  { Ballot::PreVote, "pre_vote" },
  { Ballot::Vote, "vote" },
  { Ballot::Transfer, "transfer" },
} };

/** @brief Requests a vote in `term_`. */
struct VoteRequest
{
  Ballot ballot_{ Ballot::PreVote };
  Term term_;
  Position last_;       ///< Last entry of the candidate's log.
  LogIndex membership_; ///< Index of the candidate's latest membership.

  bool operator==(const VoteRequest&) const noexcept = default;
};

/** @brief Answers a `VoteRequest`. */
struct VoteReply
{
  Ballot ballot_{ Ballot::PreVote };
  Term term_; ///< Term of the request.
  bool granted_{};

  bool operator==(const VoteReply&) const noexcept = default;
};

/** @brief Replicates entries; a heartbeat when there are none. */
struct AppendRequest
{
  Position previous_; ///< Entry right before the first one.
  std::vector<Entry> entries_;
  LogIndex commit_;
  Duration sentAt_{}; ///< On the leader's clock; echoed in the reply.

  bool operator==(const AppendRequest&) const noexcept = default;
};

/** @brief Transfers a snapshot instead of compacted entries. */
struct SnapshotRequest
{
  std::shared_ptr<const Snapshot> snapshot_;
  Duration sentAt_{};

  bool operator==(const SnapshotRequest& aOther) const noexcept;
};

/** @brief Answers an `AppendRequest` or a `SnapshotRequest`. */
struct AppendReply
{
  bool accepted_{};
  LogIndex match_; ///< Synced and matching the leader's log up to here.
  LogIndex last_;  ///< On rejection: last index that may match.
  Duration sentAt_{};

  bool operator==(const AppendReply&) const noexcept = default;
};

/** @brief A restarted replica asks a voter for its state; see `Verification`.
 */
struct Hello
{
  std::uint64_t nonce_{}; ///< Identifies this start; echoed in the reply.
  Position last_;
  LogIndex membership_;

  bool operator==(const Hello&) const noexcept = default;
};

/** @brief Answers a `Hello`; sent once the state in it is synced. */
struct HelloReply
{
  std::uint64_t nonce_{};
  Position last_;     ///< Last entry of the sender's log.
  Term observedTerm_; ///< Highest term received from the restarted replica.
  LogIndex acknowledgedIndex_; ///< Committed index that the restarted replica
                               ///< acknowledged.
  Membership committed_;       ///< Latest committed membership.
  Membership newest_;          ///< Latest membership, committed or not.

  bool operator==(const HelloReply&) const noexcept = default;
};

/** @brief Asks to make a replica with an empty disk a learner; sent by it, and
 * forwarded to the leader by a member that does not lead. */
struct Join
{
  ReplicaId replica_;

  bool operator==(const Join&) const noexcept = default;
};

/** @brief Forwards a proposal to the leader. */
struct Forward
{
  Token token_;
  std::shared_ptr<const Change> change_;

  bool operator==(const Forward& aOther) const noexcept;
};

/** @brief Answers a `Forward`. */
struct ForwardReply
{
  Token token_;
  std::optional<ChangeAnswer> answer_; ///< None when the outcome is unknown.

  bool operator==(const ForwardReply&) const noexcept = default;
};

/** @brief Asks the leader for its current read index (Raft 6.4). */
struct ReadIndexRequest
{
  Token token_;

  bool operator==(const ReadIndexRequest&) const noexcept = default;
};

/** @brief Answers a `ReadIndexRequest`. */
struct ReadIndexReply
{
  Token token_;
  std::optional<LogIndex> index_; ///< None: leadership was not confirmed.

  bool operator==(const ReadIndexReply&) const noexcept = default;
};

/** @brief Tells a replica to stop participating. */
struct Refusal
{
  Fault fault_{ Fault::Removed }; ///< `RolledBack` or `Removed`.

  bool operator==(const Refusal&) const noexcept = default;
};

/** @brief Asks to replace a voter whose process stops by a caught-up learner;
 * sent by it, and forwarded to the leader by a member that does not lead. */
struct LeaveRequest
{
  ReplicaId replica_;
  /** Newest `AppendRequest::sentAt_` received: tells the leader that the
   * request is not a late one of an earlier run. */
  Duration leaderSentAt_{};

  bool operator==(const LeaveRequest&) const noexcept = default;
};

/** @brief Answers a `LeaveRequest`. */
struct LeaveReply
{
  bool replaced_{}; ///< No longer a member; false: no learner can replace it.

  bool operator==(const LeaveReply&) const noexcept = default;
};

/** @brief Asks an up-to-date voter to start an election at once (Raft 3.10). */
struct TimeoutNow
{
  bool operator==(const TimeoutNow&) const noexcept = default;
};

/** @brief Payload of a message. */
using Body = std::variant<VoteRequest,
                          VoteReply,
                          AppendRequest,
                          SnapshotRequest,
                          AppendReply,
                          Hello,
                          HelloReply,
                          Join,
                          Forward,
                          ForwardReply,
                          ReadIndexRequest,
                          ReadIndexReply,
                          Refusal,
                          LeaveRequest,
                          LeaveReply,
                          TimeoutNow>;

/** @brief A message between two replicas. */
struct Message
{
  ReplicaId from_;
  ReplicaId to_; ///< `disk_` 0: any replica at the node.
  Term term_;    ///< The sender's current term.
  Body body_;

  bool operator==(const Message&) const noexcept = default;
};

} // namespace cornelshore::consensus

#endif
