#ifndef CORNELSHORE_REQUEST_CALLER_HPP
#define CORNELSHORE_REQUEST_CALLER_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cornelshore/core/address.hpp>
#include <cornelshore/core/time.hpp>
#include <cornelshore/core/types.hpp>
#include <cornelshore/request/message.hpp>
#include <cornelshore/request/outcome.hpp>

namespace cornelshore::request {

/** @brief Settings of a caller. */
struct CallerSettings
{
  std::vector<Address> balancers_; ///< Each message goes to a random one.
  std::uint64_t identity_{};       ///< Caller identity for fair sharing.
  std::uint64_t seed_{};           ///< Seed of balancer choice and jitter.
  /** Wait before the first resend; it doubles up to `maxResendAfter_`. */
  Duration resendAfter_{ std::chrono::milliseconds{ 200 } };
  Duration maxResendAfter_{ std::chrono::seconds{ 1 } };
  /** Maximum age of a pooled ticket. */
  Duration ticketAge_{ std::chrono::seconds{ 20 } };
  std::size_t ticketPool_{ 0 }; ///< Tickets prefetched per service and class.
  std::size_t limit_{ 10'000 }; ///< Maximum number of open submissions.
  std::uint32_t bindings_{ 4 }; ///< Maximum number of tickets per submission.
  std::size_t answerLimit_{ kMostBytes }; ///< Maximum answer size in bytes.
};

/** @brief One request of the application. */
struct Submission
{
  RequestId id_; ///< Random; never used for another request.
  ServiceId service_;
  ClassId class_;
  TimePoint deadline_;
  std::string body_;
  /** Ticket from the `Bound` of an earlier run of this caller. */
  std::optional<Ticket> ticket_;
  /** `mayHaveRun_` of that `Bound`. */
  bool mayHaveRun_{};
};

/** @brief Sends a message to a balancer. */
struct SendToAddress
{
  Address to_;
  Message message_;
};

/**
 * @brief Binds the id to the ticket.
 *
 * Precedes the first message that names the ticket. An application that
 * resends after its own restart stores it before sending that message.
 */
struct Bound
{
  RequestKey key_;
  bool mayHaveRun_{}; ///< It may have run under an earlier ticket.
};

/** @brief Final outcome of a submission; sent exactly once. */
struct Done
{
  RequestId id_;
  Verdict verdict_{ Verdict::Unknown };
  Reason reason_{ Reason::None };
  Duration retryAfter_{};
  std::string answer_;
};

/** @brief Action requested by a caller; actions are ordered. */
using CallerAction = std::variant<SendToAddress, Bound, Done>;

/** @brief State dump of a caller. */
struct CallerDump
{
  std::size_t open_{};
  std::size_t pooled_{};
  std::uint64_t resends_{};
  std::uint64_t rebound_{};       ///< Further tickets requested for an id.
  std::uint64_t partsRejected_{}; ///< Unknown, stale or inconsistent parts.
  OutcomeCounts outcomes_;
};

/**
 * @brief Submits requests and reports exactly one outcome for each.
 *
 * An id is bound to one ticket; a new ticket is requested only if the outcome
 * under the previous one is `not run` or the class is repeatable.
 */
class Caller
{
public:
  /**
   * @brief Starts a submission.
   * @return Actions; `AlreadyExists` if the id is open, `ResourceExhausted` if
   * too many submissions are open.
   */
  [[nodiscard]] absl::StatusOr<std::vector<CallerAction>> Start(
    TimePoint aNow,
    Submission aSubmission);

  /** @brief Cancels a request. */
  [[nodiscard]] std::vector<CallerAction> Stop(TimePoint aNow, RequestId aId);

  /** @brief Handles one message from a balancer. */
  [[nodiscard]] std::vector<CallerAction> On(TimePoint aNow, Message aMessage);

  /** @brief Handles the timers that are due. */
  [[nodiscard]] std::vector<CallerAction> Tick(TimePoint aNow);

  [[nodiscard]] std::optional<TimePoint> NextTimer() const;

  [[nodiscard]] CallerDump Dump() const;

  Caller(const Caller& aOther);
  Caller(Caller&& aOther) noexcept;
  Caller& operator=(const Caller& aOther);
  Caller& operator=(Caller&& aOther) noexcept;
  ~Caller();

private:
  friend class CallerBuilder;
  struct State;

  explicit Caller(std::unique_ptr<State> aState);

  std::unique_ptr<State> state_;
};

/** @brief Builds a `Caller`. */
class CallerBuilder
{
public:
  CallerBuilder& With(CallerSettings aSettings);

  /** @return The caller, or `InvalidArgument` naming the setting. */
  [[nodiscard]] absl::StatusOr<Caller> Build() const;

private:
  CallerSettings settings_;
};

} // namespace cornelshore::request

#endif
