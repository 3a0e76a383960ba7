#include <cornelshore/dissemination/size.hpp>

#include <algorithm>
#include <vector>

namespace cornelshore::dissemination {

namespace {

constexpr std::size_t kDatagramBytes = 28 + 42;
constexpr std::size_t kBoolBytes = 1;
constexpr std::size_t kEnumBytes = 1;
constexpr std::size_t kSparseBits = 63;
constexpr std::size_t kDenseBytes = kBucketCount / 8;

/** Bytes of an unsigned integer in MessagePack. */
constexpr std::size_t
Uint(std::uint64_t aValue)
{
  if (aValue < 1U << 7U) {
    return 1;
  }
  if (aValue < 1U << 8U) {
    return 2;
  }
  if (aValue < 1U << 16U) {
    return 3;
  }
  return aValue < std::uint64_t{ 1 } << 32U ? 5 : 9;
}

constexpr std::size_t
Blob(std::size_t aBytes)
{
  return aBytes + (aBytes < 1U << 8U ? 2 : 3);
}

constexpr std::size_t
List(std::size_t aItems)
{
  return aItems < 1U << 4U ? 1 : 3;
}

std::size_t
Age(Duration aAge)
{
  using Milliseconds = std::chrono::milliseconds;
  const auto age = std::chrono::ceil<Milliseconds>(aAge).count();
  return Uint(static_cast<std::uint64_t>(std::max<std::int64_t>(age, 0)));
}

std::size_t
Place(const Address& aAddress)
{
  return Blob(aAddress.ip_.size()) + Uint(aAddress.port_);
}

std::size_t
HeaderBytes(const Header& aHeader)
{
  auto bytes = Uint(aHeader.incarnation_.value_) +
               Uint(aHeader.receiver_.value_) + kEnumBytes +
               Uint(aHeader.dataCentre_.value_) + Uint(aHeader.scope_.value_) +
               kEnumBytes + kBoolBytes + Uint(aHeader.digest_) +
               Uint(aHeader.config_.value_) + kBoolBytes +
               Age(aHeader.syncAge_) + kBoolBytes;
  if (const auto& confirmation = aHeader.confirmation_) {
    bytes += Uint(confirmation->version_.value_) + Uint(confirmation->term_) +
             Age(confirmation->age_);
  }
  return bytes;
}

std::size_t
RequestBytes(const ConfigRequest& aRequest)
{
  return Uint(aRequest.held_.value_) + Uint(aRequest.base_.value_) +
         Uint(aRequest.version_.value_) + Uint(aRequest.offset_);
}

std::size_t
SnapshotBytes(const Message& aMessage)
{
  if (!aMessage.snapshotRequest_ && !aMessage.snapshotBatch_) {
    return 0;
  }
  auto bytes = 2 * kBoolBytes;
  if (aMessage.snapshotRequest_) {
    bytes += Uint(*aMessage.snapshotRequest_);
  }
  if (const auto& batch = aMessage.snapshotBatch_) {
    bytes += Uint(batch->first_) + Uint(batch->next_) + Uint(batch->records_);
  }
  return bytes;
}

std::size_t
EntryBytes(const LeafEntry& aEntry)
{
  return Uint(aEntry.id_.value_) + Uint(aEntry.version_.incarnation_.value_) +
         Uint(aEntry.version_.sequence_) + kBoolBytes;
}

} // namespace

std::size_t
BytesOf(const HostUpdate& aUpdate) noexcept
{
  const auto& record = aUpdate.record_;
  const auto bits = record.held_.count();
  return Uint(record.id_.value_) + Uint(record.incarnation_.value_) +
         Uint(record.sequence_) + Uint(record.service_.value_) +
         Uint(record.dataCentre_.value_) + Place(record.agent_) +
         Uint(record.slots_) + Uint(record.connectionLimit_) + kEnumBytes +
         Blob(bits <= kSparseBits ? 2 * bits : kDenseBytes) + Age(aUpdate.age_);
}

std::size_t
BytesOf(const PeerUpdate& aUpdate) noexcept
{
  const auto& record = aUpdate.record_;
  return Uint(record.id_.value_) + Uint(record.incarnation_.value_) +
         Uint(record.sequence_) + kEnumBytes + Uint(record.dataCentre_.value_) +
         Place(record.address_) + kBoolBytes + Age(aUpdate.age_);
}

std::size_t
BytesOf(const ConfigChunk& aChunk) noexcept
{
  return Uint(aChunk.base_.value_) + Uint(aChunk.version_.value_) +
         Uint(aChunk.size_) + Uint(aChunk.checksum_) + Uint(aChunk.offset_) +
         Blob(aChunk.bytes_.size());
}

std::size_t
BytesOf(const TreeChildren& aChildren) noexcept
{
  return Uint(aChildren.level_) + Uint(aChildren.index_) +
         Blob(kTreeFanout * sizeof(std::uint32_t));
}

std::size_t
BytesOf(const Leaf& aLeaf) noexcept
{
  auto bytes = Uint(aLeaf.index_) + List(aLeaf.entries_.size());
  for (const auto& entry : aLeaf.entries_) {
    bytes += EntryBytes(entry);
  }
  return bytes;
}

std::size_t
BytesOf(NodeId aSubject) noexcept
{
  return Uint(aSubject.value_);
}

namespace {

template<typename Item>
std::size_t
BytesOfList(const std::vector<Item>& aItems)
{
  auto bytes = List(aItems.size());
  for (const auto& item : aItems) {
    bytes += dissemination::BytesOf(item);
  }
  return bytes;
}

} // namespace

std::size_t
PayloadBytesOf(const Message& aMessage) noexcept
{
  return SnapshotBytes(aMessage) + HeaderBytes(aMessage.header_) +
         BytesOfList(aMessage.hosts_) + BytesOfList(aMessage.peers_) +
         BytesOfList(aMessage.chunks_) + kBoolBytes +
         (aMessage.configRequest_ ? RequestBytes(*aMessage.configRequest_)
                                  : 0) +
         BytesOfList(aMessage.hashes_) + BytesOfList(aMessage.leaves_) +
         BytesOfList(aMessage.requestedRecords_);
}

std::size_t
DatagramBytesOf(const Message& aMessage) noexcept
{
  return kDatagramBytes + PayloadBytesOf(aMessage);
}

} // namespace cornelshore::dissemination
