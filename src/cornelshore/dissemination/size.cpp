#include <cornelshore/dissemination/size.hpp>

namespace cornelshore::dissemination {

namespace {

constexpr std::size_t kDatagramBytes = 28 + 42;
constexpr std::size_t kHeaderBytes = 92;
constexpr std::size_t kPeerBytes = 66;
constexpr std::size_t kPieceHeadBytes = 42;
constexpr std::size_t kWantBytes = 33;
constexpr std::size_t kLeafBytes = 6;
constexpr std::size_t kLeafEntryBytes = 22;
constexpr std::size_t kHostBytes = 78;
constexpr std::size_t kSparseBits = 63;
constexpr std::size_t kDenseBytes = 128;

} // namespace

std::size_t
BytesOf(const HostRecord& aRecord) noexcept
{
  const auto bits = aRecord.held_.count();
  return kHostBytes + (bits <= kSparseBits ? 2 * bits : kDenseBytes);
}

std::size_t
BytesOfPeer() noexcept
{
  return kPeerBytes;
}

std::size_t
BytesOf(const ConfigPiece& aPiece) noexcept
{
  return kPieceHeadBytes + aPiece.bytes_.size();
}

std::size_t
BytesOf(const Leaf& aLeaf) noexcept
{
  return kLeafBytes + aLeaf.entries_.size() * kLeafEntryBytes;
}

std::size_t
PayloadBytesOf(const Message& aMessage) noexcept
{
  std::size_t bytes = kHeaderBytes;
  for (const auto& update : aMessage.hosts_) {
    bytes += BytesOf(update.record_);
  }
  for (const auto& piece : aMessage.pieces_) {
    bytes += BytesOf(piece);
  }
  for (const auto& leaf : aMessage.leaves_) {
    bytes += BytesOf(leaf);
  }
  bytes += aMessage.peers_.size() * kPeerBytes;
  bytes += aMessage.want_.has_value() ? kWantBytes : 0;
  bytes += aMessage.hashes_.size() * kHashBytes;
  bytes += aMessage.wants_.size() * kSubjectBytes;
  return bytes;
}

std::size_t
DatagramBytesOf(const Message& aMessage) noexcept
{
  return kDatagramBytes + PayloadBytesOf(aMessage);
}

} // namespace cornelshore::dissemination
