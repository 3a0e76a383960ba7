#ifndef CORNELSHORE_ROLE_ADDRESS_BOOK_HPP
#define CORNELSHORE_ROLE_ADDRESS_BOOK_HPP

#include <cstddef>
#include <cstdint>
#include <optional>

#include <absl/container/flat_hash_map.h>

#include <cornelshore/core/address.hpp>
#include <cornelshore/core/types.hpp>

namespace cornelshore::role::internal {

/**
 * @brief Addresses of the processes lately heard from.
 *
 * When it is full, the older half is forgotten.
 */
class AddressBook
{
public:
  static constexpr std::size_t kMostEntries = 8192;

  /** @brief Takes note of an authentic sender's address. */
  void Learn(NodeId aNode, const Address& aAddress)
  {
    if (young_.size() >= kMostEntries / 2) {
      old_ = std::move(young_);
      young_.clear();
    }
    young_[aNode] = aAddress;
  }

  [[nodiscard]] std::optional<Address> Find(NodeId aNode) const
  {
    for (const auto* part : { &young_, &old_ }) {
      const auto found = part->find(aNode);
      if (found != part->end()) {
        return found->second;
      }
    }
    return std::nullopt;
  }

private:
  absl::flat_hash_map<NodeId, Address> young_;
  absl::flat_hash_map<NodeId, Address> old_;
};

} // namespace cornelshore::role::internal

#endif
