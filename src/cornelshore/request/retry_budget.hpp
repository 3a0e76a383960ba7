#ifndef CORNELSHORE_REQUEST_RETRY_BUDGET_HPP
#define CORNELSHORE_REQUEST_RETRY_BUDGET_HPP

#include <algorithm>
#include <cstdint>

namespace cornelshore::request {

/**
 * @brief Bounds retries to a share of first attempts, plus a burst.
 *
 * The retry budget of "Site Reliability Engineering" (Beyer et al., 2016),
 * chapter 21, as a token bucket that first attempts fill.
 */
class RetryBudget
{
public:
  /**
   * @param aShare Retries allowed in 1/1000 of first attempts.
   * @param aBurst Retries that may be saved up; the budget starts with them.
   */
  constexpr RetryBudget(std::uint32_t aShare, std::uint32_t aBurst) noexcept
    : share_(aShare)
    , most_(std::uint64_t{ aBurst } * kRetry)
    , left_(most_)
  {
  }

  /** @brief Counts a first attempt. */
  constexpr void First() noexcept { left_ = std::min(left_ + share_, most_); }

  /** @brief Takes one retry; false when the budget is spent. */
  [[nodiscard]] constexpr bool Take() noexcept
  {
    if (left_ < kRetry) {
      return false;
    }
    left_ -= kRetry;
    return true;
  }

private:
  static constexpr std::uint64_t kRetry = 1000;

  std::uint64_t share_;
  std::uint64_t most_;
  std::uint64_t left_;
};

} // namespace cornelshore::request

#endif
