#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

#include <cornelshore/wire/flow_codec.hpp>
#include <cornelshore/wire/reader.hpp>
#include <cornelshore/wire/writer.hpp>

/** What decodes must encode to something that decodes to the same. */
extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  using namespace cornelshore;
  wire::Reader reader({ reinterpret_cast<const char*>(aData), aSize });
  const auto envelope = wire::DecodeEnvelope(reader);
  if (!envelope.ok()) {
    return 0;
  }
  std::string out;
  wire::Writer writer(out);
  wire::Encode(writer, *envelope);
  wire::Reader again(out);
  const auto second = wire::DecodeEnvelope(again);
  if (!second.ok() || *second != *envelope) {
    std::abort();
  }
  return 0;
}
