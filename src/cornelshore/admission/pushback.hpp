#ifndef CORNELSHORE_ADMISSION_PUSHBACK_HPP
#define CORNELSHORE_ADMISSION_PUSHBACK_HPP

#include <cstddef>
#include <cstdint>
#include <vector>

#include <cornelshore/core/target.hpp>
#include <cornelshore/core/time.hpp>
#include <cornelshore/core/types.hpp>

namespace cornelshore::admission {

/** @brief Load of one class at a host. */
struct ClassLoad
{
  ClassId class_;
  std::uint16_t refused_{}; ///< Offers refused due to load, in 1/1000.
  Duration wait_{};         ///< Expected wait for a slot.

  bool operator==(const ClassLoad&) const noexcept = default;
};

/** @brief Maximum number of classes in one pushback. */
inline constexpr std::size_t kMaxPushbackClasses = 8;

/**
 * @brief Load report that an agent attaches to an answer.
 *
 * Lets balancers shed load early. It carries absolute state rather than
 * deltas: the next report makes up for a lost one, and the sequence number
 * identifies a late one.
 */
struct Pushback
{
  Incarnation incarnation_;        ///< Of the agent.
  std::uint64_t sequence_{};       ///< Increases within an incarnation.
  std::vector<ClassLoad> classes_; ///< At most `kMaxPushbackClasses`.

  bool operator==(const Pushback&) const noexcept = default;
};

} // namespace cornelshore::admission

#endif
