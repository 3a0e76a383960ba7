#ifndef CORNELSHORE_ADMISSION_INTERNAL_CALLER_QUEUE_HPP
#define CORNELSHORE_ADMISSION_INTERNAL_CALLER_QUEUE_HPP

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include <cornelshore/admission/work.hpp>

namespace cornelshore::admission::internal {

/**
 * @brief Queue of one class's work, served round-robin by caller.
 *
 * Callers are tracked exactly; the scheduler's bound on queued work also
 * bounds their number.
 */
class CallerQueue
{
public:
  void Push(const Work& aWork);

  /** @brief Returns the next work item; the queue must not be empty. */
  [[nodiscard]] const Work& Front() const;

  /** @brief Removes `Front()` and advances to the next caller. */
  Work Pop();

  /**
   * @brief Removes the newest work of the caller with the most queued work.
   * @return Nothing unless it has at least two more items than `aCaller`.
   */
  [[nodiscard]] std::optional<Work> Displace(CallerId aCaller);

  /** @brief Removes the work with this id. */
  [[nodiscard]] std::optional<Work> Remove(RequestId aId);

  /** @brief Removes all work with a deadline before `aTime`. */
  [[nodiscard]] std::vector<Work> RemoveDueBefore(TimePoint aTime);

  /** @brief Earliest deadline in the queue; `max()` if empty. */
  [[nodiscard]] TimePoint EarliestDeadline() const;

  /** @brief Number of items served before a new one of the caller. */
  [[nodiscard]] std::size_t CountAhead(CallerId aCaller) const;

  [[nodiscard]] std::size_t Size() const noexcept { return size_; }
  [[nodiscard]] bool Empty() const noexcept { return size_ == 0; }

private:
  struct Lane
  {
    CallerId caller_;
    std::deque<Work> works_;
  };

  [[nodiscard]] std::size_t LengthOf(CallerId aCaller) const;
  void DropEmptyLanes();

  std::deque<Lane> lanes_; ///< The first is served next; none is empty.
  std::size_t size_{};
};

} // namespace cornelshore::admission::internal

#endif
