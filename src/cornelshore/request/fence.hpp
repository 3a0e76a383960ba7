#ifndef CORNELSHORE_REQUEST_FENCE_HPP
#define CORNELSHORE_REQUEST_FENCE_HPP

#include <cstdint>

#include <cornelshore/core/time.hpp>
#include <cornelshore/request/outcome.hpp>
#include <cornelshore/request/ticket.hpp>

namespace cornelshore::request::internal {

/** @brief What a stamp of this process says of an id that is not held. */
enum class Standing : std::uint8_t
{
  Open,      ///< It never ran, and may.
  Refused,   ///< It never ran, and never will.
  Forgotten, ///< Older than ids are kept: nothing is known.
  Invalid,   ///< This process never gave the stamp.
};

/**
 * @brief Refuses at once every id not held whose stamp is too old.
 *
 * One number stands for the tombstones of all ids that are not held, so a
 * full table can refuse for good without an entry.
 */
class Fence
{
public:
  /** @brief Refuses stamps up to `aStamp` that are not held, for good. */
  void Raise(Stamp aStamp, Reason aReason) noexcept
  {
    if (aStamp.value_ >= floor_) {
      floor_ = aStamp.value_ + 1;
      reason_ = aReason;
    }
  }

  /**
   * @brief Judges the stamp of an id that is not held.
   * @param aWindow How long after its stamp an id may be taken.
   * @param aRetention How long after its stamp an id that ran is held.
   */
  [[nodiscard]] Standing Judge(TimePoint aNow,
                               Stamp aStamp,
                               Duration aWindow,
                               Duration aRetention) const noexcept
  {
    if (aStamp > StampOf(aNow)) {
      return Standing::Invalid;
    }
    const auto age = aNow - TimeOf(aStamp);
    if (age >= aRetention) {
      return Standing::Forgotten;
    }
    const bool refused = age >= aWindow || aStamp.value_ < floor_;
    return refused ? Standing::Refused : Standing::Open;
  }

  /** @brief Why a stamp is refused: by the fence, or by its age. */
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
