#ifndef CORNELSHORE_CORE_ADDRESS_HPP
#define CORNELSHORE_CORE_ADDRESS_HPP

#include <array>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include <absl/status/statusor.h>

namespace cornelshore {

/** @brief IP address and port; IPv4 is stored in IPv4-mapped IPv6 form. */
struct Address
{
  std::array<std::uint8_t, 16> ip_{};
  std::uint16_t port_{};

  constexpr auto operator<=>(const Address&) const noexcept = default;

  template<typename Hash>
  friend Hash AbslHashValue(Hash aHash, const Address& aAddress)
  {
    return Hash::combine(std::move(aHash), aAddress.ip_, aAddress.port_);
  }
};

/**
 * @brief Makes an IPv4 address.
 * @param aIp Address in host byte order.
 * @param aPort Port in host byte order.
 */
[[nodiscard]] Address MakeIpv4(std::uint32_t aIp, std::uint16_t aPort) noexcept;

/** @brief Returns whether the address is an IPv4-mapped one. */
[[nodiscard]] bool IsIpv4(const Address& aAddress) noexcept;

/**
 * @brief Parses `192.0.2.1:80` or, with brackets, `[2001:db8::1]:80`.
 * @return The address, or `InvalidArgument` with the text and the expected
 * format.
 */
[[nodiscard]] absl::StatusOr<Address> ParseAddress(std::string_view aText);

/** @brief Formats the address as `ParseAddress` accepts it. */
[[nodiscard]] std::string ToString(const Address& aAddress);

} // namespace cornelshore

#endif
