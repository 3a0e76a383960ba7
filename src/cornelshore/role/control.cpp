#include <cornelshore/role/control.hpp>

#include <algorithm>
#include <cstddef>
#include <map>
#include <optional>
#include <utility>

#include <absl/container/flat_hash_map.h>

#include <cornelshore/admission/validate.hpp>
#include <cornelshore/role/address_book.hpp>
#include <cornelshore/role/figures.hpp>
#include <cornelshore/role/host_dump.hpp>

namespace cornelshore::role {

namespace {

using Actions = std::vector<ControlAction>;

/** Interval between log lines of a replica that is not admitted. */
constexpr Duration kAdmissionLogInterval = std::chrono::seconds{ 5 };

/** Interval between confirmations of the configuration in force. */
constexpr Duration kConfirmInterval = std::chrono::milliseconds{ 250 };

/** Shortest interval between writes of the host records. */
constexpr Duration kKeepHostsInterval = std::chrono::seconds{ 1 };

/** Longest one: much shorter than the life of a tombstone. */
constexpr Duration kKeepHostsRefreshInterval = std::chrono::minutes{ 10 };

/** What matters of a host's record after a restart. */
struct KeptHost
{
  Incarnation incarnation_;
  bool gone_{};
  bool confirmed_{}; ///< By its agent, since the record was recovered.

  bool operator==(const KeptHost&) const noexcept = default;
};

KeptHost
KeptHostOf(const HostRecord& aRecord)
{
  const bool gone = aRecord.state_ == HostState::Gone;
  return { aRecord.incarnation_, gone, gone || aRecord.sequence_ != 0 };
}

/** Remedy for an operator when a replica has stopped participating. */
std::string
RemedyOf(consensus::Fault aFault)
{
  if (aFault == consensus::Fault::RolledBack) {
    return "stop the process, empty its data folder, set bootstrap = false, "
           "restart it";
  }
  return aFault == consensus::Fault::Removed
           ? "stop the process; the group continues without it"
           : "repair the disk, then restart the process";
}

} // namespace

struct Control::Parts
{
  Parts(dissemination::Node aNode, consensus::Replica aReplica)
    : node_(std::move(aNode))
    , replica_(std::move(aReplica))
  {
  }

  void FeedNode(TimePoint aNow,
                const dissemination::Event& aEvent,
                Actions& aOut)
  {
    for (auto& action : node_.On(aNow, aEvent)) {
      std::visit([&](auto& aAction) { Execute(aNow, aAction, aOut); }, action);
    }
  }

  void FeedReplica(TimePoint aNow, consensus::Event aEvent, Actions& aOut)
  {
    for (auto& action : replica_.On(aNow, std::move(aEvent))) {
      std::visit([&](auto& aAction) { Execute(aNow, aAction, aOut); }, action);
    }
    LogGroupChange(aOut);
    ConfirmIfNewlyCurrent(aNow, aOut);
  }

  /** After an outage all processes wait for a confirmation, so the first one is
   * sent at once instead of at the next interval. */
  void ConfirmIfNewlyCurrent(TimePoint aNow, Actions& aOut)
  {
    const auto current = replica_.IsRegisterCurrent(aNow);
    if (current && !wasCurrent_) {
      nextConfirmAt_ = aNow + kConfirmInterval;
      Confirm(aNow, aOut);
    }
    wasCurrent_ = current;
  }

  /** Logs the leader and the members whenever this replica sees them change. */
  void LogGroupChange(Actions& aOut)
  {
    auto standing = replica_.Standing();
    if (standing == standing_) {
      return;
    }
    standing_ = std::move(standing);
    std::string members;
    for (const auto& member : standing_.membership_.members_) {
      members += members.empty() ? "" : ",";
      members += internal::HexOf(member.id_.node_.value_) + ":" +
                 std::string(NameIn(consensus::kMemberRoleNames, member.role_));
    }
    aOut.emplace_back(Log{
      Severity::Info,
      "control_group_changed",
      { { "role", std::string(NameIn(consensus::kRoleNames, standing_.role_)) },
        { "leader",
          standing_.leader_ ? internal::HexOf(standing_.leader_->node_.value_)
                            : std::string() },
        { "term", std::to_string(standing_.term_.value_) },
        { "members", std::move(members) } } });
  }

