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
 * @brief Decides when a restarted replica may vote.
 *
 * Waits until votes and acknowledgements sent before the restart can no longer
 * be counted, then queries the voters for the last positions of their logs.
 * With an unproven disk, grants no vote to a candidate that is behind them.
 */
class Verifier
{
public:
  /**
   * @param aWaitEnd End of the waiting period.
   * @param aNonce Identifies this start; replies with another nonce are
   * ignored.
   */
  Verifier(ReplicaId aId,
           Verification aMode,
           TimePoint aWaitEnd,
           std::uint64_t aNonce);

  /** @brief Whether the replica may vote and stand for election. */
  [[nodiscard]] bool Verified() const noexcept { return verified_; }
  [[nodiscard]] TimePoint WaitEnd() const noexcept { return waitEnd_; }
  [[nodiscard]] std::uint64_t Nonce() const noexcept { return nonce_; }

  /** @brief Adds memberships from this replica's log or from a reply. */
  void AddMemberships(const Membership& aCommitted, const Membership& aNewest);
  /** @brief Processes a reply; ignores one with another nonce. */
  void AddReply(const ReplicaId& aFrom, Term aTerm, const HelloReply& aReply);
  /** @brief Treats the disk as intact, as an operator confirmed. */
  void Trust() noexcept { mode_ = Verification::Continued; }
  /** @brief Whether the replica must not acknowledge entries yet. */
  [[nodiscard]] bool MustNotAcknowledge(TimePoint aNow) const noexcept
  {
    return mode_ == Verification::Unproven && aNow < waitEnd_;
  }
  /** @brief Updates `Verified()` from the time and the replies so far. */
  void Update(TimePoint aNow);

  /** @brief Voters to query: all except this replica. */
  [[nodiscard]] std::vector<ReplicaId> VotersToQuery() const;

  /** @brief Whether this replica's state is at least as recent as that of all
   * voters that replied, so that no synced write is missing. */
  [[nodiscard]] bool RestoresDurability(Term aTerm,
                                        Position aLast) const noexcept;

  /** @brief Whether a candidate with this term and last position is recent
   * enough to receive a vote. */
  [[nodiscard]] bool IsElectable(Term aTerm, Position aLast) const noexcept;

private:
  [[nodiscard]] bool HasEnoughReplies(
    const Membership& aMembership) const noexcept;
  void Add(const Membership& aMembership);

  ReplicaId id_;
  Verification mode_;
  TimePoint waitEnd_;
  std::uint64_t nonce_;
  std::vector<Membership> memberships_; ///< Any may be the one in force.
  std::vector<ReplicaId> respondedVoters_;
  Position minPosition_;
  Term minTerm_;
  bool verified_{};
};

/** @brief Highest state received from a peer since the start. */
struct PeerObservation
{
  Term term_;
  LogIndex committed_;
};

/** @brief Highest state received from each peer since the start. */
class PeerObservations
{
public:
  /** @brief Records a term that the peer sent, and hence had synced. */
  void RecordTerm(const ReplicaId& aFrom, Term aTerm);
  /** @brief Records that the peer acknowledged committed entries. */
  void RecordAcknowledgement(const ReplicaId& aFrom, LogIndex aCommitted);
  [[nodiscard]] PeerObservation Of(const ReplicaId& aReplica) const;
  /** @brief Removes peers that are not in the membership. */
  void RetainMembers(const Membership& aMembership);

private:
  absl::flat_hash_map<ReplicaId, PeerObservation> peerObservations_;
};

} // namespace cornelshore::consensus::internal

#endif
