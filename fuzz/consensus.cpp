#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

#include <cornelshore/wire/consensus_codec.hpp>
#include <cornelshore/wire/reader.hpp>
#include <cornelshore/wire/writer.hpp>

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  using namespace cornelshore::wire;
  Reader reader({ reinterpret_cast<const char*>(aData), aSize });
  const auto first = DecodeConsensusMessage(reader);
  if (!first.ok()) {
    return 0;
  }
  std::string out;
  Writer writer(out);
  Encode(writer, *first);
  Reader again(out);
  const auto second = DecodeConsensusMessage(again);
  if (!second.ok() || !(*second == *first)) {
    std::abort();
  }
  return 0;
}
