#ifndef CORNELSHORE_ROLE_FLOW_LOG_HPP
#define CORNELSHORE_ROLE_FLOW_LOG_HPP

#include <optional>
#include <vector>

#include <cornelshore/core/time.hpp>
#include <cornelshore/relay/flow_sampler.hpp>
#include <cornelshore/role/event.hpp>

namespace cornelshore::role::internal {

/** @brief Turns decisions about flows into lines of the log, within bounds. */
class FlowLog
{
public:
  /** @brief Lines for a decision: one, none, and what was left out before. */
  [[nodiscard]] std::vector<Log> LinesOf(TimePoint aNow,
                                         const relay::FlowDecision& aDecision);

private:
  relay::FlowSampler sampler_{ relay::FlowSamplerSettings{} };
};

} // namespace cornelshore::role::internal

#endif
