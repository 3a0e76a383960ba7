#ifndef CORNELSHORE_REQUEST_TICKET_HPP
#define CORNELSHORE_REQUEST_TICKET_HPP

#include <compare>
#include <cstdint>
#include <utility>

#include <cornelshore/core/time.hpp>
#include <cornelshore/core/types.hpp>

namespace cornelshore::request {

/** @brief Reading of the issuing agent's clock, in microseconds. */
using Stamp = StrongId<struct StampTag, std::uint64_t>;

/** @brief Converts a time to a stamp, comparable only in this process. */
[[nodiscard]] inline Stamp
StampOf(TimePoint aNow) noexcept
{
  return { static_cast<std::uint64_t>(aNow.time_since_epoch().count()) };
}

/** @brief Converts a stamp of this process to a time. */
[[nodiscard]] inline TimePoint
TimeOf(Stamp aStamp) noexcept
{
  return TimePoint{ Duration{ static_cast<std::int64_t>(aStamp.value_) } };
}

/** @brief An agent named in a ticket: host, incarnation and stamp. */
struct Authority
{
  HostId host_;             ///< 0 if there is none.
  Incarnation incarnation_; ///< Later incarnations have no authority.
  Stamp stamp_;             ///< That agent's clock, at or before the issue.

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
 * @brief Names the home and backup, which must agree before a request runs.
 *
 * A caller obtains it before submitting, so every copy of the submission names
 * the same agents regardless of a relay's membership view. Each agent checks
 * the ticket's age by its own clock only.
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

/** @brief A request id together with the ticket it is bound to. */
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
