#include <cornelshore/dissemination/config_store.hpp>

#include <algorithm>
#include <utility>

#include <cornelshore/core/hash.hpp>
#include <cornelshore/dissemination/delta.hpp>
#include <cornelshore/dissemination/size.hpp>

namespace cornelshore::dissemination {

namespace {

std::uint64_t
ChecksumOf(ConfigVersion aVersion, const std::string& aBytes)
{
  return HashText(aBytes, aVersion.value_);
}

std::size_t
PiecesIn(std::size_t aBytes)
{
  return std::max<std::size_t>((aBytes + kChunkBytes - 1) / kChunkBytes, 1);
}

} // namespace

bool
ConfigStore::Accept(ConfigVersion aVersion, std::string aBytes)
{
  if (aVersion <= Version() || aBytes.size() > kMaxConfigBytes) {
    return false;
  }
  if (!images_.empty()) {
    auto delta = MakeDelta(Bytes(), aBytes);
    if (delta.size() < aBytes.size()) {
      const auto checksum = ChecksumOf(aVersion, aBytes);
      Remember({ Version(), aVersion, checksum, std::move(delta) });
    }
  }
  Install(aVersion, std::move(aBytes));
  return true;
}

bool
ConfigStore::Take(const ConfigChunk& aPiece)
{
  const bool whole = aPiece.base_ == ConfigVersion{};
  const auto size = std::size_t{ aPiece.size_ };
  const auto index = aPiece.offset_ / kChunkBytes;
  const auto expected =
    std::min(kChunkBytes, size - std::min<std::size_t>(size, aPiece.offset_));
  if (aPiece.version_ <= Version() || size > kMaxConfigBytes ||
      aPiece.offset_ % kChunkBytes != 0 || index >= PiecesIn(size) ||
      aPiece.bytes_.size() != expected ||
      (!whole && aPiece.base_ != Version())) {
    return false;
  }
  auto& slot = whole ? whole_ : delta_;
  const auto same = [&aPiece, size](const Assembly& aAssembly) {
    const auto& blob = aAssembly.blob_;
    return blob.base_ == aPiece.base_ && blob.version_ == aPiece.version_ &&
           blob.checksum_ == aPiece.checksum_ && blob.bytes_.size() == size;
  };
  if (slot && !same(*slot) && slot->blob_.version_ >= aPiece.version_) {
    return false;
  }
  if (!slot || !same(*slot)) {
    slot = Assembly{ { aPiece.base_,
                       aPiece.version_,
                       aPiece.checksum_,
                       std::string(size, '\0') },
                     std::vector<bool>(PiecesIn(size)),
                     PiecesIn(size) };
  }
  if (!slot->have_[index]) {
    slot->have_[index] = true;
    --slot->missing_;
    std::copy(aPiece.bytes_.begin(),
              aPiece.bytes_.end(),
              slot->blob_.bytes_.begin() + aPiece.offset_);
  }
  if (slot->missing_ > 0) {
    return false;
  }
  auto blob = std::move(slot->blob_);
  slot.reset();
  return Complete(std::move(blob));
}

bool
ConfigStore::Complete(Blob aBlob)
{
  const bool whole = aBlob.base_ == ConfigVersion{};
  auto bytes = whole ? std::optional<std::string>(std::move(aBlob.bytes_))
                     : ApplyDelta(Bytes(), aBlob.bytes_, kMaxConfigBytes);
  if (!bytes || ChecksumOf(aBlob.version_, *bytes) != aBlob.checksum_) {
    ++refused_;
    return false;
  }
  const auto version = aBlob.version_;
  if (!whole) {
    Remember(std::move(aBlob));
  }
  Install(version, *std::move(bytes));
  return true;
}

void
ConfigStore::Install(ConfigVersion aVersion, std::string aBytes)
{
  images_.push_back({ aVersion, std::move(aBytes) });
  if (images_.size() > kImages) {
    images_.pop_front();
  }
  const auto stale = [aVersion](const std::optional<Assembly>& aSlot) {
    return aSlot && (aSlot->blob_.version_ <= aVersion ||
                     (aSlot->blob_.base_ != ConfigVersion{} &&
                      aSlot->blob_.base_ != aVersion));
  };
  if (stale(whole_)) {
    whole_.reset();
  }
  if (stale(delta_)) {
    delta_.reset();
  }
}

void
ConfigStore::Remember(Blob aDelta)
{
  deltaBytes_ += aDelta.bytes_.size();
  deltas_.push_back(std::move(aDelta));
  while (deltas_.size() > kMostDeltas || deltaBytes_ > kMostDeltaBytes) {
    deltaBytes_ -= deltas_.front().bytes_.size();
    deltas_.pop_front();
  }
}

ConfigRequest
ConfigStore::Missing() const
{
  ConfigRequest want;
  want.held_ = Version();
  const auto& slot = delta_ ? delta_ : whole_;
  if (slot) {
    want.base_ = slot->blob_.base_;
    want.version_ = slot->blob_.version_;
    const auto missing =
      std::find(slot->have_.begin(), slot->have_.end(), false);
    want.offset_ = static_cast<std::uint32_t>(
      static_cast<std::size_t>(missing - slot->have_.begin()) * kChunkBytes);
  }
  return want;
}

bool
ConfigStore::Assembling() const noexcept
{
  return whole_.has_value() || delta_.has_value();
}

std::vector<ConfigChunk>
ConfigStore::PiecesFor(const ConfigRequest& aWant, std::size_t aMostBytes) const
{
  std::vector<ConfigChunk> pieces;
  if (aWant.held_ >= Version()) {
    return pieces;
  }
  if (aWant.version_ != ConfigVersion{}) {
    for (const auto& image : images_) {
      if (aWant.base_ == ConfigVersion{} && image.version_ == aWant.version_) {
        Append(BlobOf(image), aWant.offset_, aMostBytes, pieces);
        return pieces;
      }
    }
    for (const auto& delta : deltas_) {
      if (aWant.base_ == delta.base_ && aWant.version_ == delta.version_) {
        Append(delta, aWant.offset_, aMostBytes, pieces);
        return pieces;
      }
    }
  }
  const auto first = ChainFrom(aWant.held_);
  if (!first) {
    Append(BlobOf(images_.back()), 0, aMostBytes, pieces);
    return pieces;
  }
  std::size_t spent = 0;
  for (auto index = *first; index < deltas_.size(); ++index) {
    const auto before = pieces.size();
    Append(deltas_[index], 0, aMostBytes - spent, pieces);
    if (pieces.size() == before) {
      break;
    }
    for (auto piece = before; piece < pieces.size(); ++piece) {
      spent += BytesOf(pieces[piece]);
    }
  }
  return pieces;
}

std::optional<std::size_t>
ConfigStore::ChainFrom(ConfigVersion aBase) const
{
  if (deltas_.empty() || deltas_.back().version_ != Version()) {
    return std::nullopt;
  }
  std::size_t bytes = 0;
  for (auto index = deltas_.size(); index-- > 0;) {
    bytes += BytesOf(PieceOf(deltas_[index], 0));
    if (bytes >= Bytes().size() + kChunkBytes) {
      return std::nullopt;
    }
    if (deltas_[index].base_ == aBase) {
      return index;
    }
    if (index == 0 || deltas_[index - 1].version_ != deltas_[index].base_) {
      return std::nullopt;
    }
  }
  return std::nullopt;
}

ConfigChunk
ConfigStore::PieceOf(const Blob& aBlob, std::size_t aOffset)
{
  return { aBlob.base_,
           aBlob.version_,
           static_cast<std::uint32_t>(aBlob.bytes_.size()),
           aBlob.checksum_,
           static_cast<std::uint32_t>(aOffset),
           aBlob.bytes_.substr(std::min(aOffset, aBlob.bytes_.size()),
                               kChunkBytes) };
}

void
ConfigStore::Append(const Blob& aBlob,
                    std::size_t aOffset,
                    std::size_t aMostBytes,
                    std::vector<ConfigChunk>& aPieces)
{
  std::size_t spent = 0;
  auto offset = aOffset - aOffset % kChunkBytes;
  do {
    auto piece = PieceOf(aBlob, offset);
    spent += BytesOf(piece);
    if (spent > aMostBytes) {
      return;
    }
    aPieces.push_back(std::move(piece));
    offset += kChunkBytes;
  } while (offset < aBlob.bytes_.size());
}

ConfigStore::Blob
ConfigStore::BlobOf(const Image& aImage) const
{
  return { {},
           aImage.version_,
           ChecksumOf(aImage.version_, aImage.bytes_),
           aImage.bytes_ };
}

ConfigVersion
ConfigStore::Version() const noexcept
{
  return images_.empty() ? ConfigVersion{} : images_.back().version_;
}

ConfigVersion
ConfigStore::Base() const noexcept
{
  const bool current = !deltas_.empty() && deltas_.back().version_ == Version();
  return current ? deltas_.back().base_ : ConfigVersion{};
}

const std::string&
ConfigStore::Bytes() const noexcept
{
  static const std::string kNone;
  return images_.empty() ? kNone : images_.back().bytes_;
}

} // namespace cornelshore::dissemination
