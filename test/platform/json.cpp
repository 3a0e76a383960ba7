#include <platform/json.hpp>

#include <string>
#include <string_view>

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>

#include <platform/desired_state.hpp>
#include <platform/heartbeat.hpp>

namespace cornelshore::platform {
namespace {

constexpr std::string_view kNumbers = R"("slots":4,"seq":1,"warmup-left-ms":0)";

std::string
Nested(std::size_t aLevels, char aOpen, char aClose)
{
  std::string text;
  for (std::size_t level = 0; level < aLevels; ++level) {
    text += aOpen;
    text += aOpen == '{' && level + 1 < aLevels ? "\"a\":" : "";
  }
  text.append(aLevels, aClose);
  return text;
}

absl::StatusOr<relay::HostReport>
HeartbeatWith(std::string_view aFields,
              std::string_view aAddress = "10.0.0.9:8080")
{
  return ParseHeartbeat(
    "i-1",
    absl::StrCat(R"({"service":"boards","zone":"z","version":"v1","born":5,)",
                 R"("state":"ready",)",
                 R"("address":")",
                 std::string(aAddress),
                 R"(",)",
                 std::string(aFields),
                 "}"));
}

// Guards against a body whose nesting ends the process that reads it: levels up
// to the bound are read, those beyond it are refused, also unclosed ones.
TEST(Json, ReadsUpToItsDepthAndRefusesWhatIsDeeper)
{
  for (const auto& [open, close] : { std::pair('[', ']'), { '{', '}' } }) {
    const auto body = [o = open, c = close](std::size_t aLevels) {
      return absl::StrCat(R"({"x":)", Nested(aLevels - 1, o, c), "}");
    };
    EXPECT_TRUE(ParseObject(body(15)).ok()) << open;
    for (const std::size_t levels : { 18, 1000, 100'000, 1'000'000 }) {
      EXPECT_FALSE(ParseObject(body(levels)).ok()) << open << levels;
      EXPECT_FALSE(ParseObject(std::string(levels, open)).ok())
        << open << levels;
      EXPECT_FALSE(ParseDesiredState(body(levels)).ok()) << open << levels;
      const auto fields = absl::StrCat(
        std::string(kNumbers), R"(,"x":)", Nested(levels, open, close));
      EXPECT_FALSE(HeartbeatWith(fields).ok()) << open << levels;
    }
  }
}

// Guards against numbers beyond a field's type, or written otherwise than as
// whole numbers, that are taken as other values instead of being refused.
TEST(Json, RefusesNumbersBeyondTheFieldsType)
{
  for (const std::string number : { "-1",
                                    "-0.0",
                                    "4.0",
                                    "4e0",
                                    "0.5",
                                    "9223372036854775808",
                                    "18446744073709551615",
                                    "18446744073709551616",
                                    "1e400",
                                    "-1e400",
                                    "1e-400",
                                    "99999999999999999999999999999999999999",
                                    "NaN",
                                    "Infinity",
                                    "0x10",
                                    "\"4\"",
                                    "[4]",
                                    "{}",
                                    "true",
                                    "null" }) {
    for (const std::string_view odd : { "slots", "seq", "warmup-left-ms" }) {
      const auto valueOf = [&](std::string_view aField) {
        return aField == odd ? number : "1";
      };
      EXPECT_FALSE(HeartbeatWith(absl::StrCat(R"("slots":)",
                                              valueOf("slots"),
                                              R"(,"seq":)",
                                              valueOf("seq"),
                                              R"(,"warmup-left-ms":)",
                                              valueOf("warmup-left-ms")))
                     .ok())
        << number;
    }
  }
  EXPECT_FALSE(
    HeartbeatWith(R"("slots":65540,"seq":1,"warmup-left-ms":0)").ok());
}

// Guards against addresses that are read as others: ports out of range or with
// signs, other families without brackets, bytes behind a zero byte.
TEST(Json, RefusesOddAddresses)
{
  ASSERT_TRUE(HeartbeatWith(kNumbers, "10.0.0.9:8080").ok());
  for (const auto* address : { "10.0.0.9",
                               "10.0.0.9:0",
                               "10.0.0.9:65536",
                               "10.0.0.9:4294967297",
                               "10.0.0.9:-1",
                               "10.0.0.9:+1",
                               "10.0.0.9: 1",
                               "10.0.0.9:1 ",
                               "10.0.0.256:80",
                               "10.0.0:80",
                               "010.0.0.9:80",
                               "::1:80",
                               "[::1:80",
                               "[10.0.0.9]:80",
                               "host:80",
                               R"(10.0.0.9\u0000x:80)",
                               R"([::1\u0000x]:80)",
                               R"(10.0.0.9:80\u0000)" }) {
    EXPECT_FALSE(HeartbeatWith(kNumbers, address).ok()) << address;
  }
  const auto longName = absl::StrCat(std::string(65'536, '1'), ":80");
  EXPECT_FALSE(HeartbeatWith(kNumbers, longName).ok());
}

// Guards against a key that stands twice, of which one reader takes the first
// value and another the last.
TEST(Json, RefusesAKeyThatStandsTwice)
{
  EXPECT_TRUE(HeartbeatWith(kNumbers).ok());
  for (const auto* more : { R"(,"slots":5)", R"(,"x":{"y":1,"y":2})" }) {
    EXPECT_FALSE(HeartbeatWith(absl::StrCat(std::string(kNumbers), more)).ok())
      << more;
  }
}

} // namespace
} // namespace cornelshore::platform
