#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

#include <cornelshore/storage/frame.hpp>
#include <cornelshore/storage/hosts_format.hpp>

namespace {

using namespace cornelshore::storage;

constexpr std::uint64_t kSeed = 11;
constexpr std::size_t kPayload = 9;

/** A sealed segment whose payloads are cut from the input. */
std::string
MakeSegment(std::string_view aInput)
{
  std::string segment;
  auto kind = FrameKind::Seal;
  do {
    const auto part = aInput.substr(0, kPayload);
    const Frame frame{ kind, segment.size(), part };
    segment += MakeFrame(kSeed, segment.size(), frame);
    aInput.remove_prefix(part.size());
    kind = FrameKind::Write;
  } while (!aInput.empty());
  return segment;
}

/** Reads the input as stored host records, damaged and under a right checksum;
 * what is read is written and read again the same. */
void
TryHosts(std::string_view aInput)
{
  static_cast<void>(DecodeHosts(aInput));
  const auto stored = DecodeHosts(
    MakeFrame(internal::kHostsSeed, 0, { FrameKind::Header, 0, aInput }));
  if (!stored.ok()) {
    return;
  }
  const auto bytes = EncodeHosts(*stored);
  const auto again = bytes.ok() ? DecodeHosts(*bytes) : bytes.status();
  if (!again.ok() || again->hosts_ != stored->hosts_ || again->refused_ != 0) {
    std::abort();
  }
}

} // namespace

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  const std::string_view input(reinterpret_cast<const char*>(aData), aSize);
  static_cast<void>(ScanFrames(input, 0, kSeed));
  TryHosts(input);
  if (aSize < 3) {
    return 0;
  }
  auto segment = MakeSegment(input.substr(3));
  if (ScanFrames(segment, 0, kSeed).outcome_ != ScanOutcome::Whole) {
    std::abort();
  }
  const auto place = (aData[0] * 256U + aData[1]) % segment.size();
  const auto flipped = aData[2] == 0 ? 1 : aData[2];
  segment[place] = static_cast<char>(segment[place] ^ flipped);
  if (ScanFrames(segment, 0, kSeed).outcome_ == ScanOutcome::Whole) {
    std::abort();
  }
  return 0;
}
