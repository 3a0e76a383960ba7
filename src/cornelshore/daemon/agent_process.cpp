#include <utility>

#include <cornelshore/daemon/processes.hpp>

#include <thread>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <cornelshore/core/target.hpp>
#include <cornelshore/daemon/decider.hpp>
#include <cornelshore/daemon/operator_port.hpp>
#include <cornelshore/net/context_ring.hpp>
#include <cornelshore/net/upstream_client.hpp>
#include <cornelshore/net/upstream_flows.hpp>
#include <cornelshore/role/agent.hpp>
#include <cornelshore/wire/role_hooks.hpp>

namespace cornelshore::daemon {

namespace {

using AgentDecider = Decider<role::Agent, role::AgentEvent, role::AgentAction>;

constexpr std::size_t kUpstreamRingCapacity = 16 * 1024;

/** What the deciding thread wants of the upstream's thread. */
using UpstreamOrder = std::variant<flow::Deliver,
                                   flow::Reset,
                                   role::RunAtUpstream,
                                   role::CancelAtUpstream>;

role::UpstreamRunOutcome
EndOf(net::UpstreamOutcome aOutcome)
{
  switch (aOutcome) {
    case net::UpstreamOutcome::Finished:
      return role::UpstreamRunOutcome::Finished;
    case net::UpstreamOutcome::Shed:
      return role::UpstreamRunOutcome::Shed;
    case net::UpstreamOutcome::Lost:
      break;
  }
  return role::UpstreamRunOutcome::Lost;
}

/** The thread that talks with the upstream. */
class UpstreamSide
{
public:
  UpstreamSide(const settings::AgentSettings& aSettings,
               AgentDecider::EventRing& aEvents,
               SendRing& aOut)
    : settings_(aSettings)
    , events_(aEvents)
    , out_(aOut)
    , flows_(context_,
             aSettings.upstreamFlows_,
             aSettings.upstreamGue_,
             FlowHooks())
    , client_(
        context_,
        aSettings.upstreamRequests_,
        [this](net::UpstreamResult aResult) { OnResult(std::move(aResult)); },
        [this](bool aReady) {
          events_.Push(role::UpstreamReadinessChanged{ aReady });
        })
    , orders_(kUpstreamRingCapacity, context_, [this](UpstreamOrder& aOrder) {
      std::visit([this](auto& aKind) { Obey(aKind); }, aOrder);
    })
  {
  }

  absl::Status Start()
  {
    auto status = flows_.Open();
    if (!status.ok()) {
      return status;
    }
    if (settings_.upstreamRequests_.port_ != 0) {
      client_.Start();
    } else {
      events_.Push(role::UpstreamReadinessChanged{ true });
    }
    thread_ = std::thread([this] {
      const auto guard = boost::asio::make_work_guard(context_);
      context_.run();
    });
    return absl::OkStatus();
  }

  void Stop()
  {
    context_.stop();
    if (thread_.joinable()) {
      thread_.join();
    }
  }

  void Order(UpstreamOrder aOrder)
  {
    if (auto* run = std::get_if<role::RunAtUpstream>(&aOrder)) {
      const auto id = run->run_;
      if (!orders_.Push(std::move(aOrder))) {
        shedAtRing_.push_back(id);
      }
      return;
    }
    orders_.Push(std::move(aOrder));
  }

  /** Runs that never reached the upstream's thread; on the deciding one. */
  [[nodiscard]] std::vector<request::RunId> TakeShed()
  {
    return std::exchange(shedAtRing_, {});
  }

private:
  net::UpstreamFlows::Hooks FlowHooks()
  {
    net::UpstreamFlows::Hooks hooks;
    hooks.answer_ = [this](const FlowKey& aKey,
                           const Address& aReturnPath,
                           std::string_view aBytes) {
      out_.Push(
        { aReturnPath,
          role::Message(role::FlowAnswer{ aKey, std::string(aBytes) }) });
    };
    hooks.ended_ = [this](const FlowKey& aKey) {
      events_.Push(role::UpstreamFlowEnded{ aKey });
    };
    hooks.refused_ = [this](const FlowKey& aKey, const Address& aReturnPath) {
      events_.Push(role::UpstreamFlowRefused{ aKey, aReturnPath });
    };
    return hooks;
  }

  void Obey(const flow::Deliver& aOrder)
  {
    if (aOrder.kind_ == flow::PayloadKind::Datagram) {
      flows_.DeliverDatagram(aOrder.key_, aOrder.returnPath_, aOrder.payload_);
    } else {
      flows_.DeliverIpPacket(aOrder.key_, aOrder.returnPath_, aOrder.payload_);
    }
  }

