#ifndef CORNELSHORE_CONSENSUS_REGISTER_HPP
#define CORNELSHORE_CONSENSUS_REGISTER_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include <cornelshore/core/names.hpp>
#include <cornelshore/core/target.hpp>
#include <cornelshore/core/types.hpp>

namespace cornelshore::consensus {

/** @brief Answers cached so that retries of a change are idempotent. */
inline constexpr std::size_t kMaxCachedAnswers = 4096;

/** @brief Accepted changes that `Register::History` retains. */
inline constexpr std::size_t kHistoryLength = 256;

/** @brief Maximum length of an operator's name, in bytes. */
inline constexpr std::size_t kMaxOperatorNameBytes = 128;

/** @brief New configuration proposed by an operator. */
struct Change
{
  RequestId id_;           ///< Chosen by the operator; the same on a retry.
  ConfigVersion expected_; ///< Version in force that the operator last saw.
  std::string operator_;
  std::uint64_t wallMillis_{};          ///< Proposer's Unix time, in ms.
  std::vector<ServiceTarget> services_; ///< Replaces all services.
  std::vector<Route> routes_{};
  Duration flowIdleTimeout_{};
  /**
   * Explicit version chosen by the operator; accepted when it is above the
   * version in force. 0: compare-and-set with `expected_`.
   */
  ConfigVersion chosen_{};
  std::string document_{}; ///< Opaque text of the operator, returned by reads.

  bool operator==(const Change&) const noexcept = default;
};

/** @brief Outcome of a change. */
enum class ChangeOutcome : std::uint8_t
{
  Accepted,   ///< In force as `version_`, and durable on a quorum.
  Conflict,   ///< The expected version is not the one in force.
  IdReused,   ///< The id was already used for a different change.
  Superseded, ///< The chosen version is not above the one in force.
};

/** @brief Names of `ChangeOutcome`. */
inline constexpr std::array<EnumName<ChangeOutcome>, 4> kChangeOutcomeNames{ {
  { ChangeOutcome::Accepted, "accepted" },
  { ChangeOutcome::Conflict, "conflict" },
  { ChangeOutcome::IdReused, "id_reused" },
  { ChangeOutcome::Superseded, "superseded" },
} };

/** @brief Answer to a change. */
struct ChangeAnswer
{
  ChangeOutcome outcome_{ ChangeOutcome::Conflict };
  ConfigVersion version_;    ///< New one if accepted, else the one in force.
  RequestId acceptedChange_; ///< Change that created `version_`.
  bool replayed_{}; ///< Cached answer to an earlier attempt with this id.

  bool operator==(const ChangeAnswer&) const noexcept = default;
};

/** @brief One accepted change. */
struct HistoryEntry
{
  ConfigVersion version_;
  RequestId change_;
  std::string operator_;
  std::uint64_t wallMillis_{};

  bool operator==(const HistoryEntry&) const noexcept = default;
};

/** @brief Cached first answer to a change, returned on retries. */
struct CachedAnswer
{
  RequestId change_;
  std::uint64_t fingerprint_{}; ///< Hash of the change's content.
  ChangeAnswer answer_;

  bool operator==(const CachedAnswer&) const noexcept = default;
};

/** @brief Complete state of a register, as stored in a snapshot. */
struct RegisterState
{
  Configuration configuration_;
  std::string document_{}; ///< Of the change in force.
  RequestId acceptedChange_;
  std::deque<HistoryEntry> history_; ///< Oldest first.
  std::deque<CachedAnswer> answers_; ///< Oldest first.

  bool operator==(const RegisterState&) const noexcept = default;
};

/**
 * @brief Configuration in force, updated by compare-and-set.
 *
 * Deterministic state machine of the replicated log: the same changes in the
 * same order give the same answers at every replica. A change is accepted when
 * the version that it expects is in force; versions increase by one. A change
 * with an explicit version is accepted when that version is above the one in
 * force. A retry with a known id returns the first answer. An id older than the
 * last `kMaxCachedAnswers` ones is not recognised, but cannot be accepted
 * twice: its expected version is never in force again.
 */
class Register
{
public:
  Register() = default;
  explicit Register(RegisterState aState);

  /** @brief Applies the next change of the log. */
  ChangeAnswer Apply(const Change& aChange);

  /** @brief Cached first answer to the change, or null. */
  [[nodiscard]] const CachedAnswer* FindAnswer(const RequestId& aChange) const;

  [[nodiscard]] const Configuration& Current() const noexcept
  {
    return state_.configuration_;
  }

  /** @brief Operator's text of the configuration in force. */
  [[nodiscard]] const std::string& Document() const noexcept
  {
    return state_.document_;
  }

  /** @brief The last `kHistoryLength` accepted changes, oldest first. */
  [[nodiscard]] const std::deque<HistoryEntry>& History() const noexcept
  {
    return state_.history_;
  }

  [[nodiscard]] const RegisterState& State() const noexcept { return state_; }

private:
  ChangeAnswer Evaluate(const Change& aChange);
  void CacheAnswer(const Change& aChange, const ChangeAnswer& aAnswer);

  RegisterState state_;
  absl::flat_hash_map<RequestId, std::uint64_t> answerPositions_;
  std::uint64_t evictedAnswers_{}; ///< Answers evicted from the front so far.
};

/** @brief Hash of a change's content, without its id and wall-clock time. */
[[nodiscard]] std::uint64_t FingerprintOf(const Change& aChange) noexcept;

} // namespace cornelshore::consensus

#endif
