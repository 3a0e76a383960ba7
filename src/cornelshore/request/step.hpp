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

/** @brief Times a result is sent before it is given up. */
inline constexpr std::uint32_t kResultTries = 6;

/** @brief What the parts of an agent share while one event is handled. */
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

  /** @brief Sends back by the message's route; without one, nothing. */
  template<typename Reply>
  void ToCaller(Reply aReply)
  {
    const auto balancer = aReply.route_.balancer_;
    if (balancer.value_ != 0) {
      actions_.emplace_back(SendToBalancer{ balancer, std::move(aReply) });
    }
  }

  /** @brief Judges the stamp of an id that is not held. */
  [[nodiscard]] Standing Judge(const Fence& aFence, Stamp aStamp) const
  {
    return aFence.Judge(now_, aStamp, settings_.window_, settings_.retention_);
  }

  /** @brief Whether the authority is this run of this agent. */
  [[nodiscard]] bool IsSelf(const Authority& aAuthority) const
  {
    return aAuthority.host_ == settings_.self_ &&
           aAuthority.incarnation_ == settings_.incarnation_;
  }
};

/** @brief What a caller is told of a request. */
struct Told
{
  Verdict verdict_{ Verdict::Unknown };
  Reason reason_{ Reason::None };
  Duration retryAfter_{};
  std::uint32_t attempt_{};
};

/** @brief Tells a caller: the answer in parts, or the outcome without one. */
void Tell(Step& aStep,
          const RequestKey& aKey,
          const Route& aRoute,
          const Told& aTold,
          const std::string& aAnswer);

} // namespace cornelshore::request::internal

#endif
