#include <utility>

#include <cornelshore/daemon/processes.hpp>

#include <algorithm>
#include <functional>
#include <future>
#include <thread>

#include <absl/strings/str_cat.h>

#include <cornelshore/core/hash.hpp>
#include <cornelshore/core/target.hpp>
#include <cornelshore/daemon/control_log.hpp>
#include <cornelshore/daemon/decider.hpp>
#include <cornelshore/daemon/operator_port.hpp>
#include <cornelshore/daemon/targets_json.hpp>
#include <cornelshore/role/control.hpp>
#include <cornelshore/storage/hosts_file.hpp>
#include <cornelshore/storage/hosts_keeper.hpp>
#include <cornelshore/storage/log.hpp>
#include <cornelshore/wire/role_hooks.hpp>
#include <platform/api.hpp>
#include <platform/desired_state.hpp>

namespace cornelshore::daemon {

namespace {

using ControlDecider =
  Decider<role::Control, role::ControlEvent, role::ControlAction>;

constexpr std::size_t kPersistRingCapacity = 4096;
constexpr std::chrono::milliseconds kLongestSleep{ 1000 };
constexpr std::size_t kMostAppendsASync = 256;
constexpr std::chrono::milliseconds kFullDiskRetryInterval{ 50 };

/** Maximum time in which the calls accepted before a stop get an answer. */
constexpr std::chrono::milliseconds kFinishLimit{ 100 };

/** Times of a group that forms itself: an election ends well within the time
 * in which its operators expect an acknowledgement, 5 s. */
constexpr std::chrono::milliseconds kSelfFormingHeartbeat{ 60 };
constexpr std::chrono::milliseconds kSelfFormingElection{ 300 };

/** The thread that writes and syncs; one sync covers all that waits. */
class StorageSide
{
public:
  StorageSide(std::unique_ptr<storage::Log> aLog,
              ControlDecider::EventRing& aEvents)
    : log_(std::move(aLog))
    , events_(aEvents)
    , writes_(kPersistRingCapacity, signal_)
  {
  }

  ~StorageSide() { Stop(); }
  StorageSide(const StorageSide&) = delete;
  StorageSide& operator=(const StorageSide&) = delete;

  void Start()
  {
    thread_ = std::thread([this] { Run(); });
  }

  void Stop()
  {
    stopping_ = true;
    signal_.Wake();
    if (thread_.joinable()) {
      thread_.join();
    }
  }

  /** False when the ring is full: the disk hangs. */
  bool Persist(consensus::Persist aPersist)
  {
    return writes_.Push(std::move(aPersist));
  }

private:
  void Run()
  {
    if (const auto status = WaitForRoom(log_->Failure()); !status.ok()) {
      ReportFailure(status);
    }
    while (!stopping_) {
      if (!WriteWaiting()) {
        signal_.Sleep([this] { return stopping_ || writes_.HasWork(); },
                      kLongestSleep);
      }
    }
    WriteWaiting();
  }

  bool WriteWaiting()
  {
    std::optional<consensus::PersistId> last;
    absl::Status status;
    writes_.Drain(kMostAppendsASync, [&](const consensus::Persist& aPersist) {
      if (status.ok()) {
        status = WaitForRoom(log_->Append(aPersist));
        last = aPersist.id_;
      }
    });
    if (!last) {
      return false;
    }
    if (status.ok()) {
      status = WaitForRoom(log_->Sync());
    }
    if (status.ok()) {
      events_.Push(consensus::Synced{ *last });
    } else {
      ReportFailure(status);
    }
    return true;
  }

  /** Waits while the disk is full: to the replica it is a slow disk, whose
   * writes no vote and no acknowledgement may depend on yet. */
  absl::Status WaitForRoom(absl::Status aStatus)
  {
    if (!absl::IsResourceExhausted(aStatus)) {
      return aStatus;
    }
    const auto since = Now();
    log::Write(log::Level::Error,
               log::Event("disk_full")
                 .With("why", std::string(aStatus.message()))
                 .With("remedy", "free space on the disk of data_folder"));
    while (absl::IsResourceExhausted(aStatus) && !stopping_) {
      std::this_thread::sleep_for(kFullDiskRetryInterval);
      aStatus = log_->Resume();
    }
    const auto waited =
      std::chrono::duration_cast<std::chrono::milliseconds>(Now() - since);
    log::Write(log::Level::Info,
               log::Event("disk_full_ended")
                 .With("waited_ms", static_cast<std::uint64_t>(waited.count()))
                 .With("writes_again", aStatus.ok() ? "yes" : "no"));
    return aStatus;
  }

