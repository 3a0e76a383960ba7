#ifndef CORNELSHORE_CORE_FLOW_KEY_HPP
#define CORNELSHORE_CORE_FLOW_KEY_HPP

#include <compare>
#include <cstdint>
#include <utility>

#include <cornelshore/core/address.hpp>

namespace cornelshore {

/** @brief Transport protocol of a flow, by its IP protocol number. */
enum class Transport : std::uint8_t
{
  Tcp = 6,
  Udp = 17,
};

/** @brief Identity of a flow: both endpoints and the transport. */
struct FlowKey
{
  Address caller_;
  Address service_;
  Transport transport_{ Transport::Udp };

  constexpr auto operator<=>(const FlowKey&) const noexcept = default;

  template<typename Hash>
  friend Hash AbslHashValue(Hash aHash, const FlowKey& aKey)
  {
    return Hash::combine(
      std::move(aHash), aKey.caller_, aKey.service_, aKey.transport_);
  }
};

/** @brief Hash of a flow key, identical in every process. */
[[nodiscard]] std::uint64_t HashOf(const FlowKey& aKey) noexcept;

} // namespace cornelshore

#endif
