#ifndef CORNELSHORE_LOG_FWD_HPP
#define CORNELSHORE_LOG_FWD_HPP

#include <cstdint>

namespace cornelshore::log {

enum class Level : std::uint8_t;
class Event;
class LineWriter;

} // namespace cornelshore::log

#endif
