#include <cornelshore/role/control.hpp>

#include <deque>
#include <map>
#include <tuple>

#include <gtest/gtest.h>

namespace cornelshore::role {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kVms = 3;

/** Delay of a sync; longer than the round trip of the first heartbeat. */
constexpr Duration kSyncDelay = milliseconds{ 4 };

Address
AddressOf(std::uint64_t aNode)
{
  return MakeIpv4(0x0A000000U + static_cast<std::uint32_t>(aNode), 7720);
}

/** Three control processes with disks, over a network with 1 ms of delay. */
class Group
{
public:
  Group()
  {
    std::vector<consensus::ReplicaId> first;
    for (std::uint64_t node = 1; node <= kVms; ++node) {
      first.push_back({ NodeId{ node }, Incarnation{ 1 } });
    }
    for (const auto& id : first) {
      auto& disk = disks_[id.node_.value_];
      disk = consensus::BootstrapState(id, first);
      disk.hard_.durabilityProven_ = true;
    }
    StartAll();
  }

  void StartAll()
  {
    ++incarnation_;
    leaderAt_.reset();
    confirmedAt_.reset();
    minConfirmed_.reset();
    network_.clear();
    writes_.clear();
    vms_.clear();
    for (const auto& [node, disk] : disks_) {
      Start(node);
    }
  }

  void RunFor(Duration aLength)
  {
    const auto end = now_ + aLength;
    while (now_ < end) {
      now_ += milliseconds{ 1 };
      for (auto& [to, message] : std::exchange(network_, {})) {
        Dispatch(to, std::move(message));
      }
      FinishWrites();
      for (auto& [node, vm] : vms_) {
        if (vm->NextTimer() <= now_) {
          Dispatch(node, Tick{});
        }
      }
    }
  }

  void Apply(std::uint64_t aVersion)
  {
    consensus::Change change;
    change.id_ = { aVersion, 1 };
    change.chosen_ = ConfigVersion{ aVersion };
    Dispatch(1, ApplyRequested{ consensus::Token{ aVersion }, change });
  }

  [[nodiscard]] std::optional<TimePoint> LeaderAt() const { return leaderAt_; }
  [[nodiscard]] std::optional<TimePoint> ConfirmedAt() const
  {
    return confirmedAt_;
  }

  /** Lowest version confirmed by any process since the last restart. */
  [[nodiscard]] std::optional<ConfigVersion> MinConfirmed() const
  {
    return minConfirmed_;
  }

private:
  void Start(std::uint64_t aNode)
  {
    consensus::ReplicaSettings settings;
    settings.heartbeat_ = milliseconds{ 60 };
    settings.electionTimeout_ = milliseconds{ 300 };
    settings.leaseReads_ = false;
    auto replica = consensus::ReplicaBuilder()
                     .Settings(settings)
                     .State(disks_.at(aNode))
                     .VerificationMode(consensus::Verification::Durable)
                     .Seed(aNode * 31 + incarnation_)
                     .Build(now_);
    ASSERT_TRUE(replica.ok()) << replica.status();
    dissemination::NodeSettings node;
    node.self_ = NodeId{ aNode };
    node.incarnation_ = Incarnation{ incarnation_ };
    node.address_ = AddressOf(aNode);
    node.seed_ = aNode;
    node.joiningRoundInterval_ = milliseconds{ 100 };
    Hooks hooks;
    hooks.encode_ = [](const Configuration& aConfiguration) {
      return std::to_string(aConfiguration.version_.value_);
    };
    Control::Builder builder(node, *std::move(replica));
    std::vector<std::pair<NodeId, Address>> members;
    std::vector<Address> seeds;
    for (std::uint64_t other = 1; other <= kVms; ++other) {
      members.emplace_back(NodeId{ other }, AddressOf(other));
      if (other != aNode) {
        seeds.push_back(AddressOf(other));
      }
    }
    auto control =
      builder.WithMembers(members).WithSeeds(seeds).WithHooks(hooks).Build(
        now_);
    ASSERT_TRUE(control.ok()) << control.status();
    vms_[aNode] = *std::move(control);
  }

