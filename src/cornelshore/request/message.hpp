#ifndef CORNELSHORE_REQUEST_MESSAGE_HPP
#define CORNELSHORE_REQUEST_MESSAGE_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>

#include <cornelshore/core/address.hpp>
#include <cornelshore/core/names.hpp>
#include <cornelshore/core/time.hpp>
#include <cornelshore/core/types.hpp>
#include <cornelshore/request/outcome.hpp>
#include <cornelshore/request/ticket.hpp>

namespace cornelshore::request {

/** @brief Maximum bytes of a body, an answer or an answer part. */
inline constexpr std::size_t kMostBytes = 49'152;

/** @brief Maximum number of parts of one answer. */
inline constexpr std::size_t kMaxAnswerParts = 1024;

/**
 * @brief Return path to a caller.
 *
 * Set by the balancer that relays a caller's message and copied into the
 * reply, so that balancers keep no per-request state.
 */
struct Route
{
  Address caller_;
  NodeId balancer_;

  bool operator==(const Route&) const noexcept = default;
};

/** @brief Service, class and caller of a request. */
struct Work
{
  ServiceId service_;
  ClassId class_;
  std::uint64_t caller_{}; ///< Caller identity for fair sharing.

  bool operator==(const Work&) const noexcept = default;
};

/** @brief Caller to home: requests a ticket for the id. */
struct TicketRequest
{
  RequestId id_;
  Work work_;
  std::uint32_t choice_{}; ///< Number of unresponsive hosts to skip.
  Route route_;

  bool operator==(const TicketRequest&) const noexcept = default;
};

/** @brief Home or balancer to caller: a ticket, or a refusal. */
struct TicketReply
{
  RequestId id_;
  Ticket ticket_;
  bool repeatable_{};             ///< The class's requests are idempotent.
  Reason reason_{ Reason::None }; ///< `None` when the ticket is granted.
  Duration retryAfter_{};
  Route route_;

  bool operator==(const TicketReply&) const noexcept = default;
};

/** @brief Caller to home: runs the request, or repeats its outcome. */
struct Submit
{
  RequestKey key_;
  Work work_;
  Duration timeLeft_{}; ///< Until the deadline; relative, as clocks differ.
  std::string body_;
  Route route_;

  bool operator==(const Submit&) const noexcept = default;
};

/** @brief Caller to home: cancels the request. */
struct Cancel
{
  RequestKey key_;
  Route route_;

  bool operator==(const Cancel&) const noexcept = default;
};

/** @brief Home or backup to caller: one part of an attempt's answer. */
struct AnswerPart
{
  RequestKey key_;
  std::uint32_t attempt_{};
  std::uint16_t index_{};
  std::uint16_t count_{};
  std::uint32_t length_{};   ///< Bytes of the whole answer.
  std::uint64_t checksum_{}; ///< `HashText` of the whole answer.
  std::string bytes_;
  Route route_;

  bool operator==(const AnswerPart&) const noexcept = default;
};

/** @brief Home, backup or balancer to caller: outcome without an answer. */
struct Outcome
{
  RequestKey key_;
  Verdict verdict_{ Verdict::Unknown };
  Reason reason_{ Reason::None };
  Duration retryAfter_{};
  Route route_;

  bool operator==(const Outcome&) const noexcept = default;
};

/** @brief Agent to agent: requests a reading of its clock. */
struct StampRequest
{
  bool operator==(const StampRequest&) const noexcept = default;
};

/** @brief Clock reading; the envelope names the sender's incarnation. */
struct StampReply
{
  Stamp stamp_;

  bool operator==(const StampReply&) const noexcept = default;
};

/** @brief Home to backup: requests consent to dispatch. */
struct Intent
{
  RequestKey key_;
  std::uint32_t attempt_{};

  bool operator==(const Intent&) const noexcept = default;
};

/** @brief Backup to home: consent, or a permanent refusal. */
struct IntentReply
{
  RequestKey key_;
  std::uint32_t attempt_{};
  Reason reason_{ Reason::None }; ///< `None` for consent.

  bool operator==(const IntentReply&) const noexcept = default;
};

/** @brief Home, or executor of a lost home, to backup: the outcome. */
struct Result
{
  RequestKey key_;
  std::uint32_t attempt_{};
  Verdict verdict_{ Verdict::Unknown };
  Reason reason_{ Reason::None };
  std::string answer_;

  bool operator==(const Result&) const noexcept = default;
};

/** @brief Backup to the sender of a result: acknowledges it. */
struct ResultAck
{
  RequestKey key_;
  std::uint32_t attempt_{};

  bool operator==(const ResultAck&) const noexcept = default;
};

/** @brief Home to executor: runs this attempt. */
struct Run
{
  RequestKey key_;
  std::uint32_t attempt_{};
  Authority executor_; ///< The agent incarnation that may execute it.
  Work work_;
  Duration timeLeft_{};
  std::string body_;

  bool operator==(const Run&) const noexcept = default;
};

/** @brief Home to executor: cancels this attempt. */
struct RunCancel
{
  RequestKey key_;
  std::uint32_t attempt_{};
  Authority executor_;

  bool operator==(const RunCancel&) const noexcept = default;
};

/** @brief How an attempt ended. */
enum class RunEnd : std::uint8_t
{
  Finished,  ///< The upstream answered.
  Refused,   ///< It never ran and never will.
  Cancelled, ///< The upstream stopped it while it ran.
  Lost,      ///< The upstream ended while it ran.
};

/** @brief Names of `RunEnd`. */
inline constexpr std::array<EnumName<RunEnd>, 4> kRunEndNames{ {
  { RunEnd::Finished, "finished" },
  { RunEnd::Refused, "refused" },
  { RunEnd::Cancelled, "cancelled" },
  { RunEnd::Lost, "lost" },
} };

/** @brief Executor to home: how the attempt ended. */
struct RunResult
{
  RequestKey key_;
  std::uint32_t attempt_{};
  RunEnd end_{ RunEnd::Refused };
  Reason reason_{ Reason::None };
  Duration retryAfter_{};
  std::string answer_;

  bool operator==(const RunResult&) const noexcept = default;
};

/** @brief Home to executor: acknowledges the result. */
struct RunResultAck
{
  RequestKey key_;
  std::uint32_t attempt_{};

  bool operator==(const RunResultAck&) const noexcept = default;
};

/** @brief Every message of the module. */
using Message = std::variant<TicketRequest,
                             TicketReply,
                             Submit,
                             Cancel,
                             AnswerPart,
                             Outcome,
                             StampRequest,
                             StampReply,
                             Intent,
                             IntentReply,
                             Result,
                             ResultAck,
                             Run,
                             RunCancel,
                             RunResult,
                             RunResultAck>;

} // namespace cornelshore::request

#endif
