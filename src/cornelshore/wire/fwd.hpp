#ifndef CORNELSHORE_WIRE_FWD_HPP
#define CORNELSHORE_WIRE_FWD_HPP

namespace cornelshore::wire {

class Reader;
class Writer;

} // namespace cornelshore::wire

#endif
