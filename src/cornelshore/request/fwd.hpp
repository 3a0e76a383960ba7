#ifndef CORNELSHORE_REQUEST_FWD_HPP
#define CORNELSHORE_REQUEST_FWD_HPP

namespace cornelshore::request {

struct Ticket;
struct RequestKey;
struct Route;
struct AgentSettings;
struct AgentDump;
struct CallerSettings;
struct Submission;
class Agent;
class Balancer;
class Caller;

} // namespace cornelshore::request

#endif
