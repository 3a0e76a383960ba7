#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

#include <cornelshore/wire/reader.hpp>
#include <cornelshore/wire/relay_codec.hpp>
#include <cornelshore/wire/writer.hpp>

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  namespace wire = cornelshore::wire;
  wire::Reader reader({ reinterpret_cast<const char*>(aData), aSize });
  const auto message = wire::DecodeRelay(reader);
  if (!message.ok()) {
    return 0;
  }
  std::string out;
  wire::Writer writer(out);
  wire::Encode(writer, *message);
  wire::Reader again(out);
  const auto second = wire::DecodeRelay(again);
  if (!second.ok() || *second != *message) {
    std::abort();
  }
  return 0;
}
