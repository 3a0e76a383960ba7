#include <cornelshore/tool/options.hpp>

#include <array>
#include <cstdlib>
#include <memory>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <popt.h>

namespace cornelshore::tool {

namespace {

constexpr std::int64_t kDefaultTimeoutMillis = 5000;
constexpr std::int64_t kDefaultDeadlineMillis = 10000;
constexpr std::int64_t kMostCount = 1'000'000;

struct CommandHelp
{
  std::string_view name_;
  std::string_view text_;
};

constexpr std::array<CommandHelp, 11> kCommands{ {
  { "apply",
    "apply FILE --to CONTROL[,CONTROL...] [--version N] [--change-id ID]\n"
    "  Proposes the targets in FILE (TOML). --version is the version the "
    "change\n"
    "  builds on (default: the one in force). A resend with the same "
    "--change-id\n"
    "  gets the first answer.\n" },
  { "show",
    "show --to CONTROL[,CONTROL...]\n"
    "  Prints the configuration in force at that process.\n" },
  { "history",
    "history --to CONTROL[,CONTROL...]\n"
    "  Prints the last accepted changes.\n" },
  { "hosts",
    "hosts --to PROCESS[,PROCESS...]\n"
    "  Prints the upstream hosts that the process knows.\n" },
  { "flows",
    "flows --to PROCESS[,PROCESS...]\n"
    "  Prints the flows of an agent, or the counts of a balancer.\n" },
  { "state",
    "state ADDRESS\n"
    "  Prints the state dump of the process with that operator address.\n" },
  { "drain",
    "drain ADDRESS\n"
    "  Tells the agent with that operator address to leave: it takes no new\n"
    "  work, finishes what it has, then ends. `state ADDRESS` shows what is "
    "left.\n" },
  { "send",
    "send --to REQUEST_ADDRESS[,...] --service S --class C --body TEXT\n"
    "     [--count N] [--deadline-ms N]\n"
    "  Sends requests as a caller does and prints each outcome.\n" },
  { "group",
    "group add NODE DISK --to CONTROL[,CONTROL...]\n"
    "group remove NODE DISK --to CONTROL[,CONTROL...]\n"
    "group trust-disk ADDRESS\n"
    "  Changes the control group; `state` shows the ids of NODE and DISK.\n"
    "  trust-disk vouches that the disk of the process at ADDRESS is its "
    "latest,\n"
    "  for a group in which too few others are left to tell.\n" },
  { "check",
    "check FILE...\n"
    "  Checks files of targets and says what is wrong with them.\n" },
  { "trace",
    "trace CALLER FILE...\n"
    "  Tells the story of the flows of a caller's IP:PORT from the logs of "
    "any\n"
    "  number of processes, in order, by the clock of the first balancer; `-`\n"
    "  is standard input. Lines marked ~ are what those processes "
    "believed.\n" },
} };

constexpr std::string_view kGeneralHelp =
  "usage: cornelshorectl COMMAND [options]\n\n"
  "commands: apply, show, history, hosts, flows, state, drain, send, group,\n"
  "  check, trace\n"
  "options for all: --to ADDRESS[,ADDRESS...] (or CORNELSHORE_TO), --json,\n"
  "  --timeout-ms N, --certificate F --private-key F --authority F (TLS)\n"
  "exit codes: 0 done, 1 refused, 2 usage, 3 unreachable, 4 not run, 5 "
  "unknown\n"
  "`cornelshorectl COMMAND --help` tells more of one command.\n";

/** Texts that popt hands out; freed by popt's own rule. */
struct RawOptions
{
  char* to_{};
  char* certificate_{};
  char* privateKey_{};
  char* authority_{};
  char* changeId_{};
  char* operator_{};
  char* service_{};
  char* class_{};
  char* body_{};
  int json_{};
  int help_{};
  long long timeoutMillis_{ kDefaultTimeoutMillis };
  long long version_{ -1 };
  long long count_{ 1 };
  long long deadlineMillis_{ kDefaultDeadlineMillis };

