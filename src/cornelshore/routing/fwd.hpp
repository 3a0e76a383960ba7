#ifndef CORNELSHORE_ROUTING_FWD_HPP
#define CORNELSHORE_ROUTING_FWD_HPP

namespace cornelshore::routing {

class Table;
class View;

} // namespace cornelshore::routing

#endif
