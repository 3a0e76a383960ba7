#ifndef CORNELSHORE_TEST_STORAGE_FAKE_FILES_HPP
#define CORNELSHORE_TEST_STORAGE_FAKE_FILES_HPP

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include <cornelshore/core/random.hpp>
#include <cornelshore/storage/file_hooks.hpp>

namespace cornelshore::storage {

/** @brief Fault injected at one file operation. */
enum class Injected
{
  None,
  Kill,      ///< The process is killed during the operation; the page cache
             ///< survives.
  PowerLoss, ///< The VM loses power: any unsynced data may be lost.
  DiskFull,
  WriteFails,
  SyncFails, ///< The sync fails and drops the dirty pages.
};

/** @brief In-memory files with a page cache, and one injected fault. */
class FakeFiles
{
public:
  struct File
  {
    std::string cached_;
    std::string durable_;
    bool lies_{}; ///< A sync failed: the cache marks the lost pages clean.
  };

  Injected fault_{ Injected::None };
  std::uint64_t faultAt_{}; ///< Number of the faulty operation, from 1.
  std::uint64_t operations_{};
  bool full_{}; ///< No file is created, and a write stores a part at most.
  std::uint64_t boot_{ 1 };
  std::map<std::string, std::shared_ptr<File>> names_;
  std::map<std::string, std::shared_ptr<File>> durableNames_;
  Random random_{ 7 };

  [[nodiscard]] FileHooks Hooks()
  {
    FileHooks hooks;
    hooks.list_ = [this](const std::string& aFolder) { return List(aFolder); };
    hooks.read_ = [this](const std::string& aPath) { return Read(aPath); };
    hooks.create_ = [this](const std::string& aPath) { return Create(aPath); };
    hooks.append_ = [this](int aHandle, std::string_view aBytes) {
      return Write(aHandle, aBytes, false);
    };
    hooks.overwrite_ = [this](int aHandle, std::string_view aBytes) {
      return Write(aHandle, aBytes, true);
    };
    hooks.sync_ = [this](int aHandle) { return Sync(aHandle); };
    hooks.close_ = [](int) {};
    hooks.rename_ = [this](const std::string& aFrom, const std::string& aTo) {
      return Rename(aFrom, aTo);
    };
    hooks.remove_ = [this](const std::string& aPath) { return Remove(aPath); };
    hooks.syncFolder_ = [this](const std::string&) { return SyncFolder(); };
    hooks.lock_ = [](const std::string&) { return absl::StatusOr<int>(0); };
    hooks.bootId_ = [this] { return boot_; };
    hooks.size_ = [this](const std::string& aPath) { return Size(aPath); };
    return hooks;
  }

  [[nodiscard]] bool Down() const { return down_; }

  /** Restarts after the fault; a power loss discards unsynced data. */
  void Restart()
  {
    if (fault_ == Injected::PowerLoss) {
      LosePower();
    }
    fault_ = Injected::None;
    down_ = false;
    operations_ = 0;
  }

private:
  absl::StatusOr<std::vector<std::string>> List(const std::string& aFolder)
  {
    std::vector<std::string> names;
    for (const auto& [path, file] : names_) {
      names.push_back(path.substr(aFolder.size() + 1));
    }
    return names;
  }

  absl::StatusOr<std::string> Read(const std::string& aPath)
  {
    const auto found = names_.find(aPath);
    if (found == names_.end()) {
      return absl::NotFoundError(aPath);
    }
    return found->second->cached_;
  }

  absl::StatusOr<std::uint64_t> Size(const std::string& aPath)
  {
    const auto content = Read(aPath);
    if (!content.ok()) {
      return content.status();
    }
    return std::uint64_t{ content->size() };
  }

  absl::StatusOr<int> Create(const std::string& aPath)
  {
    if (full_) {
      return absl::ResourceExhaustedError("full");
    }
    if (auto status = Step(); !status.ok()) {
      return status;
    }
    auto& file = names_[aPath];
    if (file == nullptr) {
      file = std::make_shared<File>();
    }
    file->cached_.clear();
    handles_[++lastHandle_] = file;
    return lastHandle_;
  }

  absl::Status Write(int aHandle, std::string_view aBytes, bool aOver)
  {
    const auto fault = Due();
    auto status = Step();
    auto count = aBytes.size();
    if (full_ && status.ok()) {
      status = absl::ResourceExhaustedError("full");
      count = random_.Below(aBytes.size());
    } else if (!status.ok() &&
               (fault == Injected::None || fault == Injected::SyncFails)) {
      return status;
    }
    if (!status.ok() && !full_) {
      count = random_.Below(aBytes.size() + 1);
    }
    auto& cached = handles_[aHandle]->cached_;
    const auto at = aOver ? 0 : cached.size();
    cached.replace(at, count, aBytes.substr(0, count));
    return status;
  }

  absl::Status Sync(int aHandle)
  {
    const auto fault = Due();
    auto& file = *handles_[aHandle];
    if (auto status = Step(); !status.ok()) {
      file.lies_ = fault == Injected::SyncFails;
      return file.lies_ ? absl::DataLossError("sync") : status;
    }
    if (!file.lies_) {
      file.durable_ = file.cached_;
    }
    return absl::OkStatus();
  }

  absl::Status Rename(const std::string& aFrom, const std::string& aTo)
  {
    if (auto status = Step(); !status.ok()) {
      return status;
    }
    names_[aTo] = names_[aFrom];
    names_.erase(aFrom);
    return absl::OkStatus();
  }

  absl::Status Remove(const std::string& aPath)
  {
    if (auto status = Step(); !status.ok()) {
      return status;
    }
    names_.erase(aPath);
    return absl::OkStatus();
  }

  absl::Status SyncFolder()
  {
    if (auto status = Step(); !status.ok()) {
      return status;
    }
    durableNames_ = names_;
    return absl::OkStatus();
  }

  [[nodiscard]] Injected Due() const
  {
    return operations_ + 1 == faultAt_ ? fault_ : Injected::None;
  }

  absl::Status Step()
  {
    if (down_) {
      return absl::UnavailableError("down");
    }
    ++operations_;
    if (fault_ == Injected::None || operations_ != faultAt_) {
      return absl::OkStatus();
    }
    down_ = fault_ == Injected::Kill || fault_ == Injected::PowerLoss;
    return fault_ == Injected::DiskFull ? absl::ResourceExhaustedError("full")
                                        : absl::UnavailableError("failed");
  }

  void LosePower()
  {
    ++boot_;
    if (random_.Below(2) == 0) {
      names_ = durableNames_;
    }
    for (auto& [path, file] : names_) {
      LoseUnsynced(*file);
    }
    durableNames_ = names_;
  }

  void LoseUnsynced(File& aFile)
  {
    auto& durable = aFile.durable_;
    const auto& cached = aFile.cached_;
    if (cached.starts_with(durable)) {
      const auto kept = random_.Below(cached.size() - durable.size() + 1);
      const auto zeros = random_.Below(3) == 0 ? random_.Below(99) : 0;
      durable += cached.substr(durable.size(), kept) + std::string(zeros, '\0');
    }
    aFile.cached_ = durable;
  }

  std::map<int, std::shared_ptr<File>> handles_;
  int lastHandle_{};
  bool down_{};
};

} // namespace cornelshore::storage

#endif
