#ifndef CORNELSHORE_ADMISSION_WORK_HPP
#define CORNELSHORE_ADMISSION_WORK_HPP

#include <array>
#include <cstdint>
#include <vector>

#include <cornelshore/core/names.hpp>
#include <cornelshore/core/time.hpp>
#include <cornelshore/core/types.hpp>

namespace cornelshore::admission {

/** @brief Identity of a caller, as a hash that is the same at every process. */
using CallerId = StrongId<struct CallerIdTag, std::uint64_t>;

/** @brief One request that asks for a slot. */
struct Work
{
  RequestId id_;
  ClassId class_;
  CallerId caller_;
  TimePoint deadline_{ TimePoint::max() }; ///< When its answer is worthless.
  bool longLived_{}; ///< Holds its slot for longer than slots are lent.

  bool operator==(const Work&) const noexcept = default;
};

/** @brief Why work or a flow was not admitted; it did not run. */
enum class Refusal : std::uint8_t
{
  None,
  UnknownClass,        ///< The configuration in force has no such class.
  DuplicateId,         ///< Work of this id waits or runs here already.
  QueueFull,           ///< The class's queue is at its bound.
  DeadlineUnreachable, ///< It could not finish by its deadline.
  OverLimit,           ///< The class claims the most it may.
  CallerOverShare,     ///< The caller holds more than its part of the class.
  NoCapacity,          ///< What is free is kept for other classes.
  Shed,                ///< A balancer sheds the class before any host.
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

/** @brief How work that held a slot ended, as the upstream showed it. */
enum class Result : std::uint8_t
{
  Done,      ///< Answered.
  Failed,    ///< Broke off or answered with an error of its own.
  Shed,      ///< Turned away by the upstream for load.
  Cancelled, ///< Given up by the caller while it ran.
};

/** @brief Names of `Result`. */
inline constexpr std::array<EnumName<Result>, 4> kResultNames{ {
  { Result::Done, "done" },
  { Result::Failed, "failed" },
  { Result::Shed, "shed" },
  { Result::Cancelled, "cancelled" },
} };

/** @brief What became of an offer. */
enum class Outcome : std::uint8_t
{
  Started, ///< It holds a slot: hand it to the upstream.
  Queued,  ///< It waits; a later call releases it.
  Refused, ///< It did not run and will not.
};

/** @brief Names of `Outcome`. */
inline constexpr std::array<EnumName<Outcome>, 3> kOutcomeNames{ {
  { Outcome::Started, "started" },
  { Outcome::Queued, "queued" },
  { Outcome::Refused, "refused" },
} };

/** @brief Queued work that started or was refused after its offer. */
struct QueueRelease
{
  Work work_;
  Outcome outcome_{ Outcome::Started }; ///< `Started` or `Refused`.
  Refusal reason_{ Refusal::None };
  Duration retryAfter_{}; ///< Jittered; when refused.

  bool operator==(const QueueRelease&) const noexcept = default;
};

/** @brief Answer to an offer, and what it displaced from the queue. */
struct OfferResult
{
  Outcome outcome_{ Outcome::Refused };
  Refusal reason_{ Refusal::None };
  Duration retryAfter_{}; ///< Jittered; when refused.
  std::vector<QueueRelease> released_;
};

} // namespace cornelshore::admission

#endif
