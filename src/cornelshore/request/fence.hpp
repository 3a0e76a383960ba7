#ifndef CORNELSHORE_REQUEST_FENCE_HPP
#define CORNELSHORE_REQUEST_FENCE_HPP

#include <cstdint>

#include <cornelshore/core/time.hpp>
#include <cornelshore/request/outcome.hpp>
#include <cornelshore/request/ticket.hpp>

namespace cornelshore::request::internal {

/** @brief What a stamp of this process implies for an id not held. */
enum class StampStatus : std::uint8_t
{
  Open,    ///< It never ran, and may.
  Refused, ///< It never ran, and never will.
  Expired, ///< Beyond retention: it may have run.
  Invalid, ///< This process never issued the stamp.
};

/**
 * @brief Refuses all ids not held whose stamp is at or below a bound.
 *
 * A single stamp replaces the tombstones of all ids that are not held, so a
 * full table can refuse an id permanently without an entry.
 */
class Fence
{
public:
  /** @brief Permanently refuses ids not held with stamps up to `aStamp`. */
  void Raise(Stamp aStamp, Reason aReason) noexcept
  {
    if (aStamp.value_ >= floor_) {
      floor_ = aStamp.value_ + 1;
      reason_ = aReason;
    }
  }

  /**
   * @brief Classifies the stamp of an id that is not held.
   * @param aWindow How long after its stamp an id may be accepted.
   * @param aRetention How long after its stamp an id that ran is retained.
   */
  [[nodiscard]] StampStatus Classify(TimePoint aNow,
                                     Stamp aStamp,
                                     Duration aWindow,
                                     Duration aRetention) const noexcept
  {
    if (aStamp > StampOf(aNow)) {
      return StampStatus::Invalid;
    }
    const auto age = aNow - TimeOf(aStamp);
    if (age >= aRetention) {
      return StampStatus::Expired;
    }
    const bool refused = age >= aWindow || aStamp.value_ < floor_;
    return refused ? StampStatus::Refused : StampStatus::Open;
  }

  /** @brief Reason for refusing a stamp: the fence or its age. */
  [[nodiscard]] Reason ReasonFor(Stamp aStamp) const noexcept
  {
    return aStamp.value_ < floor_ ? reason_ : Reason::TicketExpired;
  }

private:
  std::uint64_t floor_{};
  Reason reason_{ Reason::TableFull };
};

} // namespace cornelshore::request::internal

#endif
