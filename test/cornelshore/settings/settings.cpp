#include <cornelshore/settings/settings.hpp>
#include <cornelshore/settings/targets.hpp>

#include <filesystem>
#include <fstream>
#include <set>
#include <string>
#include <unistd.h>
#include <vector>

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>

namespace cornelshore::settings {
namespace {

constexpr const char* kGood = R"(role = "agent"
name = "a"
data_centre = "d"
[node]
address = "127.0.0.1:1"
seeds = ["127.0.0.1:2"]
key_file = "k"
[operator]
address = "127.0.0.1:3"
[agent]
service = "s"
slots = 3
connections = 2000
upstream_request_address = "127.0.0.1:4"
)";

/** Writes text to a file that is removed at the end. */
class TextFile
{
public:
  explicit TextFile(const std::string& aText)
    : path_(std::filesystem::temp_directory_path() /
            ("cornelshore_settings_" + std::to_string(::getpid()) + ".toml"))
  {
    std::ofstream(path_) << aText;
  }
  ~TextFile() { std::filesystem::remove(path_); }
  TextFile(const TextFile&) = delete;
  TextFile& operator=(const TextFile&) = delete;

  [[nodiscard]] std::string Path() const { return path_.string(); }

private:
  std::filesystem::path path_;
};

std::string
Replaced(const std::string& aFrom, const std::string& aTo)
{
  std::string text = kGood;
  const auto at = text.find(aFrom);
  EXPECT_NE(at, std::string::npos) << aFrom;
  return text.replace(at, aFrom.size(), aTo);
}

std::string
ErrorOf(const std::string& aText)
{
  const TextFile file(aText);
  const auto settings = Load(file.Path());
  EXPECT_FALSE(settings.ok()) << aText;
  auto message = std::string(settings.status().message());
  EXPECT_EQ(message.find(file.Path()), 0U) << message;
  return message.substr(std::min(message.size(), file.Path().size()));
}

TEST(Settings, ReadsAGoodFile)
{
  const TextFile file(kGood);
  const auto settings = Load(file.Path());
  ASSERT_TRUE(settings.ok()) << settings.status();
  EXPECT_EQ(settings->role_, Role::Agent);
  EXPECT_EQ(settings->agent_.slots_, 3);
}

TEST(Settings, NamesLineKeyAndWhatIsAllowed)
{
  const std::vector<std::pair<std::string, std::string>> cases{
    { Replaced("slots = 3", "slots = 0"),
      ":12: agent.slots: 0 is out of range; allowed is 1 to 4096" },
    { Replaced("slots = 3", "slots = \"3\""),
      ":12: agent.slots: is no integer; write an integer from 1 to 4096" },
    { Replaced("slots = 3\n", ""),
      ":10: agent.slots: is missing; write an integer from 1 to 4096" },
    { Replaced("slots = 3", "slots = 3\nslot = 4"),
      ":13: agent.slot: is unknown; allowed here is " },
    { Replaced("role = \"agent\"", "role = \"proxy\""),
      ":1: role: 'proxy' is unknown; allowed is balancer, agent, control" },
    { Replaced("\"127.0.0.1:1\"", "\"127.0.0.1\""),
      ":5: node.address: '127.0.0.1' is not an address" },
    { Replaced("[\"127.0.0.1:2\"]", "[]"),
      ":6: node.seeds: must be a list of at least one address" },
    { Replaced("127.0.0.1:3", "10.0.0.1:3"),
      ":9: operator.address: is not on loopback and has no [operator.tls]" },
    { Replaced("upstream_request_address = \"127.0.0.1:4\"\n", ""),
      ":10: agent.upstream_request_address: no upstream is named" },
    { Replaced("name = \"a\"", "name = \"\""), ":2: name: is empty" },
    { Replaced("[agent]", "[agent"), ":10: is no valid TOML" },
    { Replaced("[agent]", "[balancer]"),
      ":1: agent: is missing; the role needs this table" },
  };
  std::set<std::string> messages;
  for (const auto& [text, expected] : cases) {
    const auto message = ErrorOf(text);
    EXPECT_EQ(message.find(expected), 0U) << message;
    messages.insert(message);
  }
  EXPECT_EQ(messages.size(), cases.size());
}

TEST(Settings, ReportsEveryProblemAtOnce)
{
  auto text = Replaced("slots = 3", "slots = 0");
  text += "extra = 1\n";
  const auto message = ErrorOf(text);
  EXPECT_NE(message.find("agent.slots"), std::string::npos);
  EXPECT_NE(message.find("agent.extra"), std::string::npos);
}

TEST(Settings, RefusesAnEvenNumberOfControlMembers)
{
  const std::string text = R"(role = "control"
name = "c1"
data_centre = "d"
[node]
address = "127.0.0.1:1"
seeds = ["127.0.0.1:2"]
key_file = "k"
[operator]
address = "127.0.0.1:3"
[control]
data_folder = "x"
[[control.member]]
name = "c1"
address = "127.0.0.1:1"
[[control.member]]
name = "c2"
address = "127.0.0.1:2"
)";
  EXPECT_NE(ErrorOf(text).find("2 members; allowed is 1, 3, 5 or 7"),
            std::string::npos);
}

