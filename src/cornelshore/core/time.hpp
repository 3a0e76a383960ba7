#ifndef CORNELSHORE_CORE_TIME_HPP
#define CORNELSHORE_CORE_TIME_HPP

#include <chrono>

namespace cornelshore {

/** @brief Duration in microseconds, used throughout the core. */
using Duration = std::chrono::microseconds;

/**
 * @brief Time on the monotonic clock, passed as `aNow`.
 *
 * The core never reads a clock: the caller supplies the time.
 */
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

} // namespace cornelshore

#endif
