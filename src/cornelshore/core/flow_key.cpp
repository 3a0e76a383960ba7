#include <cornelshore/core/flow_key.hpp>

#include <algorithm>
#include <array>
#include <cstddef>

#include <cornelshore/core/hash.hpp>

namespace cornelshore {

namespace {

constexpr std::size_t kAddressBytes = 18;
constexpr std::size_t kKeyBytes = 2 * kAddressBytes + 1;

std::byte*
PutAddress(std::byte* aOut, const Address& aAddress) noexcept
{
  aOut = std::transform(aAddress.ip_.begin(),
                        aAddress.ip_.end(),
                        aOut,
                        [](std::uint8_t aByte) { return std::byte{ aByte }; });
  *aOut++ = static_cast<std::byte>(aAddress.port_ >> 8U);
  *aOut++ = static_cast<std::byte>(aAddress.port_ & 0xFFU);
  return aOut;
}

} // namespace

std::uint64_t
HashOf(const FlowKey& aKey) noexcept
{
  std::array<std::byte, kKeyBytes> bytes{};
  auto* out = PutAddress(bytes.data(), aKey.caller_);
  out = PutAddress(out, aKey.service_);
  *out = static_cast<std::byte>(aKey.transport_);
  return HashBytes(bytes);
}

} // namespace cornelshore
