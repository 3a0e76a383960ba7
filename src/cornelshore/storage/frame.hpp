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

/** @brief What a frame of a segment holds. */
enum class FrameKind : std::uint8_t
{
  Header, ///< First frame: whose segment it is.
  Write,  ///< One `consensus::Persist`.
  Seal,   ///< Ends the part that was synced before the segment got its name.
};

/** @brief One valid frame. */
struct Frame
{
  FrameKind kind_{ FrameKind::Write };
  std::uint64_t synced_{}; ///< Bytes known synced when it was written.
  std::string_view payload_;
};

/** @brief What reading a whole segment found. */
enum class ScanOutcome : std::uint8_t
{
  Whole,    ///< Every byte belongs to a valid frame.
  TornTail, ///< The end is invalid and nothing shows that it was synced.
  Corrupt,  ///< What had been synced is damaged, moved or missing.
};

/** @brief Names of `ScanOutcome`. */
inline constexpr std::array<EnumName<ScanOutcome>, 3> kScanOutcomeNames{ {
  { ScanOutcome::Whole, "whole" },
  { ScanOutcome::TornTail, "torn_tail" },
  { ScanOutcome::Corrupt, "corrupt" },
} };

/** @brief A segment's frames up to the first invalid byte. */
struct Scan
{
  ScanOutcome outcome_{ ScanOutcome::Corrupt };
  std::vector<Frame> frames_;
  std::uint64_t validBytes_{};
};

/** @brief Bytes before a frame's payload. */
inline constexpr std::size_t kFrameHeaderBytes = 40;

/** @brief Most bytes of one frame's payload. */
inline constexpr std::size_t kMaxFrameBytes = 64U << 20U;

namespace internal {

inline constexpr std::uint32_t kFrameMagic = 0x4C534E43U;
inline constexpr std::size_t kChecksumAt = 32;

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
Load(std::string_view aBytes, std::size_t aAt)
{
  Value value = 0;
  for (std::size_t byte = 0; byte < sizeof(Value); ++byte) {
    const auto part = static_cast<std::uint8_t>(aBytes[aAt + byte]);
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
 * @brief Makes a frame.
 * @param aSeed Of the segment: a frame is valid in no other one.
 * @param aPosition Where in the segment the frame starts, in bytes.
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

/** @brief The frame at a position of a segment, when a valid one is there. */
inline std::optional<Frame>
DecodeFrame(std::string_view aSegment, std::size_t aAt, std::uint64_t aSeed)
{
  const auto rest = aSegment.substr(aAt);
  if (rest.size() < kFrameHeaderBytes ||
      internal::Load<std::uint32_t>(rest, 0) != internal::kFrameMagic) {
    return std::nullopt;
  }
  const auto length = internal::Load<std::uint32_t>(rest, 4);
  const auto kind = internal::Load<std::uint64_t>(rest, 24);
  if (length > rest.size() - kFrameHeaderBytes ||
      internal::Load<std::uint64_t>(rest, 8) != aAt ||
      kind > static_cast<std::uint64_t>(FrameKind::Seal)) {
    return std::nullopt;
  }
  const auto payload = rest.substr(kFrameHeaderBytes, length);
  const auto checksum =
    internal::Load<std::uint64_t>(rest, internal::kChecksumAt);
  const auto head = rest.substr(0, internal::kChecksumAt);
  if (checksum != internal::ChecksumOf(head, payload, aSeed)) {
    return std::nullopt;
  }
  return Frame{ static_cast<FrameKind>(kind),
                internal::Load<std::uint64_t>(rest, 16),
                payload };
}

/**
 * @brief Reads the frames of a segment from a position on.
 *
 * A crash may leave the end of the unsynced part out of order; a valid frame
 * beyond the first damage that was written after the damaged bytes had been
 * synced proves that synced bytes are damaged.
 */
inline Scan
ScanFrames(std::string_view aSegment, std::size_t aFrom, std::uint64_t aSeed)
{
  Scan scan;
  std::size_t at = aFrom;
  bool sealed = false;
  while (const auto frame = DecodeFrame(aSegment, at, aSeed)) {
    sealed = sealed || frame->kind_ == FrameKind::Seal;
    scan.frames_.push_back(*frame);
    at += kFrameHeaderBytes + frame->payload_.size();
  }
  scan.validBytes_ = at;
  if (!sealed) {
    return scan;
  }
  if (at == aSegment.size()) {
    scan.outcome_ = ScanOutcome::Whole;
    return scan;
  }
  scan.outcome_ = ScanOutcome::TornTail;
  for (auto later = at + 1; later + kFrameHeaderBytes <= aSegment.size();
       ++later) {
    const auto frame = DecodeFrame(aSegment, later, aSeed);
    if (frame && frame->synced_ > at) {
      scan.outcome_ = ScanOutcome::Corrupt;
    }
  }
  return scan;
}

} // namespace cornelshore::storage

#endif