TEST(Settings, ExamplesOfBothDeploymentsAreGood)
{
  std::size_t read = 0;
  for (const auto* site : { "tartu", "antioquia" }) {
    const auto folder =
      std::filesystem::path(CORNELSHORE_SOURCE_DIR) / "settings" / site;
    for (const auto& entry : std::filesystem::directory_iterator(folder)) {
      const auto path = entry.path().string();
      if (entry.path().filename() == "targets.toml") {
        EXPECT_TRUE(LoadTargets(path).ok()) << LoadTargets(path).status();
      } else {
        EXPECT_TRUE(Load(path).ok()) << Load(path).status();
      }
      ++read;
    }
  }
  EXPECT_EQ(read, 14U);
}

TEST(Targets, RefusesAFloorAboveTheMost)
{
  const TextFile file(R"([[service]]
name = "s"
[[service.class]]
name = "c"
urgency = 1
most_percent = 10
keeps_percent = 20
)");
  const auto targets = LoadTargets(file.Path());
  ASSERT_FALSE(targets.ok());
  EXPECT_NE(targets.status().message().find("keeps_percent: is above"),
            absl::string_view::npos);
}

constexpr const char* kRelayAgent = R"(role = "agent"
name = "a"
data_centre = "d"
[node]
address = "127.0.0.1:1"
seeds = ["127.0.0.9:2", "127.0.0.8:2"]
seeds_share_own_port = true
authentication = "off"
[operator]
address = "127.0.0.1:3"
[relay]
packet_address = "127.0.0.1:4"
readiness_address = "127.0.0.1:5"
outbound_address = "127.0.0.1:6"
upstream_address = "127.0.0.1:7"
report_address = "127.0.0.1:8"
report_interval_ms = 770
service = "s"
)";

TEST(Settings, ReadsAnAgentOfFlowsOfSegments)
{
  const TextFile file(kRelayAgent);
  const auto settings = Load(file.Path());
  ASSERT_TRUE(settings.ok()) << settings.status();
  EXPECT_TRUE(settings->relay_.enabled_);
  EXPECT_EQ(settings->authentication_, Authentication::Off);
  EXPECT_EQ(settings->seeds_[0], *ParseAddress("127.0.0.9:1"));
  EXPECT_EQ(settings->relay_.reportInterval_, std::chrono::milliseconds{ 770 });
}

TEST(Settings, NamesWhatAnAgentOfFlowsOfSegmentsLacks)
{
  for (const std::string key : { "packet_address",
                                 "outbound_address",
                                 "upstream_address",
                                 "service",
                                 "report_interval_ms" }) {
    std::string text = kRelayAgent;
    const auto at = text.find("\n" + key) + 1;
    text.erase(at, text.find('\n', at) + 1 - at);
    const TextFile file(text);
    const auto status = Load(file.Path()).status();
    EXPECT_TRUE(absl::IsInvalidArgument(status)) << key;
    EXPECT_NE(status.message().find(key), std::string::npos) << status;
  }
}

TEST(Settings, TakesTheSeedsForTheFirstMembersOfAGroupThatFormsItself)
{
  const TextFile file(R"(role = "control"
name = "127.0.0.9:2"
data_centre = "d"
[node]
address = "127.0.0.9:1"
seeds = ["127.0.0.9:2", "127.0.0.8:2", "127.0.0.7:2"]
seeds_share_own_port = true
authentication = "off"
[operator]
address = "127.0.0.1:3"
[control]
data_folder = "/tmp/x"
bootstrap = true
tolerated_losses = 2
synced_writes_last = true
api_address = "127.0.0.9:2"
)");
  const auto settings = Load(file.Path());
  ASSERT_TRUE(settings.ok()) << settings.status();
  const auto& control = settings->control_;
  EXPECT_TRUE(control.formsItself_ && control.syncedWritesLast_);
  EXPECT_EQ(control.toleratedLosses_, 2U);
  ASSERT_EQ(control.members_.size(), 3U);
  EXPECT_EQ(control.members_[1].name_, "127.0.0.8:2");
  EXPECT_EQ(control.members_[1].address_, *ParseAddress("127.0.0.8:1"));
}

TEST(Settings, BoundsTheIntervalOfRounds)
{
  const auto with = [](const std::string& aLine) {
    const TextFile file(Replaced("key_file", aLine + "key_file"));
    return Load(file.Path());
  };
  EXPECT_EQ(with("")->controlRound_, std::chrono::milliseconds(1000));
  EXPECT_EQ(with("control_round_ms = 500\n")->controlRound_,
            std::chrono::milliseconds(500));
  for (const std::string value : { "99", "10001", "-500", "0.5", "\"1s\"" }) {
    const auto settings = with("control_round_ms = " + value + "\n");
    EXPECT_TRUE(absl::IsInvalidArgument(settings.status())) << value;
  }
}

