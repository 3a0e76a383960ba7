#include <cornelshore/storage/log.hpp>

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>
#include <vector>

#include <absl/strings/str_cat.h>

#include <cornelshore/core/hash.hpp>
#include <cornelshore/storage/frame.hpp>
#include <cornelshore/wire/consensus_codec.hpp>
#include <cornelshore/wire/reader.hpp>
#include <cornelshore/wire/writer.hpp>

namespace cornelshore::storage {

namespace {

constexpr std::string_view kSegmentPrefix = "log-";
constexpr std::string_view kMarkerName = "synced";
constexpr std::string_view kTemporarySuffix = ".tmp";
constexpr std::uint64_t kHeaderSeed = 0x636F726EU;
constexpr std::uint64_t kMarkerSeed = 0x73796E63U;
constexpr std::uint64_t kMinRewriteThresholdBytes = 64U << 20U;
constexpr std::size_t kMaxEntriesPerFrame = 256;

std::uint64_t
HeaderSeedOf(std::uint64_t aSegment)
{
  return HashPair(kHeaderSeed, aSegment);
}

std::uint64_t
SeedOf(const consensus::ReplicaId& aId, std::uint64_t aSegment)
{
  return HashPair(HashPair(aId.node_.value_, aId.disk_.value_), aSegment);
}

std::optional<std::uint64_t>
SegmentOf(std::string_view aName)
{
  if (!aName.starts_with(kSegmentPrefix)) {
    return std::nullopt;
  }
  aName.remove_prefix(kSegmentPrefix.size());
  std::uint64_t number = 0;
  const auto* end = aName.data() + aName.size();
  const auto parsed = std::from_chars(aName.data(), end, number);
  if (parsed.ec != std::errc{} || parsed.ptr != end) {
    return std::nullopt;
  }
  return number;
}

std::vector<std::uint64_t>
SegmentsIn(const std::vector<std::string>& aNames)
{
  std::vector<std::uint64_t> segments;
  for (const auto& name : aNames) {
    if (const auto segment = SegmentOf(name)) {
      segments.push_back(*segment);
    }
  }
  std::sort(segments.begin(), segments.end());
  return segments;
}

/** Segment and the offset up to which it is known to be synced. */
struct Marker
{
  std::uint64_t segment_{};
  std::uint64_t bytes_{};
};

std::string
EncodeMarker(const Marker& aMarker)
{
  std::string payload;
  internal::Store(payload, aMarker.segment_);
  internal::Store(payload, aMarker.bytes_);
  return MakeFrame(kMarkerSeed, 0, { FrameKind::Header, 0, payload });
}

/** Decodes the marker; all zero if it is invalid. */
Marker
DecodeMarker(std::string_view aContent)
{
  const auto frame = DecodeFrame(aContent, 0, kMarkerSeed);
  if (!frame || frame->payload_.size() != 2 * sizeof(std::uint64_t)) {
    return {};
  }
  return { internal::Load<std::uint64_t>(frame->payload_, 0),
           internal::Load<std::uint64_t>(frame->payload_,
                                         sizeof(std::uint64_t)) };
}

absl::Status
ApplyFrame(const Frame& aFrame, consensus::DurableState& aState)
{
  if (aFrame.kind_ != FrameKind::Write) {
    return absl::OkStatus();
  }
  wire::Reader reader(aFrame.payload_);
  consensus::Persist persist;
  wire::Decode(reader, persist);
  if (!reader.Finish().ok()) {
    return absl::DataLossError("frame payload is not a valid write");
  }
  aState.Apply(persist);
  return absl::OkStatus();
}

} // namespace

Log::Log(std::string aFolder, FileHooks aHooks)
  : folder_(std::move(aFolder))
  , hooks_(std::move(aHooks))
{
}

Log::~Log()
{
  CloseFile(handle_);
  CloseFile(marker_);
  CloseFile(lock_);
}

absl::StatusOr<std::unique_ptr<Log>>
Log::Create(std::string aFolder,
            consensus::DurableState aState,
            FileHooks aHooks)
{
  std::unique_ptr<Log> log(new Log(std::move(aFolder), std::move(aHooks)));
  if (auto status = log->LockFolder(); !status.ok()) {
    return status;
  }
  const auto names = log->hooks_.list_(log->folder_);
  if (!names.ok()) {
    return names.status();
  }
  if (!SegmentsIn(*names).empty()) {
    return absl::AlreadyExistsError("folder already contains a log");
  }
  log->state_ = std::move(aState);
  if (auto status = log->RewriteAll(); !status.ok()) {
    return status;
  }
  return log;
}

absl::StatusOr<Recovered>
Log::Open(std::string aFolder, FileHooks aHooks)
{
  Recovered recovered;
  recovered.log_.reset(new Log(std::move(aFolder), std::move(aHooks)));
  if (auto status = recovered.log_->Recover(recovered); !status.ok()) {
    return status;
  }
  return recovered;
}

absl::Status
Log::LockFolder()
{
  auto lock = hooks_.lock_(folder_);
  if (!lock.ok()) {
    return lock.status();
  }
  lock_ = *lock;
  return absl::OkStatus();
}

absl::Status
Log::Recover(Recovered& aRecovered)
{
  if (auto status = LockFolder(); !status.ok()) {
    return status;
  }
  const auto names = hooks_.list_(folder_);
  if (!names.ok()) {
    return names.status();
  }
  const auto segments = SegmentsIn(*names);
  if (segments.empty()) {
    return absl::NotFoundError("folder contains no log");
  }
  if (auto status = ReadSegment(segments.back(), aRecovered); !status.ok()) {
    return status;
  }
  aRecovered.state_ = state_;
  RemoveTemporary(*names);
  segment_ = segments.back();
  auto status = RecordFailure(RewriteAll());
  if (absl::IsResourceExhausted(status)) {
    return absl::OkStatus();
  }
  if (status.ok()) {
    RemoveSegmentsBefore(segments.back());
  }
  return status;
}

void
Log::RemoveSegmentsBefore(std::uint64_t aSegment)
{
  const auto names = hooks_.list_(folder_);
  if (!names.ok()) {
    return;
  }
  for (const auto old : SegmentsIn(*names)) {
    if (old < aSegment) {
      static_cast<void>(hooks_.remove_(PathOf(old)));
    }
  }
}

void
Log::RemoveTemporary(const std::vector<std::string>& aNames)
{
  for (const auto& name : aNames) {
    if (std::string_view(name).ends_with(kTemporarySuffix)) {
      static_cast<void>(hooks_.remove_(absl::StrCat(folder_, "/", name)));
    }
  }
}

absl::Status
Log::ReadSegment(std::uint64_t aSegment, Recovered& aRecovered)
{
  const auto content = hooks_.read_(PathOf(aSegment));
  if (!content.ok()) {
    return content.status();
  }
  const auto header = DecodeFrame(*content, 0, HeaderSeedOf(aSegment));
  if (!header || header->kind_ != FrameKind::Header) {
    return absl::DataLossError(
      "segment header is damaged or belongs to another segment");
  }
  wire::Reader reader(header->payload_);
  wire::Decode(reader, state_.id_);
  const auto bootId = reader.Uint();
  if (!reader.Finish().ok()) {
    return absl::DataLossError("segment header cannot be decoded");
  }
  const auto scan = ScanFrames(*content,
                               kFrameHeaderBytes + header->payload_.size(),
                               SeedOf(state_.id_, aSegment));
  const auto markerContent = hooks_.read_(MarkerPath());
  const auto marker =
    markerContent.ok() ? DecodeMarker(*markerContent) : Marker{};
  const auto syncedBytesLost =
    marker.segment_ > aSegment ||
    (marker.segment_ == aSegment && marker.bytes_ > scan.validBytes_);
  if (scan.outcome_ == ScanOutcome::Corrupt || syncedBytesLost) {
    return absl::DataLossError(absl::StrCat(
      "synced bytes are damaged or missing after byte ", scan.validBytes_));
  }
  for (const auto& frame : scan.frames_) {
    if (auto status = ApplyFrame(frame, state_); !status.ok()) {
      return status;
    }
  }
  aRecovered.tornBytes_ = content->size() - scan.validBytes_;
  const auto durabilityProven = scan.outcome_ == ScanOutcome::Whole &&
                                bootId != 0 && bootId == hooks_.bootId_() &&
                                marker.segment_ == aSegment &&
                                state_.hard_.durabilityProven_;
  state_.hard_.durabilityProven_ = durabilityProven;
  aRecovered.verification_ = durabilityProven
                               ? consensus::Verification::Continued
                               : consensus::Verification::Unproven;
  return state_.Check();
}

absl::Status
Log::Append(const consensus::Persist& aPersist)
{
  if (!failure_.ok()) {
    return failure_;
  }
  state_.Apply(aPersist);
  if (aPersist.snapshot_ != nullptr || bytes_ > rewriteThresholdBytes_) {
    return RecordFailure(RewriteAll());
  }
  return RecordFailure(WritePersist(aPersist));
}

absl::Status
Log::Sync()
{
  if (!failure_.ok() || syncedBytes_ == bytes_) {
    return failure_;
  }
  auto status = hooks_.sync_(handle_);
  if (status.ok()) {
    syncedBytes_ = bytes_;
    status = WriteMarker();
  }
  return RecordFailure(std::move(status));
}

absl::Status
Log::Resume()
{
  if (!absl::IsResourceExhausted(failure_)) {
    return failure_;
  }
  failure_ = RewriteAll();
  if (failure_.ok()) {
    RemoveSegmentsBefore(segment_);
  } else {
    CloseFile(handle_);
  }
  return failure_;
}

absl::Status
Log::RewriteAll()
{
  const auto old = segment_;
  CloseFile(handle_);
  auto written = WriteSegment(old + 1);
  if (written.ok()) {
    written = PublishSegment(old + 1);
  }
  if (!written.ok()) {
    static_cast<void>(hooks_.remove_(TemporaryPathOf(old + 1)));
    return written;
  }
  segment_ = old + 1;
  rewriteThresholdBytes_ = std::max(kMinRewriteThresholdBytes, 4 * bytes_);
  if (auto status = WriteMarker(); !status.ok()) {
    return status;
  }
  if (old == 0) {
    return absl::OkStatus();
  }
  if (auto status = hooks_.remove_(PathOf(old)); !status.ok()) {
    return status;
  }
  return hooks_.syncFolder_(folder_);
}

absl::Status
Log::WriteSegment(std::uint64_t aSegment)
{
  auto handle = hooks_.create_(TemporaryPathOf(aSegment));
  if (!handle.ok()) {
    return handle.status();
  }
  handle_ = *handle;
  bytes_ = syncedBytes_ = 0;
  seed_ = SeedOf(state_.id_, aSegment);
  std::string header;
  wire::Writer writer(header);
  wire::Encode(writer, state_.id_);
  writer.Uint(hooks_.bootId_());
  if (auto status = WriteFrame(HeaderSeedOf(aSegment),
                               static_cast<std::uint8_t>(FrameKind::Header),
                               header);
      !status.ok()) {
    return status;
  }
  if (auto status = WriteState(); !status.ok()) {
    return status;
  }
  return WriteFrame(seed_, static_cast<std::uint8_t>(FrameKind::Seal), {});
}

absl::Status
Log::WriteState()
{
  consensus::Persist initial;
  initial.hard_ = state_.hard_;
  initial.snapshot_ = state_.snapshot_;
  if (auto status = WritePersist(initial); !status.ok()) {
    return status;
  }
  for (std::size_t from = 0; from < state_.entries_.size();
       from += kMaxEntriesPerFrame) {
    const auto count =
      std::min(kMaxEntriesPerFrame, state_.entries_.size() - from);
    const auto begin =
      state_.entries_.begin() + static_cast<std::ptrdiff_t>(from);
    consensus::Persist part;
    part.entries_.assign(begin, begin + static_cast<std::ptrdiff_t>(count));
    if (auto status = WritePersist(part); !status.ok()) {
      return status;
    }
  }
  return absl::OkStatus();
}

absl::Status
Log::PublishSegment(std::uint64_t aSegment)
{
  if (auto status = hooks_.sync_(handle_); !status.ok()) {
    return status;
  }
  syncedBytes_ = bytes_;
  if (auto status = hooks_.rename_(TemporaryPathOf(aSegment), PathOf(aSegment));
      !status.ok()) {
    return status;
  }
  return hooks_.syncFolder_(folder_);
}

absl::Status
Log::WriteFrame(std::uint64_t aSeed,
                std::uint8_t aKind,
                std::string_view aPayload)
{
  if (aPayload.size() > kMaxFrameBytes) {
    return absl::OutOfRangeError("write exceeds the frame size limit");
  }
  const Frame frame{ static_cast<FrameKind>(aKind), syncedBytes_, aPayload };
  const auto bytes = MakeFrame(aSeed, bytes_, frame);
  if (auto status = hooks_.append_(handle_, bytes); !status.ok()) {
    return status;
  }
  bytes_ += bytes.size();
  return absl::OkStatus();
}

absl::Status
Log::WritePersist(const consensus::Persist& aPersist)
{
  std::string payload;
  wire::Writer writer(payload);
  wire::Encode(writer, aPersist);
  return WriteFrame(
    seed_, static_cast<std::uint8_t>(FrameKind::Write), payload);
}

absl::Status
Log::RecordFailure(absl::Status aStatus)
{
  if (!aStatus.ok()) {
    failure_ = aStatus;
    CloseFile(handle_);
  }
  return aStatus;
}

absl::Status
Log::OpenMarker()
{
  auto marker = hooks_.create_(MarkerPath());
  if (!marker.ok()) {
    return marker.status();
  }
  marker_ = *marker;
  return absl::OkStatus();
}

absl::Status
Log::WriteMarker()
{
  if (marker_ < 0) {
    if (auto status = OpenMarker(); !status.ok()) {
      return status;
    }
  }
  return hooks_.overwrite_(marker_, EncodeMarker({ segment_, syncedBytes_ }));
}

void
Log::CloseFile(int& aHandle)
{
  if (aHandle >= 0) {
    hooks_.close_(std::exchange(aHandle, -1));
  }
}

std::string
Log::PathOf(std::uint64_t aSegment) const
{
  return absl::StrCat(folder_, "/", std::string(kSegmentPrefix), aSegment);
}

std::string
Log::TemporaryPathOf(std::uint64_t aSegment) const
{
  return absl::StrCat(PathOf(aSegment), std::string(kTemporarySuffix));
}

std::string
Log::MarkerPath() const
{
  return absl::StrCat(folder_, "/", std::string(kMarkerName));
}

absl::Status
Discard(const std::string& aFolder, const FileHooks& aHooks)
{
  const auto names = aHooks.list_(aFolder);
  if (!names.ok()) {
    return names.status();
  }
  for (const auto& name : *names) {
    auto status = aHooks.remove_(absl::StrCat(aFolder, "/", name));
    if (!status.ok()) {
      return status;
    }
  }
  return aHooks.syncFolder_(aFolder);
}

consensus::Fault
FaultOf(const absl::Status& aFailure) noexcept
{
  switch (aFailure.code()) {
    case absl::StatusCode::kOk:
      return consensus::Fault::None;
    case absl::StatusCode::kResourceExhausted:
      return consensus::Fault::DiskFull;
    case absl::StatusCode::kDataLoss:
      return consensus::Fault::SyncFailed;
    default:
      return consensus::Fault::WriteFailed;
  }
}

} // namespace cornelshore::storage
