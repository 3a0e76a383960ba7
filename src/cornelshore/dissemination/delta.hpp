#ifndef CORNELSHORE_DISSEMINATION_DELTA_HPP
#define CORNELSHORE_DISSEMINATION_DELTA_HPP

#include <optional>
#include <string>
#include <string_view>

namespace cornelshore::dissemination {

/**
 * @brief Encodes how to make one byte string from another.
 *
 * A list of copies from the base and of literal bytes, found by looking up
 * blocks of the base as rsync does (Tridgell and Mackerras, 1996).
 */
[[nodiscard]] std::string MakeDelta(std::string_view aBase,
                                    std::string_view aTarget);

/**
 * @brief Reconstructs the target from the base and a delta.
 * @param aMaxBytes Limit on the target's bytes.
 * @return The target, or nothing when the delta does not fit the base.
 */
[[nodiscard]] std::optional<std::string> ApplyDelta(std::string_view aBase,
                                                    std::string_view aDelta,
                                                    std::size_t aMaxBytes);

} // namespace cornelshore::dissemination

#endif
