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

/** @brief Round of an election. */
enum class Ballot : std::uint8_t
{
  PreVote, ///< Asks whether a vote would be given; changes no state.
  Vote,
};

/** @brief Names of `Ballot`. */
inline constexpr std::array<EnumName<Ballot>, 2> kBallotNames{ {
  { Ballot::PreVote, "pre_vote" },
  { Ballot::Vote, "vote" },
} };

/** @brief Asks for a vote in `term_`. */
struct VoteRequest
{
  Ballot ballot_{ Ballot::PreVote };
  Term term_;
  Position last_;       ///< Last entry of the candidate's log.
  LogIndex membership_; ///< Index of the newest membership it knows.

  bool operator==(const VoteRequest&) const noexcept = default;
};

/** @brief Answers a `VoteRequest`. */
struct VoteReply
{
  Ballot ballot_{ Ballot::PreVote };
  Term term_; ///< As asked.
  bool granted_{};

  bool operator==(const VoteReply&) const noexcept = default;
};

/** @brief Brings entries, or is a heartbeat when it brings none. */
struct AppendRequest
{
  Position previous_; ///< Entry right before the first one.
  std::vector<Entry> entries_;
  LogIndex commit_;
  Duration sentAt_{}; ///< On the leader's clock; the reply repeats it.

  bool operator==(const AppendRequest&) const noexcept = default;
};

/** @brief Brings a snapshot in place of compacted entries. */
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
  LogIndex match_; ///< Synced, and the same as the leader's up to here.
  LogIndex last_;  ///< Refused: last index that might be the same.
  Duration sentAt_{};

  bool operator==(const AppendReply&) const noexcept = default;
};

/** @brief A started replica asks what the others know, see `Verification`. */
struct Hello
{
  std::uint64_t nonce_{}; ///< Tells the answers of this start from others.
  Position last_;
  LogIndex membership_;

  bool operator==(const Hello&) const noexcept = default;
};

/** @brief Answers a `Hello`; sent once all that it tells is synced. */
struct HelloReply
{
  std::uint64_t nonce_{};
  Position last_;              ///< Of the answering replica's log.
  Term observedTerm_;          ///< Greatest term heard from the asker.
  LogIndex acknowledgedIndex_; ///< Committed index that the asker acknowledged.
  Membership committed_;       ///< Newest membership that is committed.
  Membership newest_;          ///< Newest membership, committed or not.

  bool operator==(const HelloReply&) const noexcept = default;
};

/** @brief A replica on an empty disk asks to become a learner. */
struct Join
{
  bool operator==(const Join&) const noexcept = default;
};

/** @brief Brings a proposal to the leader. */
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
  std::optional<ChangeAnswer> answer_; ///< None when the fate is not known.

  bool operator==(const ForwardReply&) const noexcept = default;
};

/** @brief Asks the leader for an index that is current now (Raft 6.4). */
struct ReadIndexRequest
{
  Token token_;

  bool operator==(const ReadIndexRequest&) const noexcept = default;
};

/** @brief Answers a `ReadIndexRequest`. */
struct ReadIndexReply
{
  Token token_;
  std::optional<LogIndex> index_; ///< None when nothing vouches for it.

  bool operator==(const ReadIndexReply&) const noexcept = default;
};

/** @brief Tells a replica that it must take no further part. */
struct Refusal
{
  Fault fault_{ Fault::Removed }; ///< `RolledBack` or `Removed`.

  bool operator==(const Refusal&) const noexcept = default;
};

/** @brief What a message says. */
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
                          Refusal>;

/** @brief A message between two replicas. */
struct Message
{
  ReplicaId from_;
  ReplicaId to_; ///< `disk_` 0: whichever replica is at the node.
  Term term_;    ///< The sender's present term.
  Body body_;

  bool operator==(const Message&) const noexcept = default;
};

} // namespace cornelshore::consensus

#endif
