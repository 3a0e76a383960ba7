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
   * @param aShare Retries allowed, in 1/1000 of first attempts.
   * @param aBurst Capacity in retries; the budget starts full.
   */
  constexpr RetryBudget(std::uint32_t aShare, std::uint32_t aBurst) noexcept
    : share_(aShare)
    , capacity_(std::uint64_t{ aBurst } * kRetry)
    , tokens_(capacity_)
  {
  }

  /** @brief Counts a first attempt. */
  constexpr void First() noexcept
  {
    tokens_ = std::min(tokens_ + share_, capacity_);
  }

  /** @brief Consumes one retry; false if the budget is exhausted. */
  [[nodiscard]] constexpr bool Take() noexcept
  {
    if (tokens_ < kRetry) {
      return false;
    }
    tokens_ -= kRetry;
    return true;
  }

private:
  static constexpr std::uint64_t kRetry = 1000;

  std::uint64_t share_;
  std::uint64_t capacity_;
  std::uint64_t tokens_;
};

} // namespace cornelshore::request

#endif
