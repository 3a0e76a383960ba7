#include <cornelshore/core/hash.hpp>

#include <array>

#include <xxhash.h>

namespace cornelshore {

std::uint64_t
HashBytes(std::span<const std::byte> aBytes, std::uint64_t aSeed) noexcept
{
  return XXH3_64bits_withSeed(aBytes.data(), aBytes.size(), aSeed);
}

std::uint64_t
HashText(std::string_view aText, std::uint64_t aSeed) noexcept
{
  return XXH3_64bits_withSeed(aText.data(), aText.size(), aSeed);
}

std::uint64_t
HashPair(std::uint64_t aFirst, std::uint64_t aSecond) noexcept
{
  const std::array<std::uint64_t, 2> values{ aFirst, aSecond };
  return XXH3_64bits(values.data(), sizeof(values));
}

} // namespace cornelshore
