#include <cornelshore/flow/agent.hpp>
#include <cornelshore/flow/balancer.hpp>

#include <algorithm>
#include <chrono>
#include <map>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

namespace cornelshore::flow {
namespace {

using std::chrono::seconds;

constexpr ServiceId kService{ 1 };

TimePoint
At(std::int64_t aSeconds)
{
  return TimePoint(seconds(aSeconds));
}

HostRecord
Ready(std::uint64_t aHost, std::uint64_t aSequence = 1)
{
  HostRecord record;
  record.id_ = { aHost };
  record.incarnation_ = { 1 };
  record.sequence_ = aSequence;
  record.service_ = kService;
  record.slots_ = 3;
  record.state_ = HostState::Ready;
  return record;
}

HostRecord
In(HostRecord aRecord, HostState aState)
{
  aRecord.state_ = aState;
  ++aRecord.sequence_;
  return aRecord;
}

Agent
MakeAgent(const HostRecord& aSelf, Admission aAdmission = {})
{
  auto agent =
    AgentBuilder().SetSelf(aSelf).SetAdmission(std::move(aAdmission)).Build();
  EXPECT_TRUE(agent.ok());
  return *std::move(agent);
}

/** An agent that is ready and has known the hosts since `At(0)`. */
Agent
Started(const HostRecord& aSelf,
        const std::vector<HostRecord>& aHosts,
        Admission aAdmission = {})
{
  auto agent = MakeAgent(aSelf, std::move(aAdmission));
  static_cast<void>(agent.On(At(0), MembershipChanged{ aHosts }));
  static_cast<void>(agent.On(At(0), ViewConfirmed{ At(0) }));
  static_cast<void>(agent.On(At(0), ReadinessChanged{ true }));
  return agent;
}

void
Confirm(Agent& aAgent, TimePoint aNow)
{
  static_cast<void>(aAgent.On(aNow, ViewConfirmed{ aNow }));
}

Envelope
PacketOf(std::uint16_t aPort, Opening aOpening)
{
  Envelope envelope;
  envelope.service_ = kService;
  envelope.key_ = { MakeIpv4(0xC0000201U, aPort),
                    MakeIpv4(0xC6336401U, 443),
                    Transport::Tcp };
  envelope.opening_ = aOpening;
  envelope.payload_ = "payload";
  return envelope;
}

template<typename Kind>
std::vector<Kind>
Only(const Agent::Actions& aActions)
{
  std::vector<Kind> found;
  for (const auto& action : aActions) {
    if (const auto* match = std::get_if<Kind>(&action)) {
      found.push_back(*match);
    }
  }
  return found;
}

std::uint64_t
Counted(const Agent& aAgent, Outcome aOutcome)
{
  const auto state = aAgent.Dump(At(0));
  return state.counters_[static_cast<std::size_t>(aOutcome)];
}

TEST(Agent, NeverDeliversAnEnvelopeOfAnotherService)
{
  auto agent = Started(Ready(1), { Ready(1) });
  Confirm(agent, At(60));
  for (const auto phase : { Phase::Lookup,
                            Phase::Claim,
                            Phase::Place,
                            Phase::Declined,
                            Phase::Adopt,
                            Phase::Found }) {
    auto envelope = PacketOf(1, Opening::Yes);
    envelope.service_ = { 2 };
    envelope.phase_ = phase;
    EXPECT_TRUE(agent.On(At(60), EnvelopeArrived{ envelope }).empty());
  }
  EXPECT_EQ(Counted(agent, Outcome::WrongService), 6U);
}

TEST(Agent, ResetsOnlyWithAFreshAndSettledView)
{
  auto agent = Started(Ready(1), { Ready(1) });
  const EnvelopeArrived packet{ PacketOf(1, Opening::No) };
  Confirm(agent, At(10));
  EXPECT_TRUE(agent.On(At(10), EnvelopeArrived(packet)).empty());
  EXPECT_TRUE(agent.On(At(60), EnvelopeArrived(packet)).empty());
  Confirm(agent, At(60));
  const auto resets = Only<Reset>(agent.On(At(60), EnvelopeArrived(packet)));
  ASSERT_EQ(resets.size(), 1U);
  EXPECT_EQ(resets[0].reason_, ResetReason::NoOwner);
}

TEST(Agent, WaitsWithTheResetForAHolderUntilItIsKnownGone)
{
  auto holder = In(Ready(2), HostState::Leaving);
  holder.held_.set();
  auto agent = Started(Ready(1), { Ready(1), holder });
  Confirm(agent, At(60));
  const EnvelopeArrived packet{ PacketOf(1, Opening::No) };
  const auto asked = Only<Forward>(agent.On(At(60), EnvelopeArrived(packet)));
  ASSERT_EQ(asked.size(), 1U);
  EXPECT_EQ(asked[0].to_, HostId{ 2 });
  EXPECT_EQ(asked[0].envelope_.asked_, std::vector{ HostId{ 1 } });
  static_cast<void>(
    agent.On(At(61), MembershipChanged{ { In(holder, HostState::Gone) } }));
  EXPECT_EQ(Only<Reset>(agent.On(At(61), EnvelopeArrived(packet))).size(), 1U);
}

TEST(Agent, OpensNoFlowWithAStaleViewOrBeforeItIsReady)
{
  auto agent = Started(Ready(1), { Ready(1) });
  const EnvelopeArrived opening{ PacketOf(1, Opening::Yes) };
  EXPECT_TRUE(
    Only<Deliver>(agent.On(At(60), EnvelopeArrived(opening))).empty());
  Confirm(agent, At(61));
  static_cast<void>(agent.On(At(61), ReadinessChanged{ false }));
  EXPECT_TRUE(
    Only<Deliver>(agent.On(At(61), EnvelopeArrived(opening))).empty());
  static_cast<void>(agent.On(At(62), ReadinessChanged{ true }));
  const auto delivered =
    Only<Deliver>(agent.On(At(62), EnvelopeArrived(opening)));
  ASSERT_EQ(delivered.size(), 1U);
  EXPECT_TRUE(delivered[0].opens_);
}

TEST(Agent, CallsTheAdmissionHookForNewFlowsOnly)
{
  bool admits = false;
  auto agent = Started(
    Ready(1), { Ready(1) }, [&](TimePoint, const NewFlow&) { return admits; });
  Confirm(agent, At(60));
  const EnvelopeArrived opening{ PacketOf(1, Opening::Yes) };
  const auto resets = Only<Reset>(agent.On(At(60), EnvelopeArrived(opening)));
  ASSERT_EQ(resets.size(), 1U);
  EXPECT_EQ(resets[0].reason_, ResetReason::NotAdmitted);
  admits = true;
  EXPECT_EQ(Only<Deliver>(agent.On(At(60), EnvelopeArrived(opening))).size(),
            1U);
  admits = false;
  EXPECT_EQ(Only<Deliver>(agent.On(At(60), EnvelopeArrived(opening))).size(),
            1U);
}

TEST(Agent, LeavesWhenTheLastFlowEndedOrAtTheLimit)
{
  auto agent = Started(Ready(1), { Ready(1), Ready(2) });
  static_cast<void>(
    agent.On(At(1), UpstreamOpened{ PacketOf(1, Opening::No).key_ }));
  auto limited = agent;
  const auto announced =
    Only<Announce>(agent.On(At(2), LeaveRequested{ seconds(1000) }));
  ASSERT_EQ(announced.size(), 1U);
  EXPECT_EQ(announced[0].state_, HostState::Leaving);
  EXPECT_TRUE(Only<Stopped>(agent.On(At(500), Tick{})).empty());
  EXPECT_EQ(agent.Dump(At(500)).leavingSince_, At(2));
  EXPECT_EQ(agent.Dump(At(500)).leaveDeadline_, At(1002));
  static_cast<void>(
    agent.On(At(501), UpstreamClosed{ PacketOf(1, Opening::No).key_ }));
  EXPECT_TRUE(Only<Stopped>(agent.On(At(530), Tick{})).empty());
  const auto stopped = Only<Stopped>(agent.On(At(531), Tick{}));
  ASSERT_EQ(stopped.size(), 1U);
  EXPECT_FALSE(stopped[0].limitReached_);

  static_cast<void>(limited.On(At(2), LeaveRequested{ seconds(10) }));
  const auto given = Only<Stopped>(limited.On(At(12), Tick{}));
  ASSERT_EQ(given.size(), 1U);
  EXPECT_TRUE(given[0].limitReached_);
  EXPECT_EQ(given[0].flowsLeft_, 1U);
}

TEST(Agent, AnnouncesABucketOnceAndKeepsItWhileItOwnsIt)
{
  auto agent = Started(Ready(1), { Ready(1), Ready(2) });
  std::size_t announcements = 0;
  for (std::int64_t second = 1; second < 2000; ++second) {
    const auto key = PacketOf(7, Opening::No).key_;
    static_cast<void>(agent.On(At(second), UpstreamOpened{ key }));
    static_cast<void>(agent.On(At(second), UpstreamClosed{ key }));
    announcements += Only<Announce>(agent.On(At(second), Tick{})).size();
  }
  EXPECT_LE(announcements, 1U);
  EXPECT_LE(agent.Dump(At(2000)).heldBuckets_, 1U);
}

TEST(Agent, KeepsTheFlowsOfItsPreviousRun)
{
  const auto key = PacketOf(1, Opening::No).key_;
  auto before = Started(Ready(1), { Ready(1) });
  static_cast<void>(before.On(At(1), UpstreamOpened{ key }));
  auto self = Ready(1);
  self.incarnation_ = { 2 };
  auto listed = MakeAgent(self);
  static_cast<void>(listed.On(At(2), before.HandOver()));
  EXPECT_TRUE(listed.Owns(key));

  auto crashed = MakeAgent(self);
  const EnvelopeArrived packet{ PacketOf(1, Opening::No) };
  EXPECT_TRUE(crashed.On(At(2), EnvelopeArrived(packet)).empty());
  auto record = Ready(1);
  record.held_.set(routing::BucketOf(key).value_);
  static_cast<void>(crashed.On(At(2), MembershipChanged{ { record } }));
  const auto announced =
    Only<Announce>(crashed.On(At(2), ViewConfirmed{ At(2) }));
  ASSERT_EQ(announced.size(), 1U);
  EXPECT_TRUE(announced[0].held_[routing::BucketOf(key).value_]);
  EXPECT_EQ(Only<Deliver>(crashed.On(At(2), EnvelopeArrived(packet))).size(),
            1U);
  static_cast<void>(crashed.On(At(3), UpstreamRefused{ key, {} }));
  EXPECT_TRUE(crashed.On(At(3), EnvelopeArrived(packet)).empty());
}

TEST(Agent, ForwardsNoFurtherThanTheLimitOfHops)
{
  auto agent = Started(Ready(1), { Ready(1), Ready(2), Ready(3) });
  Confirm(agent, At(60));
  auto envelope = PacketOf(1, Opening::No);
  envelope.hops_ = kMaxHops;
  EXPECT_TRUE(agent.On(At(60), EnvelopeArrived{ envelope }).empty());
  EXPECT_EQ(Counted(agent, Outcome::TooManyHops), 1U);
}

TEST(AgentBuilder, RefusesLimitsThatViolateTheRequiredOrder)
{
  EXPECT_FALSE(AgentBuilder().SetSelf(Ready(0)).Build().ok());
  auto noSlots = Ready(1);
  noSlots.slots_ = 0;
  EXPECT_FALSE(AgentBuilder().SetSelf(noSlots).Build().ok());
  Limits limits;
  limits.maxViewAge_ = seconds(16);
  EXPECT_FALSE(AgentBuilder().SetSelf(Ready(1)).SetLimits(limits).Build().ok());
  limits = {};
  limits.claimTimeout_ = seconds(16);
  EXPECT_FALSE(AgentBuilder().SetSelf(Ready(1)).SetLimits(limits).Build().ok());
}

/** Three agents and the datagrams in flight; copied at every branch. */
struct Crossing
{
  std::map<HostId, Agent> agents_;
  std::vector<std::pair<HostId, Envelope>> sent_;
  std::vector<HostId> opened_;
  std::size_t delivered_{};

