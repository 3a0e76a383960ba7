#ifndef CORNELSHORE_RELAY_FWD_HPP
#define CORNELSHORE_RELAY_FWD_HPP

namespace cornelshore::relay {

class Agent;
class Balancer;
class FlowSampler;
class HostTable;
class NearSearch;
class LoadReports;
class RouteTable;
struct Answer;
struct RelayedPacket;
struct Codec;
struct FlowDecision;
struct HostLoad;
struct HostReport;
struct Segment;
struct Watch;

} // namespace cornelshore::relay

#endif
