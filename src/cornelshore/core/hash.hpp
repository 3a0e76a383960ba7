#ifndef CORNELSHORE_CORE_HASH_HPP
#define CORNELSHORE_CORE_HASH_HPP

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

namespace cornelshore {

/**
 * @brief XXH3 hash of bytes, identical in every process and on every machine.
 * @param aSeed Seed that separates different uses of the same bytes.
 */
[[nodiscard]] std::uint64_t HashBytes(std::span<const std::byte> aBytes,
                                      std::uint64_t aSeed = 0) noexcept;

/** @brief XXH3 hash of text, equal to `HashBytes` of its bytes. */
[[nodiscard]] std::uint64_t HashText(std::string_view aText,
                                     std::uint64_t aSeed = 0) noexcept;

/** @brief Mixes two integers into one hash value. */
[[nodiscard]] std::uint64_t HashPair(std::uint64_t aFirst,
                                     std::uint64_t aSecond) noexcept;

} // namespace cornelshore

#endif
