#ifndef CORNELSHORE_FLOW_FWD_HPP
#define CORNELSHORE_FLOW_FWD_HPP

namespace cornelshore::flow {

struct Envelope;
class Agent;
class AgentBuilder;
class Balancer;

} // namespace cornelshore::flow

#endif
