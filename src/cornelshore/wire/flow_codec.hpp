#ifndef CORNELSHORE_WIRE_FLOW_CODEC_HPP
#define CORNELSHORE_WIRE_FLOW_CODEC_HPP

#include <absl/status/statusor.h>

#include <cornelshore/flow/envelope.hpp>
#include <cornelshore/wire/fwd.hpp>

/** @brief Codec of the messages between balancers and agents. */
namespace cornelshore::wire {

/** @brief Appends an envelope. */
void Encode(Writer& aWriter, const flow::Envelope& aEnvelope);

/**
 * @brief Reads one envelope, which must be all that is left.
 * @return The envelope, or `InvalidArgument` when a value is missing, out of
 * range, or a list longer than `flow::kMaxListedHosts`.
 */
[[nodiscard]] absl::StatusOr<flow::Envelope> DecodeEnvelope(Reader& aReader);

} // namespace cornelshore::wire

#endif
