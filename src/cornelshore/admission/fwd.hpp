#ifndef CORNELSHORE_ADMISSION_FWD_HPP
#define CORNELSHORE_ADMISSION_FWD_HPP

namespace cornelshore::admission {

struct FleetCapacity;
struct FleetSlotRange;
struct ClassSlots;
struct Work;
struct QueueRelease;
struct OfferResult;
struct Pushback;
struct SchedulerDump;
class SlotScheduler;
class ConnectionLimiter;
class Shedder;
class HostHealth;

} // namespace cornelshore::admission

#endif
