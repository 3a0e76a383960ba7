#ifndef CORNELSHORE_CONSENSUS_FWD_HPP
#define CORNELSHORE_CONSENSUS_FWD_HPP

namespace cornelshore::consensus {

struct Change;
struct Entry;
struct HardState;
struct Snapshot;
struct DurableState;
struct Membership;
struct Message;
class Register;
class Replica;
class ReplicaBuilder;

} // namespace cornelshore::consensus

#endif