  void Obey(const flow::Reset& aOrder)
  {
    flows_.Forget(aOrder.key_);
    if (aOrder.kind_ == flow::PayloadKind::IpPacket) {
      flows_.ResetIpPacket(aOrder.key_, aOrder.returnPath_);
    }
  }

  void Obey(role::RunAtUpstream& aOrder)
  {
    client_.Run({ aOrder.id_,
                  aOrder.run_.value_,
                  std::move(aOrder.class_),
                  aOrder.timeLeft_,
                  std::move(aOrder.body_) });
  }

  void Obey(const role::CancelAtUpstream& aOrder)
  {
    client_.Cancel(aOrder.id_);
  }

  void OnResult(net::UpstreamResult aResult)
  {
    events_.Push(role::UpstreamRunEnded{ request::RunId{ aResult.attempt_ },
                                         EndOf(aResult.outcome_),
                                         std::move(aResult.body_) });
  }

  const settings::AgentSettings& settings_;
  AgentDecider::EventRing& events_;
  SendRing& out_;
  boost::asio::io_context context_;
  net::UpstreamFlows flows_;
  net::UpstreamClient client_;
  net::ContextRing<UpstreamOrder> orders_;
  std::vector<request::RunId> shedAtRing_;
  std::thread thread_;
};

/** Carries out an agent's actions. */
class Carrier
{
public:
  Carrier(SendRing& aOut, const std::unique_ptr<UpstreamSide>& aUpstream)
    : out_(aOut)
    , upstream_(aUpstream)
  {
  }

  void operator()(role::SendToNode& aAction)
  {
    out_.Push({ aAction.to_, std::move(aAction.message_) });
  }

  void operator()(role::Log& aAction) { WriteLog(aAction); }

  void operator()(role::Ended& aAction)
  {
    ended_ = true;
    log::Write(log::Level::Info,
               log::Event("stopped").With("flows_left", aAction.flowsLeft_));
  }

  template<typename Order>
  void operator()(Order& aAction)
  {
    upstream_->Order(std::move(aAction));
  }

  [[nodiscard]] bool HasEnded() const noexcept { return ended_; }

private:
  SendRing& out_;
  const std::unique_ptr<UpstreamSide>& upstream_;
  bool ended_{};
};

Methods
MethodsOf(AgentDecider& aDecider)
{
  auto methods = CommonMethods(aDecider);
  methods["flows"] = [&](const Json::Value&) {
    return AskDecider(aDecider,
                      [](auto aNow, auto& aRole) { return aRole.Flows(aNow); });
  };
  methods["drain"] = [&](const Json::Value&) {
    return AskDecider(aDecider, [&aDecider](auto aNow, auto& aRole) {
      aDecider.Feed(role::StopRequested{});
      return aRole.Flows(aNow);
    });
  };
  return methods;
}

HostRecord
HostOf(const settings::Settings& aSettings)
{
  HostRecord host;
  host.service_ = ServiceIdOf(aSettings.agent_.service_);
  host.slots_ = aSettings.agent_.slots_;
  host.connectionLimit_ = aSettings.agent_.connections_;
  return host;
}

} // namespace

absl::Status
RunAgent(Runtime& aRuntime)
{
  const auto& settings = aRuntime.Settings();
  auto role = role::Agent::Builder(aRuntime.NodeSettings(), HostOf(settings))
                .WithSeeds(settings.seeds_)
                .WithHooks(wire::RoleHooks())
                .WithStopLimit(settings.agent_.stopLimit_)
                .Build(Now());
  if (!role.ok()) {
    return role.status();
  }
  std::unique_ptr<UpstreamSide> upstream;
  Carrier carrier(aRuntime.Sender().AddRing(), upstream);
  std::unique_ptr<AgentDecider> decider;
  decider = std::make_unique<AgentDecider>(
    aRuntime, *std::move(role), [&](role::AgentAction& aAction) {
      std::visit([&](auto& aKind) { carrier(aKind); }, aAction);
      for (const auto run : upstream->TakeShed()) {
        decider->Feed(
          role::UpstreamRunEnded{ run, role::UpstreamRunOutcome::Shed, {} });
      }
      if (carrier.HasEnded()) {
        decider->End();
      }
    });
  auto& received = decider->AddRing();
  upstream = std::make_unique<UpstreamSide>(
    settings.agent_, decider->AddRing(), aRuntime.Sender().AddRing());
  OperatorPort port(settings, MethodsOf(*decider));
  for (const auto& status : { port.Start(), upstream->Start() }) {
    if (!status.ok()) {
      return status;
    }
  }
  aRuntime.Start(
    [&](role::NodeMessage aMessage) { received.Push(std::move(aMessage)); },
    [&] { received.Push(role::StopRequested{}); });
  decider->Run();
  port.Stop();
  upstream->Stop();
  aRuntime.Stop();
  return absl::OkStatus();
}

} // namespace cornelshore::daemon