  void Dispatch(std::uint64_t aNode, ControlEvent aEvent)
  {
    const auto found = vms_.find(aNode);
    if (found == vms_.end()) {
      return;
    }
    for (auto& action : found->second->On(now_, std::move(aEvent))) {
      if (auto* send = std::get_if<SendToNode>(&action)) {
        Send(aNode, *send);
      } else if (auto* persist = std::get_if<consensus::Persist>(&action)) {
        writes_.emplace_back(now_ + kSyncDelay, aNode, std::move(*persist));
      } else if (const auto* log = std::get_if<Log>(&action)) {
        RecordLog(*log);
      }
    }
  }

  void FinishWrites()
  {
    while (!writes_.empty() && std::get<0>(writes_.front()) <= now_) {
      auto [due, node, write] = std::move(writes_.front());
      writes_.pop_front();
      disks_.at(node).Apply(write);
      Dispatch(node, consensus::Synced{ write.id_ });
    }
  }

  void Send(std::uint64_t aFrom, SendToNode& aSend)
  {
    const auto* update = std::get_if<dissemination::Message>(&aSend.message_);
    if (update != nullptr && update->header_.confirmation_) {
      const auto version = update->header_.confirmation_->version_;
      confirmedAt_ = confirmedAt_.value_or(now_);
      minConfirmed_ = std::min(minConfirmed_.value_or(version), version);
    }
    for (std::uint64_t node = 1; node <= kVms; ++node) {
      if (AddressOf(node) == aSend.to_) {
        network_.emplace_back(node,
                              NodeMessage{ NodeId{ aFrom },
                                           Incarnation{ incarnation_ },
                                           AddressOf(aFrom),
                                           std::move(aSend.message_) });
        return;
      }
    }
  }

  void RecordLog(const Log& aLog)
  {
    const auto leads =
      aLog.name_ == "control_group_changed" &&
      std::find(aLog.fields_.begin(),
                aLog.fields_.end(),
                std::pair(std::string("role"), std::string("leader"))) !=
        aLog.fields_.end();
    if (leads && !leaderAt_) {
      leaderAt_ = now_;
    }
  }

  std::map<std::uint64_t, consensus::DurableState> disks_;
  std::map<std::uint64_t, std::unique_ptr<Control>> vms_;
  std::vector<std::pair<std::uint64_t, ControlEvent>> network_;
  std::deque<std::tuple<TimePoint, std::uint64_t, consensus::Persist>> writes_;
  TimePoint now_{ std::chrono::hours{ 1 } };
  std::uint64_t incarnation_{};
  std::optional<TimePoint> leaderAt_;
  std::optional<TimePoint> confirmedAt_;
  std::optional<ConfigVersion> minConfirmed_;
};

TEST(Control, ConfirmsTheConfigurationAsSoonAsItHoldsALease)
{
  Group group;
  group.RunFor(seconds{ 2 });
  group.Apply(7);
  group.RunFor(seconds{ 1 });
  for (int restart = 0; restart < 5; ++restart) {
    group.StartAll();
    group.RunFor(seconds{ 3 });
    ASSERT_TRUE(group.LeaderAt());
    ASSERT_TRUE(group.ConfirmedAt());
    EXPECT_LE(*group.ConfirmedAt() - *group.LeaderAt(), milliseconds{ 110 });
  }
}

TEST(Control, ConfirmsNoVersionBelowTheAcceptedOneAfterARestart)
{
  Group group;
  group.RunFor(seconds{ 2 });
  for (std::uint64_t version = 1; version <= 30; ++version) {
    group.Apply(version);
    group.RunFor(milliseconds{ 16 });
    group.StartAll();
    group.RunFor(seconds{ 2 });
    ASSERT_TRUE(group.MinConfirmed());
    EXPECT_EQ(group.MinConfirmed()->value_, version);
  }
}

constexpr ServiceId kService{ 7 };

HostRecord
RecordOf(std::uint64_t aHost, std::uint64_t aSequence, HostState aState)
{
  HostRecord record;
  record.id_ = HostId{ 1000 + aHost };
  record.incarnation_ = Incarnation{ 5 };
  record.sequence_ = aSequence;
  record.service_ = kService;
  record.agent_ = AddressOf(1000 + aHost);
  record.state_ = aState;
  return record;
}

/** One control process that receives host records and stores them. */
class HostKeeping
{
public:
  HostKeeping()
  {
    const consensus::ReplicaId id{ NodeId{ 1 }, Incarnation{ 1 } };
    consensus::ReplicaSettings settings;
    settings.leaseReads_ = false;
    auto replica = consensus::ReplicaBuilder()
                     .Settings(settings)
                     .State(consensus::BootstrapState(id, { id }))
                     .VerificationMode(consensus::Verification::Durable)
                     .Seed(3)
                     .Build(now_);
    dissemination::NodeSettings node;
    node.self_ = NodeId{ 1 };
    node.incarnation_ = Incarnation{ 1 };
    node.address_ = AddressOf(1);
    Hooks hooks;
    hooks.encode_ = [](const Configuration&) { return std::string(); };
    control_ =
      *Control::Builder(node, *std::move(replica)).WithHooks(hooks).Build(now_);
  }

