#include <cstddef>
#include <cstdint>
#include <string_view>

#include <cornelshore/wire/ip_packet.hpp>

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  const std::string_view bytes(reinterpret_cast<const char*>(aData), aSize);
  const auto packet = cornelshore::wire::ParseIpPacket(bytes);
  if (packet.ok() && packet->payload_.size() > aSize) {
    __builtin_trap();
  }
  return 0;
}
