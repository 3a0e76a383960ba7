#ifndef CORNELSHORE_ADMISSION_INTERNAL_CLASS_STATE_HPP
#define CORNELSHORE_ADMISSION_INTERNAL_CLASS_STATE_HPP

#include <cstdint>

#include <cornelshore/admission/apportion.hpp>
#include <cornelshore/admission/internal/caller_queue.hpp>
#include <cornelshore/admission/internal/hold_estimate.hpp>
#include <cornelshore/core/target.hpp>
#include <cornelshore/core/time.hpp>

namespace cornelshore::admission::internal {

/** @brief Scheduling state of one class on one host. */
struct ClassState
{
  ClassTarget target_;
  ClassSlots classSlots_;   ///< Whole slots on this host.
  std::uint32_t missing_{}; ///< Shortfall of the fleet's floor, in slots.
  double weight_{ 1.0 };    ///< Doubles with each step of urgency.
  double floorShare_{};     ///< Floor in slots; may be fractional.
  double limitShare_{};     ///< Limit in slots; may be fractional.
  double floorCredit_{};    ///< Slot seconds due under the floor.
  double limitCredit_{};    ///< Slot seconds available under the limit.
  bool uncredited_{ true }; ///< Initial credit not granted yet.
  double virtualTime_{};    ///< Slot seconds used, divided by the weight.
  std::uint32_t running_{};
  std::uint32_t longRunning_{};
  std::uint32_t floorRunning_{}; ///< Short work started under the floor.
  CallerQueue short_;
  CallerQueue long_;
  MeanTime hold_;                     ///< Hold time of short work.
  MeanTime longTermHold_{ 0.01 };     ///< Slower mean of undeclared work.
  std::uint32_t undeclaredSamples_{}; ///< Samples of `longTermHold_`, capped.
  MeanTime longHold_;                 ///< Hold time of long-lived work.
  MeanTime startInterval_; ///< Between starts while short work is queued.
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
