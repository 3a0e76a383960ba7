#include <cornelshore/storage/log.hpp>

#include <filesystem>
#include <optional>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include <cornelshore/storage/frame.hpp>

#include "fake_files.hpp"

namespace cornelshore::storage {
namespace {

using namespace consensus;

constexpr const char* kFolder = "/data";
constexpr ReplicaId kId{ NodeId{ 1 }, Incarnation{ 3 } };
constexpr std::size_t kWrites = 24;

/** Equality apart from `durabilityProven_`, which each start decides anew. */
bool
Same(const DurableState& aLeft, DurableState aRight)
{
  aRight.hard_.durabilityProven_ = aLeft.hard_.durabilityProven_;
  return aLeft.id_ == aRight.id_ && aLeft.hard_ == aRight.hard_ &&
         *aLeft.snapshot_ == *aRight.snapshot_ &&
         aLeft.entries_ == aRight.entries_;
}

/** Random writes like those of a replica. */
class Writes
{
public:
  explicit Writes(std::uint64_t aSeed)
    : random_(aSeed)
    , state_(BootstrapState(kId, { kId }))
  {
  }

  [[nodiscard]] const DurableState& State() const { return state_; }

  void Resume(DurableState aState) { state_ = std::move(aState); }

  Persist Next()
  {
    Persist persist;
    persist.hard_ = state_.hard_;
    persist.hard_->term_.value_ += random_.Below(2);
    if (random_.Below(6) == 0 && !state_.entries_.empty()) {
      TakeSnapshot(persist);
    } else {
      AddEntries(persist);
    }
    state_.Apply(persist);
    return persist;
  }

private:
  void TakeSnapshot(Persist& aPersist)
  {
    const auto place = random_.Below(state_.entries_.size());
    auto snapshot = *state_.snapshot_;
    snapshot.last_ = state_.entries_[place].At();
    snapshot.register_.acceptedChange_.low_ = snapshot.last_.index_.value_;
    aPersist.hard_->commit_ = snapshot.last_.index_;
    aPersist.snapshot_ = std::make_shared<const Snapshot>(snapshot);
  }

  void AddEntries(Persist& aPersist)
  {
    const auto held = state_.entries_.size();
    const auto kept = held - random_.Below(std::min<std::size_t>(held, 3) + 1);
    auto last =
      kept == 0 ? state_.snapshot_->last_ : state_.entries_[kept - 1].At();
    for (auto count = 1 + random_.Below(4); count > 0; --count) {
      last = { aPersist.hard_->term_, LogIndex{ last.index_.value_ + 1 } };
      Change change;
      change.id_ = { random_.Next(), random_.Next() };
      aPersist.entries_.push_back(
        { last.term_, last.index_, std::make_shared<const Change>(change) });
    }
  }

