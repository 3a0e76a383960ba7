#ifndef CORNELSHORE_TOOL_OPTIONS_HPP
#define CORNELSHORE_TOOL_OPTIONS_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

#include <cornelshore/core/address.hpp>
#include <cornelshore/rpc/types.hpp>

namespace cornelshore::tool {

/** @brief Exit codes of `cornelshorectl`. */
enum class ExitCode : int
{
  Done = 0,
  Refused = 1,     ///< The process understood and refused.
  Usage = 2,       ///< The command line or a file is wrong.
  Unreachable = 3, ///< No process gave an answer.
  NotRun = 4,      ///< A request was not run.
  Unknown = 5,     ///< Whether a request ran is unknown.
};

/** @brief What the command line says, for all commands. */
struct Options
{
  std::vector<std::string> words_; ///< Command and its operands.
  std::vector<Address> to_;        ///< Processes to ask, in order.
  rpc::TlsFiles tls_;
  bool json_{};
  bool help_{};
  std::int64_t timeoutMillis_{};
  std::int64_t version_{ -1 }; ///< Version a change builds on; -1: current.
  std::string changeId_;
  std::string operator_;
  std::string service_;
  std::string class_;
  std::string body_;
  std::int64_t count_{};
  std::int64_t deadlineMillis_{};
};

/**
 * @brief Reads the command line with popt.
 * @return The options, or `InvalidArgument` saying what is wrong.
 */
[[nodiscard]] absl::StatusOr<Options> ParseOptions(int aCount,
                                                   const char** aArguments);

/** @brief Help of one command, or of all when `aCommand` is empty. */
[[nodiscard]] std::string HelpOf(std::string_view aCommand);

} // namespace cornelshore::tool

#endif
