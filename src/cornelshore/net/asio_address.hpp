#ifndef CORNELSHORE_NET_ASIO_ADDRESS_HPP
#define CORNELSHORE_NET_ASIO_ADDRESS_HPP

#include <algorithm>
#include <utility>

#include <boost/asio/ip/address.hpp>

#include <cornelshore/core/address.hpp>

namespace cornelshore::net {

/** @brief Asio endpoint of an address. */
template<typename Protocol>
[[nodiscard]] typename Protocol::endpoint
ToEndpoint(const Address& aAddress)
{
  boost::asio::ip::address_v6::bytes_type bytes{};
  std::copy(aAddress.ip_.begin(), aAddress.ip_.end(), bytes.begin());
  const boost::asio::ip::address_v6 six(bytes);
  if (IsIpv4(aAddress)) {
    const auto four =
      boost::asio::ip::make_address_v4(boost::asio::ip::v4_mapped, six);
    return { four, aAddress.port_ };
  }
  return { six, aAddress.port_ };
}

} // namespace cornelshore::net

#endif
