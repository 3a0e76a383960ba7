#ifndef CORNELSHORE_REQUEST_OUTCOME_HPP
#define CORNELSHORE_REQUEST_OUTCOME_HPP

#include <array>
#include <cstddef>
#include <cstdint>

#include <cornelshore/core/names.hpp>

namespace cornelshore::request {

/** @brief Whether a request ran. */
enum class Verdict : std::uint8_t
{
  Answered, ///< It ran, and this is its whole answer.
  NotRun,   ///< It did not run, and no copy of it can run later.
  Unknown,  ///< It may have run; its result is not available.
};

/** @brief Names of `Verdict`. */
inline constexpr std::array<EnumName<Verdict>, 3> kVerdictNames{ {
  { Verdict::Answered, "answered" },
  { Verdict::NotRun, "not_run" },
  { Verdict::Unknown, "unknown" },
} };

/** @brief Reason for a verdict. */
enum class Reason : std::uint8_t
{
  None,            ///< It was answered.
  NoHost,          ///< No host of the service accepts work.
  Overloaded,      ///< Its class currently has no capacity.
  UpstreamShed,    ///< Every upstream that was tried refused it.
  DeadlinePassed,  ///< Its deadline passed before it was dispatched.
  Cancelled,       ///< Cancelled before dispatch.
  Leaving,         ///< The home is draining.
  TableFull,       ///< A table of ids, bodies or answers is full.
  TicketExpired,   ///< The ticket is too old to be submitted.
  HomeLost,        ///< The home was lost.
  BackupTimeout,   ///< The backup did not consent in time.
  TooLarge,        ///< Body or answer is larger than the limit.
  NoTicket,        ///< No ticket arrived before the deadline.
  UpstreamLost,    ///< The upstream was lost while it ran.
  ExecutorLost,    ///< The agent that ran it was lost.
  CancelledInRun,  ///< Cancelled after dispatch.
  RetentionPassed, ///< The id is older than the retention period.
  InvalidTicket,   ///< The agent named in it never issued it.
  IdReused,        ///< The id belongs to another submission.
  NoAnswer,        ///< No outcome arrived before the deadline.
};

/** @brief Names of `Reason`. */
inline constexpr std::array<EnumName<Reason>, 20> kReasonNames{ {
  { Reason::None, "none" },
  { Reason::NoHost, "no_host" },
  { Reason::Overloaded, "overloaded" },
  { Reason::UpstreamShed, "upstream_shed" },
  { Reason::DeadlinePassed, "deadline_passed" },
  { Reason::Cancelled, "cancelled" },
  { Reason::Leaving, "leaving" },
  { Reason::TableFull, "table_full" },
  { Reason::TicketExpired, "ticket_expired" },
  { Reason::HomeLost, "home_lost" },
  { Reason::BackupTimeout, "backup_silent" },
  { Reason::TooLarge, "too_large" },
  { Reason::NoTicket, "no_ticket" },
  { Reason::UpstreamLost, "upstream_lost" },
  { Reason::ExecutorLost, "executor_lost" },
  { Reason::CancelledInRun, "cancelled_in_run" },
  { Reason::RetentionPassed, "retention_passed" },
  { Reason::InvalidTicket, "invalid_ticket" },
  { Reason::IdReused, "id_reused" },
  { Reason::NoAnswer, "no_answer" },
} };

/** @brief Counts of outcomes by verdict and reason. */
class OutcomeCounts
{
public:
  void Add(Verdict aVerdict, Reason aReason) noexcept
  {
    ++counts_[Index(aVerdict)][static_cast<std::size_t>(aReason)];
  }

  [[nodiscard]] std::uint64_t Of(Verdict aVerdict,
                                 Reason aReason) const noexcept
  {
    return counts_[Index(aVerdict)][static_cast<std::size_t>(aReason)];
  }

  [[nodiscard]] std::uint64_t Of(Verdict aVerdict) const noexcept
  {
    std::uint64_t sum = 0;
    for (const auto count : counts_[Index(aVerdict)]) {
      sum += count;
    }
    return sum;
  }

private:
  static constexpr std::size_t Index(Verdict aVerdict) noexcept
  {
    return static_cast<std::size_t>(aVerdict);
  }

  std::array<std::array<std::uint64_t, kReasonNames.size()>,
             kVerdictNames.size()>
    counts_{};
};

} // namespace cornelshore::request

#endif
