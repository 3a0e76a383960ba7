#include <cornelshore/storage/hosts_keeper.hpp>

#include <atomic>
#include <future>

#include <gtest/gtest.h>

#include <cornelshore/storage/hosts_file.hpp>

#include "fake_files.hpp"

namespace cornelshore::storage {
namespace {

constexpr const char* kFolder = "/data";
constexpr std::chrono::seconds kLongWait{ 20 };
constexpr std::chrono::milliseconds kRetryInterval{ 5 };

StoredHosts
WrittenAt(std::uint64_t aWallMillis)
{
  StoredHosts stored;
  stored.at_.wallMillis_ = aWallMillis;
  return stored;
}

// Guards against records of an orderly stop that are lost, because the process
// ends before its last write.
TEST(HostsKeeper, WritesTheLatestRecordsBeforeItStops)
{
  FakeFiles files;
  HostsKeeper keeper(
    kFolder, [](const auto&) {}, files.Hooks(), kRetryInterval);
  for (std::uint64_t at = 1; at <= 50; ++at) {
    keeper.Keep(WrittenAt(at));
  }
  keeper.Stop();
  const auto read = ReadHosts(kFolder, files.Hooks());
  ASSERT_TRUE(read.ok()) << read.status();
  EXPECT_EQ(read->at_.wallMillis_, 50U);
}

// Guards against a log that is flooded while the disk is full, and against
// records that are not written once it has room again.
TEST(HostsKeeper, ReportsAFullDiskOnceAndWritesWhenThereIsRoom)
{
  FakeFiles files;
  std::atomic<int> attempts{ 0 };
  std::atomic<int> reports{ 0 };
  std::promise<void> written;
  auto hooks = files.Hooks();
  const auto create = hooks.create_;
  hooks.create_ = [&](const std::string& aPath) {
    return ++attempts < 5
             ? absl::StatusOr<int>(absl::ResourceExhaustedError("full"))
             : create(aPath);
  };
  const auto syncFolder = hooks.syncFolder_;
  hooks.syncFolder_ = [&](const std::string& aPath) {
    auto status = syncFolder(aPath);
    written.set_value();
    return status;
  };
  HostsKeeper keeper(
    kFolder,
    [&](const absl::Status& aStatus) {
      EXPECT_TRUE(absl::IsResourceExhausted(aStatus));
      ++reports;
    },
    hooks,
    kRetryInterval);
  keeper.Keep(WrittenAt(7));
  ASSERT_EQ(written.get_future().wait_for(kLongWait),
            std::future_status::ready);
  keeper.Stop();
  EXPECT_EQ(reports, 1);
  EXPECT_EQ(ReadHosts(kFolder, files.Hooks())->at_.wallMillis_, 7U);
}

// Guards against a disk that hangs and with it the thread that decides, or the
// end of the process.
TEST(HostsKeeper, AHangingDiskHoldsUpNoCall)
{
  auto release = std::make_shared<std::promise<void>>();
  const auto hang =
    std::make_shared<std::shared_future<void>>(release->get_future().share());
  auto entered = std::make_shared<std::promise<void>>();
  auto left = std::make_shared<std::promise<void>>();
  FileHooks hooks;
  hooks.create_ = [hang, entered, left](const std::string&) {
    entered->set_value();
    hang->wait();
    left->set_value();
    return absl::StatusOr<int>(absl::UnavailableError("gone"));
  };
  hooks.remove_ = [](const std::string&) { return absl::OkStatus(); };
  std::atomic<int> reports{ 0 };
  {
    HostsKeeper keeper(
      kFolder, [&](const auto&) { ++reports; }, hooks, kRetryInterval);
    keeper.Keep(WrittenAt(1));
    ASSERT_EQ(entered->get_future().wait_for(kLongWait),
              std::future_status::ready);
    for (std::uint64_t at = 2; at <= 1000; ++at) {
      keeper.Keep(WrittenAt(at));
    }
  }
  EXPECT_EQ(reports, 0);
  auto ended = left->get_future();
  release->set_value();
  EXPECT_EQ(ended.wait_for(kLongWait), std::future_status::ready);
}

} // namespace
} // namespace cornelshore::storage
