#ifndef CORNELSHORE_DISSEMINATION_BYTE_BUDGET_HPP
#define CORNELSHORE_DISSEMINATION_BYTE_BUDGET_HPP

#include <algorithm>
#include <cstddef>
#include <cstdint>

#include <cornelshore/core/time.hpp>

namespace cornelshore::dissemination {

/** @brief Order in which sends are denied when the byte budget is short. */
enum class Priority : std::uint8_t
{
  Urgent, ///< State changes and configurations; may overdraw by burst / 4.
  Normal, ///< Rounds and single-message answers.
  Bulk,   ///< Catch-up; leaves burst / 4 for the others.
};

/** @brief Token bucket over the bytes a node sends. */
class ByteBudget
{
public:
  /**
   * @param aPerSecond Refill rate in bytes per second.
   * @param aBurst Capacity in bytes.
   */
  ByteBudget(double aPerSecond, double aBurst) noexcept
    : perSecond_(aPerSecond)
    , burst_(aBurst)
    , tokens_(aBurst)
  {
  }

  /** @brief Whether enough bytes are left for the priority. */
  [[nodiscard]] bool Allows(TimePoint aNow,
                            std::size_t aBytes,
                            Priority aPriority) noexcept
  {
    Refill(aNow);
    return tokens_ - static_cast<double>(aBytes) >= FloorOf(aPriority);
  }

  /** @brief Spends the bytes; false when too few are left for the priority. */
  [[nodiscard]] bool TrySpend(TimePoint aNow,
                              std::size_t aBytes,
                              Priority aPriority) noexcept
  {
    if (!Allows(aNow, aBytes, aPriority)) {
      return false;
    }
    tokens_ -= static_cast<double>(aBytes);
    return true;
  }

  /** @brief Takes bytes that are sent in any case; at most the capacity is
   * owed. */
  void Charge(TimePoint aNow, std::size_t aBytes) noexcept
  {
    Refill(aNow);
    tokens_ = std::max(-burst_, tokens_ - static_cast<double>(aBytes));
  }

  /** @brief Share of the burst that is left, 1 at most; below 0: owed. */
  [[nodiscard]] double ShareLeft(TimePoint aNow) noexcept
  {
    Refill(aNow);
    return tokens_ / burst_;
  }

  /** @brief Whether at least this share of the burst, 0 to 1, is left. */
  [[nodiscard]] bool HasShareLeft(TimePoint aNow, double aShare) noexcept
  {
    return ShareLeft(aNow) >= aShare;
  }

private:
  [[nodiscard]] double FloorOf(Priority aPriority) const noexcept
  {
    switch (aPriority) {
      case Priority::Urgent:
        return -burst_ / 4;
      case Priority::Bulk:
        return burst_ / 4;
      default:
        return 0;
    }
  }

  void Refill(TimePoint aNow) noexcept
  {
    if (aNow > refilledAt_) {
      const std::chrono::duration<double> passed = aNow - refilledAt_;
      tokens_ = std::min(burst_, tokens_ + passed.count() * perSecond_);
      refilledAt_ = aNow;
    }
  }

  double perSecond_;
  double burst_;
  double tokens_;
  TimePoint refilledAt_;
};

} // namespace cornelshore::dissemination

#endif
