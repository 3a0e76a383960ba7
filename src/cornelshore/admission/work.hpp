#ifndef CORNELSHORE_ADMISSION_WORK_HPP
#define CORNELSHORE_ADMISSION_WORK_HPP

#include <array>
#include <cstdint>
#include <vector>

#include <cornelshore/core/names.hpp>
#include <cornelshore/core/time.hpp>
#include <cornelshore/core/types.hpp>

namespace cornelshore::admission {

/** @brief Hash that identifies a caller; equal in every process. */
using CallerId = StrongId<struct CallerIdTag, std::uint64_t>;

/** @brief One request for a slot. */
struct Work
{
  RequestId id_;
  ClassId class_;
  CallerId caller_;
  TimePoint deadline_{ TimePoint::max() }; ///< Answers after it are useless.
  bool longLived_{}; ///< Holds its slot beyond the lending bound.

  bool operator==(const Work&) const noexcept = default;
};

/** @brief Why work or a flow was refused; refused work never ran. */
enum class Refusal : std::uint8_t
{
  None,
  UnknownClass,        ///< The configuration in force has no such class.
  DuplicateId,         ///< Work of this id is already queued or running.
  QueueFull,           ///< The class's queue is full, or its wait too long.
  DeadlineUnreachable, ///< It cannot finish by its deadline.
  OverLimit,           ///< The class has reached its limit.
  CallerOverShare,     ///< The caller exceeds its share of the class.
  NoCapacity,          ///< No capacity is available to the class.
  Shed,                ///< Shed by a balancer.
};

/** @brief Names of `Refusal`. */
inline constexpr std::array<EnumName<Refusal>, 9> kRefusalNames{ {
  { Refusal::None, "none" },
  { Refusal::UnknownClass, "unknown_class" },
  { Refusal::DuplicateId, "duplicate_id" },
  { Refusal::QueueFull, "queue_full" },
  { Refusal::DeadlineUnreachable, "deadline_unreachable" },
  { Refusal::OverLimit, "over_most" },
  { Refusal::CallerOverShare, "caller_over_share" },
  { Refusal::NoCapacity, "no_capacity" },
  { Refusal::Shed, "shed" },
} };

/** @brief How work that held a slot ended. */
enum class Result : std::uint8_t
{
  Done,      ///< Answered.
  Failed,    ///< The upstream aborted or returned an error.
  Shed,      ///< Refused by the upstream due to load.
  Cancelled, ///< Cancelled by the caller while running.
};

/** @brief Names of `Result`. */
inline constexpr std::array<EnumName<Result>, 4> kResultNames{ {
  { Result::Done, "done" },
  { Result::Failed, "failed" },
  { Result::Shed, "shed" },
  { Result::Cancelled, "cancelled" },
} };

/** @brief Result of an offer. */
enum class Outcome : std::uint8_t
{
  Started, ///< It holds a slot and can be sent to the upstream.
  Queued,  ///< A later call starts or refuses it.
  Refused, ///< It did not run and will not.
};

/** @brief Names of `Outcome`. */
inline constexpr std::array<EnumName<Outcome>, 3> kOutcomeNames{ {
  { Outcome::Started, "started" },
  { Outcome::Queued, "queued" },
  { Outcome::Refused, "refused" },
} };

/** @brief Queued work that was started or refused after its offer. */
struct QueueRelease
{
  Work work_;
  Outcome outcome_{ Outcome::Started }; ///< `Started` or `Refused`.
  Refusal reason_{ Refusal::None };
  Duration retryAfter_{}; ///< Jittered; set when refused.

  bool operator==(const QueueRelease&) const noexcept = default;
};

/** @brief Result of an offer, and queued work that it released. */
struct OfferResult
{
  Outcome outcome_{ Outcome::Refused };
  Refusal reason_{ Refusal::None };
  Duration retryAfter_{}; ///< Jittered; set when refused.
  std::vector<QueueRelease> released_;
};

} // namespace cornelshore::admission

#endif
