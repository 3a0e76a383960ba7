#ifndef CORNELSHORE_DISSEMINATION_SIZE_HPP
#define CORNELSHORE_DISSEMINATION_SIZE_HPP

#include <cstddef>

#include <cornelshore/dissemination/message.hpp>

/**
 * @brief Encoded sizes in bytes.
 *
 * Message packing and the byte budget need sizes but must not depend on the
 * codec; the codec's tests check that both agree.
 */
namespace cornelshore::dissemination {

[[nodiscard]] std::size_t BytesOf(const HostUpdate& aUpdate) noexcept;
[[nodiscard]] std::size_t BytesOf(const PeerUpdate& aUpdate) noexcept;
[[nodiscard]] std::size_t BytesOf(const ConfigChunk& aChunk) noexcept;
[[nodiscard]] std::size_t BytesOf(const TreeChildren& aChildren) noexcept;
[[nodiscard]] std::size_t BytesOf(const Leaf& aLeaf) noexcept;
[[nodiscard]] std::size_t BytesOf(NodeId aSubject) noexcept;

/** @brief Bytes of an encoded message, before it is sealed. */
[[nodiscard]] std::size_t PayloadBytesOf(const Message& aMessage) noexcept;

/** @brief Bytes of its datagram with the seal, UDP and IPv4 headers. */
[[nodiscard]] std::size_t DatagramBytesOf(const Message& aMessage) noexcept;

} // namespace cornelshore::dissemination

#endif
