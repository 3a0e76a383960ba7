#ifndef CORNELSHORE_TRACE_CLOCKS_HPP
#define CORNELSHORE_TRACE_CLOCKS_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <cornelshore/trace/line.hpp>

namespace cornelshore::trace {

/** @brief How far one process's clock is ahead of another's, in us. */
struct ClockLead
{
  std::int64_t least_{};
  std::int64_t most_{};

  [[nodiscard]] std::int64_t Middle() const noexcept
  {
    return least_ + (most_ - least_) / 2;
  }
};

/**
 * @brief Bounds on how far the clocks of processes differ.
 *
 * An agent takes an opening after a balancer got it and before that balancer
 * logs that it opened: each such pair of lines bounds the difference of the
 * two clocks (as in Cristian, "Probabilistic clock synchronization", 1989).
 */
class Clocks
{
public:
  explicit Clocks(const std::vector<Line>& aLines);

  /**
   * @brief Lead of `aProcess` over `aReference`; nothing when no flow joins
   * the two, or when a clock was set meanwhile, so that no lead fits.
   */
  [[nodiscard]] std::optional<ClockLead> LeadOf(
    const std::string& aProcess,
    const std::string& aReference) const;

private:
  std::map<std::pair<std::string, std::string>, ClockLead> leads_;
};

} // namespace cornelshore::trace

#endif
