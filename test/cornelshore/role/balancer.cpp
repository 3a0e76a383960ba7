#include <cornelshore/role/balancer.hpp>

#include <algorithm>
#include <chrono>

#include <gtest/gtest.h>

#include <cornelshore/core/target.hpp>
#include <cornelshore/wire/role_hooks.hpp>

namespace cornelshore::role {
namespace {

constexpr TimePoint kStart{ std::chrono::hours{ 1 } };
const ServiceId kService = ServiceIdOf("shop-floor");

dissemination::NodeSettings
NodeOf(std::string_view aName)
{
  dissemination::NodeSettings settings;
  settings.self_ = NodeIdOf(aName);
  settings.incarnation_ = Incarnation{ 1 };
  settings.dataCentre_ = DataCentreIdOf("dc");
  settings.address_ = MakeIpv4(0x7F000001U, 7000);
  settings.seed_ = 1;
  return settings;
}

request::TicketRequest
TicketRequestOf(std::uint64_t aId)
{
  request::TicketRequest request;
  request.id_ = { 1, aId };
  request.work_ = { kService, ClassIdOf("shop-floor", "submissions"), 1 };
  return request;
}

request::Submit
SubmitUnder(HostId aHome)
{
  request::Submit submit;
  submit.key_.id_ = { 1, 1 };
  submit.key_.ticket_.home_ = { aHome, Incarnation{ 1 }, {} };
  return submit;
}

TEST(Balancer, DropsRequestsBeforeItsHostRecordsAreSynchronised)
{
  const auto balancer = Balancer::Builder(NodeOf("entry-1"))
                          .WithSeeds({ MakeIpv4(0x7F000001U, 7001) })
                          .WithHooks(wire::RoleHooks())
                          .Build(kStart);
  ASSERT_TRUE(balancer.ok()) << balancer.status();
  const auto caller = MakeIpv4(0x7F000001U, 9000);
  const std::vector<request::Message> messages{ TicketRequestOf(1),
                                                SubmitUnder(HostId{ 77 }) };
  for (const auto& message : messages) {
    const auto actions =
      (*balancer)->On(kStart, CallerMessage{ caller, message });
    EXPECT_TRUE(actions.empty());
  }
}

TEST(Balancer, ReportsAHostLostOnlyWhenItsRecordIsGone)
{
  const auto relay = *request::BalancerBuilder().WithSelf(NodeId{ 5 }).Build();
  auto balancer = relay;
  const auto caller = MakeIpv4(0x7F000001U, 9000);
  const HostId home{ 77 };
  const auto unknownHost =
    balancer.FromCaller(kStart, caller, SubmitUnder(home), {});
  ASSERT_EQ(unknownHost.size(), 1U);
  EXPECT_TRUE(std::holds_alternative<request::SendToHost>(unknownHost[0]));

  HostRecord gone;
  gone.id_ = home;
  gone.incarnation_ = Incarnation{ 1 };
  gone.state_ = HostState::Gone;
  const auto lost =
    balancer.FromCaller(kStart, caller, SubmitUnder(home), { &gone, 1 });
  ASSERT_EQ(lost.size(), 1U);
  const auto& answer = std::get<request::SendToCaller>(lost[0]);
  EXPECT_EQ(std::get<request::Outcome>(answer.message_).verdict_,
            request::Verdict::Unknown);
}

} // namespace
} // namespace cornelshore::role