  void Arrive(std::size_t aIndex)
  {
    auto [to, envelope] = std::move(sent_[aIndex]);
    sent_.erase(sent_.begin() + static_cast<std::ptrdiff_t>(aIndex));
    auto actions = agents_.at(to).On(At(61), EnvelopeArrived{ envelope });
    for (auto& action : actions) {
      if (auto* forward = std::get_if<Forward>(&action)) {
        sent_.emplace_back(forward->to_, std::move(forward->envelope_));
      } else if (const auto* deliver = std::get_if<Deliver>(&action)) {
        ++delivered_;
        if (deliver->opens_) {
          opened_.push_back(to);
        }
      }
    }
  }
};

/** Explores every order of arrival; counts the completed orders. */
std::size_t
WalkAllOrders(const Crossing& aState)
{
  EXPECT_LE(aState.opened_.size(), 1U);
  if (aState.sent_.empty()) {
    EXPECT_EQ(aState.opened_.size(), 1U);
    EXPECT_EQ(aState.delivered_, 2U);
    return 1;
  }
  std::size_t orders = 0;
  for (std::size_t index = 0; index < aState.sent_.size(); ++index) {
    auto next = aState;
    next.Arrive(index);
    orders += WalkAllOrders(next);
  }
  return orders;
}

TEST(Agent, TwoCopiesOfAnOpeningOpenOneFlowInEveryOrderOfArrival)
{
  const std::vector<HostRecord> all{ Ready(1), Ready(2), Ready(3) };
  for (const auto opening : { Opening::Yes, Opening::Maybe }) {
    for (std::uint16_t port = 1; port <= 3; ++port) {
      for (std::uint64_t unknown = 1; unknown <= 3; ++unknown) {
        for (std::uint64_t target = 1; target <= 3; ++target) {
          Crossing state;
          for (std::uint64_t host = 1; host <= 3; ++host) {
            auto known = all;
            std::erase_if(known, [&](const HostRecord& aRecord) {
              return aRecord.id_.value_ == unknown && host != unknown;
            });
            auto agent = Started(Ready(host), known);
            Confirm(agent, At(60));
            if (host == unknown) {
              static_cast<void>(agent.On(At(59), ReadinessChanged{ false }));
              static_cast<void>(agent.On(At(60), ReadinessChanged{ true }));
            }
            state.agents_.emplace(HostId{ host }, std::move(agent));
          }
          state.sent_.emplace_back(HostId{ unknown }, PacketOf(port, opening));
          state.sent_.emplace_back(HostId{ target }, PacketOf(port, opening));
          EXPECT_GT(WalkAllOrders(state), 0U);
        }
      }
    }
  }
}

Packet
PacketFor(ServiceId aService)
{
  Packet packet;
  packet.service_ = aService;
  packet.key_ = PacketOf(1, Opening::Yes).key_;
  return packet;
}

TEST(Balancer, SendsToHoldersOnceNoHostIsReadyAndFollowsAChangeOfService)
{
  Balancer balancer;
  const auto decide = [&](ServiceId aService) {
    return balancer.OnPacket(At(0), PacketFor(aService));
  };
  EXPECT_EQ(std::get<Refusal>(decide(kService)), Refusal::UnknownService);
  auto record = Ready(1);
  balancer.Update(At(0), { &record, 1 });
  EXPECT_EQ(std::get<Send>(decide(kService)).to_, HostId{ 1 });
  record = In(record, HostState::Leaving);
  record.held_.set();
  balancer.Update(At(0), { &record, 1 });
  EXPECT_EQ(std::get<Send>(decide(kService)).to_, HostId{ 1 });
  const auto old = record;
  record.incarnation_ = { 2 };
  record.service_ = { 2 };
  record.state_ = HostState::Ready;
  balancer.Update(At(0), { &record, 1 });
  balancer.Update(At(0), { &old, 1 });
  EXPECT_EQ(std::get<Refusal>(decide(kService)), Refusal::NoReadyHost);
  EXPECT_EQ(std::get<Send>(decide({ 2 })).to_, HostId{ 1 });
}

} // namespace
} // namespace cornelshore::flow
