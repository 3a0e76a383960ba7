#include <cornelshore/storage/hosts_keeper.hpp>

#include <condition_variable>
#include <mutex>
#include <optional>
#include <utility>

#include <cornelshore/storage/hosts_file.hpp>

namespace cornelshore::storage {

namespace {

/** Time that a stopping process waits for a write under way. */
constexpr std::chrono::seconds kStopTimeout{ 1 };

} // namespace

struct HostsKeeper::State
{
  void Run()
  {
    std::unique_lock lock(mutex_);
    while (!stopping_ || waiting_) {
      changed_.wait(lock, [this] { return stopping_ || waiting_; });
      if (!waiting_) {
        break;
      }
      auto hosts = *std::exchange(waiting_, std::nullopt);
      lock.unlock();
      const auto status = WriteHosts(folder_, hosts, hooks_);
      lock.lock();
      if (status.ok()) {
        failing_ = false;
        continue;
      }
      Fail(status, std::move(hosts));
      changed_.wait_for(lock, retryInterval_, [this] { return stopping_; });
      if (stopping_) {
        break;
      }
    }
    ended_ = true;
    changed_.notify_all();
  }

  void Fail(const absl::Status& aStatus, StoredHosts aHosts)
  {
    if (!waiting_) {
      waiting_ = std::move(aHosts);
    }
    if (!std::exchange(failing_, true) && !stopping_) {
      report_(aStatus);
    }
  }

  std::string folder_;
  Report report_;
  FileHooks hooks_;
  std::chrono::milliseconds retryInterval_{};
  std::mutex mutex_;
  std::condition_variable changed_;
  std::optional<StoredHosts> waiting_;
  bool failing_{};
  bool stopping_{};
  bool ended_{};
};

HostsKeeper::HostsKeeper(std::string aFolder,
                         Report aReport,
                         FileHooks aHooks,
                         std::chrono::milliseconds aRetryInterval)
  : state_(std::make_shared<State>())
{
  state_->folder_ = std::move(aFolder);
  state_->report_ = std::move(aReport);
  state_->hooks_ = std::move(aHooks);
  state_->retryInterval_ = aRetryInterval;
  thread_ = std::thread([state = state_] { state->Run(); });
}

HostsKeeper::~HostsKeeper()
{
  Stop();
}

void
HostsKeeper::Keep(StoredHosts aHosts)
{
  const std::lock_guard lock(state_->mutex_);
  state_->waiting_ = std::move(aHosts);
  state_->changed_.notify_all();
}

void
HostsKeeper::Stop()
{
  if (!thread_.joinable()) {
    return;
  }
  std::unique_lock lock(state_->mutex_);
  state_->stopping_ = true;
  state_->changed_.notify_all();
  const bool ended = state_->changed_.wait_for(
    lock, kStopTimeout, [this] { return state_->ended_; });
  lock.unlock();
  if (ended) {
    thread_.join();
  } else {
    thread_.detach();
  }
}

} // namespace cornelshore::storage
