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

/** @brief Changes whose first answer is kept for a resend. */
inline constexpr std::size_t kMaxCachedAnswers = 4096;

/** @brief Accepted changes that `Register::History` shows. */
inline constexpr std::size_t kHistoryLength = 256;

/** @brief Most bytes of an operator's name. */
inline constexpr std::size_t kMaxOperatorNameBytes = 128;

/** @brief A new configuration, as one operator wants it. */
struct Change
{
  RequestId id_;               ///< Chosen by the operator, kept on a resend.
  ConfigVersion expected_;     ///< Version that the operator saw in force.
  std::string operator_;       ///< Name of the operator.
  std::uint64_t wallMillis_{}; ///< Proposer's wall time, ms since 1970.
  std::vector<ServiceTarget> services_; ///< The whole new configuration.
  std::vector<Route> routes_{};
  Duration flowIdleTimeout_{};
  /**
   * Version that the operator chose; the highest one wins whatever is in
   * force. 0: compare-and-set with `expected_`.
   */
  ConfigVersion chosen_{};
  std::string document_{}; ///< Operator's own text, kept for reads; opaque.

  bool operator==(const Change&) const noexcept = default;
};

/** @brief What became of a change. */
enum class ChangeOutcome : std::uint8_t
{
  Accepted,   ///< In force as `version_`, and durable on a quorum.
  Conflict,   ///< Another change took the expected version's place.
  IdReused,   ///< The id was used before for another change.
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
  ConfigVersion version_;    ///< Accepted: the new one; else the one in force.
  RequestId acceptedChange_; ///< Change that made `version_`.
  bool replayed_{};          ///< The first answer to this id, given again.

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

/** @brief First answer to a change, kept for resends. */
struct CachedAnswer
{
  RequestId change_;
  std::uint64_t fingerprint_{}; ///< Of what the change asked for.
  ChangeAnswer answer_;

  bool operator==(const CachedAnswer&) const noexcept = default;
};

/** @brief All of a register, as a snapshot holds it. */
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
 * @brief The configuration in force, changed by compare-and-set.
 *
 * The state machine of the replicated log: the same changes in the same
 * order give the same answers at every replica. A change is accepted when the
 * version that it expects is in force; versions grow by one. A change with a
 * version of its own choice is accepted when that is above the one in force. An
 * id seen before gets its first answer again. An id older than the last
 * `kMaxCachedAnswers` ones is not recognised, but cannot be accepted twice:
 * its expected version is never in force again.
 */
class Register
{
public:
  Register() = default;
  explicit Register(RegisterState aState);

  /** @brief Carries out the next change of the log. */
  ChangeAnswer Apply(const Change& aChange);

  /** @brief First answer to the change when it is remembered. */
  [[nodiscard]] const CachedAnswer* FindAnswer(const RequestId& aChange) const;

  [[nodiscard]] const Configuration& Current() const noexcept
  {
    return state_.configuration_;
  }

  /** @brief Operator's own text of the configuration in force. */
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
  std::uint64_t evictedAnswers_{}; ///< Answers dropped from the front so far.
};

/** @brief Hash of what a change asks for, without its id and wall time. */
[[nodiscard]] std::uint64_t FingerprintOf(const Change& aChange) noexcept;

} // namespace cornelshore::consensus

#endif