  void ReportFailure(const absl::Status& aStatus)
  {
    log::Write(
      log::Level::Error,
      log::Event("storage_failed").With("why", std::string(aStatus.message())));
    events_.Push(consensus::StorageFailed{ storage::FaultOf(aStatus) });
  }

  std::unique_ptr<storage::Log> log_;
  ControlDecider::EventRing& events_;
  net::Signal signal_;
  net::Ring<consensus::Persist> writes_;
  std::atomic<bool> stopping_{ false };
  std::thread thread_;
};

/** Answer of the deciding thread to an operator's call. */
using CallAnswer = std::
  variant<role::ApplyResult, role::ShowResult, role::MembershipChangeResult>;

/** Operators' calls that wait for the deciding thread's answer. */
class WaitingCalls
{
public:
  using Done = std::function<void(CallAnswer)>;

  consensus::Token Add(Done aDone)
  {
    const consensus::Token token{ ++last_ };
    waiting_.emplace(token, std::move(aDone));
    if (waiting_.size() > kMostWaiting) {
      waiting_.erase(waiting_.begin());
    }
    return token;
  }

  void Answer(consensus::Token aToken, CallAnswer aAnswer)
  {
    const auto found = waiting_.find(aToken);
    if (found != waiting_.end()) {
      const auto done = std::move(found->second);
      waiting_.erase(found);
      done(std::move(aAnswer));
    }
  }

  /** Drops the calls; each is told that there is no answer. */
  void Clear() { waiting_.clear(); }

private:
  static constexpr std::size_t kMostWaiting = 256;

  std::uint64_t last_{};
  std::map<consensus::Token, Done> waiting_;
};

rpc::Reply
ReplyOf(const role::ApplyResult& aAnswer)
{
  using consensus::ChangeOutcome;
  using consensus::ProposalStatus;
  if (!aAnswer.validity_.ok()) {
    return Refused(std::string(aAnswer.validity_.message()));
  }
  const auto version = aAnswer.answer_.version_.value_;
  switch (aAnswer.status_) {
    case ProposalStatus::Decided:
      break;
    case ProposalStatus::Invalid:
      return Refused("the change is out of bounds; make it smaller");
    case ProposalStatus::Unknown:
      return Unavailable("whether the change was accepted is not known; resend "
                         "it with the same --version and --change-id");
    case ProposalStatus::Unavailable:
    case ProposalStatus::Overloaded:
      return Unavailable(absl::StrCat(
        "control cannot decide now (",
        std::string(NameIn(consensus::kProposalStatusNames, aAnswer.status_)),
        "); retry with the same --version and --change-id"));
  }
  if (aAnswer.answer_.outcome_ == ChangeOutcome::Conflict) {
    return Refused(absl::StrCat("conflict: version ",
                                version,
                                " is in force, made by change ",
                                ChangeIdText(aAnswer.answer_.acceptedChange_),
                                "; look at it with show, then apply again"));
  }
  if (aAnswer.answer_.outcome_ == ChangeOutcome::Superseded) {
    return Refused(absl::StrCat("version ", version, " is in force already"));
  }
  if (aAnswer.answer_.outcome_ == ChangeOutcome::IdReused) {
    return Refused("the change id was used for another change; take a new one");
  }
  return { rpc::ErrorCode::None,
           ToJson(
             Dump()
               .With("outcome",
                     aAnswer.answer_.replayed_ ? "accepted before" : "accepted")
               .With("version", version)),
           "" };
}

rpc::Reply
ReplyOf(const role::ShowResult& aAnswer)
{
  return { rpc::ErrorCode::None,
           ToJson(
             DumpConfiguration(aAnswer.configuration_, aAnswer.confirmed_)),
           "" };
}

rpc::Reply
ReplyOf(const role::MembershipChangeResult& aAnswer)
{
  const auto name =
    std::string(NameIn(consensus::kMembershipStatusNames, aAnswer.status_));
  if (aAnswer.status_ == consensus::MembershipStatus::Done) {
    return { rpc::ErrorCode::None, ToJson(Dump().With("outcome", name)), "" };
  }
  if (aAnswer.status_ == consensus::MembershipStatus::Unavailable) {
    return Unavailable("this process does not lead; ask another one");
  }
  return Refused(name);
}

storage::StoredAt
PresentMoment()
{
  static const auto kBootId = storage::SystemFiles().bootId_();
  return { kBootId, Now(), WallMillis() };
}

/** Carries out a control process's actions. */
class Carrier
{
public:
  Carrier(SendRing& aOut,
          const std::unique_ptr<StorageSide>& aStorage,
          storage::HostsKeeper& aHosts,
          WaitingCalls& aCalls)
    : out_(aOut)
    , storage_(aStorage)
    , hosts_(aHosts)
    , calls_(aCalls)
  {
  }

