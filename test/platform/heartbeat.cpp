#include <platform/heartbeat.hpp>

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
    "",
    "\x01\x02",
    R"(["ready"])",
  };
  for (const auto& text : foreign) {
    EXPECT_TRUE(absl::IsInvalidArgument(ParseHeartbeat("i-7", text).status()))
      << text;
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
