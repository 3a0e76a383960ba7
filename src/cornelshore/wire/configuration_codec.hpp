#ifndef CORNELSHORE_WIRE_CONFIGURATION_CODEC_HPP
#define CORNELSHORE_WIRE_CONFIGURATION_CODEC_HPP

#include <cstddef>

#include <absl/status/statusor.h>

#include <cornelshore/core/target.hpp>
#include <cornelshore/wire/fwd.hpp>

namespace cornelshore::wire {

/** @brief Most services in one encoded configuration. */
inline constexpr std::size_t kMostServices = 4096;

/** @brief Most classes of work of one encoded service. */
inline constexpr std::size_t kMaxClassesPerService = 64;

/** @brief Most bytes of a service's or class's name. */
inline constexpr std::size_t kMaxNameBytes = 128;

/**
 * @brief Appends the configuration.
 *
 * Ids are hashes of names, so only the names travel; `Decode` works the ids
 * out again.
 */
void Encode(Writer& aWriter, const Configuration& aConfiguration);

/** @brief Appends one service with its classes. */
void Encode(Writer& aWriter, const ServiceTarget& aService);

/**
 * @brief Reads one configuration; leaves what follows unread.
 *
 * Hostile input makes the reader fail: lists and names over the bounds above,
 * shares over `kFullShare`, an urgency over `kMaxUrgency`.
 */
void Decode(Reader& aReader, Configuration& aConfiguration);

/** @brief Appends one route. */
void Encode(Writer& aWriter, const Route& aRoute);

/** @brief Reads one route; fails on lists and names over their bounds. */
void Decode(Reader& aReader, Route& aRoute);

/** @brief Reads one service; fails as for a configuration. */
void Decode(Reader& aReader, ServiceTarget& aService);

/** @brief As `Decode`. @return The configuration, or `InvalidArgument`. */
[[nodiscard]] absl::StatusOr<Configuration> DecodeConfiguration(
  Reader& aReader);

} // namespace cornelshore::wire

#endif