  void operator()(role::SendToNode& aAction)
  {
    out_.Push({ aAction.to_, std::move(aAction.message_) });
  }

  void operator()(consensus::Persist& aAction)
  {
    diskHangs_ |= !storage_->Persist(std::move(aAction));
  }

  void operator()(role::KeepHosts& aAction)
  {
    hosts_.Keep({ std::move(aAction.hosts_), PresentMoment(), 0 });
  }

  void operator()(role::Log& aAction) { WriteLog(aAction); }
  void operator()(role::Ended&) { ended_ = true; }
  void operator()(consensus::LeaveFinished& aAction)
  {
    replaced_ = aAction.replaced_;
  }
  void operator()(consensus::ReplicaFaulted& aAction)
  {
    fault_ = aAction.fault_;
  }

  template<typename Answer>
  void operator()(Answer& aAction)
  {
    const auto token = aAction.token_;
    calls_.Answer(token, std::move(aAction));
  }

  [[nodiscard]] bool HasEnded() const noexcept { return ended_; }

  /** Whether the group has replaced the replica at its stop. */
  [[nodiscard]] bool IsReplaced() const noexcept { return replaced_; }

  /** Why the replica takes no further part. */
  [[nodiscard]] consensus::Fault Fault() const noexcept { return fault_; }

