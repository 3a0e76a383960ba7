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
 * @brief Cache of the addresses of recent senders, with bounded size.
 *
 * When the recent half is full, it replaces the previous half, whose entries
 * are evicted.
 */
class AddressBook
{
public:
  static constexpr std::size_t kMaxEntries = 8192;

  /** @brief Stores the address of an authenticated sender. */
  void Insert(NodeId aNode, const Address& aAddress)
  {
    if (recent_.size() >= kMaxEntries / 2) {
      previous_ = std::move(recent_);
      recent_.clear();
    }
    recent_[aNode] = aAddress;
  }

  [[nodiscard]] std::optional<Address> Find(NodeId aNode) const
  {
    for (const auto* part : { &recent_, &previous_ }) {
      const auto found = part->find(aNode);
      if (found != part->end()) {
        return found->second;
      }
    }
    return std::nullopt;
  }

private:
  absl::flat_hash_map<NodeId, Address> recent_;
  absl::flat_hash_map<NodeId, Address> previous_;
};

} // namespace cornelshore::role::internal

#endif
