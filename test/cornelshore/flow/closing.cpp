#include <cornelshore/flow/agent.hpp>

#include <chrono>
#include <vector>

#include <gtest/gtest.h>

#include <cornelshore/routing/table.hpp>

namespace cornelshore::flow {
namespace {

constexpr TimePoint kStart{ std::chrono::hours{ 1 } };

TEST(Closing, ReportsTheEndOfEachAdmittedFlowOnce)
{
  HostRecord self;
  self.id_ = HostId{ 7 };
  self.incarnation_ = Incarnation{ 1 };
  self.service_ = ServiceId{ 1 };
  self.slots_ = 4;
  self.connectionLimit_ = 100;
  int admitted = 0;
  std::vector<FlowKey> closed;
  auto agent = *AgentBuilder()
                  .SetSelf(self)
                  .SetAdmission([&](TimePoint, const NewFlow&) {
                    ++admitted;
                    return true;
                  })
                  .SetFlowEndedCallback([&](TimePoint, const NewFlow& aFlow) {
                    closed.push_back(aFlow.key_);
                  })
                  .Build();
  auto now = kStart;
  static_cast<void>(agent.On(now, ReadinessChanged{ true }));
  self.sequence_ = 2;
  self.state_ = HostState::Ready;
  static_cast<void>(agent.On(now, MembershipChanged{ { self } }));
  static_cast<void>(agent.On(now, ViewConfirmed{ now }));
  now += std::chrono::minutes(5);
  static_cast<void>(agent.On(now, ViewConfirmed{ now }));
  std::vector<FlowKey> opened;
  for (std::uint16_t port = 1; port <= 10; ++port) {
    Envelope envelope;
    envelope.service_ = self.service_;
    envelope.key_.caller_ = MakeIpv4(0xC0000201U, port);
    envelope.key_.transport_ = Transport::Tcp;
    envelope.bucket_ = routing::BucketOf(envelope.key_);
    envelope.opening_ = Opening::Yes;
    opened.push_back(envelope.key_);
    static_cast<void>(agent.On(now, EnvelopeArrived{ std::move(envelope) }));
  }
  EXPECT_EQ(admitted, 10);
  for (const auto& key : opened) {
    static_cast<void>(agent.On(now, UpstreamClosed{ key }));
    static_cast<void>(agent.On(now, UpstreamClosed{ key }));
  }
  EXPECT_EQ(closed, opened);
  EXPECT_EQ(agent.Dump(now).flows_, 0U);
}

} // namespace
} // namespace cornelshore::flow
