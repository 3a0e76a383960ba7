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
           TimePoint aEnd,
           std::uint64_t aNonce);

  /** @brief Tells whether the replica may vote and stand for election. */
  [[nodiscard]] bool Verified() const noexcept { return verified_; }
  [[nodiscard]] TimePoint WaitEnd() const noexcept { return end_; }
  [[nodiscard]] std::uint64_t Nonce() const noexcept { return nonce_; }

  /** @brief Takes in memberships, of this replica's log or of an answer. */
  void Learn(const Membership& aCommitted, const Membership& aNewest);
  /** @brief Takes in an answer; others' nonces are ignored. */
  void Answer(const ReplicaId& aFrom, Term aTerm, const HelloReply& aReply);
  /** @brief An operator vouches for the disk. */
  void Trust() noexcept { mode_ = Verification::Continued; }
  /** @brief Whether the replica must not even acknowledge entries yet. */
  [[nodiscard]] bool MustKeepSilent(TimePoint aNow) const noexcept
  {
    return mode_ == Verification::Unproven && aNow < end_;
  }
  /** @brief Looks whether enough has been heard. */
  void Update(TimePoint aNow);

  /** @brief Voters to ask: all but this replica. */
  [[nodiscard]] std::vector<ReplicaId> Asked() const;

  /** @brief Whether this replica's own state makes up for any loss. */
  [[nodiscard]] bool Proves(Term aTerm, Position aLast) const noexcept;

  /** @brief Whether a log's end is recent enough to elect its replica. */
  [[nodiscard]] bool MayElect(Term aTerm, Position aLast) const noexcept;

private:
  [[nodiscard]] bool Suffices(const Membership& aMembership) const noexcept;
  void Add(const Membership& aMembership);

  ReplicaId id_;
  Verification mode_;
  TimePoint end_;
  std::uint64_t nonce_;
  std::vector<Membership> memberships_; ///< Each may be the one in force.
  std::vector<ReplicaId> answered_;
  Position floor_;
  Term termFloor_;
  bool verified_{};
};

/** @brief What a replica remembers of another in this run. */
struct Witness
{
  Term term_;
  LogIndex committed_;
};

/** @brief What this replica remembers of the others. */
class Witnesses
{
public:
  /** @brief Heard the term from the replica; it had synced it. */
  void HeardTerm(const ReplicaId& aFrom, Term aTerm);
  /** @brief The replica acknowledged entries that are committed. */
  void Acknowledged(const ReplicaId& aFrom, LogIndex aCommitted);
  [[nodiscard]] Witness Of(const ReplicaId& aReplica) const;
  /** @brief Forgets replicas that are not in the membership. */
  void Keep(const Membership& aMembership);

private:
  absl::flat_hash_map<ReplicaId, Witness> witnesses_;
};

} // namespace cornelshore::consensus::internal

#endif
