#include <cornelshore/dissemination/digest_tree.hpp>

#include <array>

#include <cornelshore/core/hash.hpp>

namespace cornelshore::dissemination {

namespace {

constexpr std::uint64_t kLeafSeed = 0x6C656166U;
constexpr std::array<std::size_t, 4> kLevelOffset{ 0, 1, 17, 273 };
constexpr std::size_t kHashes = 273 + DigestTree::kLeaves;
constexpr unsigned kBitsALevel = 4;

std::size_t
Position(std::uint8_t aLevel, std::uint16_t aIndex)
{
  return kLevelOffset.at(aLevel) + aIndex;
}

} // namespace

std::uint64_t
HashOf(NodeId aSubject, const membership::RecordVersion& aVersion) noexcept
{
  const auto sequence = aVersion.sequence_ * 2 + (aVersion.gone_ ? 1 : 0);
  return HashPair(aSubject.value_,
                  HashPair(aVersion.incarnation_.value_, sequence));
}

DigestTree::DigestTree()
  : hashes_(kHashes)
{
}

void
DigestTree::Toggle(NodeId aSubject,
                   const membership::RecordVersion& aVersion) noexcept
{
  const auto hash = HashOf(aSubject, aVersion);
  auto index = LeafOf(aSubject);
  for (int level = kLeafLevel; level >= 0; --level) {
    hashes_[Position(static_cast<std::uint8_t>(level), index)] ^= hash;
    index = static_cast<std::uint16_t>(index >> kBitsALevel);
  }
}

std::uint64_t
DigestTree::Root() const noexcept
{
  return hashes_.front();
}

TreeChildren
DigestTree::ChildrenOf(std::uint8_t aLevel, std::uint16_t aIndex) const
{
  TreeChildren children{ aLevel, aIndex, {} };
  const auto first = Position(static_cast<std::uint8_t>(aLevel + 1),
                              static_cast<std::uint16_t>(aIndex * kTreeFanout));
  for (std::size_t child = 0; child < kTreeFanout; ++child) {
    children.hashes_.at(child) =
      static_cast<std::uint32_t>(hashes_[first + child]);
  }
  return children;
}

std::uint16_t
DigestTree::LeafOf(NodeId aSubject) noexcept
{
  return static_cast<std::uint16_t>(HashPair(aSubject.value_, kLeafSeed) %
                                    kLeaves);
}

} // namespace cornelshore::dissemination
