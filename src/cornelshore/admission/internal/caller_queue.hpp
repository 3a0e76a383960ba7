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
 * @brief Queue of one class's work in which callers take turns.
 *
 * Callers are told apart exactly; their number is bounded by the works held,
 * which the scheduler bounds.
 */
class CallerQueue
{
public:
  void Push(const Work& aWork);

  /** @brief Next work by turns; the queue must not be empty. */
  [[nodiscard]] const Work& Front() const;

  /** @brief Takes `Front()` and passes the turn on. */
  Work Pop();

  /**
   * @brief Takes the newest work of the caller with most works.
   * @return Nothing when no caller has two more works than `aCaller`.
   */
  [[nodiscard]] std::optional<Work> Displace(CallerId aCaller);

  /** @brief Takes the work of an id. */
  [[nodiscard]] std::optional<Work> Remove(RequestId aId);

  /** @brief Takes all works whose deadline lies before `aTime`. */
  [[nodiscard]] std::vector<Work> TakeDueBefore(TimePoint aTime);

  /** @brief Earliest deadline of the works held. */
  [[nodiscard]] TimePoint EarliestDeadline() const;

  /** @brief Works that go before a new work of the caller. */
  [[nodiscard]] std::size_t Ahead(CallerId aCaller) const;

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

  std::deque<Lane> lanes_; ///< The first has the turn; none is empty.
  std::size_t size_{};
};

} // namespace cornelshore::admission::internal

#endif
