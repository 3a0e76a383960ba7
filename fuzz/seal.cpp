#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include <cornelshore/core/check.hpp>
#include <cornelshore/wire/seal.hpp>

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  using namespace cornelshore;
  const std::string_view input(reinterpret_cast<const char*>(aData), aSize);
  static_cast<void>(wire::KeyRing::Parse(input));
  static const auto kRing = wire::KeyRing::Parse("1 " + std::string(64, 'a'));
  static wire::Opener opener(*kRing, 4);
  static wire::Sealer sealer(*kRing, NodeId{ 1 }, Incarnation{ 1 });
  const auto forged = opener.Open(input, wire::ReplayCheck::Skip);
  CheckInvariant(forged.outcome_ != wire::OpenOutcome::Opened,
                 "seal: a forged datagram was opened");
  std::string sealed;
  sealer.Seal(input, sealed);
  const auto opened = opener.Open(sealed, wire::ReplayCheck::Refuse);
  CheckInvariant(opened.payload_ == input, "seal: not opened as sealed");
  return 0;
}
