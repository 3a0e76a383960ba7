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

/** @brief Most bytes of a body, an answer or one part of it on the wire. */
inline constexpr std::size_t kMostBytes = 49'152;

/** @brief Most parts of one answer. */
inline constexpr std::size_t kMostParts = 1024;

/**
 * @brief The way back to a caller.
 *
 * The balancer that relays a caller's message fills it in; what comes back
 * carries it, so that a balancer keeps no state for it.
 */
struct Route
{
  Address caller_;
  NodeId balancer_;

  bool operator==(const Route&) const noexcept = default;
};

/** @brief What a request is for, and for whom. */
struct Work
{
  ServiceId service_;
  ClassId class_;
  std::uint64_t caller_{}; ///< Identity of the caller, for fairness.

  bool operator==(const Work&) const noexcept = default;
};

/** @brief Caller to home: asks for a ticket for the id. */
struct TicketRequest
{
  RequestId id_;
  Work work_;
  std::uint32_t choice_{}; ///< Hosts passed over, as they stayed silent.
  Route route_;

  bool operator==(const TicketRequest&) const noexcept = default;
};

/** @brief Home or balancer to caller: a ticket, or why there is none. */
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

/** @brief Caller to home: run this request, or tell its outcome again. */
struct Submit
{
  RequestKey key_;
  Work work_;
  Duration timeLeft_{}; ///< Until the deadline; clocks are not shared.
  std::string body_;
  Route route_;

  bool operator==(const Submit&) const noexcept = default;
};

/** @brief Caller to home: do not run it, or stop it. */
struct Cancel
{
  RequestKey key_;
  Route route_;

  bool operator==(const Cancel&) const noexcept = default;
};

/** @brief Home to caller: one part of the answer of one attempt. */
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

/** @brief Home, backup or balancer to caller: why there is no answer. */
struct Outcome
{
  RequestKey key_;
  Verdict verdict_{ Verdict::Unknown };
  Reason reason_{ Reason::None };
  Duration retryAfter_{};
  Route route_;

  bool operator==(const Outcome&) const noexcept = default;
};

/** @brief Agent to agent: asks for a reading of its clock. */
struct StampRequest
{
  bool operator==(const StampRequest&) const noexcept = default;
};

/** @brief The reading; the sender's incarnation is that of the envelope. */
struct StampReply
{
  Stamp stamp_;

  bool operator==(const StampReply&) const noexcept = default;
};

/** @brief Home to backup: asks for consent to dispatch. */
struct Intent
{
  RequestKey key_;
  std::uint32_t attempt_{};

  bool operator==(const Intent&) const noexcept = default;
};

/** @brief Backup to home: consent, or a refusal that is for good. */
struct IntentReply
{
  RequestKey key_;
  std::uint32_t attempt_{};
  Reason reason_{ Reason::None }; ///< `None` is the consent.

  bool operator==(const IntentReply&) const noexcept = default;
};

/** @brief Home, or executor of a lost home, to backup: what became of it. */
struct Result
{
  RequestKey key_;
  std::uint32_t attempt_{};
  Verdict verdict_{ Verdict::Unknown };
  Reason reason_{ Reason::None };
  std::string answer_;

  bool operator==(const Result&) const noexcept = default;
};

/** @brief Backup to the sender of a result: it is held. */
struct ResultAck
{
  RequestKey key_;
  std::uint32_t attempt_{};

  bool operator==(const ResultAck&) const noexcept = default;
};

/** @brief Home to executor: run this attempt. */
struct Run
{
  RequestKey key_;
  std::uint32_t attempt_{};
  Authority executor_; ///< The run of the agent that may execute it.
  Work work_;
  Duration timeLeft_{};
  std::string body_;

  bool operator==(const Run&) const noexcept = default;
};

/** @brief Home to executor: do not run this attempt, or stop it. */
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

/** @brief Home to executor: the result of the attempt is held. */
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