  void Feed(ControlEvent aEvent)
  {
    for (auto& action : control_->On(now_, std::move(aEvent))) {
      if (auto* keep = std::get_if<KeepHosts>(&action)) {
        kept_.emplace_back(now_, std::move(*keep));
      } else if (auto* log = std::get_if<Log>(&action)) {
        logs_.push_back(std::move(*log));
      }
    }
  }

  void Receive(const HostRecord& aRecord)
  {
    dissemination::Message message;
    message.header_.kind_ = dissemination::MessageKind::Push;
    message.header_.incarnation_ = Incarnation{ 1 };
    message.hosts_.push_back({ aRecord, {} });
    Feed(NodeMessage{ NodeId{ 2 }, Incarnation{ 1 }, AddressOf(2), message });
  }

  void RunFor(Duration aLength)
  {
    const auto end = now_ + aLength;
    while (now_ < end) {
      now_ += milliseconds{ 10 };
      if (control_->NextTimer() <= now_) {
        Feed(Tick{});
      }
    }
  }

  TimePoint now_{ std::chrono::hours{ 50 } };
  std::unique_ptr<Control> control_;
  std::vector<std::pair<TimePoint, KeepHosts>> kept_;
  std::vector<Log> logs_;
};

// Guards against a disk that is written for each record of a fleet that
// starts, and against hosts missing from what is stored last.
TEST(Control, KeepsChangedHostRecordsAtMostOnceASecond)
{
  HostKeeping keeping;
  for (std::uint64_t host = 1; host <= 200; ++host) {
    keeping.Receive(RecordOf(host, 1, HostState::Ready));
    keeping.RunFor(milliseconds{ 20 });
  }
  keeping.Receive(RecordOf(9, 2, HostState::Gone));
  keeping.RunFor(seconds{ 2 });
  ASSERT_FALSE(keeping.kept_.empty());
  EXPECT_LE(keeping.kept_.size(), 7U);
  for (std::size_t index = 1; index < keeping.kept_.size(); ++index) {
    EXPECT_GE(keeping.kept_[index].first - keeping.kept_[index - 1].first,
              seconds{ 1 });
  }
  const auto& hosts = keeping.kept_.back().second.hosts_;
  ASSERT_EQ(hosts.size(), 200U);
  EXPECT_EQ(hosts[0].record_, RecordOf(1, 1, HostState::Ready));
  EXPECT_EQ(hosts[8].record_, RecordOf(9, 2, HostState::Gone));
  EXPECT_GT(hosts[8].age_, Duration::zero());
}

// Guards against writes for changes that no restart needs, such as the buckets
// that hosts hold, which change all the time.
TEST(Control, StoresHostRecordsOnlyWhenHostsComeOrGo)
{
  HostKeeping keeping;
  keeping.Receive(RecordOf(1, 1, HostState::Ready));
  keeping.RunFor(seconds{ 2 });
  ASSERT_EQ(keeping.kept_.size(), 1U);
  for (std::uint64_t sequence = 2; sequence <= 100; ++sequence) {
    auto record = RecordOf(1, sequence, HostState::Ready);
    record.held_.set(sequence);
    keeping.Receive(record);
    keeping.RunFor(milliseconds{ 100 });
  }
  EXPECT_EQ(keeping.kept_.size(), 1U);
  auto restarted = RecordOf(1, 1, HostState::Ready);
  restarted.incarnation_ = Incarnation{ 6 };
  keeping.Receive(restarted);
  keeping.RunFor(seconds{ 2 });
  ASSERT_EQ(keeping.kept_.size(), 2U);
  EXPECT_EQ(keeping.kept_.back().second.hosts_[0].record_, restarted);
}

// Guards against records of a fleet without changes that look, after days, as
// if the control VM had been down for days, and are dropped.
TEST(Control, StoresUnchangedHostRecordsAgainBeforeTheyLookOld)
{
  HostKeeping keeping;
  keeping.Receive(RecordOf(1, 1, HostState::Ready));
  keeping.RunFor(std::chrono::minutes{ 35 });
  EXPECT_EQ(keeping.kept_.size(), 4U);
}

// Guards against the last changes before a planned stop that are not stored.
TEST(Control, StoresHostRecordsWhenItStops)
{
  HostKeeping keeping;
  keeping.RunFor(seconds{ 2 });
  keeping.Receive(RecordOf(1, 1, HostState::Ready));
  keeping.Feed(StopRequested{});
  ASSERT_EQ(keeping.kept_.size(), 1U);
  EXPECT_EQ(keeping.kept_[0].second.hosts_.size(), 1U);
}

// Guards against a restart of all processes after which nobody knows a host
// until its agent announces it.
TEST(Control, KnowsTheHostsOfItsEarlierRun)
{
  HostKeeping before;
  before.Receive(RecordOf(1, 3, HostState::Ready));
  before.Receive(RecordOf(2, 4, HostState::Gone));
  before.RunFor(seconds{ 2 });
  ASSERT_FALSE(before.kept_.empty());
  HostKeeping after;
  after.Feed(dissemination::HostsRecovered{ before.kept_.back().second.hosts_,
                                            seconds{ 5 } });
  ASSERT_EQ(after.logs_.size(), 1U);
  EXPECT_EQ(after.logs_[0].name_, "host_records_recovered");
  const std::vector<std::pair<std::string, std::string>> fields{
    { "hosts", "2" }, { "age_ms", "5000" }
  };
  EXPECT_EQ(after.logs_[0].fields_, fields);
  after.RunFor(seconds{ 2 });
  ASSERT_FALSE(after.kept_.empty());
  const auto& hosts = after.kept_.back().second.hosts_;
  ASSERT_EQ(hosts.size(), 2U);
  EXPECT_EQ(hosts[0].record_, RecordOf(1, 0, HostState::Starting));
  EXPECT_EQ(hosts[1].record_, RecordOf(2, 4, HostState::Gone));
}

// Guards against hosts that ended without notice and are carried from run to
// run for ever.
TEST(Control, DropsAHostThatNoAgentConfirmsForATombstonesLife)
{
  auto hosts =
    std::vector<dissemination::HostUpdate>{ { RecordOf(1, 3, HostState::Ready),
                                              {} } };
  for (int run = 0; run < 2; ++run) {
    HostKeeping keeping;
    keeping.Feed(
      dissemination::HostsRecovered{ hosts, std::chrono::hours{ 2 } });
    keeping.RunFor(seconds{ 2 });
    ASSERT_FALSE(keeping.kept_.empty());
    hosts = keeping.kept_.back().second.hosts_;
    ASSERT_EQ(hosts.size(), 1U) << run;
    EXPECT_GE(hosts[0].age_, std::chrono::hours{ 2 * (run + 1) });
  }
  HostKeeping last;
  last.Feed(dissemination::HostsRecovered{ hosts, std::chrono::hours{ 2 } });
  EXPECT_EQ(last.logs_.at(0).fields_.at(0).second, "0");
}

} // namespace
} // namespace cornelshore::role
