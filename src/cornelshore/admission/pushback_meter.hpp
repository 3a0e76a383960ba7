#ifndef CORNELSHORE_ADMISSION_PUSHBACK_METER_HPP
#define CORNELSHORE_ADMISSION_PUSHBACK_METER_HPP

#include <cstdint>
#include <optional>
#include <vector>

#include <cornelshore/admission/pushback.hpp>
#include <cornelshore/core/time.hpp>

namespace cornelshore::admission {

/**
 * @brief Budget of one agent's pushbacks, in bytes per second.
 *
 * With 19,000 agents and 1,900 balancers, each balancer receives 4 KB/s.
 */
inline constexpr double kPushbackBytesPerSecond = 400.0;

/** @brief Counts one host's refusals and rate-limits its pushbacks. */
class PushbackMeter
{
public:
  explicit PushbackMeter(Incarnation aIncarnation) noexcept
    : incarnation_(aIncarnation)
  {
  }

  /**
   * @brief Records the result of an offer.
   * @param aRefused Whether it was refused due to load.
   */
  void RecordOffer(TimePoint aNow, ClassId aClass, bool aRefused);

  /** @brief Records that queued work was refused after its offer. */
  void RecordLateRefusal(TimePoint aNow, ClassId aClass);

  /** @brief Drops the state of classes that are not listed. */
  void RetainClasses(const std::vector<ClassId>& aClasses);

  /**
   * @brief Returns a pushback for recently offered classes, if one is due.
   *
   * Classes are sorted by descending refusals. Without refusals a pushback is
   * still sent, at a longer interval, so that balancers also receive reports
   * from hosts with spare capacity.
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
  TimePoint sentAt_;
  std::vector<Window> windows_;
};

} // namespace cornelshore::admission

#endif
