#ifndef CORNELSHORE_NET_PEER_TIMEOUT_HPP
#define CORNELSHORE_NET_PEER_TIMEOUT_HPP

#include <boost/asio/ip/tcp.hpp>

#include <cornelshore/core/time.hpp>

namespace cornelshore::net::internal {

/**
 * @brief Makes a connection end when its peer is silent.
 *
 * Sent bytes without an acknowledgement for `aTimeout` end it (RFC 5482), and
 * so do unanswered keep-alive probes on an idle one (RFC 1122, 4.2.3.6), which
 * take about as long.
 */
void SetPeerTimeout(boost::asio::ip::tcp::socket& aSocket, Duration aTimeout);

} // namespace cornelshore::net::internal

#endif