  RawOptions() = default;
  RawOptions(const RawOptions&) = delete;
  RawOptions& operator=(const RawOptions&) = delete;
  ~RawOptions()
  {
    for (auto* text : { to_,
                        certificate_,
                        privateKey_,
                        authority_,
                        changeId_,
                        operator_,
                        service_,
                        class_,
                        body_ }) {
      std::free(text);
    }
  }
};

std::string
TextOf(const char* aText)
{
  return aText == nullptr ? std::string() : std::string(aText);
}

absl::Status
ReadAddresses(const std::string& aText, std::vector<Address>& aOut)
{
  for (const auto& part : std::vector<std::string>(
         absl::StrSplit(aText, ',', absl::SkipEmpty()))) {
    const auto address = ParseAddress(part);
    if (!address.ok()) {
      return address.status();
    }
    aOut.push_back(*address);
  }
  return absl::OkStatus();
}

absl::Status
CheckRanges(const RawOptions& aRaw)
{
  if (aRaw.timeoutMillis_ < 1 || aRaw.deadlineMillis_ < 1) {
    return absl::InvalidArgumentError(
      "--timeout-ms and --deadline-ms must be at least 1");
  }
  if (aRaw.count_ < 1 || aRaw.count_ > kMostCount) {
    return absl::InvalidArgumentError(
      absl::StrCat("--count must be from 1 to ", kMostCount));
  }
  const auto files = (aRaw.certificate_ != nullptr ? 1 : 0) +
                     (aRaw.privateKey_ != nullptr ? 1 : 0) +
                     (aRaw.authority_ != nullptr ? 1 : 0);
  if (files != 0 && files != 3) {
    return absl::InvalidArgumentError(
      "TLS needs all of --certificate, --private-key and --authority");
  }
  return absl::OkStatus();
}

absl::StatusOr<Options>
Checked(const RawOptions& aRaw, std::vector<std::string> aWords)
{
  const auto ranges = CheckRanges(aRaw);
  if (!ranges.ok()) {
    return ranges;
  }
  Options options;
  options.words_ = std::move(aWords);
  const auto* environment = std::getenv("CORNELSHORE_TO");
  const auto to = ReadAddresses(
    aRaw.to_ != nullptr ? TextOf(aRaw.to_) : TextOf(environment), options.to_);
  if (!to.ok()) {
    return to;
  }
  options.tls_ = { TextOf(aRaw.certificate_),
                   TextOf(aRaw.privateKey_),
                   TextOf(aRaw.authority_) };
  options.json_ = aRaw.json_ != 0;
  options.help_ = aRaw.help_ != 0;
  options.timeoutMillis_ = aRaw.timeoutMillis_;
  options.version_ = aRaw.version_;
  options.changeId_ = TextOf(aRaw.changeId_);
  options.operator_ = TextOf(aRaw.operator_);
  options.service_ = TextOf(aRaw.service_);
  options.class_ = TextOf(aRaw.class_);
  options.body_ = TextOf(aRaw.body_);
  options.count_ = aRaw.count_;
  options.deadlineMillis_ = aRaw.deadlineMillis_;
  return options;
}

} // namespace

absl::StatusOr<Options>
ParseOptions(int aCount, const char** aArguments)
{
  RawOptions raw;
  const auto text = [](const char* aName, char** aOut) {
    return poptOption{
      aName, '\0', POPT_ARG_STRING, aOut, 0, nullptr, nullptr
    };
  };
  const auto number = [](const char* aName, long long* aOut) {
    return poptOption{
      aName, '\0', POPT_ARG_LONGLONG, aOut, 0, nullptr, nullptr
    };
  };
  const auto flag = [](const char* aName, int* aOut) {
    return poptOption{ aName, '\0', POPT_ARG_NONE, aOut, 0, nullptr, nullptr };
  };
  const std::array table{ text("to", &raw.to_),
                          text("certificate", &raw.certificate_),
                          text("private-key", &raw.privateKey_),
                          text("authority", &raw.authority_),
                          text("change-id", &raw.changeId_),
                          text("operator", &raw.operator_),
                          text("service", &raw.service_),
                          text("class", &raw.class_),
                          text("body", &raw.body_),
                          flag("json", &raw.json_),
                          flag("help", &raw.help_),
                          number("timeout-ms", &raw.timeoutMillis_),
                          number("version", &raw.version_),
                          number("count", &raw.count_),
                          number("deadline-ms", &raw.deadlineMillis_),
                          poptOption POPT_TABLEEND };
  const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
    poptGetContext("cornelshorectl", aCount, aArguments, table.data(), 0),
    &poptFreeContext);
  const auto result = poptGetNextOpt(context.get());
  if (result < -1) {
    return absl::InvalidArgumentError(absl::StrCat(
      poptBadOption(context.get(), 0), ": ", poptStrerror(result)));
  }
  std::vector<std::string> words;
  while (const auto* word = poptGetArg(context.get())) {
    words.emplace_back(word);
  }
  return Checked(raw, std::move(words));
}

std::string
HelpOf(std::string_view aCommand)
{
  for (const auto& command : kCommands) {
    if (command.name_ == aCommand) {
      return "usage: cornelshorectl " + std::string(command.text_);
    }
  }
  return std::string(kGeneralHelp);
}

} // namespace cornelshore::tool
