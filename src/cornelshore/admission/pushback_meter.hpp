#ifndef CORNELSHORE_ADMISSION_PUSHBACK_METER_HPP
#define CORNELSHORE_ADMISSION_PUSHBACK_METER_HPP

#include <cstdint>
#include <optional>
#include <vector>

#include <cornelshore/admission/pushback.hpp>
#include <cornelshore/core/time.hpp>

namespace cornelshore::admission {

/**
 * @brief Bytes of pushbacks that one agent sends in a second.
 *
 * At 19,000 agents and 1,900 balancers a balancer then receives 4 KB/s.
 */
inline constexpr double kPushbackBytesPerSecond = 400.0;

/** @brief Counts one host's refusals and paces its pushbacks. */
class PushbackMeter
{
public:
  explicit PushbackMeter(Incarnation aIncarnation) noexcept
    : incarnation_(aIncarnation)
  {
  }

  /**
   * @brief Takes note of an offer's fate.
   * @param aRefused Whether it was refused for load.
   */
  void Note(TimePoint aNow, ClassId aClass, bool aRefused);

  /** @brief Takes note that work taken before was refused after all. */
  void NoteBroken(TimePoint aNow, ClassId aClass);

  /** @brief Forgets the classes that are not listed. */
  void Keep(const std::vector<ClassId>& aClasses);

  /**
   * @brief State of the classes offered lately, the most refused first.
   *
   * Where nothing is refused it is told seldom, so that balancers also hear
   * from the hosts that have room.
   */
  [[nodiscard]] std::optional<Pushback> Take(TimePoint aNow);

private:
  struct Window
  {
    ClassId class_;
    TimePoint start_;
    double offered_{};
    double refused_{};
  };

  void Refill(TimePoint aNow);
  [[nodiscard]] std::vector<ClassLoad> Loads(TimePoint aNow);
  [[nodiscard]] Window& WindowOf(ClassId aClass);
  static void Decay(TimePoint aNow, Window& aWindow);

  Incarnation incarnation_;
  std::uint64_t sequence_{};
  double budget_{ kPushbackBytesPerSecond };
  TimePoint refilledAt_;
  TimePoint toldAt_;
  std::vector<Window> windows_;
};

} // namespace cornelshore::admission

#endif
