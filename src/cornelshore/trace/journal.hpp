#ifndef CORNELSHORE_TRACE_JOURNAL_HPP
#define CORNELSHORE_TRACE_JOURNAL_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <cornelshore/trace/line.hpp>

/**
 * @brief Reads the logs of many processes and tells one flow's story.
 */
namespace cornelshore::trace {

/** @brief One line of a story. */
struct StoryLine
{
  std::int64_t micros_{}; ///< By the clock of the story's first balancer.
  const Line* line_{};
  bool ofTheFlow_{}; ///< Otherwise: what the process believed then.
};

/** @brief Clock of a process beside that of the story's first balancer. */
struct StoryClock
{
  std::string process_;
  bool known_{};
  std::int64_t least_{}; ///< Lead, us.
  std::int64_t most_{};  ///< Lead, us.
};

/** @brief What the logs tell of one flow, in order. */
struct Story
{
  std::vector<StoryLine> lines_;
  std::vector<StoryClock> clocks_;
};

/** @brief Lines of the logs of many processes. */
class Journal
{
public:
  /** @brief Takes in a line; others than those of the system are counted. */
  void Add(std::string_view aText);

  [[nodiscard]] std::size_t Lines() const noexcept { return lines_.size(); }
  [[nodiscard]] std::size_t Foreign() const noexcept { return foreign_; }

  /**
   * @brief Story of the flows of a caller's address and port.
   *
   * Holds the flow's own lines and, of the processes that wrote these, what
   * they believed from 2 s before to 2 s after: starts, ends, configurations,
   * hosts and lines left out. Lasts as long as the journal.
   */
  [[nodiscard]] Story StoryOf(std::string_view aCaller) const;

private:
  std::vector<Line> lines_;
  std::size_t foreign_{};
};

/** @brief The story as text, a line each, times in UTC. */
[[nodiscard]] std::string ToText(const Story& aStory);

} // namespace cornelshore::trace

#endif
