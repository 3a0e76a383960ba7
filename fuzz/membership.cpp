#include <cstddef>
#include <cstdint>
#include <string>

#include <cornelshore/core/check.hpp>
#include <cornelshore/wire/membership_codec.hpp>

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  using namespace cornelshore;
  wire::Reader reader({ reinterpret_cast<const char*>(aData), aSize });
  const auto message = wire::DecodeMembership(reader);
  if (!message.ok()) {
    return 0;
  }
  std::string out;
  wire::Writer writer(out);
  wire::Encode(writer, *message);
  wire::Reader again(out);
  const auto read = wire::DecodeMembership(again);
  CheckInvariant(read.ok() && *read == *message, "codec: not read as written");
  return 0;
}
