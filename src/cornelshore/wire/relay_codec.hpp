#ifndef CORNELSHORE_WIRE_RELAY_CODEC_HPP
#define CORNELSHORE_WIRE_RELAY_CODEC_HPP

#include <cstddef>

#include <absl/status/statusor.h>

#include <cornelshore/relay/message.hpp>
#include <cornelshore/wire/fwd.hpp>

namespace cornelshore::wire {

/** @brief Most bytes of a packet of a flow of segments. */
inline constexpr std::size_t kMostSegmentBytes = 2048;

/** @brief Appends a message about flows of segments. */
void Encode(Writer& aWriter, const relay::Message& aMessage);

/** @return The message, or `InvalidArgument`; nothing may follow it. */
[[nodiscard]] absl::StatusOr<relay::Message> DecodeRelay(Reader& aReader);

} // namespace cornelshore::wire

#endif