  Random random_;
  DurableState state_;
};

/** State after each write, and the number of those reported durable. */
struct Trace
{
  std::vector<DurableState> states_;
  std::size_t durable_{};
  absl::Status failure_;
};

Trace
WriteUntilFailure(FakeFiles& aFiles, std::uint64_t aSeed)
{
  Trace trace;
  Writes writes(aSeed);
  Random random(aSeed + 1);
  auto log = Log::Create(kFolder, writes.State(), aFiles.Hooks());
  if (!log.ok()) {
    trace.failure_ = log.status();
    return trace;
  }
  trace.states_.push_back(writes.State());
  trace.durable_ = 1;
  for (std::size_t count = 0; count < kWrites; ++count) {
    const auto persist = writes.Next();
    trace.states_.push_back(writes.State());
    trace.failure_ = (*log)->Append(persist);
    if (trace.failure_.ok() && random.Below(2) == 0) {
      trace.failure_ = (*log)->Sync();
      trace.durable_ =
        trace.failure_.ok() ? trace.states_.size() : trace.durable_;
    } else if (trace.failure_.ok() && persist.snapshot_ != nullptr) {
      trace.durable_ = trace.states_.size();
    }
    if (!trace.failure_.ok()) {
      EXPECT_EQ((*log)->Append(persist), trace.failure_);
      EXPECT_EQ((*log)->Sync(), trace.failure_);
      break;
    }
  }
  return trace;
}

/** Position of the state in the trace, from 1, if it is there. */
std::optional<std::size_t>
PlaceOf(const DurableState& aState, const Trace& aTrace)
{
  for (std::size_t place = aTrace.states_.size(); place > 0; --place) {
    if (Same(aState, aTrace.states_[place - 1])) {
      return place;
    }
  }
  return std::nullopt;
}

void
CheckAfterFault(Injected aFault, std::uint64_t aAt, std::uint64_t aSeed)
{
  SCOPED_TRACE(testing::Message() << "fault " << static_cast<int>(aFault)
                                  << " at " << aAt << " seed " << aSeed);
  FakeFiles files;
  files.random_ = Random(aSeed);
  files.fault_ = aFault;
  files.faultAt_ = aAt;
  const auto trace = WriteUntilFailure(files, aSeed);
  files.Restart();
  auto opened = Log::Open(kFolder, files.Hooks());
  if (trace.states_.empty() && !opened.ok()) {
    EXPECT_EQ(opened.status().code(), absl::StatusCode::kNotFound);
    return;
  }
  ASSERT_TRUE(opened.ok()) << opened.status();
  if (aFault == Injected::PowerLoss) {
    EXPECT_EQ(opened->verification_, Verification::Unproven);
  }
  if (trace.states_.empty()) {
    return;
  }
  const auto place = PlaceOf(opened->state_, trace);
  ASSERT_TRUE(place);
  EXPECT_GE(*place, trace.durable_);
  const auto given = opened->state_;
  opened->log_.reset();
  files.fault_ = Injected::PowerLoss;
  files.Restart();
  auto again = Log::Open(kFolder, files.Hooks());
  ASSERT_TRUE(again.ok()) << again.status();
  EXPECT_TRUE(Same(again->state_, given));
  EXPECT_FALSE(again->state_.hard_.durabilityProven_);
  again->log_.reset();
  EXPECT_EQ(Log::Open(kFolder, files.Hooks())->verification_,
            Verification::Unproven);
}

TEST(Log, KeepsWhatItCalledDurableWhereverAFaultStrikes)
{
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    FakeFiles counted;
    ASSERT_TRUE(WriteUntilFailure(counted, seed).failure_.ok());
    for (std::uint64_t at = 1; at <= counted.operations_; ++at) {
      for (const auto fault : { Injected::Kill,
                                Injected::PowerLoss,
                                Injected::DiskFull,
                                Injected::WriteFails,
                                Injected::SyncFails }) {
        CheckAfterFault(fault, at, seed);
      }
    }
  }
}

// A disk that is full for a while, at any write, also while the log opens: the
// log goes on without a restart, and no part of a failed write survives.
TEST(Log, ResumesOnceAFullDiskHasRoom)
{
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    SCOPED_TRACE(testing::Message() << "seed " << seed);
    Random random(seed);
    FakeFiles files;
    files.random_ = Random(seed + 1);
    Writes writes(seed);
    auto log = Log::Create(kFolder, writes.State(), files.Hooks()).value();
    for (std::size_t count = 0; count < kWrites; ++count) {
      files.full_ = random.Below(4) == 0;
      auto status = log->Append(writes.Next());
      if (status.ok()) {
        status = log->Sync();
      }
      ASSERT_EQ(status.ok(), !files.full_);
      if (files.full_) {
        EXPECT_EQ(status.code(), absl::StatusCode::kResourceExhausted);
        EXPECT_EQ(log->Resume().code(), absl::StatusCode::kResourceExhausted);
        files.full_ = false;
        ASSERT_TRUE(log->Resume().ok());
      }
      if (random.Below(6) == 0) {
        log.reset();
        files.full_ = true;
        files.fault_ = Injected::PowerLoss;
        files.Restart();
        auto opened = Log::Open(kFolder, files.Hooks());
        ASSERT_TRUE(opened.ok()) << opened.status();
        EXPECT_TRUE(Same(opened->state_, writes.State()));
        log = std::move(opened->log_);
        EXPECT_FALSE(log->Sync().ok());
        files.full_ = false;
        ASSERT_TRUE(log->Resume().ok());
        writes.Resume(opened->state_);
      }
      EXPECT_LE(files.names_.size(), 2U);
    }
  }
}

/** A folder after a run whose last write was synced. */
FakeFiles
WrittenFolder()
{
  FakeFiles files;
  Writes writes(5);
  auto log = Log::Create(kFolder, writes.State(), files.Hooks()).value();
  for (std::size_t count = 0; count < 5; ++count) {
    EXPECT_TRUE(log->Append(writes.Next()).ok());
    EXPECT_TRUE(log->Sync().ok());
  }
  return files;
}

std::string&
SegmentOf(FakeFiles& aFiles)
{
  for (auto& [path, file] : aFiles.names_) {
    if (path.find("log-") != std::string::npos) {
      file = std::make_shared<FakeFiles::File>(*file);
      return file->cached_;
    }
  }
  ADD_FAILURE() << "no segment";
  return aFiles.names_.begin()->second->cached_;
}