  void Execute(TimePoint, dissemination::Send& aAction, Actions& aOut)
  {
    aOut.emplace_back(
      SendToNode{ aAction.address_, std::move(aAction.message_) });
  }

  void Execute(TimePoint aNow, dissemination::HostsChanged& aAction, Actions&)
  {
    for (const auto& record : aAction.records_) {
      const auto host = KeptHostOf(record);
      auto& kept = keptHosts_[record.id_];
      hostsChanged_ |= kept != host;
      kept = host;
      if (host.confirmed_) {
        unconfirmedSince_.erase(record.id_);
      } else {
        unconfirmedSince_.emplace(record.id_, aNow);
      }
    }
  }

  void KeepHostRecords(TimePoint aNow, Actions& aOut)
  {
    keptAt_ = aNow;
    hostsChanged_ = false;
    keptHosts_.clear();
    KeepHosts keep;
    for (auto& record : node_.Hosts().All()) {
      keptHosts_[record.id_] = KeptHostOf(record);
      auto age = node_.Hosts().AgeOf(aNow, record.id_);
      const auto unconfirmed = unconfirmedSince_.find(record.id_);
      if (unconfirmed != unconfirmedSince_.end()) {
        age = aNow - unconfirmed->second;
      }
      record.held_.reset();
      keep.hosts_.push_back({ record, age });
    }
    aOut.emplace_back(std::move(keep));
  }

  void KeepHostRecordsWhenDue(TimePoint aNow, Actions& aOut)
  {
    const auto interval =
      hostsChanged_ ? kKeepHostsInterval : kKeepHostsRefreshInterval;
    if (aNow - keptAt_ >= interval) {
      KeepHostRecords(aNow, aOut);
    }
  }

  void Execute(TimePoint aNow, dissemination::PeersChanged&, Actions& aOut)
  {
    DiscoverPeers(aNow, aOut);
  }

  /** Starts at another node each time: more may have ended without notice than
   * the replica contacts. */
  void DiscoverPeers(TimePoint aNow, Actions& aOut)
  {
    consensus::PeersDiscovered known;
    for (const auto& peer : node_.Peers()) {
      if (peer.role_ == membership::NodeRole::Control &&
          peer.address_ != self_ && !node_.IsSilent(aNow, peer.id_)) {
        known.nodes_.push_back(peer.id_);
      }
    }
    if (!known.nodes_.empty()) {
      firstDiscovered_ =
        (firstDiscovered_ + consensus::kMaxMembers) % known.nodes_.size();
      std::rotate(known.nodes_.begin(),
                  known.nodes_.begin() +
                    static_cast<std::ptrdiff_t>(firstDiscovered_),
                  known.nodes_.end());
    }
    FeedReplica(aNow, std::move(known), aOut);
  }

  void Execute(TimePoint, dissemination::ConfigChanged& aAction, Actions& aOut)
  {
    aOut.emplace_back(
      Log{ Severity::Info,
           "configuration_in_force",
           { { "version", std::to_string(aAction.version_.value_) },
             { "confirmed", aAction.confirmed_ ? "yes" : "no" } } });
  }

  void Execute(TimePoint, consensus::Persist& aAction, Actions& aOut)
  {
    aOut.emplace_back(std::move(aAction));
  }

  void Execute(TimePoint, consensus::Send& aAction, Actions& aOut)
  {
    const auto address = AddressOf(aAction.message_.to_.node_);
    if (address) {
      aOut.emplace_back(SendToNode{ *address, std::move(aAction.message_) });
    }
  }

