#include <utility>

#include <cornelshore/net/peer_timeout.hpp>

#include <algorithm>

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace cornelshore::net::internal {

namespace {

constexpr int kProbes = 3;

void
Set(int aSocket, int aOption, int aValue)
{
  static_cast<void>(
    ::setsockopt(aSocket, IPPROTO_TCP, aOption, &aValue, sizeof(aValue)));
}

} // namespace

void
SetPeerTimeout(boost::asio::ip::tcp::socket& aSocket, Duration aTimeout)
{
  using std::chrono::duration_cast;
  const auto millis = static_cast<int>(
    duration_cast<std::chrono::milliseconds>(aTimeout).count());
  const auto seconds = std::max(
    1, static_cast<int>(duration_cast<std::chrono::seconds>(aTimeout).count()));
  boost::system::error_code ignored;
  aSocket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  aSocket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
  Set(aSocket.native_handle(), TCP_USER_TIMEOUT, millis);
  Set(aSocket.native_handle(), TCP_KEEPIDLE, seconds);
  Set(aSocket.native_handle(), TCP_KEEPINTVL, 1);
  Set(aSocket.native_handle(), TCP_KEEPCNT, kProbes);
}

} // namespace cornelshore::net::internal
