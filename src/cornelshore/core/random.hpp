#ifndef CORNELSHORE_CORE_RANDOM_HPP
#define CORNELSHORE_CORE_RANDOM_HPP

#include <cstdint>

namespace cornelshore {

/**
 * @brief Seeded generator of pseudo-random numbers (SplitMix64).
 *
 * The core has no source of randomness of its own: the builder of a component
 * passes a seed, so that a run is reproducible.
 */
class Random
{
public:
  explicit constexpr Random(std::uint64_t aSeed) noexcept
    : state_(aSeed)
  {
  }

  /** @brief Next 64 pseudo-random bits. */
  [[nodiscard]] constexpr std::uint64_t Next() noexcept
  {
    state_ += 0x9E3779B97F4A7C15ULL;
    auto mixed = state_;
    mixed = (mixed ^ (mixed >> 30U)) * 0xBF58476D1CE4E5B9ULL;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94D049BB133111EBULL;
    return mixed ^ (mixed >> 31U);
  }

  /** @brief Uniform integer in [0, `aBound`); 0 when `aBound` is 0. */
  [[nodiscard]] constexpr std::uint64_t Below(std::uint64_t aBound) noexcept
  {
    return aBound == 0 ? 0 : Next() % aBound;
  }

  /** @brief Uniform real in [0, 1). */
  [[nodiscard]] constexpr double Unit() noexcept
  {
    return static_cast<double>(Next() >> 11U) * 0x1.0p-53;
  }

private:
  std::uint64_t state_;
};

} // namespace cornelshore

#endif
