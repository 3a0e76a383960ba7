#include <cornelshore/core/address.hpp>

#include <algorithm>
#include <charconv>

#include <arpa/inet.h>

#include <absl/status/status.h>
#include <absl/strings/str_cat.h>

namespace cornelshore {

namespace {

constexpr std::array<std::uint8_t, 12> kMappedPrefix{ 0, 0, 0, 0, 0,    0,
                                                      0, 0, 0, 0, 0xFF, 0xFF };

absl::Status
AddressError(std::string_view aText)
{
  return absl::InvalidArgumentError(absl::StrCat(
    "'",
    std::string(aText),
    "' is not an address: write 192.0.2.1:80 or [2001:db8::1]:80"));
}

bool
ParseIp(std::string_view aText, std::array<std::uint8_t, 16>& aIp)
{
  // inet_pton reads up to a zero byte only.
  if (aText.find('\0') != std::string_view::npos) {
    return false;
  }
  if (aText.size() > 2 && aText.front() == '[' && aText.back() == ']') {
    const std::string inner(aText.substr(1, aText.size() - 2));
    return inet_pton(AF_INET6, inner.c_str(), aIp.data()) == 1;
  }
  const std::string plain(aText);
  std::array<std::uint8_t, 4> ipv4Bytes{};
  if (inet_pton(AF_INET, plain.c_str(), ipv4Bytes.data()) != 1) {
    return false;
  }
  std::copy(kMappedPrefix.begin(), kMappedPrefix.end(), aIp.begin());
  std::copy(
    ipv4Bytes.begin(), ipv4Bytes.end(), aIp.begin() + kMappedPrefix.size());
  return true;
}

} // namespace

Address
MakeIpv4(std::uint32_t aIp, std::uint16_t aPort) noexcept
{
  Address address;
  std::copy(kMappedPrefix.begin(), kMappedPrefix.end(), address.ip_.begin());
  for (std::size_t index = 0; index < 4; ++index) {
    address.ip_[kMappedPrefix.size() + index] =
      static_cast<std::uint8_t>(aIp >> (24U - 8U * index));
  }
  address.port_ = aPort;
  return address;
}

bool
IsIpv4(const Address& aAddress) noexcept
{
  return std::equal(
    kMappedPrefix.begin(), kMappedPrefix.end(), aAddress.ip_.begin());
}

absl::StatusOr<Address>
ParseAddress(std::string_view aText)
{
  const auto colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return AddressError(aText);
  }
  Address address;
  const auto port = aText.substr(colon + 1);
  const auto* end = port.data() + port.size();
  const auto parsed = std::from_chars(port.data(), end, address.port_);
  if (port.empty() || parsed.ec != std::errc{} || parsed.ptr != end) {
    return AddressError(aText);
  }
  if (!ParseIp(aText.substr(0, colon), address.ip_)) {
    return AddressError(aText);
  }
  return address;
}

std::string
ToString(const Address& aAddress)
{
  std::array<char, INET6_ADDRSTRLEN> text{};
  if (IsIpv4(aAddress)) {
    inet_ntop(AF_INET,
              aAddress.ip_.data() + kMappedPrefix.size(),
              text.data(),
              text.size());
    return absl::StrCat(text.data(), ":", aAddress.port_);
  }
  inet_ntop(AF_INET6, aAddress.ip_.data(), text.data(), text.size());
  return absl::StrCat("[", text.data(), "]:", aAddress.port_);
}

} // namespace cornelshore
