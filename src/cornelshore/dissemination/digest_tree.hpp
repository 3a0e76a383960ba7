#ifndef CORNELSHORE_DISSEMINATION_DIGEST_TREE_HPP
#define CORNELSHORE_DISSEMINATION_DIGEST_TREE_HPP

#include <cstddef>
#include <cstdint>
#include <vector>

#include <cornelshore/core/types.hpp>
#include <cornelshore/dissemination/message.hpp>
#include <cornelshore/membership/record.hpp>

namespace cornelshore::dissemination {

/** @brief Hash of a subject's record at one version. */
[[nodiscard]] std::uint64_t HashOf(
  NodeId aSubject,
  const membership::RecordVersion& aVersion) noexcept;

/**
 * @brief Hash tree over the versions of all records (Merkle, 1987), of four
 * levels with 16 children each.
 *
 * A node's hash is the XOR of its records' hashes, so that one record's change
 * costs one update a level and the order of changes does not matter. Its
 * input is authenticated: the hash detects differences, not forgery.
 */
class DigestTree
{
public:
  static constexpr std::uint8_t kLeafLevel = 3;
  static constexpr std::uint16_t kLeaves = 4096;

  DigestTree();

  /** @brief Adds the hash of a record, or removes it when present. */
  void Toggle(NodeId aSubject,
              const membership::RecordVersion& aVersion) noexcept;

  [[nodiscard]] std::uint64_t Root() const noexcept;

  /** @brief Hashes of the children of a node above the leaves. */
  [[nodiscard]] TreeChildren ChildrenOf(std::uint8_t aLevel,
                                        std::uint16_t aIndex) const;

  /** @brief Number of nodes at a level; 0 is the root's. */
  [[nodiscard]] static constexpr std::uint32_t SizeOf(
    std::uint8_t aLevel) noexcept
  {
    return 1U << 4U * aLevel;
  }

  /** @brief Leaf that a subject belongs to. */
  [[nodiscard]] static std::uint16_t LeafOf(NodeId aSubject) noexcept;

private:
  std::vector<std::uint64_t> hashes_;
};

} // namespace cornelshore::dissemination

#endif
