#ifndef CORNELSHORE_DAEMON_FWD_HPP
#define CORNELSHORE_DAEMON_FWD_HPP

namespace cornelshore::daemon {

class Runtime;
class Sender;

} // namespace cornelshore::daemon

#endif
