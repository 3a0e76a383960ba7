#ifndef CORNELSHORE_ADMISSION_PUSHBACK_HPP
#define CORNELSHORE_ADMISSION_PUSHBACK_HPP

#include <cstddef>
#include <cstdint>
#include <vector>

#include <cornelshore/core/target.hpp>
#include <cornelshore/core/time.hpp>
#include <cornelshore/core/types.hpp>

namespace cornelshore::admission {

/** @brief How one class fares at a host. */
struct ClassLoad
{
  ClassId class_;
  std::uint16_t refused_{}; ///< Offers refused for load, in 1/1000.
  Duration wait_{};         ///< Expected wait for a slot.

  bool operator==(const ClassLoad&) const noexcept = default;
};

/** @brief Most classes that one pushback speaks of. */
inline constexpr std::size_t kMaxPushbackClasses = 8;

/**
 * @brief What an agent adds to an answer, so that balancers shed early.
 *
 * It says the present state and no difference: a lost one is mended by the
 * next, a late one is known by its sequence.
 */
struct Pushback
{
  Incarnation incarnation_;  ///< Of the agent.
  std::uint64_t sequence_{}; ///< Grows with each pushback in an incarnation.
  std::vector<ClassLoad> classes_; ///< At most `kMaxPushbackClasses`.

  bool operator==(const Pushback&) const noexcept = default;
};

} // namespace cornelshore::admission

#endif
