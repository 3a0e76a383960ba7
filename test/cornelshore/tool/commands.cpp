#include <cornelshore/rpc/server.hpp>
#include <cornelshore/tool/commands.hpp>

#include <fstream>
#include <string>
#include <vector>

#include <unistd.h>

#include <gtest/gtest.h>

namespace cornelshore::tool {
namespace {

const std::vector<std::string> kMethods{ "show",  "history",    "hosts",
                                         "flows", "state",      "drain",
                                         "apply", "add_replica" };

struct Printed
{
  ExitCode code_{};
  std::string out_;
};

/** Runs a command against a process that answers each call with `aAnswer`. */
Printed
RunAgainst(const std::string& aAnswer,
           std::vector<std::string> aWords,
           bool aJson = false)
{
  rpc::Server server({ "127.0.0.1", 0 },
                     {},
                     kMethods,
                     [&](const std::string&, const std::string&) {
                       return rpc::Reply{ rpc::ErrorCode::None, aAnswer, "" };
                     });
  std::string error;
  EXPECT_TRUE(server.Start(error)) << error;
  const auto address = MakeIpv4(0x7F000001U, server.Port());
  if (aWords.front() == "state" || aWords.front() == "drain") {
    aWords.push_back(ToString(address));
  }
  Options options;
  options.words_ = std::move(aWords);
  options.to_ = { address };
  options.json_ = aJson;
  options.timeoutMillis_ = 20'000;
  options.operator_ = "test";
  testing::internal::CaptureStdout();
  testing::internal::CaptureStderr();
  const auto code = RunCommand(options);
  auto out = testing::internal::GetCapturedStdout();
  testing::internal::GetCapturedStderr();
  return { code, std::move(out) };
}

/** A file of good targets that is removed at the end. */
class TargetsFile
{
public:
  TargetsFile()
    : path_(testing::TempDir() + "cornelshore_tool_" +
            std::to_string(::getpid()) + ".toml")
  {
    std::ofstream(path_) << "[[service]]\nname = \"s\"\n"
                            "[[service.class]]\nname = \"c\"\nurgency = 1\n";
  }
  ~TargetsFile() { ::unlink(path_.c_str()); }
  TargetsFile(const TargetsFile&) = delete;
  TargetsFile& operator=(const TargetsFile&) = delete;

  std::string path_;
};

std::string
Nested(std::size_t aLevels)
{
  return std::string(aLevels, '[') + std::string(aLevels, ']');
}

// Guards against an odd answer that ends the tool: of another type, nested
// deeply, with numbers beyond their type, or with odd rows in its lists.
TEST(Commands, NoOddAnswerEndsTheTool)
{
  const TargetsFile targets;
  const std::vector<std::vector<std::string>> commands{
    { "show" },
    { "history" },
    { "hosts" },
    { "flows" },
    { "state" },
    { "drain" },
    { "apply", targets.path_ },
    { "group", "add", "1", "2" },
  };
  for (const auto& answer :
       { std::string("1"),
         std::string("-1.5"),
         std::string("\"x\""),
         std::string("true"),
         std::string("null"),
         std::string("[]"),
         std::string("[1]"),
         std::string("{}"),
         Nested(17),
         Nested(900),
         Nested(1'001),
         Nested(100'000),
         R"({"version":)" + Nested(900) + "}",
         std::string(R"({"version":"x","outcome":{}})"),
         std::string(R"({"version":-1,"outcome":[]})"),
         std::string(R"({"version":1e30})"),
         std::string(R"({"version":1.5})"),
         std::string(R"({"version":[]})"),
         std::string(R"({"confirmed":"x"})"),
         std::string(R"({"services":1,"hosts":1})"),
         std::string(R"({"services":{"a":1}})"),
         std::string(R"({"services":[1,[],"x",null]})"),
         std::string(R"({"services":[{"classes":1}]})"),
         std::string(R"({"services":[{"classes":[1]}]})"),
         std::string(R"({"services":[{"classes":[{"most_share":"x"}]}]})"),
         std::string(R"({"hosts":[1,[],"x",null]})"),
         std::string(R"({"hosts":{"a":1}})"),
         std::string(R"({"hosts":[{"id":{"a":[]}}]})"),
         std::string(R"({"changes":[1,[],"x"]})"),
         std::string(R"({"changes":"x"})") }) {
    for (const auto& command : commands) {
      for (const bool json : { false, true }) {
        EXPECT_NO_THROW(RunAgainst(answer, command, json))
          << command.front() << " " << answer.substr(0, 60);
      }
    }
  }
}

// Guards against an odd row of a list that hides the rows beside it.
TEST(Commands, AnOddRowHidesNoOther)
{
  const auto hosts = RunAgainst(
    R"({"hosts":[1,{"id":"h-1"},[],{"id":"h-2","slots":{"a":1}},"x"]})",
    { "hosts" });
  EXPECT_EQ(hosts.code_, ExitCode::Done);
  EXPECT_NE(hosts.out_.find("h-1"), std::string::npos) << hosts.out_;
  EXPECT_NE(hosts.out_.find("h-2"), std::string::npos) << hosts.out_;
  const auto shown = RunAgainst(
    R"({"version":7,"confirmed":true,"services":[1,{"name":"a","classes":)"
    R"([2,{"name":"c-1","most_share":"x"},{"name":"c-2"}]},{"name":"b"}]})",
    { "show" });
  EXPECT_EQ(shown.code_, ExitCode::Done);
  EXPECT_NE(shown.out_.find("version 7"), std::string::npos) << shown.out_;
  EXPECT_NE(shown.out_.find("c-1"), std::string::npos) << shown.out_;
  EXPECT_NE(shown.out_.find("c-2"), std::string::npos) << shown.out_;
}

// Guards against a change that is sent with a made-up version because the
// answer that should have named it was odd.
TEST(Commands, BuildsOnNoOddVersion)
{
  const TargetsFile targets;
  for (const auto* answer : { R"({"version":"x"})",
                              R"({"version":-1})",
                              R"({"version":1.5})",
                              "{}",
                              "[]" }) {
    EXPECT_EQ(RunAgainst(answer, { "apply", targets.path_ }).code_,
              ExitCode::Unreachable)
      << answer;
  }
}

} // namespace
} // namespace cornelshore::tool