  /** Whether a write was dropped since the last call: nothing may follow. */
  [[nodiscard]] bool TakeDiskHangs()
  {
    return std::exchange(diskHangs_, false);
  }

private:
  SendRing& out_;
  const std::unique_ptr<StorageSide>& storage_;
  storage::HostsKeeper& hosts_;
  WaitingCalls& calls_;
  bool diskHangs_{};
  bool ended_{};
  bool replaced_{};
  consensus::Fault fault_{ consensus::Fault::None };
};

/** Hands a call to the deciding thread and waits for its answer. */
template<typename Feed>
rpc::Reply
CallAndWait(ControlDecider& aDecider, WaitingCalls& aCalls, Feed aFeed)
{
  std::promise<rpc::Reply> promise;
  auto future = promise.get_future();
  const auto posted =
    aDecider.Post([&aDecider,
                   &aCalls,
                   reply = std::make_shared<PromisedReply>(std::move(promise)),
                   aFeed](auto, auto&) {
      aDecider.Feed(aFeed(aCalls.Add([reply](const CallAnswer& aAnswer) {
        reply->Give(std::visit([](const auto& aKind) { return ReplyOf(aKind); },
                               aAnswer));
      })));
    });
  if (!posted || future.wait_for(kLongestCall) != std::future_status::ready) {
    return Unavailable("no answer in time; a change may yet be accepted: "
                       "resend it with the same --version and --change-id");
  }
  return future.get();
}

rpc::Reply
Apply(ControlDecider& aDecider,
      WaitingCalls& aCalls,
      const Json::Value& aParams)
{
  const auto change = ReadChange(aParams);
  if (!change.ok()) {
    return Refused(std::string(change.status().message()));
  }
  return CallAndWait(
    aDecider, aCalls, [change = *change](consensus::Token aToken) {
      return role::ApplyRequested{ aToken, change };
    });
}

rpc::Reply
ChangeGroup(ControlDecider& aDecider,
            WaitingCalls& aCalls,
            consensus::MembershipChangeKind aKind,
            const Json::Value& aParams)
{
  const auto replica = ReadReplica(aParams);
  if (!replica.ok()) {
    return Refused(std::string(replica.status().message()));
  }
  return CallAndWait(
    aDecider, aCalls, [aKind, id = *replica](consensus::Token aToken) {
      return role::MembershipChangeRequested{ aToken, aKind, id };
    });
}

Methods
MethodsOf(ControlDecider& aDecider, WaitingCalls& aCalls)
{
  using consensus::MembershipChangeKind;
  auto methods = CommonMethods(aDecider);
  methods["history"] = [&](const Json::Value&) {
    return AskDecider(aDecider,
                      [](auto, auto& aRole) { return aRole.History(); });
  };
  methods["show"] = [&](const Json::Value&) {
    return CallAndWait(aDecider, aCalls, [](consensus::Token aToken) {
      return role::ShowRequested{ aToken };
    });
  };
  methods["apply"] = [&](const Json::Value& aParams) {
    return Apply(aDecider, aCalls, aParams);
  };
  methods["trust_disk"] = [&](const Json::Value&) {
    return AskDecider(aDecider, [&aDecider](auto aNow, auto& aRole) {
      aDecider.Feed(role::TrustDiskRequested{});
      return aRole.State(aNow);
    });
  };
  methods["add_replica"] = [&](const Json::Value& aParams) {
    return ChangeGroup(
      aDecider, aCalls, MembershipChangeKind::AddLearner, aParams);
  };
  methods["remove_replica"] = [&](const Json::Value& aParams) {
    return ChangeGroup(aDecider, aCalls, MembershipChangeKind::Remove, aParams);
  };
  return methods;
}

platform::PutOutcome
PutOutcomeOf(const CallAnswer& aAnswer)
{
  using consensus::ProposalStatus;
  const auto* applied = std::get_if<role::ApplyResult>(&aAnswer);
  if (applied == nullptr) {
    return platform::PutOutcome::Unclear;
  }
  if (!applied->validity_.ok() || applied->status_ == ProposalStatus::Invalid) {
    return platform::PutOutcome::Invalid;
  }
  return applied->status_ == ProposalStatus::Decided
           ? platform::PutOutcome::Acknowledged
           : platform::PutOutcome::Unclear;
}

/** Calls over HTTP; their answers are given by the deciding thread. */
platform::ControlApi::Hooks
ApiHooks(ControlDecider& aDecider, WaitingCalls& aCalls)
{
  platform::ControlApi::Hooks hooks;
  hooks.put_ = [&](const consensus::Change& aChange,
                   const platform::ControlApi::PutDone& aDone) {
    const auto posted =
      aDecider.Post([&aDecider, &aCalls, aChange, aDone](auto, auto&) {
        aDecider.Feed(
          role::ApplyRequested{ aCalls.Add([aDone](const CallAnswer& aAnswer) {
                                 aDone(PutOutcomeOf(aAnswer));
                               }),
                                aChange });
      });
    if (!posted) {
      aDone(platform::PutOutcome::Unclear);
    }
  };
  hooks.get_ = [&](const platform::ControlApi::GetDone& aDone) {
    const auto posted = aDecider.Post([&aDecider, &aCalls, aDone](auto, auto&) {
      aDecider.Feed(
        role::ShowRequested{ aCalls.Add([aDone](const CallAnswer& aAnswer) {
          const auto* shown = std::get_if<role::ShowResult>(&aAnswer);
          aDone(shown != nullptr && shown->confirmed_
                  ? std::optional(shown->document_)
                  : std::nullopt);
        }) });
    });
    if (!posted) {
      aDone(std::nullopt);
    }
  };
  return hooks;
}

absl::StatusOr<std::unique_ptr<net::HttpServer>>
OpenApi(Runtime& aRuntime, ControlDecider& aDecider, WaitingCalls& aCalls)
{
  const auto& address = aRuntime.Settings().control_.api_;
  if (address.port_ == 0) {
    return std::unique_ptr<net::HttpServer>();
  }
  net::HttpLimits limits;
  limits.bodyBytes_ = platform::kMostDesiredStateBytes;
  return net::HttpServer::Listen(
    aRuntime.Context(),
    address,
    limits,
    platform::ControlApi(ApiHooks(aDecider, aCalls)));
}

consensus::ReplicaSettings
ReplicaSettingsOf(const settings::ControlSettings& aControl)
{
  consensus::ReplicaSettings replica;
  replica.leaseReads_ = !aControl.syncedWritesLast_;
  if (aControl.formsItself_) {
    replica.targetVoters_ = 2 * aControl.toleratedLosses_ + 1;
    replica.minCopies_ = aControl.toleratedLosses_ + 1;
    replica.heartbeat_ = kSelfFormingHeartbeat;
    replica.electionTimeout_ = kSelfFormingElection;
  }
  return replica;
}

absl::StatusOr<std::unique_ptr<role::Control>>
BuildRole(const Runtime& aRuntime, storage::Recovered& aRecovered)
{
  const auto& settings = aRuntime.Settings();
  std::vector<NodeId> nodes;
  std::vector<std::pair<NodeId, Address>> members;
  for (const auto& member : settings.control_.members_) {
    nodes.push_back(NodeIdOf(member.name_));
    members.emplace_back(nodes.back(), member.address_);
  }
  auto replica = consensus::ReplicaBuilder()
                   .Settings(ReplicaSettingsOf(settings.control_))
                   .State(aRecovered.state_)
                   .VerificationMode(aRecovered.verification_)
                   .Seeds(nodes)
                   .Seed(aRuntime.NodeSettings().seed_)
                   .Build(Now());
  if (!replica.ok()) {
    return replica.status();
  }
  return role::Control::Builder(aRuntime.NodeSettings(), *std::move(replica))
    .WithSeeds(settings.seeds_)
    .WithMembers(std::move(members))
    .WithHooks(wire::RoleHooks())
    .Build(Now());
}

/** Host records of an earlier run; nothing when there are none to be read. */
std::optional<dissemination::HostsRecovered>
RecoverHosts(const std::string& aFolder)
{
  auto stored = storage::ReadHosts(aFolder);
  if (absl::IsNotFound(stored.status())) {
    return std::nullopt;
  }
  if (!stored.ok()) {
    log::Write(log::Level::Warning,
               log::Event("host_records_not_recovered")
                 .With("why", std::string(stored.status().message())));
    return std::nullopt;
  }
  if (stored->refused_ != 0) {
    log::Write(log::Level::Warning,
               log::Event("host_records_refused")
                 .With("records", std::uint64_t{ stored->refused_ }));
  }
  const auto age = storage::TimeBetween(stored->at_, PresentMoment());
  return dissemination::HostsRecovered{ std::move(stored->hosts_), age };
}

void
ReportHostsNotKept(const absl::Status& aStatus)
{
  log::Write(log::Level::Error,
             log::Event("host_records_not_kept")
               .With("why", std::string(aStatus.message()))
               .With("remedy", "check the disk of data_folder"));
}

} // namespace

absl::Status
RunControl(Runtime& aRuntime)
{
  auto recovered = OpenControlLog(aRuntime);
  if (!recovered.ok()) {
    return recovered.status();
  }
  auto role = BuildRole(aRuntime, *recovered);
  if (!role.ok()) {
    return role.status();
  }
  log::Write(
    log::Level::Info,
    log::Event("disk_read")
      .With("entries", std::uint64_t{ recovered->state_.entries_.size() })
      .With("torn_bytes", recovered->tornBytes_)
      .With("verification",
            NameIn(consensus::kVerificationNames, recovered->verification_)));
  WaitingCalls calls;
  std::unique_ptr<StorageSide> storage;
  const auto& folder = aRuntime.Settings().control_.dataFolder_;
  storage::HostsKeeper hosts(folder, ReportHostsNotKept);
  Carrier carrier(aRuntime.Sender().AddRing(), storage, hosts, calls);
  std::unique_ptr<ControlDecider> decider;
  decider = std::make_unique<ControlDecider>(
    aRuntime, *std::move(role), [&](role::ControlAction& aAction) {
      std::visit([&](auto& aKind) { carrier(aKind); }, aAction);
      if (carrier.TakeDiskHangs()) {
        decider->Feed(
          consensus::StorageFailed{ consensus::Fault::WriteFailed });
      }
      const auto heals = aRuntime.Settings().control_.formsItself_ &&
                         carrier.Fault() != consensus::Fault::None;
      if (carrier.HasEnded() || heals) {
        decider->End();
      }
    });
  auto& received = decider->AddRing();
  storage = std::make_unique<StorageSide>(std::move(recovered->log_),
                                          decider->AddRing());
  OperatorPort port(aRuntime.Settings(), MethodsOf(*decider, calls));
  const auto api = OpenApi(aRuntime, *decider, calls);
  for (const auto& status : { port.Start(), api.status() }) {
    if (!status.ok()) {
      return status;
    }
  }
  storage->Start();
  if (auto recoveredHosts = RecoverHosts(folder)) {
    decider->Feed(*std::move(recoveredHosts));
  }
  aRuntime.Start(
    [&](role::NodeMessage aMessage) { received.Push(std::move(aMessage)); },
    [&] { received.Push(role::StopRequested{}); });
  decider->Run();
  calls.Clear();
  if (*api) {
    (*api)->Finish(kFinishLimit);
  }
  port.Stop();
  hosts.Stop();
  storage->Stop();
  aRuntime.Stop();
  if (carrier.Fault() == consensus::Fault::None) {
    storage.reset();
    const auto joinsAnew =
      carrier.IsReplaced() && aRuntime.Settings().control_.formsItself_;
    return joinsAnew ? storage::Discard(folder) : absl::OkStatus();
  }
  storage.reset();
  return HealControlLog(aRuntime.Settings().control_, carrier.Fault());
}

} // namespace cornelshore::daemon
