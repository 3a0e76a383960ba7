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
  std::vector<Address> balancers_; ///< Each resend goes to a random one.
  std::uint64_t identity_{};       ///< Identity for fairness.
  std::uint64_t seed_{};           ///< Of the choice and the jitter.
  /** Wait before the first resend; it doubles up to `resendMost_`. */
  Duration resendAfter_{ std::chrono::milliseconds{ 200 } };
  Duration resendMost_{ std::chrono::seconds{ 1 } };
  /** How long a ticket may wait in the pool. */
  Duration ticketAge_{ std::chrono::seconds{ 20 } };
  std::size_t ticketPool_{ 0 }; ///< Tickets kept ahead for each service.
  std::size_t limit_{ 10'000 }; ///< Submissions open at once.
  std::uint32_t bindings_{ 4 }; ///< Tickets tried for a submission.
  std::size_t answerLimit_{ kMostBytes }; ///< Bytes of an answer.
};

/** @brief One request as the application hands it in. */
struct Submission
{
  RequestId id_; ///< Random; never used for another request.
  ServiceId service_;
  ClassId class_;
  TimePoint deadline_;
  std::string body_;
  /** The ticket of an earlier run of this caller, from its `Bound`. */
  std::optional<Ticket> ticket_;
  /** `mayHaveRun_` of that `Bound`. */
  bool mayHaveRun_{};
};

/** @brief Send to a balancer. */
struct SendToAddress
{
  Address to_;
  Message message_;
};

/**
 * @brief The id is bound to the ticket from now on.
 *
 * Comes before the first message that names the ticket. A caller that is to
 * resend after its own restart keeps it before it sends.
 */
struct Bound
{
  RequestKey key_;
  bool mayHaveRun_{}; ///< Under an earlier ticket; the class is repeatable.
};

/** @brief The one outcome of a submission. */
struct Done
{
  RequestId id_;
  Verdict verdict_{ Verdict::Unknown };
  Reason reason_{ Reason::None };
  Duration retryAfter_{};
  std::string answer_;
};

/** @brief What a caller wants done, in this order. */
using CallerAction = std::variant<SendToAddress, Bound, Done>;

/** @brief State of a caller, for the state dump. */
struct CallerDump
{
  std::size_t open_{};
  std::size_t pooled_{};
  std::uint64_t resends_{};
  std::uint64_t rebound_{};       ///< Tickets taken after a `not run`.
  std::uint64_t partsRejected_{}; ///< Of another attempt, or not whole.
  OutcomeCounts outcomes_;
};

/**
 * @brief Submits requests and gives each exactly one outcome.
 *
 * An id is bound to one ticket; another is taken only once the outcome under
 * the first is `not run`, or the class is repeatable.
 */
class Caller
{
public:
  /** @brief Starts a submission; `ResourceExhausted` or `AlreadyExists`. */
  [[nodiscard]] absl::StatusOr<std::vector<CallerAction>> Start(
    TimePoint aNow,
    Submission aSubmission);

  /** @brief Asks that the request not run, or be stopped. */
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
