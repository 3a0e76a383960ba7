#ifndef CORNELSHORE_ADMISSION_CONNECTION_LIMITER_HPP
#define CORNELSHORE_ADMISSION_CONNECTION_LIMITER_HPP

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <cornelshore/admission/work.hpp>
#include <cornelshore/core/random.hpp>
#include <cornelshore/core/target.hpp>
#include <cornelshore/core/time.hpp>

namespace cornelshore::admission {

/** @brief Result of `ConnectionLimiter::Open`. */
struct FlowAdmission
{
  bool accepted_{};
  Refusal reason_{ Refusal::None };
  Duration retryAfter_{}; ///< Jittered; set when refused.
};

/** @brief One class's entry in a connection limiter's state dump. */
struct ClassFlowsDump
{
  std::string name_;
  std::uint32_t keeps_{}; ///< Flows reserved for the class.
  std::uint32_t most_{};  ///< Limit of its open flows.
  std::uint32_t open_{};
  std::uint64_t refused_{};
};

/**
 * @brief Divides one host's flow capacity among the classes of its service.
 *
 * Flows last for hours, so capacity reserved for a class is never lent. Above
 * its floor a class uses unreserved capacity, the last tenth of which is
 * granted by urgency. Callers of a class are counted in 256 hashed counters:
 * once the class has half its limit open, a caller may hold at most an eighth
 * of the limit.
 */
class ConnectionLimiter
{
public:
  /** @param aSeed Seed of the caller hash and of the retry jitter. */
  explicit ConnectionLimiter(std::uint64_t aSeed);

  /**
   * @brief Applies targets; open flows are never closed.
   * @param aLimit Maximum number of flows on the host.
   */
  void Configure(const ServiceTarget& aTarget, std::uint32_t aLimit);

  /** @brief Admits or refuses a new flow. */
  [[nodiscard]] FlowAdmission Open(TimePoint aNow,
                                   ClassId aClass,
                                   CallerId aCaller);

  /** @brief Releases the capacity of an accepted flow. */
  void Close(TimePoint aNow, ClassId aClass, CallerId aCaller);

  /** @brief Returns the state dump. */
  [[nodiscard]] std::vector<ClassFlowsDump> Dump() const;

private:
  static constexpr std::size_t kCallerCounters = 256;

  struct ClassFlows
  {
    ClassTarget target_;
    std::uint32_t keeps_{};
    std::uint32_t most_{};
    std::uint32_t open_{};
    std::uint64_t refused_{};
    std::array<std::uint32_t, kCallerCounters> byCaller_{};
  };

  [[nodiscard]] ClassFlows* Find(ClassId aClass);
  [[nodiscard]] std::uint32_t& CounterOf(ClassFlows& aFlows, CallerId aCaller);
  [[nodiscard]] Refusal CheckLimits(ClassFlows& aFlows, CallerId aCaller);
  [[nodiscard]] bool HasUnreservedCapacity(const ClassFlows& aFlows) const;

  std::uint64_t seed_;
  Random random_;
  std::uint32_t limit_{};
  std::uint32_t unreserved_{};
  std::vector<ClassFlows> classes_;
};

} // namespace cornelshore::admission

#endif
