#include <cornelshore/role/link_meter.hpp>

#include <string>

#include <gtest/gtest.h>

namespace cornelshore::role {
namespace {

using std::chrono::seconds;

constexpr std::uint64_t kLink = 1'000;
constexpr TimePoint kStart{ seconds{ 10 } };

LinkMeter::Totals
Bytes(TrafficPurpose aPurpose, std::uint64_t aBytes)
{
  LinkMeter::Totals totals{};
  totals.at(static_cast<std::size_t>(aPurpose)) = aBytes;
  return totals;
}

std::string
FieldOf(const Log& aLine, const std::string& aName)
{
  for (const auto& [name, value] : aLine.fields_) {
    if (name == aName) {
      return value;
    }
  }
  return {};
}

TEST(LinkMeter, NamesThePurposesOfABusyLink)
{
  LinkMeter meter(kLink);
  EXPECT_FALSE(meter.Observe(kStart, Bytes(TrafficPurpose::Push, 900), {}));
  const auto line = meter.Observe(
    kStart + seconds{ 2 }, Bytes(TrafficPurpose::Push, 2'000), {});
  ASSERT_TRUE(line);
  EXPECT_EQ(line->name_, "link_busy");
  EXPECT_EQ(FieldOf(*line, "capacity"), "2000");
  EXPECT_EQ(FieldOf(*line, "sent"), "1100");
  EXPECT_EQ(FieldOf(*line, "sent_push"), "1100");
  EXPECT_EQ(FieldOf(*line, "received"), "0");
}

TEST(LinkMeter, ReportsALinkThatIsBusyWithWhatIsReceived)
{
  LinkMeter meter(kLink);
  EXPECT_FALSE(meter.Observe(kStart, {}, {}));
  const auto line =
    meter.Observe(kStart + seconds{ 1 }, {}, Bytes(TrafficPurpose::Round, 501));
  ASSERT_TRUE(line);
  EXPECT_EQ(FieldOf(*line, "received_round"), "501");
}

TEST(LinkMeter, IsSilentUpToHalfOfTheLinkAndWithoutABandwidth)
{
  LinkMeter meter(kLink);
  EXPECT_FALSE(meter.Observe(kStart, {}, {}));
  EXPECT_FALSE(meter.Observe(kStart + seconds{ 1 },
                             Bytes(TrafficPurpose::Push, 500),
                             Bytes(TrafficPurpose::Push, 500)));
  LinkMeter unknown(0);
  EXPECT_FALSE(unknown.Observe(kStart, {}, {}));
  EXPECT_FALSE(unknown.Observe(
    kStart + seconds{ 1 }, Bytes(TrafficPurpose::Push, 1'000'000), {}));
}

} // namespace
} // namespace cornelshore::role
