#include <cornelshore/tool/commands.hpp>

namespace cornelshore::tool {

ExitCode
RunSend(const Options&)
{
  return ExitCode::Unreachable;
}

} // namespace cornelshore::tool