  void Execute(TimePoint, consensus::ProposalResponse& aAction, Actions& aOut)
  {
    aOut.emplace_back(ApplyResult{
      aAction.token_, absl::OkStatus(), aAction.status_, aAction.answer_ });
  }

  void Execute(TimePoint, consensus::MembershipResponse& aAction, Actions& aOut)
  {
    aOut.emplace_back(
      MembershipChangeResult{ aAction.token_, aAction.status_ });
  }

  void Execute(TimePoint, consensus::ReadResponse& aAction, Actions& aOut)
  {
    aOut.emplace_back(ShowResult{ aAction.token_,
                                  aAction.confirmed_,
                                  replica_.AppliedRegister().Current(),
                                  replica_.AppliedRegister().Document() });
  }

  void Execute(TimePoint aNow, consensus::LeaveFinished& aAction, Actions& aOut)
  {
    const auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(
      aNow - stopRequestedAt_.value_or(aNow));
    aOut.emplace_back(
      Log{ Severity::Info,
           "control_group_left",
           { { "replaced", aAction.replaced_ ? "yes" : "no" },
             { "waited_ms", std::to_string(waited.count()) } } });
    aOut.emplace_back(aAction);
    End(aNow, aOut);
  }

  void Execute(TimePoint aNow, consensus::Applied& aAction, Actions& aOut)
  {
    aOut.emplace_back(
      Log{ Severity::Info,
           "configuration_accepted",
           { { "version", std::to_string(aAction.version_.value_) } } });
    PublishConfiguration(aNow, aOut);
  }

  void Execute(TimePoint, consensus::ReplicaFaulted& aAction, Actions& aOut)
  {
    aOut.emplace_back(
      Log{ Severity::Error,
           "replica_faulted",
           { { "fault",
               std::string(NameIn(consensus::kFaultNames, aAction.fault_)) },
             { "remedy", RemedyOf(aAction.fault_) } } });
    aOut.emplace_back(aAction);
  }

  void PublishConfiguration(TimePoint aNow, Actions& aOut)
  {
    const auto& configuration = replica_.AppliedRegister().Current();
    if (configuration.version_.value_ != 0) {
      FeedNode(aNow,
               dissemination::ConfigAccepted{ configuration.version_,
                                              hooks_.encode_(configuration) },
               aOut);
    }
  }

  void Handle(TimePoint aNow, NodeMessage& aEvent, Actions& aOut)
  {
    addressBook_.Insert(aEvent.from_, aEvent.address_);
    if (auto* message = std::get_if<dissemination::Message>(&aEvent.message_)) {
      FeedNode(aNow,
               dissemination::Received{
                 aEvent.from_, aEvent.address_, std::move(*message) },
               aOut);
      return;
    }
    auto* message = std::get_if<consensus::Message>(&aEvent.message_);
    if (message == nullptr || message->from_.node_ != aEvent.from_) {
      ++unexpectedMessages_;
      return;
    }
    FeedReplica(aNow, consensus::Received{ std::move(*message) }, aOut);
  }

  void Handle(TimePoint aNow, consensus::Synced& aEvent, Actions& aOut)
  {
    FeedReplica(aNow, aEvent, aOut);
  }

  void Handle(TimePoint aNow, consensus::StorageFailed& aEvent, Actions& aOut)
  {
    FeedReplica(aNow, aEvent, aOut);
  }

  void Handle(TimePoint aNow, ApplyRequested& aEvent, Actions& aOut)
  {
    const auto validity = Validity(aEvent.change_);
    if (!validity.ok()) {
      aOut.emplace_back(ApplyResult{
        aEvent.token_, validity, consensus::ProposalStatus::Invalid, {} });
      return;
    }
    FeedReplica(aNow,
                consensus::Propose{ aEvent.token_, std::move(aEvent.change_) },
                aOut);
  }

