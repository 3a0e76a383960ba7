#ifndef CORNELSHORE_ROLE_FWD_HPP
#define CORNELSHORE_ROLE_FWD_HPP

namespace cornelshore::role {

class Balancer;
class Agent;
class Control;

} // namespace cornelshore::role

#endif
