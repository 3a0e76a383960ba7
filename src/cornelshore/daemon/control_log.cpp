#include <cornelshore/daemon/control_log.hpp>

#include <algorithm>
#include <random>
#include <thread>
#include <vector>

#include <absl/strings/str_cat.h>

#include <cornelshore/core/target.hpp>
#include <cornelshore/log/event.hpp>

namespace cornelshore::daemon {

namespace {

/** A start waits so long for room on a full disk before it gives up. */
constexpr std::chrono::seconds kFullDiskPatience{ 4 };
constexpr std::chrono::milliseconds kFullDiskPause{ 200 };

/** Disk number of a member at the group's first start. */
constexpr Incarnation kFirstDisk{ 1 };

/** A number that no other disk of this VM has; wall clocks step back. */
Incarnation
DrawDisk()
{
  std::random_device device;
  const auto drawn = (std::uint64_t{ device() } << 32U) | device();
  return Incarnation{ std::max(drawn, kFirstDisk.value_ + 1) };
}

/** State of an empty folder: a first member's, or that of one who joins. */
consensus::DurableState
EmptyFolderState(const Runtime& aRuntime)
{
  const auto& control = aRuntime.Settings().control_;
  std::vector<consensus::ReplicaId> voters;
  for (const auto& member : control.members_) {
    voters.push_back({ NodeIdOf(member.name_), kFirstDisk });
  }
  const auto isFirst =
    std::any_of(voters.begin(), voters.end(), [&](const auto& aVoter) {
      return aVoter.node_ == aRuntime.Self();
    });
  if (!control.bootstrap_ || !isFirst) {
    return consensus::JoiningState({ aRuntime.Self(), DrawDisk() });
  }
  return consensus::BootstrapState({ aRuntime.Self(), kFirstDisk }, voters);
}

consensus::Verification
FreshVerification(const settings::ControlSettings& aControl)
{
  if (aControl.syncedWritesLast_) {
    return consensus::Verification::Durable;
  }
  return aControl.bootstrap_ ? consensus::Verification::Unproven
                             : consensus::Verification::Continued;
}

absl::StatusOr<storage::Recovered>
OpenLog(const Runtime& aRuntime)
{
  const auto& control = aRuntime.Settings().control_;
  auto recovered = storage::Log::Open(control.dataFolder_);
  if (absl::IsDataLoss(recovered.status()) && control.formsItself_) {
    log::Write(log::Level::Error,
               log::Event("disk_discarded")
                 .With("why", std::string(recovered.status().message())));
    if (auto status = storage::Discard(control.dataFolder_); !status.ok()) {
      return status;
    }
    recovered = storage::Log::Open(control.dataFolder_);
  }
  if (recovered.ok() && control.syncedWritesLast_) {
    recovered->state_.hard_.durabilityProven_ = true;
    recovered->verification_ = consensus::Verification::Durable;
  }
  if (recovered.ok() || !absl::IsNotFound(recovered.status())) {
    return recovered;
  }
  auto state = EmptyFolderState(aRuntime);
  state.hard_.durabilityProven_ =
    state.hard_.durabilityProven_ || control.syncedWritesLast_;
  auto log = storage::Log::Create(control.dataFolder_, state);
  if (!log.ok()) {
    return log.status();
  }
  storage::Recovered fresh;
  fresh.log_ = *std::move(log);
  fresh.state_ = std::move(state);
  fresh.verification_ = FreshVerification(control);
  return fresh;
}

} // namespace

absl::StatusOr<storage::Recovered>
OpenControlLog(const Runtime& aRuntime)
{
  auto recovered = OpenLog(aRuntime);
  const auto end = Now() + kFullDiskPatience;
  while (absl::IsResourceExhausted(recovered.status()) && Now() < end) {
    std::this_thread::sleep_for(kFullDiskPause);
    recovered = OpenLog(aRuntime);
  }
  return recovered;
}

absl::Status
HealControlLog(const settings::ControlSettings& aControl,
               consensus::Fault aFault)
{
  const auto joinsAnew = aFault == consensus::Fault::Removed ||
                         aFault == consensus::Fault::RolledBack;
  if (joinsAnew) {
    if (auto status = storage::Discard(aControl.dataFolder_); !status.ok()) {
      return status;
    }
  }
  return absl::AbortedError(
    absl::StrCat("the replica faulted (",
                 std::string(NameIn(consensus::kFaultNames, aFault)),
                 "); it takes part again after a restart"));
}

} // namespace cornelshore::daemon
