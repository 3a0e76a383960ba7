#include <cstddef>
#include <cstdint>
#include <string_view>

#include <cornelshore/wire/reader.hpp>

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  cornelshore::wire::Reader reader(
    { reinterpret_cast<const char*>(aData), aSize });
  for (std::size_t step = 0; reader.Good() && !reader.Rest().empty(); ++step) {
    switch (step % 4) {
      case 0:
        reader.Uint();
        break;
      case 1:
        reader.Bytes(64);
        break;
      case 2:
        reader.List(64);
        break;
      default:
        reader.Int();
        break;
    }
  }
  static_cast<void>(reader.Finish());
  return 0;
}
