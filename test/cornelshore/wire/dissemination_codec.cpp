#include <cornelshore/wire/dissemination_codec.hpp>

#include <string>

#include <gtest/gtest.h>

#include <cornelshore/core/random.hpp>
#include <cornelshore/dissemination/packer.hpp>

namespace cornelshore::wire {
namespace {

using namespace dissemination;

constexpr auto kMost = ~std::uint64_t{};

/** The longest header there is. */
Header
LongHeader()
{
  Header header;
  header.incarnation_ = Incarnation{ kMost };
  header.receiver_ = Incarnation{ kMost };
  header.role_ = membership::NodeRole::Control;
  header.dataCentre_ = DataCentreId{ ~std::uint32_t{} };
  header.scope_ = ServiceId{ ~std::uint32_t{} };
  header.kind_ = MessageKind::Push;
  header.compare_ = true;
  header.digest_ = kMost;
  header.config_ = ConfigVersion{ kMost };
  header.inForce_ = true;
  header.syncAge_ = std::chrono::hours(24);
  header.confirmation_ =
    Confirmation{ { kMost }, kMost, std::chrono::hours(24) };
  return header;
}

HostUpdate
AnyHost(Random& aRandom)
{
  HostUpdate update;
  auto& record = update.record_;
  record.id_ = HostId{ kMost };
  record.incarnation_ = Incarnation{ kMost };
  record.sequence_ = kMost;
  record.service_ = ServiceId{ ~std::uint32_t{} };
  record.dataCentre_ = DataCentreId{ ~std::uint32_t{} };
  record.agent_ = MakeIpv4(~0U, 65535);
  record.slots_ = 65535;
  record.connectionLimit_ = ~0U;
  record.state_ = HostState::Gone;
  for (auto bits = aRandom.Below(100); bits > 0; --bits) {
    record.held_.set(aRandom.Below(kBucketCount));
  }
  update.age_ = std::chrono::hours(24 * 300);
  return update;
}

/** Messages of random items, each of its greatest size, as a node packs them.
 */
std::vector<Message>
AnyMessages(Random& aRandom)
{
  Packer packer(LongHeader());
  for (auto items = aRandom.Below(60); items > 0; --items) {
    switch (aRandom.Below(6)) {
      case 0:
        packer.Add(AnyHost(aRandom));
        break;
      case 1:
        packer.Add(PeerUpdate{ { { kMost },
                                 { kMost },
                                 kMost,
                                 membership::NodeRole::Control,
                                 { ~0U },
                                 MakeIpv4(~0U, 65535),
                                 true },
                               std::chrono::hours(24) });
        break;
      case 2:
        packer.Add(
          ConfigChunk{ { kMost },
                       { kMost },
                       kMaxConfigBytes,
                       kMost,
                       ~0U,
                       std::string(aRandom.Below(kChunkBytes + 1), 'x') });
        break;
      case 3:
        packer.Add(TreeChildren{ 2, 255, { 1, ~0U, 3 } });
        break;
      case 4:
        packer.Add(Leaf{
          4095,
          std::vector<LeafEntry>(aRandom.Below(kMaxLeafEntries),
                                 { { kMost }, { { kMost }, kMost, true } }) });
        break;
      default:
        packer.AddRecordRequest({ kMost });
        break;
    }
  }
  packer.Add(ConfigRequest{ { kMost }, { kMost }, { kMost }, ~0U });
  return std::move(packer).Finish();
}

TEST(DisseminationCodec, ReadsAsWrittenInTheSizesTheCoreReckonsWith)
{
  Random random(11);
  for (int round = 0; round < 300; ++round) {
    for (const auto& message : AnyMessages(random)) {
      std::string out;
      Writer writer(out);
      Encode(writer, message);
      EXPECT_EQ(out.size(), PayloadBytesOf(message));
      EXPECT_LE(out.size(), kMaxMessageBytes);
      Reader reader(out);
      const auto read = DecodeDissemination(reader);
      ASSERT_TRUE(read.ok());
      EXPECT_EQ(*read, message);
      Reader truncated(
        std::string_view(out).substr(0, random.Below(out.size())));
      EXPECT_FALSE(DecodeDissemination(truncated).ok());
    }
  }
}

} // namespace
} // namespace cornelshore::wire
