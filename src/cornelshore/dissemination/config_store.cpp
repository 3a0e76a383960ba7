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
ChunksIn(std::size_t aBytes)
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
ConfigStore::Take(const ConfigChunk& aChunk)
{
  const bool whole = aChunk.base_ == ConfigVersion{};
  const auto size = std::size_t{ aChunk.size_ };
  const auto index = aChunk.offset_ / kChunkBytes;
  const auto expected =
    std::min(kChunkBytes, size - std::min<std::size_t>(size, aChunk.offset_));
  if (aChunk.version_ <= Version() || size > kMaxConfigBytes ||
      aChunk.offset_ % kChunkBytes != 0 || index >= ChunksIn(size) ||
      aChunk.bytes_.size() != expected ||
      (!whole && aChunk.base_ != Version())) {
    return false;
  }
  auto& slot = whole ? whole_ : delta_;
  const auto same = [&aChunk, size](const Assembly& aAssembly) {
    const auto& blob = aAssembly.blob_;
    return blob.base_ == aChunk.base_ && blob.version_ == aChunk.version_ &&
           blob.checksum_ == aChunk.checksum_ && blob.bytes_.size() == size;
  };
  if (slot && !same(*slot) && slot->blob_.version_ >= aChunk.version_) {
    return false;
  }
  if (!slot || !same(*slot)) {
    slot = Assembly{ { aChunk.base_,
                       aChunk.version_,
                       aChunk.checksum_,
                       std::string(size, '\0') },
                     std::vector<bool>(ChunksIn(size)),
                     ChunksIn(size) };
  }
  if (!slot->have_[index]) {
    slot->have_[index] = true;
    ++stored_;
    --slot->missing_;
    std::copy(aChunk.bytes_.begin(),
              aChunk.bytes_.end(),
              slot->blob_.bytes_.begin() + aChunk.offset_);
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
  if (images_.size() > kMaxImages) {
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
  while (deltas_.size() > kMaxDeltas || deltaBytes_ > kMaxDeltaBytes) {
    deltaBytes_ -= deltas_.front().bytes_.size();
    deltas_.pop_front();
  }
}

ConfigRequest
ConfigStore::Missing() const
{
  ConfigRequest request;
  request.held_ = Version();
  const auto& slot = delta_ ? delta_ : whole_;
  if (slot) {
    request.base_ = slot->blob_.base_;
    request.version_ = slot->blob_.version_;
    const auto missing =
      std::find(slot->have_.begin(), slot->have_.end(), false);
    request.offset_ = static_cast<std::uint32_t>(
      static_cast<std::size_t>(missing - slot->have_.begin()) * kChunkBytes);
  }
  return request;
}

bool
ConfigStore::IsAssembling() const noexcept
{
  return whole_.has_value() || delta_.has_value();
}

std::vector<ConfigChunk>
ConfigStore::ChunksFor(const ConfigRequest& aRequest,
                       std::size_t aMaxBytes) const
{
  std::vector<ConfigChunk> chunks;
  if (aRequest.held_ >= Version()) {
    return chunks;
  }
  if (aRequest.version_ != ConfigVersion{}) {
    for (const auto& image : images_) {
      if (aRequest.base_ == ConfigVersion{} &&
          image.version_ == aRequest.version_) {
        Append(BlobOf(image), aRequest.offset_, aMaxBytes, chunks);
        return chunks;
      }
    }
    for (const auto& delta : deltas_) {
      if (aRequest.base_ == delta.base_ &&
          aRequest.version_ == delta.version_) {
        Append(delta, aRequest.offset_, aMaxBytes, chunks);
        return chunks;
      }
    }
  }
  const auto first = ChainFrom(aRequest.held_);
  if (!first) {
    Append(BlobOf(images_.back()), 0, aMaxBytes, chunks);
    return chunks;
  }
  std::size_t spent = 0;
  for (auto index = *first; index < deltas_.size(); ++index) {
    const auto before = chunks.size();
    Append(deltas_[index], 0, aMaxBytes - spent, chunks);
    if (chunks.size() == before) {
      break;
    }
    for (auto chunk = before; chunk < chunks.size(); ++chunk) {
      spent += BytesOf(chunks[chunk]);
    }
  }
  return chunks;
}

std::optional<std::size_t>
ConfigStore::ChainFrom(ConfigVersion aBase) const
{
  if (deltas_.empty() || deltas_.back().version_ != Version()) {
    return std::nullopt;
  }
  std::size_t bytes = 0;
  for (auto index = deltas_.size(); index-- > 0;) {
    bytes += BytesOf(ChunkOf(deltas_[index], 0));
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
ConfigStore::ChunkOf(const Blob& aBlob, std::size_t aOffset)
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
                    std::size_t aMaxBytes,
                    std::vector<ConfigChunk>& aChunks)
{
  std::size_t spent = 0;
  auto offset = aOffset - aOffset % kChunkBytes;
  do {
    auto chunk = ChunkOf(aBlob, offset);
    spent += BytesOf(chunk);
    if (spent > aMaxBytes) {
      return;
    }
    aChunks.push_back(std::move(chunk));
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
