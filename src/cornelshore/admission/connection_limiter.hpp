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

/** @brief Answer to the opening of a flow. */
struct FlowAdmission
{
  bool accepted_{};
  Refusal reason_{ Refusal::None };
  Duration retryAfter_{}; ///< Jittered; when refused.
};

/** @brief One class's part of a connection limiter's state dump. */
struct ClassFlowsDump
{
  std::string name_;
  std::uint32_t keeps_{}; ///< Flows kept for the class.
  std::uint32_t most_{};  ///< Flows it may hold.
  std::uint32_t open_{};
  std::uint64_t refused_{};
};

/**
 * @brief Shares one host's flows among the classes of its service.
 *
 * Flows stay for hours, so what is kept for a class is never lent. Beyond its
 * floor a class draws on the unreserved flows; the last tenth of them goes by
 * urgency. Callers of a class are told apart by 256 hashed counters: when the
 * class nears its limit, no caller opens more than an eighth of it.
 */
class ConnectionLimiter
{
public:
  /** @param aSeed Seed of the callers' hash and of the jitter. */
  explicit ConnectionLimiter(std::uint64_t aSeed);

  /**
   * @brief Puts targets in force; open flows are never cut.
   * @param aLimit Flows the host can hold.
   */
  void Configure(const ServiceTarget& aTarget, std::uint32_t aLimit);

  /** @brief Decides on a flow that opens. */
  [[nodiscard]] FlowAdmission Open(TimePoint aNow,
                                   ClassId aClass,
                                   CallerId aCaller);

  /** @brief Takes note that an accepted flow closed. */
  void Close(TimePoint aNow, ClassId aClass, CallerId aCaller);

  /** @brief State for the dump on request. */
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
  [[nodiscard]] Refusal Judge(ClassFlows& aFlows, CallerId aCaller);
  [[nodiscard]] bool PoolHasRoom(const ClassFlows& aFlows) const;

  std::uint64_t seed_;
  Random random_;
  std::uint32_t limit_{};
  std::uint32_t unreserved_{};
  std::vector<ClassFlows> classes_;
};

} // namespace cornelshore::admission

#endif
