#include <cornelshore/dissemination/node.hpp>

#include <string>

#include <gtest/gtest.h>

#include <cornelshore/dissemination/fleet.hpp>

namespace cornelshore::dissemination {
namespace {

using membership::NodeRole;

constexpr ServiceId kService{ 7 };

/** A fleet of control VMs, then balancers, then agents of one service. */
void
Fill(Fleet& aFleet,
     std::size_t aControl,
     std::size_t aBalancers,
     std::size_t aAgents)
{
  NodeSettings settings;
  settings.role_ = NodeRole::Control;
  for (std::size_t index = 0; index < aControl; ++index) {
    aFleet.Add(settings);
  }
  settings.role_ = NodeRole::Balancer;
  for (std::size_t index = 0; index < aBalancers; ++index) {
    aFleet.Add(settings);
  }
  settings.role_ = NodeRole::Agent;
  settings.interest_ = kService;
  for (std::size_t index = 0; index < aAgents; ++index) {
    aFleet.Add(settings);
  }
}

HostRecord
RecordOf(const Fleet::Member& aMember,
         std::uint64_t aSequence,
         HostState aState)
{
  HostRecord record;
  record.id_ = HostId{ aMember.settings_.self_.value_ };
  record.incarnation_ = aMember.settings_.incarnation_;
  record.sequence_ = aSequence;
  record.service_ = kService;
  record.agent_ = aMember.settings_.address_;
  record.slots_ = 3;
  record.state_ = aState;
  return record;
}

TEST(Node, SpreadsConfigurationsAndRecordsToEveryProcess)
{
  Fleet fleet(1);
  Fill(fleet, 3, 10, 20);
  for (std::size_t index = 13; index < 33; ++index) {
    fleet.Feed(
      index,
      HostAnnounced{ RecordOf(fleet.Members()[index], 1, HostState::Ready) });
  }
  fleet.RunFor(std::chrono::seconds(20));
  fleet.Feed(0, ConfigAccepted{ { 1 }, std::string(5000, 'a') });
  fleet.Feed(0, ControlConfirmed{ { 1 }, 1 });
  fleet.RunFor(std::chrono::seconds(20));
  for (auto& member : fleet.Members()) {
    EXPECT_EQ(member.node_.Config().value_, 1U)
      << member.settings_.self_.value_;
    EXPECT_TRUE(member.node_.Confirmed(fleet.Now()));
    EXPECT_EQ(member.node_.Hosts().size(), 20U);
    ASSERT_TRUE(member.node_.ConfirmedAt().has_value());
    EXPECT_LT(fleet.Now() - *member.node_.ConfirmedAt(),
              std::chrono::seconds(15));
  }
}

} // namespace
} // namespace cornelshore::dissemination
