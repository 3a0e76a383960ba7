#ifndef CORNELSHORE_DISSEMINATION_FWD_HPP
#define CORNELSHORE_DISSEMINATION_FWD_HPP

namespace cornelshore::dissemination {

struct Header;
struct Message;
class Node;

} // namespace cornelshore::dissemination

#endif
