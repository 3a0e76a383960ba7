#include <cornelshore/storage/hosts_file.hpp>

#include <filesystem>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

#include <unistd.h>

#include <gtest/gtest.h>

#include "fake_files.hpp"

namespace cornelshore::storage {
namespace {

constexpr const char* kFolder = "/data";
constexpr const char* kPath = "/data/hosts";
constexpr const char* kTemporary = "/data/hosts.tmp";

/** Operations of one write: create, append, sync, rename, sync of the folder.
 */
constexpr std::uint64_t kOperations = 5;

StoredHosts
Sample(std::size_t aHosts, std::uint64_t aIncarnation = 3)
{
  StoredHosts stored;
  stored.at_ = { 77, TimePoint{ std::chrono::hours{ 30 } }, 1'700'000'000'000 };
  for (std::size_t index = 1; index <= aHosts; ++index) {
    dissemination::HostUpdate host;
    auto& record = host.record_;
    record.id_ = HostId{ index * 0x9E3779B97F4A7C15U };
    record.incarnation_ = Incarnation{ aIncarnation };
    record.sequence_ = index;
    record.service_ = ServiceId{ 7 };
    record.dataCentre_ = DataCentreId{ 2 };
    record.agent_ = MakeIpv4(static_cast<std::uint32_t>(index), 7000);
    record.slots_ = 3;
    record.state_ = index % 5 == 0 ? HostState::Gone : HostState::Ready;
    host.age_ = index % 5 == 0 ? std::chrono::seconds(index) : Duration{};
    stored.hosts_.push_back(host);
  }
  return stored;
}

/** Frame with a payload that no version of the program writes. */
std::string
FrameOf(const std::string& aPayload)
{
  return MakeFrame(internal::kHostsSeed, 0, { FrameKind::Header, 0, aPayload });
}

void
WriteMoment(wire::Writer& aWriter)
{
  aWriter.Uint(0);
  aWriter.Write(Duration::zero());
  aWriter.Uint(0);
}

void
Put(FakeFiles& aFiles, const std::string& aBytes)
{
  auto file = std::make_shared<FakeFiles::File>();
  file->cached_ = file->durable_ = aBytes;
  aFiles.names_[kPath] = file;
}

// Guards against records that are lost or changed on their way through the
// disk.
TEST(HostsFile, ReadsWhatWasWritten)
{
  for (const std::size_t hosts : { 0U, 1U, 300U, 20'000U }) {
    FakeFiles files;
    const auto written = Sample(hosts);
    ASSERT_TRUE(WriteHosts(kFolder, written, files.Hooks()).ok());
    const auto read = ReadHosts(kFolder, files.Hooks());
    ASSERT_TRUE(read.ok()) << read.status();
    EXPECT_EQ(read->hosts_, written.hosts_);
    EXPECT_EQ(read->at_, written.at_);
    EXPECT_EQ(read->refused_, 0U);
    EXPECT_EQ(files.names_.count(kTemporary), 0U);
  }
}

// Guards against operations of the system that behave unlike the fake ones.
TEST(HostsFile, ReadsWhatWasWrittenToADisk)
{
  const auto folder = std::filesystem::temp_directory_path() /
                      ("cornelshore-hosts-" + std::to_string(::getpid()));
  std::filesystem::create_directory(folder);
  EXPECT_TRUE(absl::IsNotFound(ReadHosts(folder.string()).status()));
  ASSERT_TRUE(WriteHosts(folder.string(), Sample(9)).ok());
  ASSERT_TRUE(WriteHosts(folder.string(), Sample(40)).ok());
  const auto read = ReadHosts(folder.string());
  ASSERT_TRUE(read.ok()) << read.status();
  EXPECT_EQ(read->hosts_, Sample(40).hosts_);
  std::filesystem::remove_all(folder);
}

// Guards against a torn file that is taken for a short one.
TEST(HostsFile, RefusesATornFile)
{
  FakeFiles files;
  const auto bytes = *EncodeHosts(Sample(20));
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    Put(files, bytes.substr(0, size));
    EXPECT_TRUE(absl::IsDataLoss(ReadHosts(kFolder, files.Hooks()).status()))
      << size;
  }
  Put(files, bytes + std::string(50, '\0'));
  EXPECT_EQ(ReadHosts(kFolder, files.Hooks())->hosts_, Sample(20).hosts_);
}

// Guards against damaged bytes that are taken for a host.
TEST(HostsFile, RefusesAFileWithAWrongChecksum)
{
  FakeFiles files;
  const auto bytes = *EncodeHosts(Sample(20));
  for (std::size_t place = 0; place < bytes.size(); ++place) {
    auto damaged = bytes;
    damaged[place] = static_cast<char>(damaged[place] ^ 0x10);
    Put(files, damaged);
    EXPECT_TRUE(absl::IsDataLoss(ReadHosts(kFolder, files.Hooks()).status()))
      << place;
  }
}

// Guards against a start that runs out of memory on a foreign or grown file.
TEST(HostsFile, RefusesATooLargeFileUnread)
{
  FakeFiles files;
  auto hooks = files.Hooks();
  hooks.size_ = [](const std::string&) {
    return absl::StatusOr<std::uint64_t>(kMaxHostsBytes + 1);
  };
  bool wasRead = false;
  hooks.read_ = [&](const std::string&) {
    wasRead = true;
    return absl::StatusOr<std::string>(std::string());
  };
  EXPECT_TRUE(absl::IsOutOfRange(ReadHosts(kFolder, hooks).status()));
  EXPECT_FALSE(wasRead);
}

// Guards against a count that claims more entries than the file has.
TEST(HostsFile, RefusesMoreEntriesThanItsLimit)
{
  FakeFiles files;
  std::string payload;
  wire::Writer writer(payload);
  writer.Uint(1);
  WriteMoment(writer);
  writer.List(kMaxStoredHosts + 1);
  Put(files, FrameOf(payload));
  EXPECT_TRUE(absl::IsDataLoss(ReadHosts(kFolder, files.Hooks()).status()));
  EXPECT_TRUE(absl::IsOutOfRange(
    WriteHosts(kFolder, Sample(kMaxStoredHosts + 1), files.Hooks())));
}

// Guards against a program that misreads a file of its successor after it was
// put back.
TEST(HostsFile, RefusesAFileOfANewerVersion)
{
  FakeFiles files;
  std::string payload;
  wire::Writer writer(payload);
  writer.Uint(2);
  writer.Bytes("something else");
  Put(files, FrameOf(payload));
  EXPECT_TRUE(
    absl::IsUnimplemented(ReadHosts(kFolder, files.Hooks()).status()));
}

// Guards against one entry that makes no sense and takes all others with it.
TEST(HostsFile, LeavesOutSingleEntriesThatMakeNoSense)
{
  auto stored = Sample(6);
  stored.hosts_[0].record_.id_ = {};
  stored.hosts_[1].record_.incarnation_ = {};
  stored.hosts_[2].record_.service_ = {};
  stored.hosts_[3].record_.agent_.port_ = 0;
  std::string payload;
  wire::Writer writer(payload);
  writer.Uint(1);
  WriteMoment(writer);
  writer.List(stored.hosts_.size() + 2);
  writer.Bytes("");
  writer.Bytes("no record");
  for (const auto& host : stored.hosts_) {
    writer.Bytes(internal::EncodeHostEntry(host));
  }
  FakeFiles files;
  Put(files, FrameOf(payload));
  const auto read = ReadHosts(kFolder, files.Hooks());
  ASSERT_TRUE(read.ok()) << read.status();
  EXPECT_EQ(read->refused_, 6U);
  ASSERT_EQ(read->hosts_.size(), 2U);
  EXPECT_EQ(read->hosts_[0], stored.hosts_[4]);
  EXPECT_EQ(read->hosts_[1], stored.hosts_[5]);
}

// Guards against a full disk that costs the records which are there already,
// or leaves a temporary file that takes the log's room.
TEST(HostsFile, AFullDiskKeepsTheOldFileAndLeavesNoTemporaryOne)
{
  FakeFiles files;
  ASSERT_TRUE(WriteHosts(kFolder, Sample(9), files.Hooks()).ok());
  const auto before = files.operations_;
  for (const auto fault : { Injected::DiskFull, Injected::WriteFails }) {
    for (std::uint64_t operation = 1; operation <= 2; ++operation) {
      files.fault_ = fault;
      files.operations_ = 0;
      files.faultAt_ = operation;
      const auto status = WriteHosts(kFolder, Sample(40), files.Hooks());
      EXPECT_EQ(absl::IsResourceExhausted(status), fault == Injected::DiskFull);
      EXPECT_FALSE(status.ok());
      EXPECT_EQ(files.names_.count(kTemporary), 0U);
      const auto read = ReadHosts(kFolder, files.Hooks());
      ASSERT_TRUE(read.ok()) << read.status();
      EXPECT_EQ(read->hosts_, Sample(9).hosts_);
    }
  }
  EXPECT_EQ(before, kOperations);
  files.fault_ = Injected::None;
  ASSERT_TRUE(WriteHosts(kFolder, Sample(40), files.Hooks()).ok());
  EXPECT_EQ(ReadHosts(kFolder, files.Hooks())->hosts_, Sample(40).hosts_);
}

// Guards against a file whose pages were dropped by a failed sync and that
// takes the place of a durable one.
TEST(HostsFile, AFailedSyncIsReportedAndKeepsTheOldFile)
{
  FakeFiles files;
  ASSERT_TRUE(WriteHosts(kFolder, Sample(9), files.Hooks()).ok());
  files.fault_ = Injected::SyncFails;
  files.operations_ = 0;
  files.faultAt_ = 3;
  EXPECT_TRUE(absl::IsDataLoss(WriteHosts(kFolder, Sample(40), files.Hooks())));
  EXPECT_EQ(files.names_.count(kTemporary), 0U);
  EXPECT_EQ(ReadHosts(kFolder, files.Hooks())->hosts_, Sample(9).hosts_);
}

// Guards against a rename that was not durable, or came before its content: a
// kill or a power loss at any operation leaves the old file or the new one.
TEST(HostsFile, ACrashLeavesTheOldFileOrTheNewOne)
{
  for (const auto fault : { Injected::Kill, Injected::PowerLoss }) {
    for (std::uint64_t operation = 1; operation <= kOperations + 1;
         ++operation) {
      for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        FakeFiles files;
        files.random_ = Random(seed);
        ASSERT_TRUE(WriteHosts(kFolder, Sample(9), files.Hooks()).ok());
        files.fault_ = fault;
        files.operations_ = 0;
        files.faultAt_ = operation;
        const auto status = WriteHosts(kFolder, Sample(40, 4), files.Hooks());
        EXPECT_EQ(status.ok(), operation > kOperations);
        files.Restart();
        const auto read = ReadHosts(kFolder, files.Hooks());
        ASSERT_TRUE(read.ok()) << operation << " " << read.status();
        const bool old = read->hosts_ == Sample(9).hosts_;
        EXPECT_TRUE(old || read->hosts_ == Sample(40, 4).hosts_);
        EXPECT_FALSE(old && status.ok());
      }
    }
  }
}

// Guards against a write that is reported as done before its name is durable.
TEST(HostsFile, ReportsARenameThatIsNotDurable)
{
  FakeFiles files;
  files.fault_ = Injected::WriteFails;
  files.faultAt_ = kOperations;
  EXPECT_FALSE(WriteHosts(kFolder, Sample(9), files.Hooks()).ok());
}

// Guards against records that are dropped as too old because the wall clock was
// set forward while the VM ran on.
TEST(HostsFile, TheWallClockCountsOnlyAcrossAReboot)
{
  const StoredAt written{ 77, TimePoint{ std::chrono::hours{ 30 } }, 5'000 };
  const TimePoint later{ std::chrono::hours{ 30 } + std::chrono::seconds{ 2 } };
  const auto sameBoot = std::chrono::seconds{ 2 };
  EXPECT_EQ(TimeBetween(written, { 77, later, 900'000'000 }), sameBoot);
  EXPECT_EQ(TimeBetween(written, { 77, later, 1 }), sameBoot);
  EXPECT_EQ(TimeBetween(written, { 78, TimePoint{}, 8'000 }),
            std::chrono::seconds{ 3 });
  EXPECT_EQ(TimeBetween(written, { 78, TimePoint{}, 1 }), Duration::zero());
}

} // namespace
} // namespace cornelshore::storage
