#include <utility>

#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <string>

#include <absl/status/status.h>
#include <popt.h>

#include <cornelshore/daemon/processes.hpp>
#include <cornelshore/daemon/runtime.hpp>
#include <cornelshore/log/event.hpp>
#include <cornelshore/settings/settings.hpp>

namespace {

using cornelshore::daemon::Runtime;
using cornelshore::settings::Role;

enum class Exit : int
{
  Done = 0,
  Failed = 1,
  Usage = 2,
};

struct CommandLine
{
  std::string config_;
  bool check_{};
  bool valid_{};
};

CommandLine
Parse(int aCount, const char** aArguments)
{
  char* config = nullptr;
  int check = 0;
  const poptOption table[] = { { "config",
                                 'c',
                                 POPT_ARG_STRING,
                                 &config,
                                 0,
                                 "settings file (TOML)",
                                 "FILE" },
                               { "check",
                                 '\0',
                                 POPT_ARG_NONE,
                                 &check,
                                 0,
                                 "check the settings and exit",
                                 nullptr },
                               POPT_AUTOHELP POPT_TABLEEND };
  const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
    poptGetContext("cornelshored", aCount, aArguments, table, 0),
    &poptFreeContext);
  const auto result = poptGetNextOpt(context.get());
  CommandLine line;
  if (result < -1) {
    std::cerr << poptBadOption(context.get(), 0) << ": " << poptStrerror(result)
              << "\n";
  } else if (config == nullptr || poptPeekArg(context.get()) != nullptr) {
    std::cerr << "usage: cornelshored --config FILE [--check]\n";
  } else {
    line = { config, check != 0, true };
  }
  std::free(config);
  return line;
}

absl::Status
RunRole(const cornelshore::settings::Settings& aSettings)
{
  auto runtime = Runtime::Open(aSettings);
  if (!runtime.ok()) {
    return runtime.status();
  }
  switch (aSettings.role_) {
    case Role::Balancer:
      return aSettings.relay_.enabled_
               ? cornelshore::daemon::RunRelayBalancer(**runtime)
               : cornelshore::daemon::RunBalancer(**runtime);
    case Role::Agent:
      return aSettings.relay_.enabled_
               ? cornelshore::daemon::RunRelayAgent(**runtime)
               : cornelshore::daemon::RunAgent(**runtime);
    case Role::Control:
      break;
  }
  return cornelshore::daemon::RunControl(**runtime);
}

/** The log, from here on until the end of a scope. */
class Logging
{
public:
  Logging(cornelshore::log::Level aLeast, std::string_view aProcess)
  {
    cornelshore::log::Start(aLeast, aProcess);
  }
  ~Logging() { cornelshore::log::Stop(); }
  Logging(const Logging&) = delete;
  Logging& operator=(const Logging&) = delete;
};

Exit
Run(const CommandLine& aLine)
{
  namespace log = cornelshore::log;
  const auto settings = cornelshore::settings::Load(aLine.config_);
  if (!settings.ok()) {
    std::cerr << settings.status().message() << "\n";
    return Exit::Usage;
  }
  if (aLine.check_) {
    std::cout << aLine.config_ << ": good\n";
    return Exit::Done;
  }
  const Logging logging(settings->logLevel_, settings->name_);
  log::Write(
    log::Level::Info,
    log::Event("started").With(
      "role", NameIn(cornelshore::settings::kRoleNames, settings->role_)));
  const auto status = RunRole(*settings);
  if (!status.ok()) {
    log::Write(log::Level::Error,
               log::Event("failed").With("why", std::string(status.message())));
    return Exit::Failed;
  }
  log::Write(log::Level::Info, log::Event("ended"));
  return Exit::Done;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  const auto line = Parse(aCount, const_cast<const char**>(aArguments));
  const auto exit = line.valid_ ? Run(line) : Exit::Usage;
  std::cout.flush();
  // Threads of the metrics server may still run: nothing static is destroyed.
  std::quick_exit(static_cast<int>(exit));
}
