#ifndef CORNELSHORE_NET_FWD_HPP
#define CORNELSHORE_NET_FWD_HPP

namespace cornelshore::net {

class Signal;
class UdpSocket;
class UpstreamClient;

template<typename Value>
class Ring;

} // namespace cornelshore::net

#endif
