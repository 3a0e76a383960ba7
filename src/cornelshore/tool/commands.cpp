#include <cornelshore/tool/commands.hpp>

#include <chrono>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <random>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <cornelshore/rpc/client.hpp>
#include <cornelshore/settings/targets.hpp>
#include <cornelshore/tool/render.hpp>
#include <cornelshore/trace/journal.hpp>

namespace cornelshore::tool {

namespace {

constexpr double kSharesPerPercent = kFullShare / 100.0;

ExitCode
Fail(ExitCode aCode, const std::string& aMessage)
{
  std::cerr << aMessage << "\n";
  return aCode;
}

ExitCode
UsageError(const Options& aOptions, const std::string& aMessage)
{
  return Fail(ExitCode::Usage,
              absl::StrCat(aMessage, "\n", HelpOf(aOptions.words_.front())));
}

rpc::Endpoint
ToEndpoint(const Address& aAddress)
{
  auto text = ToString(aAddress);
  text.resize(text.rfind(':'));
  if (text.front() == '[') {
    text = text.substr(1, text.size() - 2);
  }
  return { text, aAddress.port_ };
}

/** Asks each process in turn until one gives an answer of its own. */
rpc::Reply
CallAny(const Options& aOptions,
        const std::string& aMethod,
        const Json::Value& aParams)
{
  rpc::Reply last{ rpc::ErrorCode::Transport,
                   "",
                   "no process named; use --to ADDRESS[,ADDRESS...]" };
  const auto until = std::chrono::steady_clock::now() +
                     std::chrono::milliseconds(aOptions.timeoutMillis_);
  auto untried = static_cast<std::int64_t>(aOptions.to_.size());
  for (const auto& address : aOptions.to_) {
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
      until - std::chrono::steady_clock::now());
    if (left.count() <= 0) {
      break;
    }
    const auto share = left / untried--;
    last = rpc::Call(
      ToEndpoint(address), aOptions.tls_, aMethod, ToJsonLine(aParams), share);
    if (last.code_ == rpc::ErrorCode::None ||
        last.code_ == rpc::ErrorCode::Refused) {
      return last;
    }
    last.message_ = absl::StrCat(ToString(address), ": ", last.message_);
  }
  return last;
}

ExitCode
Failed(const rpc::Reply& aReply)
{
  if (aReply.code_ == rpc::ErrorCode::Refused) {
    return Fail(ExitCode::Refused, absl::StrCat("refused: ", aReply.message_));
  }
  return Fail(ExitCode::Unreachable,
              absl::StrCat("no answer: ",
                           aReply.message_,
                           "; check --to, or name further processes there"));
}

using Render = std::function<std::string(const Json::Value&)>;

ExitCode
Ask(const Options& aOptions,
    const std::string& aMethod,
    const Json::Value& aParams,
    const Render& aRender)
{
  const auto reply = CallAny(aOptions, aMethod, aParams);
  if (reply.code_ != rpc::ErrorCode::None) {
    return Failed(reply);
  }
  const auto result = FromJson(reply.json_);
  if (!result.isObject()) {
    return Fail(ExitCode::Unreachable,
                absl::StrCat("no answer: ", aMethod, " gave no JSON object"));
  }
  std::cout << (aOptions.json_ ? ToJsonLine(result) + "\n" : aRender(result));
  return ExitCode::Done;
}

Json::Value
ToJson(const std::vector<ServiceTarget>& aServices)
{
  Json::Value services(Json::arrayValue);
  for (const auto& service : aServices) {
    Json::Value row;
    row["name"] = service.name_;
    for (const auto& target : service.classes_) {
      Json::Value item;
      item["name"] = target.name_;
      item["urgency"] = target.urgency_;
      item["most_share"] = target.most_;
      item["keeps_share"] = target.keeps_;
      item["repeatable"] = target.repeatable_;
      row["classes"].append(item);
    }
    services.append(row);
  }
  return services;
}

/** A share in percent; any other value as it is. */
Json::Value
PercentOf(const Json::Value& aShare)
{
  return aShare.isNumeric() ? Json::Value(aShare.asDouble() / kSharesPerPercent)
                            : aShare;
}

std::string
RenderConfiguration(const Json::Value& aResult)
{
  Json::Value rows(Json::arrayValue);
  for (const auto& service : aResult["services"]) {
    for (const auto& target : Member(service, "classes")) {
      Json::Value row;
      row["service"] = service["name"];
      row["class"] = Member(target, "name");
      row["urgency"] = Member(target, "urgency");
      row["most_percent"] = PercentOf(Member(target, "most_share"));
      row["keeps_percent"] = PercentOf(Member(target, "keeps_share"));
      row["repeatable"] = Member(target, "repeatable");
      rows.append(row);
    }
  }
  const auto& confirmed = aResult["confirmed"];
  return absl::StrCat(
    "version ",
    TextOf(aResult["version"]),
    confirmed.isBool() && confirmed.asBool() ? "" : " (unconfirmed)",
    "\n",
    ToTable(rows,
            { "service",
              "class",
              "urgency",
              "most_percent",
              "keeps_percent",
              "repeatable" }));
}

std::string
FreshChangeId()
{
  std::random_device device;
  return absl::StrFormat(
    "%08x%08x%08x%08x", device(), device(), device(), device());
}

/** Version that a change builds on: the one given, or the one in force. */
absl::StatusOr<std::uint64_t>
BaseVersion(const Options& aOptions)
{
  if (aOptions.version_ >= 0) {
    return static_cast<std::uint64_t>(aOptions.version_);
  }
  const auto reply = CallAny(aOptions, "show", Json::Value(Json::objectValue));
  if (reply.code_ != rpc::ErrorCode::None) {
    return absl::UnavailableError(reply.message_);
  }
  const auto result = FromJson(reply.json_);
  const auto& version = Member(result, "version");
  if (version.type() == Json::realValue || !version.isUInt64()) {
    return absl::UnavailableError("show gave no version");
  }
  return version.asUInt64();
}

ExitCode
RunApply(const Options& aOptions)
{
  if (aOptions.words_.size() != 2) {
    return UsageError(aOptions, "apply takes one FILE");
  }
  const auto services = settings::LoadTargets(aOptions.words_[1]);
  if (!services.ok()) {
    return Fail(ExitCode::Usage, std::string(services.status().message()));
  }
  const auto base = BaseVersion(aOptions);
  if (!base.ok()) {
    return Fail(ExitCode::Unreachable,
                absl::StrCat("no version to build on: ",
                             base.status().message(),
                             "; retry, or give --version"));
  }
  Json::Value params;
  params["services"] = ToJson(*services);
  params["version"] = Json::UInt64(*base);
  params["change_id"] =
    aOptions.changeId_.empty() ? FreshChangeId() : aOptions.changeId_;
  params["operator"] = aOptions.operator_;
  const auto retry = absl::StrCat("retry with --version ",
                                  *base,
                                  " --change-id ",
                                  params["change_id"].asString(),
                                  " to learn whether it was accepted");
  const auto code =
    Ask(aOptions, "apply", params, [](const Json::Value& aResult) {
      return absl::StrCat(TextOf(aResult["outcome"]),
                          ": version ",
                          TextOf(aResult["version"]),
                          "\n");
    });
  if (code == ExitCode::Unreachable) {
    std::cerr << retry << "\n";
  }
  return code;
}

ExitCode
RunShow(const Options& aOptions)
{
  return Ask(
    aOptions, "show", Json::Value(Json::objectValue), RenderConfiguration);
}

ExitCode
RunHistory(const Options& aOptions)
{
  return Ask(aOptions,
             "history",
             Json::Value(Json::objectValue),
             [](const Json::Value& aResult) {
               return ToTable(aResult["changes"],
                              { "version", "change_id", "operator", "at" });
             });
}

ExitCode
RunHosts(const Options& aOptions)
{
  return Ask(aOptions,
             "hosts",
             Json::Value(Json::objectValue),
             [](const Json::Value& aResult) {
               return ToTable(aResult["hosts"],
                              { "id",
                                "service",
                                "state",
                                "slots",
                                "connections",
                                "held_buckets",
                                "address",
                                "incarnation" });
             });
}

ExitCode
RunFlows(const Options& aOptions)
{
  return Ask(aOptions, "flows", Json::Value(Json::objectValue), ToOutline);
}

/** Runs a method at the process whose address is the operand. */
ExitCode
AskOperand(const Options& aOptions, const std::string& aMethod)
{
  if (aOptions.words_.size() != 2) {
    return UsageError(aOptions, absl::StrCat(aMethod, " takes one ADDRESS"));
  }
  const auto address = ParseAddress(aOptions.words_[1]);
  if (!address.ok()) {
    return UsageError(aOptions, std::string(address.status().message()));
  }
  auto options = aOptions;
  options.to_ = { *address };
  return Ask(options, aMethod, Json::Value(Json::objectValue), ToOutline);
}

ExitCode
RunState(const Options& aOptions)
{
  return AskOperand(aOptions, "state");
}

ExitCode
RunDrain(const Options& aOptions)
{
  return AskOperand(aOptions, "drain");
}

/** Adds or removes a replica of the control group, or trusts a disk. */
ExitCode
RunGroup(const Options& aOptions)
{
  const auto& words = aOptions.words_;
  if (words.size() == 3 && words[1] == "trust-disk") {
    auto options = aOptions;
    options.words_ = { words[0], words[2] };
    return AskOperand(options, "trust_disk");
  }
  const bool adds = words.size() == 4 && words[1] == "add";
  const bool removes = words.size() == 4 && words[1] == "remove";
  if (!adds && !removes) {
    return UsageError(aOptions, "group takes add, remove or trust-disk");
  }
  Json::Value params;
  params["node"] = words[2];
  params["disk"] = words[3];
  return Ask(
    aOptions, adds ? "add_replica" : "remove_replica", params, ToOutline);
}

ExitCode
RunCheck(const Options& aOptions)
{
  if (aOptions.words_.size() < 2) {
    return UsageError(aOptions, "check takes at least one FILE");
  }
  auto code = ExitCode::Done;
  for (std::size_t index = 1; index < aOptions.words_.size(); ++index) {
    const auto services = settings::LoadTargets(aOptions.words_[index]);
    if (!services.ok()) {
      code = Fail(ExitCode::Usage, std::string(services.status().message()));
      continue;
    }
    std::cout << aOptions.words_[index] << ": good\n";
  }
  return code;
}

/** Reads a log file into the journal; `-` is standard input. */
absl::Status
ReadLog(const std::string& aFile, trace::Journal& aJournal)
{
  std::ifstream file;
  if (aFile != "-") {
    file.open(aFile);
    if (!file) {
      return absl::NotFoundError(absl::StrCat(aFile, ": cannot be read"));
    }
  }
  auto& stream = aFile == "-" ? std::cin : file;
  for (std::string line; std::getline(stream, line);) {
    aJournal.Add(line);
  }
  return absl::OkStatus();
}

ExitCode
RunTrace(const Options& aOptions)
{
  const auto& words = aOptions.words_;
  constexpr std::size_t kLeastWords = 3;
  if (words.size() < kLeastWords || !ParseAddress(words[1]).ok()) {
    return UsageError(aOptions, "trace takes CALLER (IP:PORT) and log FILEs");
  }
  trace::Journal journal;
  for (std::size_t index = 2; index < words.size(); ++index) {
    if (const auto status = ReadLog(words[index], journal); !status.ok()) {
      return Fail(ExitCode::Usage, std::string(status.message()));
    }
  }
  const auto story = journal.StoryOf(words[1]);
  if (story.lines_.empty()) {
    return Fail(ExitCode::Refused,
                absl::StrCat("no line of ",
                             words[1],
                             " among ",
                             journal.Lines(),
                             " lines (",
                             journal.Foreign(),
                             " others passed over)"));
  }
  std::cout << ToText(story);
  return ExitCode::Done;
}

} // namespace

ExitCode
RunCommand(const Options& aOptions)
{
  static const std::map<std::string, ExitCode (*)(const Options&)> kTable{
    { "apply", RunApply }, { "show", RunShow },   { "history", RunHistory },
    { "hosts", RunHosts }, { "flows", RunFlows }, { "state", RunState },
    { "drain", RunDrain }, { "send", RunSend },   { "check", RunCheck },
    { "group", RunGroup }, { "trace", RunTrace },
  };
  if (aOptions.words_.empty()) {
    return Fail(ExitCode::Usage, HelpOf(""));
  }
  const auto found = kTable.find(aOptions.words_.front());
  if (found == kTable.end()) {
    return Fail(
      ExitCode::Usage,
      absl::StrCat(
        "unknown command '", aOptions.words_.front(), "'\n", HelpOf("")));
  }
  return found->second(aOptions);
}

} // namespace cornelshore::tool