TEST(Log, DetectsEveryFlippedBitAndEveryTruncationOfWhatWasSynced)
{
  const auto written = WrittenFolder();
  auto copy = written;
  const auto size = SegmentOf(copy).size();
  for (std::size_t byte = 0; byte < size; ++byte) {
    auto flipped = written;
    auto& damaged = SegmentOf(flipped)[byte];
    damaged = static_cast<char>(damaged ^ (1 << (byte % 8)));
    EXPECT_EQ(Log::Open(kFolder, flipped.Hooks()).status().code(),
              absl::StatusCode::kDataLoss)
      << byte;
    auto cut = written;
    SegmentOf(cut).resize(byte);
    EXPECT_EQ(Log::Open(kFolder, cut.Hooks()).status().code(),
              absl::StatusCode::kDataLoss)
      << byte;
  }
}

TEST(Log, WithoutItsMarkerNeverTakesADamagedEndForProvenState)
{
  auto written = WrittenFolder();
  written.names_.erase("/data/synced");
  auto copy = written;
  const auto size = SegmentOf(copy).size();
  for (std::size_t byte = 0; byte < size; ++byte) {
    auto flipped = written;
    auto& damaged = SegmentOf(flipped)[byte];
    damaged = static_cast<char>(damaged ^ (1 << (byte % 8)));
    const auto opened = Log::Open(kFolder, flipped.Hooks());
    if (opened.ok()) {
      EXPECT_EQ(opened->verification_, Verification::Unproven) << byte;
      EXPECT_GT(opened->tornBytes_, 0U) << byte;
    } else {
      EXPECT_EQ(opened.status().code(), absl::StatusCode::kDataLoss) << byte;
    }
  }
}

TEST(Log, RefusesFramesAndSegmentsThatWereMoved)
{
  auto swapped = WrittenFolder();
  auto& segment = SegmentOf(swapped);
  const auto frame = segment.rfind("CNSL");
  segment += segment.substr(frame);
  segment.erase(frame, segment.size() - frame);
  segment += std::string(200, 'x');
  EXPECT_EQ(Log::Open(kFolder, swapped.Hooks()).status().code(),
            absl::StatusCode::kDataLoss);

  auto renamed = WrittenFolder();
  const auto content = std::make_shared<FakeFiles::File>();
  content->cached_ = SegmentOf(renamed);
  renamed.names_["/data/log-9"] = content;
  EXPECT_EQ(Log::Open(kFolder, renamed.Hooks()).status().code(),
            absl::StatusCode::kDataLoss);
}

TEST(Log, TellsAnEmptiedFolderFromAnOlderSegment)
{
  auto emptied = WrittenFolder();
  emptied.names_.clear();
  EXPECT_EQ(Log::Open(kFolder, emptied.Hooks()).status().code(),
            absl::StatusCode::kNotFound);

  auto older = WrittenFolder();
  const auto old = older.names_;
  ASSERT_TRUE(Log::Open(kFolder, older.Hooks()).ok());
  const auto marker = older.names_.at("/data/synced");
  older.names_ = old;
  older.names_["/data/synced"] = marker;
  EXPECT_EQ(Log::Open(kFolder, older.Hooks()).status().code(),
            absl::StatusCode::kDataLoss);

  auto wholly = WrittenFolder();
  ++wholly.boot_;
  EXPECT_EQ(Log::Open(kFolder, wholly.Hooks()).value().verification_,
            Verification::Unproven);
}

TEST(Log, ContinuesOnTheSystemsFilesAndLocksThem)
{
  std::string pattern =
    (std::filesystem::temp_directory_path() / "cornelshore-XXXXXX").string();
  ASSERT_NE(::mkdtemp(pattern.data()), nullptr);
  Writes writes(9);
  {
    auto log = Log::Create(pattern, writes.State()).value();
    for (std::size_t count = 0; count < kWrites; ++count) {
      ASSERT_TRUE(log->Append(writes.Next()).ok());
      ASSERT_TRUE(log->Sync().ok());
    }
    EXPECT_EQ(Log::Open(pattern).status().code(),
              absl::StatusCode::kFailedPrecondition);
    EXPECT_FALSE(Log::Create(pattern, writes.State()).ok());
  }
  const auto opened = Log::Open(pattern);
  ASSERT_TRUE(opened.ok()) << opened.status();
  EXPECT_TRUE(Same(opened->state_, writes.State()));
  EXPECT_EQ(opened->tornBytes_, 0U);
  std::filesystem::remove_all(pattern);
}

} // namespace
} // namespace cornelshore::storage
