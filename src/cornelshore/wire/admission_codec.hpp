#ifndef CORNELSHORE_WIRE_ADMISSION_CODEC_HPP
#define CORNELSHORE_WIRE_ADMISSION_CODEC_HPP

#include <absl/status/statusor.h>

#include <cornelshore/admission/pushback.hpp>
#include <cornelshore/wire/fwd.hpp>

namespace cornelshore::admission {

/** @brief Appends a pushback to what the writer holds. */
void Encode(wire::Writer& aWriter, const Pushback& aPushback);

/**
 * @brief Reads a pushback and leaves what follows it.
 * @return The pushback, or `InvalidArgument` when a value is missing or out of
 * its range, or more than `kMaxPushbackClasses` classes are named.
 */
[[nodiscard]] absl::StatusOr<Pushback> Decode(wire::Reader& aReader);

} // namespace cornelshore::admission

#endif
