#include <cornelshore/dissemination/node_state.hpp>

#include <algorithm>
#include <utility>

namespace cornelshore::dissemination {

using membership::MergeOutcome;
using membership::NodeRole;

namespace {

constexpr std::uint32_t kUpdateCopies = 4;
constexpr std::uint32_t kRepairCopies = 2;
constexpr std::size_t kMaxRecent = 16;
constexpr std::int64_t kRefreshesPerPeerLife = 3;
constexpr std::int64_t kUnconfirmedWaitRounds = 10;
constexpr std::size_t kActivationPeers = 2;

membership::PeerRecord
SelfRecord(const NodeSettings& aSettings, std::uint64_t aSequence, bool aGone)
{
  return {
    aSettings.self_,       aSettings.incarnation_, aSequence, aSettings.role_,
    aSettings.dataCentre_, aSettings.address_,     aGone
  };
}

} // namespace

Node::State::State(const NodeSettings& aSettings, membership::View aHosts)
  : settings_(aSettings)
  , ledger_(
      std::move(aHosts),
      { aSettings.maxPeers_, aSettings.peerRefresh_ * kRefreshesPerPeerLife })
  , confirmation_(aSettings.confirmationLife_)
  , partners_(aSettings.self_,
              aSettings.dataCentre_,
              aSettings.seed_,
              AnswerTimeoutOf(aSettings.round_))
  , roundOutreach_(kMaxRoundWidth, AnswerTimeoutOf(aSettings.round_))
  , budget_(aSettings.bytesPerSecond_,
            aSettings.burstBytes_,
            aSettings.linkBytesPerSecond_)
  , nextSeed_(aSettings.self_.value_)
{
}

bool
Node::State::IsAgent() const noexcept
{
  return settings_.role_ == NodeRole::Agent;
}

ConfigVersion
Node::State::InForce() const noexcept
{
  return configActive_ ? config_.Version() : ConfigVersion{};
}

std::optional<Address>
Node::State::AddressOf(NodeId aNode) const
{
  if (const auto* peer = ledger_.LivePeer(aNode)) {
    return peer->address_;
  }
  const auto attached = partners_.Attached().find(aNode);
  if (attached != partners_.Attached().end()) {
    return attached->second.address_;
  }
  if (const auto* host = ledger_.Hosts().Find(HostId{ aNode.value_ })) {
    return host->agent_;
  }
  return std::nullopt;
}

std::size_t
Node::State::RequiredSyncPeers() const noexcept
{
  const auto& live = ledger_.LivePeers();
  if (IsAgent()) {
    return 1;
  }
  const auto others = live.empty() ? 0 : live.size() - 1;
  return others == 0 ? 0 : std::clamp<std::size_t>(others / 2, 1, 2);
}

std::optional<TimePoint>
Node::State::ConfirmedAt() const noexcept
{
  const auto needed = RequiredSyncPeers();
  if (needed == 0) {
    return seeds_.empty() ? std::optional(now_) : std::nullopt;
  }
  return syncTracker_.Since(needed);
}

bool
Node::State::IsBehind() const noexcept
{
  return !configActive_ || !joined_ ||
         (round_ < kMaxJoiningRounds && !ConfirmedAt());
}

ServiceId
Node::State::ScopeWith(NodeId aTo) const
{
  if (IsAgent()) {
    return settings_.ownRecordOnly_ ? ServiceId{} : settings_.interest_;
  }
  const auto attached = partners_.Attached().find(aTo);
  return attached == partners_.Attached().end() ? ServiceId{}
                                                : attached->second.interest_;
}

bool
Node::State::HoldsOwnRecordOnly(NodeId aAgent) const
{
  const auto attached = partners_.Attached().find(aAgent);
  return attached != partners_.Attached().end() &&
         attached->second.interest_ == ServiceId{};
}

std::uint64_t
Node::State::DigestWith(NodeId aOther) const
{
  if (settings_.ownRecordOnly_) {
    return ledger_.DigestOf(settings_.self_);
  }
  if (HoldsOwnRecordOnly(aOther)) {
    return ledger_.DigestOf(aOther);
  }
  const auto scope = ScopeWith(aOther);
  return scope == ServiceId{} ? ledger_.Tree().Root() : ledger_.DigestOf(scope);
}

Header
Node::State::HeaderFor(TimePoint aNow, NodeId aTo, MessageKind aKind) const
{
  Header header;
  header.incarnation_ = settings_.incarnation_;
  header.role_ = settings_.role_;
  header.dataCentre_ = settings_.dataCentre_;
  header.kind_ = aKind;
  header.scope_ = ScopeWith(aTo);
  header.digest_ = DigestWith(aTo);
  header.config_ = config_.Version();
  header.inForce_ = configActive_;
  header.confirmation_ = confirmation_.Held(aNow);
  const auto lastSync = ConfirmedAt();
  header.syncAge_ = lastSync ? aNow - *lastSync : kNeverSynced;
  const auto attached = partners_.Attached().find(aTo);
  if (const auto* peer = ledger_.LivePeer(aTo)) {
    header.receiver_ = peer->incarnation_;
  } else if (attached != partners_.Attached().end()) {
    header.receiver_ = attached->second.incarnation_;
  } else if (const auto* host = ledger_.Hosts().Find(HostId{ aTo.value_ })) {
    header.receiver_ = host->incarnation_;
  }
  return header;
}

void
Node::State::SendTo(TimePoint aNow,
                    NodeId aTo,
                    const Address& aAddress,
                    std::vector<Message> aMessages,
                    Priority aPriority)
{
  for (auto& message : aMessages) {
    const auto bytes = DatagramBytesOf(message);
    if (!budget_.TrySpend(aNow, bytes, aPriority)) {
      ++sendsThrottled_;
      continue;
    }
    bytesSent_ += bytes;
    sends_.emplace_back(Send{ aTo, aAddress, std::move(message) });
  }
}

std::size_t
Node::State::AddSubject(TimePoint aNow, NodeId aSubject, Packer& aPacker) const
{
  if (const auto host = ledger_.HostOf(aNow, aSubject)) {
    aPacker.Add(*host);
    return BytesOf(*host);
  }
  if (const auto peer = ledger_.PeerOf(aNow, aSubject)) {
    aPacker.Add(*peer);
    return BytesOf(*peer);
  }
  return 0;
}

void
Node::State::AddRumors(TimePoint aNow, std::size_t aMost, Packer& aPacker)
{
  for (const auto subject : rumors_.Take(aMost)) {
    AddSubject(aNow, subject, aPacker);
  }
}

void
Node::State::AnnounceSelf(TimePoint aNow)
{
  if (selfSequence_ == 0 && !IsAgent()) {
    Renew(aNow);
  }
}

void
Node::State::Renew(TimePoint aNow)
{
  ++selfSequence_;
  renewAt_ = aNow + settings_.peerRefresh_;
  static_cast<void>(ledger_.Merge(
    aNow, PeerUpdate{ SelfRecord(settings_, selfSequence_, selfGone_), {} }));
  rumors_.Add(settings_.self_, Priority::Normal, kUpdateCopies);
}

void
Node::State::Handle(TimePoint aNow, const HostAnnounced& aEvent)
{
  TakeHost(aNow, { aEvent.record_, {} }, false);
}

void
Node::State::Handle(TimePoint aNow, const HostsRecovered& aEvent)
{
  for (auto update : aEvent.hosts_) {
    update.age_ += aEvent.age_;
    auto& record = update.record_;
    if (record.state_ != HostState::Gone) {
      record.state_ = HostState::Starting;
      record.sequence_ = 0;
      record.held_.reset();
    }
    if (update.age_ < settings_.tombstoneLife_ &&
        ledger_.Merge(aNow, update) == MergeOutcome::Changed) {
      changedHosts_.push_back(record);
    }
  }
}

void
Node::State::Handle(TimePoint aNow, const SelfAnnounced& aEvent)
{
  settings_.address_ = aEvent.address_;
  selfGone_ = aEvent.gone_;
  if (!IsAgent()) {
    Renew(aNow);
    urgentSubjects_.push_back(settings_.self_);
  }
}

void
Node::State::Handle(TimePoint aNow, const ConfigAccepted& aEvent)
{
  if (config_.Accept(aEvent.version_, aEvent.bytes_)) {
    configActive_ = true;
    reachedControlAt_ = reachedControlAt_.value_or(aNow);
  }
}

void
Node::State::Handle(TimePoint aNow, const ControlConfirmed& aEvent)
{
  confirmation_.Take(aNow, { aEvent.version_, aEvent.term_, {} });
}

void
Node::State::Handle(TimePoint /*aNow*/, const SeedsChanged& aEvent)
{
  seeds_ = aEvent.addresses_;
}

void
Node::State::Handle(TimePoint aNow, const Received& aEvent)
{
  if (aEvent.from_ == settings_.self_) {
    return;
  }
  const auto& message = aEvent.message_;
  if (!IsAgent() || message.header_.role_ != NodeRole::Agent) {
    partners_.Heard(aNow, aEvent.from_, aEvent.address_, message.header_);
    roundOutreach_.Answered(aEvent.from_);
  }
  newestKnownConfig_ = std::max(newestKnownConfig_, message.header_.config_);
  NoteConfigHolder(aEvent.from_, aEvent.address_, message.header_.config_);
  if (message.header_.role_ == NodeRole::Control) {
    reachedControlAt_ = reachedControlAt_.value_or(aNow);
  }
  Adopt(aNow, aEvent);
  for (const auto& update : message.hosts_) {
    const bool fromRepair = message.header_.kind_ != MessageKind::Push &&
                            SubjectOf(update.record_.id_) != aEvent.from_;
    TakeHost(aNow, update, fromRepair);
  }
  for (const auto& update : message.peers_) {
    TakePeer(aNow, update, message.header_.kind_ != MessageKind::Push);
  }
  const auto storedBefore = config_.Stored();
  for (const auto& chunk : message.chunks_) {
    const auto stored = config_.Stored();
    static_cast<void>(config_.Take(chunk));
    const bool isNew = config_.Stored() != stored;
    if (isNew && aEvent.from_ == requestedFrom_) {
      receivedBytes_ += BytesOf(chunk);
    }
  }
  const bool progress = config_.Stored() != storedBefore;
  if (progress) {
    configProgressAt_ = aNow;
    configRetryInterval_ = kStalledTransferInterval;
  }
  Release(aNow);
  TakeSnapshotBatch(aNow, aEvent);
  NoteSynced(aNow, aEvent);
  AnswerSnapshotRequest(aNow, aEvent);
  Answer(aNow, aEvent, progress);
}

void
Node::State::Adopt(TimePoint aNow, const Received& aEvent)
{
  const auto& header = aEvent.message_.header_;
  const bool forThisRun = header.receiver_ == settings_.incarnation_;
  if (header.confirmation_ && forThisRun) {
    confirmation_.Take(aNow, *header.confirmation_);
  }
  if (!configActive_ && header.inForce_ && forThisRun &&
      header.role_ != NodeRole::Control && activeVersions_.size() < kMaxItems) {
    activeVersions_[aEvent.from_] = header.config_;
  }
}

void
Node::State::Release(TimePoint aNow)
{
  if (configActive_ || config_.Version() == ConfigVersion{}) {
    return;
  }
  if (!candidateSince_) {
    candidateSince_ = aNow;
  }
  std::size_t activePeers = 0;
  for (const auto& [peer, version] : activeVersions_) {
    if (version > config_.Version()) {
      return;
    }
    ++activePeers;
  }
  const bool waited =
    aNow - *candidateSince_ >= settings_.round_ * kUnconfirmedWaitRounds;
  configActive_ = confirmation_.Covers(aNow, config_.Version()) ||
                  activePeers >= kActivationPeers ||
                  (activePeers > 0 && waited);
  if (configActive_) {
    reachedControlAt_ = reachedControlAt_.value_or(aNow);
    activeVersions_.clear();
  }
}

void
Node::State::TakeHost(TimePoint aNow,
                      const HostUpdate& aUpdate,
                      bool aFromRepair)
{
  const auto& record = aUpdate.record_;
  const bool own = SubjectOf(record.id_) == settings_.self_;
  if (IsAgent() && (record.service_ != settings_.interest_ ||
                    (settings_.ownRecordOnly_ && !own))) {
    return;
  }
  const auto* held = ledger_.Hosts().Find(record.id_);
  const bool urgent = held == nullptr || held->state_ != record.state_ ||
                      held->incarnation_ != record.incarnation_;
  const auto outcome = ledger_.Merge(aNow, aUpdate);
  if (outcome == MergeOutcome::Full) {
    ++recordsRefused_;
  }
  if (outcome != MergeOutcome::Changed) {
    return;
  }
  changedHosts_.push_back(record);
  const auto subject = SubjectOf(record.id_);
  if (IsAgent() && subject != settings_.self_) {
    return;
  }
  if (urgent && !aFromRepair) {
    urgentSubjects_.push_back(subject);
  }
  if (urgent && (!aFromRepair || joined_)) {
    recent_.push_front(subject);
    recent_.resize(std::min(recent_.size(), kMaxRecent));
  }
  if (!aFromRepair || joined_) {
    rumors_.Add(subject,
                urgent ? Priority::Urgent : Priority::Bulk,
                aFromRepair ? kRepairCopies : kUpdateCopies);
  }
}

void
Node::State::TakePeer(TimePoint aNow,
                      const PeerUpdate& aUpdate,
                      bool aFromRepair)
{
  const auto& record = aUpdate.record_;
  if (record.id_ == settings_.self_) {
    const membership::RecordVersion own{ settings_.incarnation_,
                                         selfSequence_,
                                         selfGone_ };
    if (membership::VersionOf(record) > own && !IsAgent()) {
      if (record.incarnation_ > settings_.incarnation_) {
        settings_.incarnation_ = Incarnation{ record.incarnation_.value_ + 1 };
      }
      selfSequence_ = record.sequence_;
      Renew(aNow);
    }
    return;
  }
  const auto* held = ledger_.LivePeer(record.id_);
  const bool urgent = record.gone_ && held != nullptr;
  auto outcome = ledger_.Merge(aNow, aUpdate);
  if (outcome == MergeOutcome::Full && IsAgent()) {
    if (const auto silent = partners_.PickSilent(aNow, ledger_)) {
      ledger_.Forget(*silent);
      outcome = ledger_.Merge(aNow, aUpdate);
    }
  }
  if (outcome == MergeOutcome::Full) {
    ++recordsRefused_;
  }
  if (outcome != MergeOutcome::Changed) {
    return;
  }
  changedPeers_.push_back(record);
  partners_.Renewed(record.id_);
  if (IsAgent()) {
    return;
  }
  if (urgent && !aFromRepair) {
    urgentSubjects_.push_back(record.id_);
  }
  if (!aFromRepair || joined_) {
    rumors_.Add(
      record.id_, Priority::Bulk, aFromRepair ? kRepairCopies : kUpdateCopies);
  }
}

} // namespace cornelshore::dissemination
