#ifndef CORNELSHORE_TRACE_FWD_HPP
#define CORNELSHORE_TRACE_FWD_HPP

namespace cornelshore::trace {

class Clocks;
class Journal;
struct Line;

} // namespace cornelshore::trace

#endif
