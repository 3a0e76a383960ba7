#ifndef CORNELSHORE_CONSENSUS_VERIFIER_HPP
#define CORNELSHORE_CONSENSUS_VERIFIER_HPP

#include <cstdint>
#include <optional>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include <cornelshore/consensus/message.hpp>
#include <cornelshore/core/time.hpp>

namespace cornelshore::consensus::internal {

/**
 * @brief Decides when a started replica may vote.
 *
 * First it waits as long as any vote or acknowledgement that it gave before
 * the start may still be counted; then it asks the others for their logs'
 * ends, and keeps from electing who is behind them.
 */
class Verifier
{
public:
  /**
   * @param aEnd End of the waiting time.
   * @param aNonce Of this start; repeated by the answers that count.
   */
  Verifier(ReplicaId aId,
           Verification aMode,
           TimePoint aWaitEnd,
           std::uint64_t aNonce);

  /** @brief Tells whether the replica may vote and stand for election. */
  [[nodiscard]] bool Verified() const noexcept { return verified_; }
  [[nodiscard]] TimePoint WaitEnd() const noexcept { return waitEnd_; }
  [[nodiscard]] std::uint64_t Nonce() const noexcept { return nonce_; }

  /** @brief Takes in memberships, of this replica's log or of an answer. */
  void AddMemberships(const Membership& aCommitted, const Membership& aNewest);
  /** @brief Takes in an answer; others' nonces are ignored. */
  void AddReply(const ReplicaId& aFrom, Term aTerm, const HelloReply& aReply);
  /** @brief An operator vouches for the disk. */
  void Trust() noexcept { mode_ = Verification::Continued; }
  /** @brief Whether the replica must not even acknowledge entries yet. */
  [[nodiscard]] bool MustNotAcknowledge(TimePoint aNow) const noexcept
  {
    return mode_ == Verification::Unproven && aNow < waitEnd_;
  }
  /** @brief Looks whether enough has been heard. */
  void Update(TimePoint aNow);

  /** @brief Voters to ask: all but this replica. */
  [[nodiscard]] std::vector<ReplicaId> VotersToQuery() const;

  /** @brief Whether this replica's own state makes up for any loss. */
  [[nodiscard]] bool RestoresDurability(Term aTerm,
                                        Position aLast) const noexcept;

  /** @brief Whether a log's end is recent enough to elect its replica. */
  [[nodiscard]] bool IsElectable(Term aTerm, Position aLast) const noexcept;

private:
  [[nodiscard]] bool HasEnoughReplies(
    const Membership& aMembership) const noexcept;
  void Add(const Membership& aMembership);

  ReplicaId id_;
  Verification mode_;
  TimePoint waitEnd_;
  std::uint64_t nonce_;
  std::vector<Membership> memberships_; ///< Each may be the one in force.
  std::vector<ReplicaId> respondedVoters_;
  Position minPosition_;
  Term minTerm_;
  bool verified_{};
};

/** @brief What a replica remembers of another in this run. */
struct PeerObservation
{
  Term term_;
  LogIndex committed_;
};

/** @brief What this replica remembers of the others. */
class PeerObservations
{
public:
  /** @brief Heard the term from the replica; it had synced it. */
  void RecordTerm(const ReplicaId& aFrom, Term aTerm);
  /** @brief The replica acknowledged entries that are committed. */
  void RecordAcknowledgement(const ReplicaId& aFrom, LogIndex aCommitted);
  [[nodiscard]] PeerObservation Of(const ReplicaId& aReplica) const;
  /** @brief Forgets replicas that are not in the membership. */
  void RetainMembers(const Membership& aMembership);

private:
  absl::flat_hash_map<ReplicaId, PeerObservation> peerObservations_;
};

} // namespace cornelshore::consensus::internal

#endif
