#ifndef CORNELSHORE_ADMISSION_INTERNAL_CLASS_STATE_HPP
#define CORNELSHORE_ADMISSION_INTERNAL_CLASS_STATE_HPP

#include <cstdint>

#include <cornelshore/admission/apportion.hpp>
#include <cornelshore/admission/internal/caller_queue.hpp>
#include <cornelshore/admission/internal/hold_estimate.hpp>
#include <cornelshore/core/target.hpp>
#include <cornelshore/core/time.hpp>

namespace cornelshore::admission::internal {

/** @brief Accounts of one class at one host. */
struct ClassState
{
  ClassTarget target_;
  WholeShare whole_;        ///< Whole slots at this host.
  std::uint32_t missing_{}; ///< Whole slots the fleet's floor misses.
  double weight_{ 1.0 };    ///< Doubles with each step of urgency.
  double floorShare_{};     ///< Slots kept in time; may be a fraction.
  double mostShare_{};      ///< Slots allowed in time; may be a fraction.
  double floorCredit_{};    ///< Slot seconds owed by the floor.
  double mostCredit_{};     ///< Slot seconds left under the limit.
  bool fresh_{ true };      ///< No credit was ever given.
  double virtualTime_{};    ///< Slot seconds used, over the weight.
  std::uint32_t running_{};
  std::uint32_t longRunning_{};
  std::uint32_t floorRunning_{}; ///< Short work started to keep the floor.
  CallerQueue short_;
  CallerQueue long_;
  MeanTime hold_;              ///< Of short work.
  MeanTime tendency_{ 0.01 };  ///< The same over a longer time.
  std::uint32_t undeclared_{}; ///< Samples of the tendency, up to a bound.
  MeanTime longHold_;          ///< Of long work.
  MeanTime startInterval_;     ///< Between starts while short work waits.
  TimePoint lastStart_;
  TimePoint lastFinish_;
  TimePoint waitingSince_; ///< When the queues last became non-empty.
  std::uint64_t started_{};
  std::uint64_t refused_{};

  [[nodiscard]] CallerQueue& QueueOf(bool aLong) noexcept
  {
    return aLong ? long_ : short_;
  }
  [[nodiscard]] const CallerQueue& QueueOf(bool aLong) const noexcept
  {
    return aLong ? long_ : short_;
  }
  [[nodiscard]] std::size_t Queued() const noexcept
  {
    return short_.Size() + long_.Size();
  }
};

} // namespace cornelshore::admission::internal

#endif
