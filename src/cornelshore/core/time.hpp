#ifndef CORNELSHORE_CORE_TIME_HPP
#define CORNELSHORE_CORE_TIME_HPP

#include <chrono>

namespace cornelshore {

/** @brief Length of time used by every decision, in microseconds. */
using Duration = std::chrono::microseconds;

/**
 * @brief Present time as handed to every decision (`aNow`).
 *
 * The core never reads a clock: the caller supplies the time.
 */
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

} // namespace cornelshore

#endif