  void Handle(TimePoint aNow, ShowRequested& aEvent, Actions& aOut)
  {
    FeedReplica(aNow, consensus::Read{ aEvent.token_ }, aOut);
  }

  void Handle(TimePoint aNow, MembershipChangeRequested& aEvent, Actions& aOut)
  {
    FeedReplica(aNow,
                consensus::ChangeMembership{
                  aEvent.token_, aEvent.kind_, aEvent.replica_ },
                aOut);
  }

  void Handle(TimePoint aNow, TrustDiskRequested&, Actions& aOut)
  {
    FeedReplica(aNow, consensus::TrustDisk{}, aOut);
  }

  void Handle(TimePoint aNow,
              dissemination::HostsRecovered& aEvent,
              Actions& aOut)
  {
    FeedNode(aNow, aEvent, aOut);
    for (const auto& host : aEvent.hosts_) {
      const auto unconfirmed = unconfirmedSince_.find(host.record_.id_);
      if (unconfirmed != unconfirmedSince_.end()) {
        unconfirmed->second = aNow - host.age_ - aEvent.age_;
      }
    }
    const auto age =
      std::chrono::duration_cast<std::chrono::milliseconds>(aEvent.age_);
    aOut.emplace_back(Log{ Severity::Info,
                           "host_records_recovered",
                           { { "hosts", std::to_string(node_.Hosts().size()) },
                             { "age_ms", std::to_string(age.count()) } } });
  }

  /** A second request ends the process at once. */
  void Handle(TimePoint aNow, StopRequested&, Actions& aOut)
  {
    if (stopRequestedAt_) {
      End(aNow, aOut);
      return;
    }
    stopRequestedAt_ = aNow;
    if (hostsChanged_) {
      KeepHostRecords(aNow, aOut);
    }
    FeedReplica(aNow, consensus::Leave{}, aOut);
  }

  void End(TimePoint aNow, Actions& aOut)
  {
    if (hostsChanged_) {
      KeepHostRecords(aNow, aOut);
    }
    FeedNode(aNow, dissemination::SelfAnnounced{ self_, true }, aOut);
    aOut.emplace_back(Ended{});
  }

  void Handle(TimePoint aNow, Tick&, Actions& aOut)
  {
    if (replica_.NextTimer() <= aNow) {
      FeedReplica(aNow, consensus::Tick{}, aOut);
    }
    if (nextConfirmAt_ <= aNow) {
      nextConfirmAt_ = aNow + kConfirmInterval;
      Confirm(aNow, aOut);
      WatchAdmission(aNow, aOut);
      KeepHostRecordsWhenDue(aNow, aOut);
    }
    if (node_.NextTimer() <= aNow) {
      FeedNode(aNow, dissemination::Tick{}, aOut);
    }
  }

  /** A replica that the group does not admit serves nobody; it keeps asking,
   * and says so at intervals. */
  void WatchAdmission(TimePoint aNow, Actions& aOut)
  {
    if (replica_.IsMember()) {
      awaitsAdmissionSince_.reset();
      return;
    }
    DiscoverPeers(aNow, aOut);
    if (!awaitsAdmissionSince_) {
      awaitsAdmissionSince_ = aNow;
      admissionLogDue_ = aNow + kAdmissionLogInterval;
    }
    if (admissionLogDue_ <= aNow) {
      admissionLogDue_ = aNow + kAdmissionLogInterval;
      const auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(
        aNow - *awaitsAdmissionSince_);
      aOut.emplace_back(
        Log{ Severity::Warning,
             "not_admitted",
             { { "waited_ms", std::to_string(waited.count()) } } });
    }
  }

  void Confirm(TimePoint aNow, Actions& aOut)
  {
    if (replica_.IsRegisterCurrent(aNow)) {
      FeedNode(aNow,
               dissemination::ControlConfirmed{
                 replica_.AppliedRegister().Current().version_,
                 replica_.Dump(aNow).term_.value_ },
               aOut);
    }
  }

