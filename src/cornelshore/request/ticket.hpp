#ifndef CORNELSHORE_REQUEST_TICKET_HPP
#define CORNELSHORE_REQUEST_TICKET_HPP

#include <compare>
#include <cstdint>
#include <utility>

#include <cornelshore/core/time.hpp>
#include <cornelshore/core/types.hpp>

namespace cornelshore::request {

/** @brief Reading, in microseconds, of the clock of the agent that gave it. */
using Stamp = StrongId<struct StampTag, std::uint64_t>;

/** @brief Stamp of a present time; only its own process can compare it. */
[[nodiscard]] inline Stamp
StampOf(TimePoint aNow) noexcept
{
  return { static_cast<std::uint64_t>(aNow.time_since_epoch().count()) };
}

/** @brief Time that a stamp of this process names. */
[[nodiscard]] inline TimePoint
TimeOf(Stamp aStamp) noexcept
{
  return TimePoint{ Duration{ static_cast<std::int64_t>(aStamp.value_) } };
}

/** @brief One agent's part in a ticket: who, in which run, and since when. */
struct Authority
{
  HostId host_;             ///< 0 when there is none.
  Incarnation incarnation_; ///< Only this run of the agent has a say.
  Stamp stamp_;             ///< That agent's clock, no later than the issue.

  // NOLINTNEXTLINE(modernize-use-nullptr): false alarm of clang-tidy 14
  constexpr auto operator<=>(const Authority&) const noexcept = default;

  template<typename Hash>
  friend Hash AbslHashValue(Hash aHash, const Authority& aAuthority)
  {
    return Hash::combine(std::move(aHash),
                         aAuthority.host_,
                         aAuthority.incarnation_,
                         aAuthority.stamp_);
  }
};

/**
 * @brief Names the two agents without whom a submission cannot run.
 *
 * The caller takes it before it submits, so every copy of the submission
 * names the same two, whatever view of the membership a relay has. Each of
 * them judges the age of the ticket by its own clock alone.
 */
struct Ticket
{
  Authority home_;
  Authority backup_;

  // NOLINTNEXTLINE(modernize-use-nullptr): false alarm of clang-tidy 14
  constexpr auto operator<=>(const Ticket&) const noexcept = default;

  template<typename Hash>
  friend Hash AbslHashValue(Hash aHash, const Ticket& aTicket)
  {
    return Hash::combine(std::move(aHash), aTicket.home_, aTicket.backup_);
  }
};

/** @brief A request under the ticket that its caller bound it to. */
struct RequestKey
{
  RequestId id_;
  Ticket ticket_;

  // NOLINTNEXTLINE(modernize-use-nullptr): false alarm of clang-tidy 14
  constexpr auto operator<=>(const RequestKey&) const noexcept = default;

  template<typename Hash>
  friend Hash AbslHashValue(Hash aHash, const RequestKey& aKey)
  {
    return Hash::combine(std::move(aHash), aKey.id_, aKey.ticket_);
  }
};

} // namespace cornelshore::request

#endif
