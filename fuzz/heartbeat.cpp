#include <cstddef>
#include <cstdint>
#include <cstdlib>

#include <platform/heartbeat.hpp>

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  const auto report = cornelshore::platform::ParseHeartbeat(
    "i-1", { reinterpret_cast<const char*>(aData), aSize });
  if (report.ok() && report->instance_ != "i-1") {
    std::abort();
  }
  return 0;
}
