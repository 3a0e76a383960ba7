#ifndef CORNELSHORE_TOOL_COMMANDS_HPP
#define CORNELSHORE_TOOL_COMMANDS_HPP

#include <cornelshore/tool/options.hpp>

namespace cornelshore::tool {

/** @brief Runs the command named by the first word; prints its outcome. */
[[nodiscard]] ExitCode RunCommand(const Options& aOptions);

/** @brief Sends requests as a caller and prints each outcome. */
[[nodiscard]] ExitCode RunSend(const Options& aOptions);

} // namespace cornelshore::tool

#endif
