#ifndef CORNELSHORE_RELAY_FLOW_SAMPLER_HPP
#define CORNELSHORE_RELAY_FLOW_SAMPLER_HPP

#include <cstdint>
#include <optional>

#include <cornelshore/core/time.hpp>
#include <cornelshore/relay/decision.hpp>

namespace cornelshore::relay {

/** @brief Bounds on a process's lines about flows. */
struct FlowSamplerSettings
{
  /** A balancer of today decides some 15 openings a second. */
  std::uint32_t routineLinesPerSecond_{ 50 };
  /** What goes wrong is logged up to this rate whether sampled or not. */
  std::uint32_t failureLinesPerSecond_{ 50 };
};

/** @brief Lines that were not written, of about a second. */
struct LinesLeftOut
{
  std::uint64_t routine_{};
  std::uint64_t failures_{};
  /** One of this many flows is logged from now on. */
  std::uint64_t sampledOneIn_{ 1 };
};

/**
 * @brief Chooses the flows whose decisions are logged.
 *
 * A flow is chosen by its hash, and one of 2^n is a part of one of 2^(n-1): a
 * flow that the process with the fewest chose has its lines at every process
 * that it crosses.
 */
class FlowSampler
{
public:
  explicit FlowSampler(FlowSamplerSettings aSettings);

  /** @brief Whether the decision is to be logged. */
  [[nodiscard]] bool Admits(TimePoint aNow, const FlowDecision& aDecision);

  /** @brief What the last second left out; nothing when it left out nothing or
   * goes on. */
  [[nodiscard]] std::optional<LinesLeftOut> TakeSuppressed(TimePoint aNow);

  /** @brief Whether something went otherwise than it should. */
  [[nodiscard]] static bool IsFailure(FlowEvent aEvent) noexcept;

private:
  void StartSecond(TimePoint aNow);
  [[nodiscard]] bool AdmitsRoutine(const FlowKey& aKey);

  FlowSamplerSettings settings_;
  TimePoint second_{};
  std::uint32_t shift_{}; ///< One flow of 2^shift is logged.
  std::uint64_t wanted_{};
  std::uint32_t routine_{};
  std::uint32_t failures_{};
  LinesLeftOut leftOut_;
  std::optional<LinesLeftOut> finished_;
};

} // namespace cornelshore::relay

#endif
