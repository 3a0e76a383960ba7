#ifndef CORNELSHORE_CORE_HASH_HPP
#define CORNELSHORE_CORE_HASH_HPP

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

namespace cornelshore {

/**
 * @brief XXH3 over bytes; the same at every process and on every machine.
 * @param aSeed Separates uses of the same bytes.
 */
[[nodiscard]] std::uint64_t HashBytes(std::span<const std::byte> aBytes,
                                      std::uint64_t aSeed = 0) noexcept;

/** @brief `HashBytes` over text. */
[[nodiscard]] std::uint64_t HashText(std::string_view aText,
                                     std::uint64_t aSeed = 0) noexcept;

/** @brief Mixes two integers into one hash value. */
[[nodiscard]] std::uint64_t HashPair(std::uint64_t aFirst,
                                     std::uint64_t aSecond) noexcept;

} // namespace cornelshore

#endif