  [[nodiscard]] absl::Status Validity(const consensus::Change& aChange) const
  {
    Configuration configuration;
    configuration.services_ = aChange.services_;
    configuration.routes_ = aChange.routes_;
    if (auto status = CheckRoutes(configuration); !status.ok()) {
      return status;
    }
    std::map<ServiceId, admission::FleetCapacity> byService;
    for (const auto& host : node_.Hosts().All()) {
      if (host.state_ != HostState::Ready) {
        continue;
      }
      auto& fleet = byService[host.service_];
      fleet.service_ = host.service_;
      ++fleet.hosts_;
      fleet.slots_ += host.slots_;
    }
    std::vector<admission::FleetCapacity> fleet;
    fleet.reserve(byService.size());
    for (const auto& [service, capacity] : byService) {
      fleet.push_back(capacity);
    }
    return admission::Validate(configuration, fleet);
  }

  [[nodiscard]] std::optional<Address> AddressOf(NodeId aNode) const
  {
    const auto member = members_.find(aNode);
    if (member != members_.end()) {
      return member->second;
    }
    const auto known = node_.AddressOf(aNode);
    return known ? known : addressBook_.Find(aNode);
  }

  dissemination::Node node_;
  consensus::Replica replica_;
  Hooks hooks_;
  internal::AddressBook addressBook_;
  std::map<NodeId, Address> members_;
  Address self_;
  std::size_t firstDiscovered_{};
  TimePoint nextConfirmAt_{};
  std::optional<TimePoint> awaitsAdmissionSince_;
  TimePoint admissionLogDue_{};
  absl::flat_hash_map<HostId, KeptHost> keptHosts_;
  absl::flat_hash_map<HostId, TimePoint> unconfirmedSince_;
  bool hostsChanged_{}; ///< Since the last `KeepHosts`.
  TimePoint keptAt_{};
  std::optional<TimePoint> stopRequestedAt_;
  consensus::Standing standing_;
  bool wasCurrent_{};
  std::uint64_t unexpectedMessages_{};
};

Control::Control(std::unique_ptr<Parts> aParts)
  : parts_(std::move(aParts))
{
}

Control::~Control() = default;

std::vector<ControlAction>
Control::On(TimePoint aNow, ControlEvent aEvent)
{
  Actions out;
  std::visit([&](auto& aKind) { parts_->Handle(aNow, aKind, out); }, aEvent);
  return out;
}

TimePoint
Control::NextTimer() const
{
  return std::min({ parts_->replica_.NextTimer(),
                    parts_->node_.NextTimer(),
                    parts_->nextConfirmAt_ });
}

Dump
Control::State(TimePoint aNow) const
{
  const auto replica = parts_->replica_.Dump(aNow);
  Dump::Items members;
  for (const auto& member : replica.membership_.members_) {
    members.push_back(
      Dump()
        .With("node", internal::HexOf(member.id_.node_.value_))
        .With("disk", internal::HexOf(member.id_.disk_.value_))
        .With("role", NameIn(consensus::kMemberRoleNames, member.role_)));
  }
  Dump::Items joining;
  for (const auto& id : replica.joining_) {
    joining.push_back(Dump()
                        .With("node", internal::HexOf(id.node_.value_))
                        .With("disk", internal::HexOf(id.disk_.value_)));
  }
  return Dump()
    .With("role", "control")
    .With("node", internal::DumpNode(parts_->node_, aNow))
    .With("replica",
          Dump()
            .With("node", internal::HexOf(replica.id_.node_.value_))
            .With("disk", internal::HexOf(replica.id_.disk_.value_))
            .With("role", NameIn(consensus::kRoleNames, replica.role_))
            .With("fault", NameIn(consensus::kFaultNames, replica.fault_))
            .With("verified", replica.verified_)
            .With("holds_lease", replica.holdsLease_)
            .With("term", replica.term_.value_)
            .With("leader",
                  replica.leader_
                    ? internal::HexOf(replica.leader_->node_.value_)
                    : std::string())
            .With("last_index", replica.last_.index_.value_)
            .With("commit_index", replica.commit_.value_)
            .With("applied_index", replica.applied_.value_)
            .With("snapshot_index", replica.snapshot_.value_)
            .With("version", replica.version_.value_)
            .With("log_bytes", std::uint64_t{ replica.logBytes_ })
            .With("members", std::move(members))
            .With("joining", std::move(joining)))
    .With("messages_misplaced", parts_->unexpectedMessages_);
}

Dump
Control::History() const
{
  Dump::Items changes;
  const auto& history = parts_->replica_.AppliedRegister().History();
  for (auto entry = history.rbegin(); entry != history.rend(); ++entry) {
    changes.push_back(Dump()
                        .With("version", entry->version_.value_)
                        .With("change_id",
                              internal::HexOf(entry->change_.high_) +
                                internal::HexOf(entry->change_.low_))
                        .With("operator", entry->operator_)
                        .With("at", entry->wallMillis_));
  }
  return Dump().With("changes", std::move(changes));
}

Dump
Control::Hosts() const
{
  return internal::DumpHosts(parts_->node_);
}

std::vector<MetricSample>
Control::Figures(TimePoint aNow) const
{
  const auto replica = parts_->replica_.Dump(aNow);
  std::vector<MetricSample> samples{
    internal::Gauge("cornelshore_control_leader",
                    "1 when this replica leads.",
                    replica.role_ == consensus::Role::Leader ? 1 : 0),
    internal::Gauge("cornelshore_control_holds_lease",
                    "1 when this replica holds the lease.",
                    replica.holdsLease_ ? 1 : 0),
    internal::Gauge("cornelshore_control_term",
                    "Term of the replicated log.",
                    replica.term_.value_),
    internal::Gauge("cornelshore_control_commit_index",
                    "Last committed entry of the log.",
                    replica.commit_.value_),
    internal::Gauge("cornelshore_control_log_bytes",
                    "Bytes of the log in memory.",
                    replica.logBytes_),
    internal::Gauge("cornelshore_control_member",
                    "1 when the group has admitted this replica.",
                    parts_->replica_.IsMember() ? 1 : 0),
    internal::Gauge("cornelshore_control_faulted",
                    "1 when the replica takes no further part.",
                    replica.fault_ == consensus::Fault::None ? 0 : 1),
  };
  internal::AddNodeMetrics(parts_->node_.Dump(aNow), samples);
  return samples;
}

Control::Builder::Builder(dissemination::NodeSettings aNode,
                          consensus::Replica aReplica)
  : NodeBuilder(std::move(aNode), membership::NodeRole::Control)
  , replica_(std::move(aReplica))
{
}

Control::Builder&
Control::Builder::WithMembers(std::vector<std::pair<NodeId, Address>> aMembers)
{
  members_ = std::move(aMembers);
  return *this;
}

absl::StatusOr<std::unique_ptr<Control>>
Control::Builder::Build(TimePoint aNow)
{
  auto node = BuildNode();
  if (!node.ok()) {
    return node.status();
  }
  auto parts = std::make_unique<Parts>(std::move(*node), std::move(replica_));
  parts->hooks_ = hooks_;
  parts->self_ = node_.address_;
  parts->keptAt_ = aNow - kKeepHostsInterval;
  parts->members_.insert(members_.begin(), members_.end());
  Actions none;
  parts->FeedNode(aNow, dissemination::SeedsChanged{ seeds_ }, none);
  parts->PublishConfiguration(aNow, none);
  return std::unique_ptr<Control>(new Control(std::move(parts)));
}

} // namespace cornelshore::role
