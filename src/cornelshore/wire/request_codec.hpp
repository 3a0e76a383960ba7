#ifndef CORNELSHORE_WIRE_REQUEST_CODEC_HPP
#define CORNELSHORE_WIRE_REQUEST_CODEC_HPP

#include <absl/status/statusor.h>

#include <cornelshore/request/message.hpp>
#include <cornelshore/wire/fwd.hpp>

namespace cornelshore::request {

/** @brief Appends the message: its kind, then its fields. */
void Encode(wire::Writer& aWriter, const Message& aMessage);

/**
 * @brief Reads one message, up to the end of the input.
 * @return The message, or `InvalidArgument`.
 */
[[nodiscard]] absl::StatusOr<Message> Decode(wire::Reader& aReader);

} // namespace cornelshore::request

#endif
