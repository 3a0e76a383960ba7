#ifndef CORNELSHORE_DISSEMINATION_SIZE_HPP
#define CORNELSHORE_DISSEMINATION_SIZE_HPP

#include <cstddef>

#include <cornelshore/dissemination/message.hpp>

/**
 * @brief Upper bounds of encoded sizes, in bytes.
 *
 * The core decides by size what a message may carry and what the byte budget
 * allows, and knows no codec; the codec's tests hold it to these bounds.
 */
namespace cornelshore::dissemination {

inline constexpr std::size_t kHashBytes = 10;
inline constexpr std::size_t kSubjectBytes = 9;

[[nodiscard]] std::size_t BytesOf(const HostRecord& aRecord) noexcept;
[[nodiscard]] std::size_t BytesOf(const ConfigPiece& aPiece) noexcept;
[[nodiscard]] std::size_t BytesOf(const Leaf& aLeaf) noexcept;
[[nodiscard]] std::size_t BytesOfPeer() noexcept;

/** @brief Bytes of an encoded message, before it is sealed. */
[[nodiscard]] std::size_t PayloadBytesOf(const Message& aMessage) noexcept;

/** @brief Bytes of its datagram with the seal, UDP and IPv4 headers. */
[[nodiscard]] std::size_t DatagramBytesOf(const Message& aMessage) noexcept;

} // namespace cornelshore::dissemination

#endif
