#ifndef CORNELSHORE_CORE_FWD_HPP
#define CORNELSHORE_CORE_FWD_HPP

namespace cornelshore {

struct Address;
struct FlowKey;
struct RequestId;
struct HostRecord;
struct ClassTarget;
struct ServiceTarget;
struct Configuration;
class Random;

} // namespace cornelshore

#endif
