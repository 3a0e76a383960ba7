#ifndef CORNELSHORE_TOOL_FWD_HPP
#define CORNELSHORE_TOOL_FWD_HPP

namespace cornelshore::tool {

struct Options;

} // namespace cornelshore::tool

#endif
