#include <cornelshore/role/message.hpp>

#include <gtest/gtest.h>

namespace cornelshore::role {
namespace {

TEST(TrafficPurpose, TellsWhatAMessagesBytesAreFor)
{
  using relay::Purpose;
  const auto packet = [](Purpose aPurpose) {
    relay::RelayedPacket relayed;
    relayed.purpose_ = aPurpose;
    return Message(relay::Message(relayed));
  };
  EXPECT_EQ(TrafficPurposeOf(packet(Purpose::Open)), TrafficPurpose::Relayed);
  EXPECT_EQ(TrafficPurposeOf(packet(Purpose::Search)),
            TrafficPurpose::Searched);
  EXPECT_EQ(TrafficPurposeOf(relay::Message(relay::Answer{})),
            TrafficPurpose::Answer);
  EXPECT_EQ(TrafficPurposeOf(relay::Message(relay::Query{})),
            TrafficPurpose::Query);
  EXPECT_EQ(TrafficPurposeOf(relay::Message(relay::QueryAnswer{})),
            TrafficPurpose::Query);
  EXPECT_EQ(TrafficPurposeOf(relay::Message(relay::Watch{})),
            TrafficPurpose::Load);
  EXPECT_EQ(TrafficPurposeOf(relay::Message(relay::HostLoad{})),
            TrafficPurpose::Load);
}

TEST(TrafficPurpose, TellsThePartsOfDisseminationApart)
{
  dissemination::Message update;
  EXPECT_EQ(TrafficPurposeOf(update), TrafficPurpose::Round);
  update.header_.kind_ = dissemination::MessageKind::Push;
  EXPECT_EQ(TrafficPurposeOf(update), TrafficPurpose::Push);
  update.snapshotRequest_ = 0;
  EXPECT_EQ(TrafficPurposeOf(update), TrafficPurpose::Snapshot);
  update.chunks_.emplace_back();
  EXPECT_EQ(TrafficPurposeOf(update), TrafficPurpose::Config);
  EXPECT_EQ(TrafficPurposeOf(consensus::Message{}), TrafficPurpose::Consensus);
  EXPECT_EQ(TrafficPurposeOf(FlowAnswer{}), TrafficPurpose::Other);
}

} // namespace
} // namespace cornelshore::role
