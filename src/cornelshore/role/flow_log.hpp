#ifndef CORNELSHORE_ROLE_FLOW_LOG_HPP
#define CORNELSHORE_ROLE_FLOW_LOG_HPP

#include <optional>
#include <vector>

#include <cornelshore/core/time.hpp>
#include <cornelshore/relay/flow_sampler.hpp>
#include <cornelshore/role/event.hpp>

namespace cornelshore::role::internal {

/** @brief Converts decisions about flows to log events, rate-limited by
 * sampling. */
class FlowLog
{
public:
  /** @brief Log events for a decision: at most one for the decision itself,
   * preceded by the counts of suppressed events when they are due. */
  [[nodiscard]] std::vector<Log> LinesOf(TimePoint aNow,
                                         const relay::FlowDecision& aDecision);

private:
  relay::FlowSampler sampler_{ relay::FlowSamplerSettings{} };
};

} // namespace cornelshore::role::internal

#endif
