#ifndef CORNELSHORE_WIRE_DISSEMINATION_CODEC_HPP
#define CORNELSHORE_WIRE_DISSEMINATION_CODEC_HPP

#include <absl/status/statusor.h>

#include <cornelshore/dissemination/message.hpp>
#include <cornelshore/wire/reader.hpp>
#include <cornelshore/wire/writer.hpp>

namespace cornelshore::wire {

void Encode(Writer& aWriter, const dissemination::Message& aMessage);

/** @return The message, or `InvalidArgument`. */
[[nodiscard]] absl::StatusOr<dissemination::Message> DecodeDissemination(
  Reader& aReader);

} // namespace cornelshore::wire

#endif
