#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

#include <cornelshore/admission/shedder.hpp>
#include <cornelshore/wire/admission_codec.hpp>
#include <cornelshore/wire/reader.hpp>
#include <cornelshore/wire/writer.hpp>

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  namespace admission = cornelshore::admission;
  cornelshore::wire::Reader reader(
    { reinterpret_cast<const char*>(aData), aSize });
  const auto pushback = admission::Decode(reader);
  if (!pushback.ok()) {
    return 0;
  }
  std::string out;
  cornelshore::wire::Writer writer(out);
  admission::Encode(writer, *pushback);
  cornelshore::wire::Reader again(out);
  if (admission::Decode(again) != pushback) {
    std::abort();
  }
  admission::Shedder shedder(1);
  shedder.OnPushback({}, {}, *pushback);
  return 0;
}
