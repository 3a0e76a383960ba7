#ifndef CORNELSHORE_DISSEMINATION_RUMORS_HPP
#define CORNELSHORE_DISSEMINATION_RUMORS_HPP

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

#include <cornelshore/core/types.hpp>
#include <cornelshore/dissemination/byte_budget.hpp>

namespace cornelshore::dissemination {

/**
 * @brief Subjects whose records are still to be sent in a few messages.
 *
 * Urgent ones go first. When full, the oldest bulk rumor is dropped: the
 * digest comparison delivers its record later.
 */
class Rumors
{
public:
  static constexpr std::size_t kMost = 2048;

  /** @brief Starts or restarts the spreading of a subject's record. */
  void Add(NodeId aSubject, Priority aPriority, std::uint32_t aCopies);

  /**
   * @brief Subjects for one message, urgent ones first, each counted as sent.
   * @param aMost Most subjects.
   */
  [[nodiscard]] std::vector<NodeId> Take(std::size_t aMost);

  [[nodiscard]] std::size_t size() const noexcept
  {
    return urgent_.size() + bulk_.size();
  }

private:
  struct Rumor
  {
    NodeId subject_;
    std::uint32_t copies_{};
  };
  using Queue = std::deque<Rumor>;

  static void TakeFrom(Queue& aQueue,
                       std::size_t aMost,
                       std::vector<NodeId>& aTaken);

  Queue urgent_;
  Queue bulk_;
};

} // namespace cornelshore::dissemination

#endif
