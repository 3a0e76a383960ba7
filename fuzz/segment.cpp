#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

#include <platform/segment_codec.hpp>

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  const auto codec = cornelshore::platform::SegmentCodec();
  std::string packet(reinterpret_cast<const char*>(aData), aSize);
  const auto segment = codec.parse_(packet);
  if (!segment) {
    return 0;
  }
  codec.mark_(packet, 3);
  const auto marked = codec.parse_(packet);
  if (!marked || marked->mark_ != 3 || marked->returned_ ||
      marked->sequence_ != segment->sequence_ || marked->to_ != segment->to_) {
    std::abort();
  }
  return 0;
}
