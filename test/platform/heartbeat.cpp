#include <platform/heartbeat.hpp>

#include <string>
#include <vector>

#include <gtest/gtest.h>

#include <cornelshore/core/target.hpp>

namespace cornelshore::platform {
namespace {

constexpr std::string_view kGood =
  R"({"service":"huvo","address":"10.128.0.9:8080","zone":"a","version":"v1",)"
  R"("slots":4,"state":"ready","warmup-left-ms":250,"seq":4,)"
  R"("born":1790000000123})";

std::string
With(std::string_view aOld, std::string_view aNew)
{
  std::string text(kGood);
  const auto at = text.find(aOld);
  EXPECT_NE(at, std::string::npos) << aOld;
  return text.replace(at, aOld.size(), aNew);
}

TEST(Heartbeat, ReadsEachField)
{
  const auto report = ParseHeartbeat("i-7", kGood);
  ASSERT_TRUE(report.ok()) << report.status();
  EXPECT_EQ(report->instance_, "i-7");
  EXPECT_EQ(report->service_, ServiceIdOf("huvo"));
  EXPECT_EQ(report->slots_, 4);
  EXPECT_EQ(report->sequence_, 4U);
  EXPECT_EQ(report->startMillis_, 1790000000123U);
  EXPECT_EQ(report->warmupRemaining_, std::chrono::milliseconds{ 250 });
  EXPECT_FALSE(report->leaving_);
}

TEST(Heartbeat, TellsAHostThatLeaves)
{
  EXPECT_TRUE(ParseHeartbeat("i-7", With("ready", "draining"))->leaving_);
}

TEST(Heartbeat, NamesNoHostWhenAFieldIsMissingOrOfAnotherKind)
{
  const std::vector<std::string> foreign{
    With(R"("service":"huvo",)", ""),
    With(R"("service":"huvo")", R"("service":7)"),
    With(R"("slots":4)", R"("slots":"4")"),
    With(R"("slots":4)", R"("slots":4.5)"),
    With(R"("slots":4)", R"("slots":-4)"),
    With(R"("slots":4)", R"("slots":400000)"),
    With(R"("seq":4)", R"("seq":null)"),
    With(R"("state":"ready")", R"("state":"resting")"),
    With(R"("state":"ready")", R"("state":["ready"])"),
    With(R"(,"born":1790000000123)", ""),
    With(R"("born":1790000000123)", R"("born":{"at":1})"),
    With(R"("zone":"a",)", ""),
    With(R"("version":"v1",)", ""),
    With(R"("version":"v1")", R"("version":1)"),
    "",
    "\x01\x02",
    R"(["ready"])",
  };
  for (const auto& text : foreign) {
    EXPECT_TRUE(absl::IsInvalidArgument(ParseHeartbeat("i-7", text).status()))
      << text;
  }
}

/** An object nested to the given depth, the outermost level included. */
std::string
Nested(std::size_t aLevels)
{
  std::string text;
  for (std::size_t level = 0; level < aLevels; ++level) {
    text += "{\"a\":";
  }
  return text + "1" + std::string(aLevels, '}');
}

// Another writer's odd entry is refused alone; none ends the process that reads
// it or replaces the host that reports beside it.
TEST(Heartbeat, RefusesOddEntriesOfOtherWriters)
{
  std::vector<std::string> odd;
  for (const std::size_t levels : { 15U, 16U, 17U, 1'000U, 100'000U }) {
    odd.push_back(Nested(levels));
    odd.push_back(With(R"("zone":"a")", R"("zone":)" + Nested(levels)));
    odd.push_back(std::string(levels, '['));
  }
  for (const std::string number : { "1e400",
                                    "-1e400",
                                    "1e19",
                                    "18446744073709551616",
                                    "9223372036854775808",
                                    "-9223372036854775809",
                                    "99999999999999999999999999999999",
                                    "-1",
                                    "4.5",
                                    "NaN",
                                    "\"4\"",
                                    "true" }) {
    odd.push_back(With(R"("slots":4)", R"("slots":)" + number));
    odd.push_back(With(R"("seq":4)", R"("seq":)" + number));
    odd.push_back(With("1790000000123", number));
    odd.push_back(With("250", number));
  }
  for (const std::string address : { "10.128.0.9:0",
                                     "10.128.0.9:65536",
                                     "10.128.0.9:99999999999999999999",
                                     "10.128.0.9:-1",
                                     "10.128.0.9:80.5",
                                     "10.128.0.9:",
                                     "10.128.0.9",
                                     "10.128.0.256:8080",
                                     "[::1:8080",
                                     "host-9:8080",
                                     "" }) {
    odd.push_back(With("10.128.0.9:8080", address));
  }
  odd.push_back(With("10.128.0.9:8080", std::string(65'536, '9')));
  odd.push_back(With(R"("slots":4)", R"("slots":4,"slots":5)"));
  for (const auto& text : odd) {
    EXPECT_TRUE(absl::IsInvalidArgument(ParseHeartbeat("i-7", text).status()))
      << text.substr(0, 200);
  }
}

TEST(Heartbeat, NamesNoHostWhenItIsCutShort)
{
  for (std::size_t size = 0; size < kGood.size(); ++size) {
    EXPECT_FALSE(ParseHeartbeat("i-7", kGood.substr(0, size)).ok()) << size;
  }
}

} // namespace
} // namespace cornelshore::platform
