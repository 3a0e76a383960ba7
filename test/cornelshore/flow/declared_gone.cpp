#include <cornelshore/flow/balancer.hpp>
#include <cornelshore/routing/view.hpp>

#include <chrono>
#include <variant>

#include <gtest/gtest.h>

namespace cornelshore::flow {
namespace {

constexpr TimePoint kStart{ std::chrono::hours{ 1 } };
constexpr ServiceId kService{ 1 };

HostRecord
ReadyHost(std::uint64_t aId)
{
  HostRecord record;
  record.id_ = HostId{ aId };
  record.incarnation_ = Incarnation{ 1 };
  record.sequence_ = 4;
  record.service_ = kService;
  record.slots_ = 3;
  record.state_ = HostState::Ready;
  return record;
}

/** A record declared gone by the membership keeps the version of the record
 * that it replaces. */
HostRecord
DeclaredGone(HostRecord aRecord)
{
  aRecord.state_ = HostState::Gone;
  return aRecord;
}

TEST(DeclaredGone, TheBalancerSendsNothingToAHostDeclaredGone)
{
  Balancer balancer;
  const std::vector<HostRecord> hosts{ ReadyHost(1), ReadyHost(2) };
  balancer.Update(kStart, hosts);
  balancer.Update(kStart, std::vector{ DeclaredGone(hosts[0]) });
  balancer.Update(kStart, std::vector{ hosts[0] });
  for (std::uint16_t port = 1; port < 200; ++port) {
    Packet packet;
    packet.service_ = kService;
    packet.key_.caller_ = MakeIpv4(0xC0000201U, port);
    const auto decision = balancer.OnPacket(kStart, std::move(packet));
    ASSERT_TRUE(std::holds_alternative<Send>(decision));
    EXPECT_EQ(std::get<Send>(decision).to_, HostId{ 2 });
  }
}

TEST(DeclaredGone, TheViewTreatsAHostDeclaredGoneAsGone)
{
  routing::View view(kService, std::chrono::seconds{ 30 });
  const std::vector<HostRecord> hosts{ ReadyHost(1), ReadyHost(2) };
  view.Apply(kStart, hosts);
  EXPECT_TRUE(view.Apply(kStart, std::vector{ DeclaredGone(hosts[0]) }));
  EXPECT_FALSE(view.Apply(kStart, std::vector{ hosts[0] }));
  EXPECT_EQ(view.Find(HostId{ 1 })->state_, HostState::Gone);
}

} // namespace
} // namespace cornelshore::flow
