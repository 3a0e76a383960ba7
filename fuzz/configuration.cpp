#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

#include <cornelshore/wire/configuration_codec.hpp>
#include <cornelshore/wire/reader.hpp>
#include <cornelshore/wire/writer.hpp>

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  using namespace cornelshore::wire;
  Reader reader({ reinterpret_cast<const char*>(aData), aSize });
  const auto first = DecodeConfiguration(reader);
  if (!first.ok()) {
    return 0;
  }
  std::string out;
  Writer writer(out);
  Encode(writer, *first);
  Reader again(out);
  if (DecodeConfiguration(again) != first) {
    std::abort();
  }
  return 0;
}
