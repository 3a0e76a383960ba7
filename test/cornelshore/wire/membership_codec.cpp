#include <cornelshore/wire/membership_codec.hpp>

#include <string>

#include <gtest/gtest.h>

#include <cornelshore/core/random.hpp>

namespace cornelshore::wire {
namespace {

TEST(MembershipCodec, ReadsRecordsAsWritten)
{
  Random random(3);
  for (std::size_t bits : { 0U, 1U, 63U, 64U, 900U }) {
    HostRecord record;
    record.id_ = HostId{ random.Next() };
    record.incarnation_ = Incarnation{ random.Next() };
    record.sequence_ = random.Next();
    record.service_ = ServiceId{ 9 };
    record.dataCentre_ = DataCentreId{ 8 };
    record.agent_ = MakeIpv4(0xC0000201U, 4000);
    record.slots_ = 4;
    record.connectionLimit_ = 2000;
    record.state_ = HostState::Leaving;
    while (record.held_.count() < bits) {
      record.held_.set(random.Below(kBucketCount));
    }
    std::string out;
    Writer writer(out);
    Encode(writer, record);
    Reader reader(out);
    HostRecord read;
    read.held_.set();
    Decode(reader, read);
    EXPECT_TRUE(reader.Finish().ok());
    EXPECT_EQ(read, record);
  }
  const membership::PeerRecord peer{ { 1 }, { 2 },
                                     3,     membership::NodeRole::Control,
                                     { 4 }, MakeIpv4(0xC0000202U, 1),
                                     true };
  std::string out;
  Writer writer(out);
  Encode(writer, peer);
  Reader reader(out);
  membership::PeerRecord read;
  Decode(reader, read);
  EXPECT_TRUE(reader.Finish().ok());
  EXPECT_EQ(read, peer);
}

TEST(MembershipCodec, ReadsMessagesAsWrittenAndRefusesTruncations)
{
  const std::vector<membership::Message> messages{
    membership::Probe{ ~std::uint64_t{} },
    membership::ProbeAnswer{ 5 },
    membership::Suspicion{ { 1 }, { 2 }, 300, true },
  };
  for (const auto& message : messages) {
    std::string out;
    Writer writer(out);
    Encode(writer, message);
    Reader reader(out);
    const auto read = DecodeMembership(reader);
    ASSERT_TRUE(read.ok());
    EXPECT_EQ(*read, message);
    for (std::size_t size = 0; size < out.size(); ++size) {
      Reader truncated(std::string_view(out).substr(0, size));
      EXPECT_FALSE(DecodeMembership(truncated).ok());
    }
  }
}

} // namespace
} // namespace cornelshore::wire
