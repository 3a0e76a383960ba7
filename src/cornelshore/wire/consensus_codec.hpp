#ifndef CORNELSHORE_WIRE_CONSENSUS_CODEC_HPP
#define CORNELSHORE_WIRE_CONSENSUS_CODEC_HPP

#include <cstddef>

#include <absl/status/statusor.h>

#include <cornelshore/consensus/message.hpp>
#include <cornelshore/wire/fwd.hpp>

/**
 * @brief Codec of the control group's messages and of what its disks hold.
 *
 * The readers of parts leave the reader failed when the input is wrong; all
 * lists are bounded, and shared values are never null.
 */
namespace cornelshore::wire {

/** @brief Most entries in one message or write. */
inline constexpr std::size_t kMostEntries = 4096;

void Encode(Writer& aWriter, const consensus::Message& aMessage);

/** @return The message, or `InvalidArgument`; nothing may follow it. */
[[nodiscard]] absl::StatusOr<consensus::Message> DecodeConsensusMessage(
  Reader& aReader);

void Encode(Writer& aWriter, const consensus::ReplicaId& aId);
void Decode(Reader& aReader, consensus::ReplicaId& aId);

void Encode(Writer& aWriter, const consensus::Change& aChange);
void Decode(Reader& aReader, consensus::Change& aChange);

void Encode(Writer& aWriter, const consensus::Entry& aEntry);
void Decode(Reader& aReader, consensus::Entry& aEntry);

void Encode(Writer& aWriter, const consensus::HardState& aHard);
void Decode(Reader& aReader, consensus::HardState& aHard);

void Encode(Writer& aWriter, const consensus::Snapshot& aSnapshot);
void Decode(Reader& aReader, consensus::Snapshot& aSnapshot);

void Encode(Writer& aWriter, const consensus::Persist& aPersist);
void Decode(Reader& aReader, consensus::Persist& aPersist);

} // namespace cornelshore::wire

#endif