TEST(Settings, ReadsTheBandwidthOfTheLink)
{
  const auto with = [](const std::string& aLine) {
    const TextFile file(Replaced("key_file", aLine + "key_file"));
    return Load(file.Path());
  };
  EXPECT_EQ(with("")->LinkBytesPerSecond(), 0U);
  EXPECT_EQ(with("link_mbps = 2\n")->LinkBytesPerSecond(), 250'000U);
  EXPECT_EQ(with("link_mbps = 4.4\n")->LinkBytesPerSecond(), 550'000U);
  for (const std::string value : { "-1", "1e300", "nan", "\"2\"" }) {
    const auto settings = with("link_mbps = " + value + "\n");
    EXPECT_TRUE(absl::IsInvalidArgument(settings.status())) << value;
  }
}

std::string
Repeated(const std::string& aText, std::size_t aTimes)
{
  std::string text;
  for (std::size_t time = 0; time < aTimes; ++time) {
    text += aText;
  }
  return text;
}

// Guards against one odd entry of a settings or targets file that ends the
// process that reads it: values, tables and dotted keys nested to any depth.
TEST(Settings, RefusesNestingOfAnyDepth)
{
  for (const std::size_t levels : { 16U, 17U, 1'000U, 100'000U, 250'000U }) {
    const auto keys = Repeated("a.", levels) + "a";
    const std::vector<std::string> odd{
      "a = " + std::string(levels, '[') + std::string(levels, ']') + "\n",
      "a = " + std::string(levels, '[') + "\n",
      "a = " + Repeated("{a=", levels) + "1" + std::string(levels, '}') + "\n",
      keys + " = 1\n",
      "a = { " + keys + " = 1 }\n",
      "[" + keys + "]\nb = 1\n",
      "[[" + keys + "]]\nb = 1\n",
      Repeated("\"a\" . ", levels) + "a = 1\n",
    };
    for (const auto& text : odd) {
      const TextFile settings(text + kGood);
      EXPECT_FALSE(Load(settings.Path()).ok()) << levels << text.substr(0, 20);
      const TextFile targets(text);
      EXPECT_FALSE(LoadTargets(targets.Path()).ok())
        << levels << text.substr(0, 20);
    }
  }
}

// Guards against a bound on the parts of keys that takes dots in texts,
// comments and numbers for those of a key.
TEST(Settings, CountsNoDotsOutsideKeys)
{
  const auto dots = std::string(100, '.');
  for (const auto& more : {
         absl::StrCat("a = 1 # ", dots, "\n"),
         absl::StrCat("a = \"", dots, "\"\n"),
         absl::StrCat("a = '", dots, "'\n"),
         absl::StrCat("a = \"\\\"", dots, "\"\n"),
         absl::StrCat("a = \"\"\"\n", dots, "\"x\"\n", dots, "\"\"\"\"\n"),
         absl::StrCat("a = \'\'\'", dots, "'x'\n", dots, "\'\'\'\n"),
         absl::StrCat("a = [", Repeated("1.5, ", 100), "1.5]\n"),
       }) {
    const auto error = ErrorOf(more + kGood);
    EXPECT_EQ(error.find("parts"), std::string::npos) << more << error;
  }
  EXPECT_NE(ErrorOf(std::string("\n\na.") + Repeated("'.' . ", 20) + "a = 1\n")
              .find(":3: a key has more than 16 parts"),
            std::string::npos);
}

// Guards against numbers, ports and texts beyond their range that are taken as
// other values or end the process instead of being named.
TEST(Settings, NamesValuesBeyondTheirRange)
{
  for (const std::string number : { "-1",
                                    "0",
                                    "65536",
                                    "4294967299",
                                    "9223372036854775807",
                                    "-9223372036854775808",
                                    "3.0",
                                    "3e0",
                                    "inf",
                                    "nan",
                                    "\"3\"",
                                    "[3]",
                                    "{}",
                                    "true",
                                    "1979-05-27" }) {
    EXPECT_NE(ErrorOf(Replaced("slots = 3", "slots = " + number)).find("slots"),
              std::string::npos)
      << number;
  }
  for (const auto& number : { std::string("9223372036854775808"),
                              std::string("1e400"),
                              std::string(100'000, '9') }) {
    EXPECT_EQ(
      ErrorOf(Replaced("slots = 3", "slots = " + number)).rfind(":12: ", 0), 0U)
      << number.substr(0, 40);
  }
  for (const std::string address : { "127.0.0.1:65536",
                                     "127.0.0.1:4294967297",
                                     "127.0.0.1:-1",
                                     "127.0.0.1:",
                                     "127.0.0.1",
                                     "127.0.0.1\\u0000x:4",
                                     "[::1]",
                                     "::1:4" }) {
    EXPECT_NE(ErrorOf(Replaced("127.0.0.1:4", address))
                .find("upstream_request_address"),
              std::string::npos)
      << address;
  }
  EXPECT_NE(
    ErrorOf(Replaced("127.0.0.1:4", std::string(std::size_t{ 1 } << 16U, '1')))
      .find("upstream_request_address"),
    std::string::npos);
}

} // namespace
} // namespace cornelshore::settings
