#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

#include <cornelshore/wire/reader.hpp>
#include <cornelshore/wire/request_codec.hpp>
#include <cornelshore/wire/writer.hpp>

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  using namespace cornelshore;
  wire::Reader reader({ reinterpret_cast<const char*>(aData), aSize });
  const auto message = request::Decode(reader);
  if (!message.ok()) {
    return 0;
  }
  std::string out;
  wire::Writer writer(out);
  request::Encode(writer, *message);
  wire::Reader again(out);
  const auto decoded = request::Decode(again);
  if (!decoded.ok() || *decoded != *message) {
    std::abort();
  }
  return 0;
}
