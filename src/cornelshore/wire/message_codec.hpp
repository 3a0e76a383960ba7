#ifndef CORNELSHORE_WIRE_MESSAGE_CODEC_HPP
#define CORNELSHORE_WIRE_MESSAGE_CODEC_HPP

#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include <cornelshore/role/message.hpp>

/** @brief Codec of everything that processes of the system send one another. */
namespace cornelshore::wire {

/** @brief Encodes a message: its kind, then its fields. */
[[nodiscard]] std::string EncodeMessage(const role::Message& aMessage);

/** @return The message, or `InvalidArgument`; nothing may follow it. */
[[nodiscard]] absl::StatusOr<role::Message> DecodeMessage(
  std::string_view aBytes);

} // namespace cornelshore::wire

#endif
