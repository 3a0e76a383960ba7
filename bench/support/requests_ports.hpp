#ifndef CORNELSHORE_BENCH_SUPPORT_REQUESTS_PORTS_HPP
#define CORNELSHORE_BENCH_SUPPORT_REQUESTS_PORTS_HPP

#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <utility>
#include <vector>

#include <cornelshore/core/host.hpp>
#include <cornelshore/core/time.hpp>
#include <cornelshore/request/agent.hpp>
#include <cornelshore/request/balancer.hpp>
#include <cornelshore/request/caller.hpp>

namespace cornelshore::bench {

/** @brief One agent, of the product or of a baseline. */
struct AgentPort
{
  std::function<std::vector<request::Action>(TimePoint, request::Event)> on_;
  std::function<std::optional<TimePoint>()> nextTimer_;
};

/** @brief One balancer, of the product or of a baseline. */
struct BalancerPort
{
  using Actions = std::vector<request::BalancerAction>;
  using Hosts = std::span<const HostRecord>;

  std::function<Actions(TimePoint, const Address&, request::Message, Hosts)>
    fromCaller_;
  std::function<Actions(TimePoint, request::Message, Hosts)> fromHost_;
  std::function<Actions(TimePoint, Hosts)> tick_;
  std::function<std::optional<TimePoint>()> nextTimer_;
};

/** @brief One caller, of the product or of a baseline. */
struct CallerPort
{
  using Actions = std::vector<request::CallerAction>;

  std::function<Actions(TimePoint, request::Submission)> start_;
  std::function<Actions(TimePoint, RequestId)> stop_;
  std::function<Actions(TimePoint, request::Message)> on_;
  std::function<Actions(TimePoint)> tick_;
  std::function<std::optional<TimePoint>()> nextTimer_;
};

/** @brief How a system's processes are made. */
struct Ports
{
  std::function<AgentPort(const request::AgentSettings&)> agent_;
  std::function<BalancerPort(NodeId)> balancer_;
  std::function<CallerPort(request::CallerSettings)> caller_;
};

/** @brief Whether the fake configuration calls a class repeatable. */
inline bool
IsRepeatableClass(ClassId aClass)
{
  return aClass.value_ % 2 == 1;
}

/** @brief The product's agent, balancer and caller. */
inline Ports
ProductPorts()
{
  Ports ports;
  ports.agent_ = [](const request::AgentSettings& aSettings) {
    auto agent =
      std::make_shared<request::Agent>(*request::AgentBuilder()
                                          .With(aSettings)
                                          .WithRepeatable(IsRepeatableClass)
                                          .Build());
    return AgentPort{
      [agent](TimePoint aNow, request::Event aEvent) {
        return agent->On(aNow, std::move(aEvent));
      },
      [agent] { return agent->NextTimer(); },
    };
  };
  ports.balancer_ = [](NodeId aSelf) {
    auto balancer = std::make_shared<request::Balancer>(
      *request::BalancerBuilder().WithSelf(aSelf).Build());
    return BalancerPort{
      [balancer](TimePoint aNow,
                 const Address& aCaller,
                 request::Message aMessage,
                 BalancerPort::Hosts aHosts) {
        return balancer->FromCaller(aNow, aCaller, std::move(aMessage), aHosts);
      },
      [balancer](TimePoint, request::Message aMessage, BalancerPort::Hosts) {
        return balancer->FromHost(std::move(aMessage));
      },
      [](TimePoint, BalancerPort::Hosts) { return BalancerPort::Actions{}; },
      [] { return std::optional<TimePoint>{}; },
    };
  };
  ports.caller_ = [](request::CallerSettings aSettings) {
    auto caller = std::make_shared<request::Caller>(
      *request::CallerBuilder().With(std::move(aSettings)).Build());
    return CallerPort{
      [caller](TimePoint aNow, request::Submission aSubmission) {
        return *caller->Start(aNow, std::move(aSubmission));
      },
      [caller](TimePoint aNow, RequestId aId) {
        return caller->Stop(aNow, aId);
      },
      [caller](TimePoint aNow, request::Message aMessage) {
        return caller->On(aNow, std::move(aMessage));
      },
      [caller](TimePoint aNow) { return caller->Tick(aNow); },
      [caller] { return caller->NextTimer(); },
    };
  };
  return ports;
}

} // namespace cornelshore::bench

#endif
