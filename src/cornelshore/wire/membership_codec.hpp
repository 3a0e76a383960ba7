#ifndef CORNELSHORE_WIRE_MEMBERSHIP_CODEC_HPP
#define CORNELSHORE_WIRE_MEMBERSHIP_CODEC_HPP

#include <absl/status/statusor.h>

#include <cornelshore/core/host.hpp>
#include <cornelshore/membership/message.hpp>
#include <cornelshore/membership/record.hpp>
#include <cornelshore/wire/reader.hpp>
#include <cornelshore/wire/writer.hpp>

namespace cornelshore::wire {

void Encode(Writer& aWriter, const HostRecord& aRecord);
void Encode(Writer& aWriter, const membership::PeerRecord& aRecord);
void Encode(Writer& aWriter, const membership::Message& aMessage);

/** @brief Reads a record; the reader fails when it is not one. */
void Decode(Reader& aReader, HostRecord& aRecord);

/** @brief Reads a record; the reader fails when it is not one. */
void Decode(Reader& aReader, membership::PeerRecord& aRecord);

/** @return The message, or `InvalidArgument`. */
[[nodiscard]] absl::StatusOr<membership::Message> DecodeMembership(
  Reader& aReader);

} // namespace cornelshore::wire

#endif
