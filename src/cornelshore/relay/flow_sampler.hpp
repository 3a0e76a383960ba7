#ifndef CORNELSHORE_RELAY_FLOW_SAMPLER_HPP
#define CORNELSHORE_RELAY_FLOW_SAMPLER_HPP

#include <cstdint>
#include <optional>

#include <cornelshore/core/time.hpp>
#include <cornelshore/relay/decision.hpp>

namespace cornelshore::relay {

/** @brief Rate limits of a process's log lines about flows. */
struct FlowSamplerSettings
{
  /** A balancer decides about 15 openings per second in normal operation. */
  std::uint32_t routineLinesPerSecond_{ 50 };
  /** Failures are logged up to this rate, even of flows not sampled. */
  std::uint32_t failureLinesPerSecond_{ 50 };
};

/** @brief Lines suppressed within about one second. */
struct SuppressedLines
{
  std::uint64_t routine_{};
  std::uint64_t failures_{};
  /** One of this many flows is logged from now on. */
  std::uint64_t sampledOneIn_{ 1 };
};

/**
 * @brief Selects the flows whose decisions are logged.
 *
 * Flows are sampled by their hash, and the sample of one in 2^n is a subset of
 * that of one in 2^(n-1): a flow sampled by the process with the lowest
 * sampling rate is logged at every process that it crosses.
 */
class FlowSampler
{
public:
  explicit FlowSampler(FlowSamplerSettings aSettings);

  /** @brief Whether to log the decision; counts it if not. */
  [[nodiscard]] bool Admits(TimePoint aNow, const FlowDecision& aDecision);

  /** @brief Lines suppressed in the last second; nothing when there were none
   * or the second has not ended. */
  [[nodiscard]] std::optional<SuppressedLines> TakeSuppressed(TimePoint aNow);

  /** @brief Whether the event reports a failure. */
  [[nodiscard]] static bool IsFailure(FlowEvent aEvent) noexcept;

private:
  void StartSecond(TimePoint aNow);
  [[nodiscard]] bool AdmitsRoutine(const FlowKey& aKey);

  FlowSamplerSettings settings_;
  TimePoint second_{};
  std::uint32_t shift_{}; ///< One flow in 2^shift is logged.
  std::uint64_t candidates_{};
  std::uint32_t routine_{};
  std::uint32_t failures_{};
  SuppressedLines suppressed_;
  std::optional<SuppressedLines> summary_;
};

} // namespace cornelshore::relay

#endif
