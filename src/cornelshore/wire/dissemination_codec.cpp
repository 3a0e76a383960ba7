#include <cornelshore/wire/dissemination_codec.hpp>

#include <algorithm>
#include <string>

#include <cornelshore/dissemination/digest_tree.hpp>
#include <cornelshore/wire/membership_codec.hpp>

namespace cornelshore::wire {

using dissemination::ConfigChunk;
using dissemination::ConfigRequest;
using dissemination::Confirmation;
using dissemination::DigestTree;
using dissemination::Header;
using dissemination::HostUpdate;
using dissemination::Leaf;
using dissemination::LeafEntry;
using dissemination::Message;
using dissemination::MessageKind;
using dissemination::PeerUpdate;
using dissemination::SnapshotBatch;
using dissemination::TreeChildren;

namespace {

using Milliseconds = std::chrono::milliseconds;

constexpr Milliseconds kMostAge = std::chrono::hours(24 * 365);

/** Ages travel in whole milliseconds, rounded up. */
void
Put(Writer& aWriter, Duration aAge)
{
  const auto age = std::chrono::ceil<Milliseconds>(aAge);
  aWriter.Uint(static_cast<std::uint64_t>(
    std::clamp(age, Milliseconds::zero(), kMostAge).count()));
}

void
Take(Reader& aReader, Duration& aAge)
{
  aAge = Milliseconds{ static_cast<std::int64_t>(
    aReader.Uint(static_cast<std::uint64_t>(kMostAge.count()))) };
}

void
Put(Writer& aWriter, const Header& aHeader)
{
  aWriter.Write(aHeader.incarnation_);
  aWriter.Write(aHeader.receiver_);
  aWriter.Uint(static_cast<std::uint8_t>(aHeader.role_));
  aWriter.Write(aHeader.dataCentre_);
  aWriter.Write(aHeader.scope_);
  aWriter.Uint(static_cast<std::uint8_t>(aHeader.kind_));
  aWriter.Bool(aHeader.compare_);
  aWriter.Uint(aHeader.digest_);
  aWriter.Write(aHeader.config_);
  aWriter.Bool(aHeader.inForce_);
  Put(aWriter, aHeader.syncAge_);
  aWriter.Bool(aHeader.confirmation_.has_value());
  if (aHeader.confirmation_) {
    aWriter.Write(aHeader.confirmation_->version_);
    aWriter.Uint(aHeader.confirmation_->term_);
    Put(aWriter, aHeader.confirmation_->age_);
  }
}

void
Take(Reader& aReader, Header& aHeader)
{
  aReader.Read(aHeader.incarnation_);
  aReader.Read(aHeader.receiver_);
  aHeader.role_ = aReader.Enumerator(membership::NodeRole::Control);
  aReader.Read(aHeader.dataCentre_);
  aReader.Read(aHeader.scope_);
  aHeader.kind_ = aReader.Enumerator(MessageKind::Push);
  aHeader.compare_ = aReader.Bool();
  aHeader.digest_ = aReader.Uint();
  aReader.Read(aHeader.config_);
  aHeader.inForce_ = aReader.Bool();
  Take(aReader, aHeader.syncAge_);
  if (aReader.Bool()) {
    Confirmation confirmation;
    aReader.Read(confirmation.version_);
    confirmation.term_ = aReader.Uint();
    Take(aReader, confirmation.age_);
    aHeader.confirmation_ = confirmation;
  }
}

void
Put(Writer& aWriter, const HostUpdate& aUpdate)
{
  Encode(aWriter, aUpdate.record_);
  Put(aWriter, aUpdate.age_);
}

void
Take(Reader& aReader, HostUpdate& aUpdate)
{
  Decode(aReader, aUpdate.record_);
  Take(aReader, aUpdate.age_);
}

void
Put(Writer& aWriter, const PeerUpdate& aUpdate)
{
  Encode(aWriter, aUpdate.record_);
  Put(aWriter, aUpdate.age_);
}

void
Take(Reader& aReader, PeerUpdate& aUpdate)
{
  Decode(aReader, aUpdate.record_);
  Take(aReader, aUpdate.age_);
}

void
Put(Writer& aWriter, const ConfigChunk& aPiece)
{
  aWriter.Write(aPiece.base_);
  aWriter.Write(aPiece.version_);
  aWriter.Uint(aPiece.size_);
  aWriter.Uint(aPiece.checksum_);
  aWriter.Uint(aPiece.offset_);
  aWriter.Bytes(aPiece.bytes_);
}

void
Take(Reader& aReader, ConfigChunk& aPiece)
{
  aReader.Read(aPiece.base_);
  aReader.Read(aPiece.version_);
  aPiece.size_ = aReader.Number<std::uint32_t>();
  aPiece.checksum_ = aReader.Uint();
  aPiece.offset_ = aReader.Number<std::uint32_t>();
  aPiece.bytes_ = aReader.Bytes(dissemination::kChunkBytes);
}

void
Put(Writer& aWriter, const TreeChildren& aChildren)
{
  aWriter.Uint(aChildren.level_);
  aWriter.Uint(aChildren.index_);
  std::string bytes;
  for (const auto hash : aChildren.hashes_) {
    for (std::size_t byte = 0; byte < sizeof(hash); ++byte) {
      bytes.push_back(static_cast<char>(hash >> 8U * byte));
    }
  }
  aWriter.Bytes(bytes);
}

void
Take(Reader& aReader, TreeChildren& aChildren)
{
  aChildren.level_ =
    static_cast<std::uint8_t>(aReader.Uint(DigestTree::kLeafLevel - 1U));
  aChildren.index_ = static_cast<std::uint16_t>(
    aReader.Uint(DigestTree::SizeOf(aChildren.level_) - 1U));
  constexpr auto kHashBytes = sizeof(std::uint32_t);
  const auto bytes = aReader.Bytes(kHashBytes * dissemination::kTreeFanout);
  if (bytes.size() != kHashBytes * dissemination::kTreeFanout) {
    aReader.Fail();
    return;
  }
  for (std::size_t index = 0; index < bytes.size(); ++index) {
    const auto byte = std::uint32_t{ static_cast<std::uint8_t>(bytes[index]) };
    aChildren.hashes_.at(index / kHashBytes) |= byte
                                                << 8U * (index % kHashBytes);
  }
}

void
Put(Writer& aWriter, const LeafEntry& aEntry)
{
  aWriter.Write(aEntry.id_);
  aWriter.Write(aEntry.version_.incarnation_);
  aWriter.Uint(aEntry.version_.sequence_);
  aWriter.Bool(aEntry.version_.gone_);
}

void
Take(Reader& aReader, LeafEntry& aEntry)
{
  aReader.Read(aEntry.id_);
  aReader.Read(aEntry.version_.incarnation_);
  aEntry.version_.sequence_ = aReader.Uint();
  aEntry.version_.gone_ = aReader.Bool();
}

void
Put(Writer& aWriter, NodeId aSubject)
{
  aWriter.Write(aSubject);
}

void
Take(Reader& aReader, NodeId& aSubject)
{
  aReader.Read(aSubject);
}

void Put(Writer& aWriter, const Leaf& aLeaf);
void Take(Reader& aReader, Leaf& aLeaf);

template<typename Item>
void
PutList(Writer& aWriter, const std::vector<Item>& aItems)
{
  aWriter.List(aItems.size());
  for (const auto& item : aItems) {
    Put(aWriter, item);
  }
}

template<typename Item>
void
TakeList(Reader& aReader, std::vector<Item>& aItems, std::size_t aMost)
{
  const auto count = aReader.List(aMost);
  for (std::size_t index = 0; index < count && aReader.Good(); ++index) {
    Take(aReader, aItems.emplace_back());
  }
}

void
Put(Writer& aWriter, const Leaf& aLeaf)
{
  aWriter.Uint(aLeaf.index_);
  PutList(aWriter, aLeaf.entries_);
}

void
Take(Reader& aReader, Leaf& aLeaf)
{
  aLeaf.index_ =
    static_cast<std::uint16_t>(aReader.Uint(DigestTree::kLeaves - 1U));
  TakeList(aReader, aLeaf.entries_, dissemination::kMaxLeafEntries);
}

/** Written only when there is something: earlier releases do not know it and
 * refuse a message that goes on after its lists. */
void
PutSnapshot(Writer& aWriter, const Message& aMessage)
{
  aWriter.Bool(aMessage.snapshotRequest_.has_value());
  if (aMessage.snapshotRequest_) {
    aWriter.Uint(*aMessage.snapshotRequest_);
  }
  aWriter.Bool(aMessage.snapshotBatch_.has_value());
  if (aMessage.snapshotBatch_) {
    aWriter.Uint(aMessage.snapshotBatch_->first_);
    aWriter.Uint(aMessage.snapshotBatch_->next_);
    aWriter.Uint(aMessage.snapshotBatch_->records_);
  }
}

void
TakeSnapshot(Reader& aReader, Message& aMessage)
{
  const auto leaf = [&aReader](std::uint16_t aLast) {
    return static_cast<std::uint16_t>(aReader.Uint(aLast));
  };
  if (aReader.Bool()) {
    aMessage.snapshotRequest_ = leaf(DigestTree::kLeaves - 1U);
  }
  if (aReader.Bool()) {
    SnapshotBatch batch;
    batch.first_ = leaf(DigestTree::kLeaves - 1U);
    batch.next_ = leaf(DigestTree::kLeaves);
    batch.records_ = aReader.Number<std::uint16_t>();
    aMessage.snapshotBatch_ = batch;
  }
}

} // namespace

void
Encode(Writer& aWriter, const Message& aMessage)
{
  Put(aWriter, aMessage.header_);
  PutList(aWriter, aMessage.hosts_);
  PutList(aWriter, aMessage.peers_);
  PutList(aWriter, aMessage.chunks_);
  aWriter.Bool(aMessage.configRequest_.has_value());
  if (aMessage.configRequest_) {
    aWriter.Write(aMessage.configRequest_->held_);
    aWriter.Write(aMessage.configRequest_->base_);
    aWriter.Write(aMessage.configRequest_->version_);
    aWriter.Uint(aMessage.configRequest_->offset_);
  }
  PutList(aWriter, aMessage.hashes_);
  PutList(aWriter, aMessage.leaves_);
  PutList(aWriter, aMessage.requestedRecords_);
  if (aMessage.snapshotRequest_ || aMessage.snapshotBatch_) {
    PutSnapshot(aWriter, aMessage);
  }
}

absl::StatusOr<Message>
DecodeDissemination(Reader& aReader)
{
  constexpr auto kMost = dissemination::kMaxItems;
  Message message;
  Take(aReader, message.header_);
  TakeList(aReader, message.hosts_, kMost);
  TakeList(aReader, message.peers_, kMost);
  TakeList(aReader, message.chunks_, kMost);
  if (aReader.Bool()) {
    ConfigRequest want;
    aReader.Read(want.held_);
    aReader.Read(want.base_);
    aReader.Read(want.version_);
    want.offset_ = aReader.Number<std::uint32_t>();
    message.configRequest_ = want;
  }
  TakeList(aReader, message.hashes_, kMost);
  TakeList(aReader, message.leaves_, kMost);
  TakeList(aReader, message.requestedRecords_, kMost);
  if (!aReader.Rest().empty()) {
    TakeSnapshot(aReader, message);
  }
  const auto status = aReader.Finish();
  if (!status.ok()) {
    return status;
  }
  return message;
}

} // namespace cornelshore::wire
