#include <iostream>
#include <string>

#include <cornelshore/tool/commands.hpp>
#include <cornelshore/tool/options.hpp>

int
main(int aCount, char** aArguments)
{
  using namespace cornelshore::tool;
  const auto options =
    ParseOptions(aCount, const_cast<const char**>(aArguments));
  if (!options.ok()) {
    std::cerr << options.status().message() << "\n" << HelpOf("");
    return static_cast<int>(ExitCode::Usage);
  }
  if (options->help_) {
    std::cout << HelpOf(options->words_.empty() ? "" : options->words_.front());
    return static_cast<int>(ExitCode::Done);
  }
  return static_cast<int>(RunCommand(*options));
}
