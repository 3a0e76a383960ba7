#include <cstddef>
#include <cstdint>
#include <cstdlib>

#include <cornelshore/core/target.hpp>
#include <platform/desired_state.hpp>

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  const auto change = cornelshore::platform::ParseDesiredState(
    { reinterpret_cast<const char*>(aData), aSize });
  if (!change.ok()) {
    return 0;
  }
  cornelshore::Configuration configuration;
  configuration.services_ = change->services_;
  configuration.routes_ = change->routes_;
  if (change->chosen_.value_ == 0 ||
      !cornelshore::CheckRoutes(configuration).ok()) {
    std::abort();
  }
  return 0;
}
