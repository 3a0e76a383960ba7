#ifndef CORNELSHORE_REQUEST_STEP_HPP
#define CORNELSHORE_REQUEST_STEP_HPP

#include <string>
#include <utility>
#include <vector>

#include <cornelshore/core/time.hpp>
#include <cornelshore/request/event.hpp>
#include <cornelshore/request/executor.hpp>
#include <cornelshore/request/message.hpp>
#include <cornelshore/request/peers.hpp>
#include <cornelshore/request/settings.hpp>

namespace cornelshore::request::internal {

/** @brief Number of sends of a result before it is abandoned. */
inline constexpr std::uint32_t kMaxResultSends = 6;

/** @brief Context shared by an agent's roles while handling one event. */
struct Step
{
  TimePoint now_;
  const AgentSettings& settings_;
  Peers& peers_;
  std::vector<Action>& actions_;

  void ToHost(HostId aTo, Message aMessage)
  {
    actions_.emplace_back(SendToHost{ aTo, std::move(aMessage) });
  }

  /** @brief Sends by the message's route; no effect without a route. */
  template<typename Reply>
  void ToCaller(Reply aReply)
  {
    const auto balancer = aReply.route_.balancer_;
    if (balancer.value_ != 0) {
      actions_.emplace_back(SendToBalancer{ balancer, std::move(aReply) });
    }
  }

  /** @brief Classifies the stamp of an id that is not held. */
  [[nodiscard]] StampStatus ClassifyStamp(const Fence& aFence,
                                          Stamp aStamp) const
  {
    return aFence.Classify(
      now_, aStamp, settings_.window_, settings_.retention_);
  }

  /** @brief Whether the authority is this agent's incarnation. */
  [[nodiscard]] bool IsSelf(const Authority& aAuthority) const
  {
    return aAuthority.host_ == settings_.self_ &&
           aAuthority.incarnation_ == settings_.incarnation_;
  }
};

/** @brief Outcome of a request as reported to its caller. */
struct OutcomeInfo
{
  Verdict verdict_{ Verdict::Unknown };
  Reason reason_{ Reason::None };
  Duration retryAfter_{};
  std::uint32_t attempt_{};
};

/** @brief Sends a caller the answer in parts, or the outcome without one. */
void SendOutcome(Step& aStep,
                 const RequestKey& aKey,
                 const Route& aRoute,
                 const OutcomeInfo& aOutcome,
                 const std::string& aAnswer);

} // namespace cornelshore::request::internal

#endif
