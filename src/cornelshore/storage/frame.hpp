#ifndef CORNELSHORE_STORAGE_FRAME_HPP
#define CORNELSHORE_STORAGE_FRAME_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <cornelshore/core/hash.hpp>
#include <cornelshore/core/names.hpp>

namespace cornelshore::storage {

/** @brief Kind of a segment frame. */
enum class FrameKind : std::uint8_t
{
  Header, ///< First frame: replica and boot that wrote the segment.
  Write,  ///< One `consensus::Persist`.
  Seal,   ///< Ends the part that was synced before the segment was renamed into
          ///< place.
};

/** @brief One valid frame. */
struct Frame
{
  FrameKind kind_{ FrameKind::Write };
  std::uint64_t synced_{}; ///< Bytes of the segment known to be synced when the
                           ///< frame was written.
  std::string_view payload_;
};

/** @brief Result of scanning a segment. */
enum class ScanOutcome : std::uint8_t
{
  Whole,    ///< Every byte belongs to a valid frame.
  TornTail, ///< The tail is invalid, with no evidence that it was synced.
  Corrupt,  ///< Synced bytes are damaged, moved or missing.
};

/** @brief Names of `ScanOutcome`. */
inline constexpr std::array<EnumName<ScanOutcome>, 3> kScanOutcomeNames{ {
  { ScanOutcome::Whole, "whole" },
  { ScanOutcome::TornTail, "torn_tail" },
  { ScanOutcome::Corrupt, "corrupt" },
} };

/** @brief Frames of a segment up to the first invalid byte. */
struct Scan
{
  ScanOutcome outcome_{ ScanOutcome::Corrupt };
  std::vector<Frame> frames_;
  std::uint64_t validBytes_{};
};

/** @brief Bytes of a frame before its payload. */
inline constexpr std::size_t kFrameHeaderBytes = 40;

/** @brief Maximum payload of a frame, in bytes. */
inline constexpr std::size_t kMaxFrameBytes = 64U << 20U;

namespace internal {

inline constexpr std::uint32_t kFrameMagic = 0x4C534E43U;
inline constexpr std::size_t kChecksumOffset = 32;

template<typename Value>
void
Store(std::string& aOut, Value aValue)
{
  for (std::size_t byte = 0; byte < sizeof(Value); ++byte) {
    aOut.push_back(static_cast<char>((aValue >> (8 * byte)) & 0xFFU));
  }
}

template<typename Value>
Value
Load(std::string_view aBytes, std::size_t aOffset)
{
  Value value = 0;
  for (std::size_t byte = 0; byte < sizeof(Value); ++byte) {
    const auto part = static_cast<std::uint8_t>(aBytes[aOffset + byte]);
    value = static_cast<Value>(value | (Value{ part } << (8 * byte)));
  }
  return value;
}

inline std::uint64_t
ChecksumOf(std::string_view aHead,
           std::string_view aPayload,
           std::uint64_t aSeed)
{
  return HashPair(HashText(aHead, aSeed), HashText(aPayload, aSeed));
}

} // namespace internal

/**
 * @brief Encodes a frame.
 * @param aSeed Checksum seed of the segment; a frame is invalid in any other.
 * @param aPosition Offset of the frame in the segment, in bytes.
 */
inline std::string
MakeFrame(std::uint64_t aSeed, std::uint64_t aPosition, const Frame& aFrame)
{
  std::string out;
  out.reserve(kFrameHeaderBytes + aFrame.payload_.size());
  internal::Store(out, internal::kFrameMagic);
  internal::Store(out, static_cast<std::uint32_t>(aFrame.payload_.size()));
  internal::Store(out, aPosition);
  internal::Store(out, aFrame.synced_);
  internal::Store(out, static_cast<std::uint64_t>(aFrame.kind_));
  internal::Store(out, internal::ChecksumOf(out, aFrame.payload_, aSeed));
  out.append(aFrame.payload_);
  return out;
}

/** @brief Decodes the frame at an offset of a segment, if it is valid. */
inline std::optional<Frame>
DecodeFrame(std::string_view aSegment, std::size_t aOffset, std::uint64_t aSeed)
{
  const auto rest = aSegment.substr(aOffset);
  if (rest.size() < kFrameHeaderBytes ||
      internal::Load<std::uint32_t>(rest, 0) != internal::kFrameMagic) {
    return std::nullopt;
  }
  const auto length = internal::Load<std::uint32_t>(rest, 4);
  const auto kind = internal::Load<std::uint64_t>(rest, 24);
  if (length > rest.size() - kFrameHeaderBytes ||
      internal::Load<std::uint64_t>(rest, 8) != aOffset ||
      kind > static_cast<std::uint64_t>(FrameKind::Seal)) {
    return std::nullopt;
  }
  const auto payload = rest.substr(kFrameHeaderBytes, length);
  const auto checksum =
    internal::Load<std::uint64_t>(rest, internal::kChecksumOffset);
  const auto head = rest.substr(0, internal::kChecksumOffset);
  if (checksum != internal::ChecksumOf(head, payload, aSeed)) {
    return std::nullopt;
  }
  return Frame{ static_cast<FrameKind>(kind),
                internal::Load<std::uint64_t>(rest, 16),
                payload };
}

/**
 * @brief Scans the frames of a segment from an offset on.
 *
 * A crash may leave later parts of the unsynced tail on disk without earlier
 * ones. A valid frame after the first damage that was written when the damaged
 * bytes were already synced shows that synced bytes are damaged.
 */
inline Scan
ScanFrames(std::string_view aSegment, std::size_t aFrom, std::uint64_t aSeed)
{
  Scan scan;
  std::size_t offset = aFrom;
  bool sealed = false;
  while (const auto frame = DecodeFrame(aSegment, offset, aSeed)) {
    sealed = sealed || frame->kind_ == FrameKind::Seal;
    scan.frames_.push_back(*frame);
    offset += kFrameHeaderBytes + frame->payload_.size();
  }
  scan.validBytes_ = offset;
  if (!sealed) {
    return scan;
  }
  if (offset == aSegment.size()) {
    scan.outcome_ = ScanOutcome::Whole;
    return scan;
  }
  scan.outcome_ = ScanOutcome::TornTail;
  for (auto candidate = offset + 1;
       candidate + kFrameHeaderBytes <= aSegment.size();
       ++candidate) {
    const auto frame = DecodeFrame(aSegment, candidate, aSeed);
    if (frame && frame->synced_ > offset) {
      scan.outcome_ = ScanOutcome::Corrupt;
    }
  }
  return scan;
}

} // namespace cornelshore::storage

#endif
