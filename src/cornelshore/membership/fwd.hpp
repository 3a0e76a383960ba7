#ifndef CORNELSHORE_MEMBERSHIP_FWD_HPP
#define CORNELSHORE_MEMBERSHIP_FWD_HPP

namespace cornelshore::membership {

struct PeerRecord;
class View;
class Announcer;
class HealthWatcher;

} // namespace cornelshore::membership

#endif
