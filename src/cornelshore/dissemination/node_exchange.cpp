#include <cornelshore/dissemination/node_state.hpp>

#include <algorithm>
#include <utility>

namespace cornelshore::dissemination {

using membership::NodeRole;

namespace {

constexpr std::size_t kMaxNodesCompared = 16;
constexpr std::size_t kMaxLeavesCompared = 64;
constexpr std::size_t kMaxSyncedDifferences = 24;
/** Differences that the first synchronisation tolerates once the joining rounds
 * are over: a large fleet always has some updates in flight. Until then, a
 * difference may be a host that the process does not know yet. */
constexpr std::size_t kMaxFirstSyncDifferences = 2;
constexpr std::size_t kMaxRequestedBytes = 8400;
constexpr std::size_t kShortTransferChunks = 4;
constexpr std::size_t kRecentPerAnswer = 4;
constexpr std::uint64_t kLargeVersionGap = 8;
constexpr std::uint64_t kBalancerRequestOneIn = 32;
constexpr std::size_t kSampledPeers = 2;
constexpr std::uint64_t kSampleOneIn = 8;
constexpr std::size_t kRumorsPerAnswer = 6;
/** Two processes that have just started hold the same few records, so they do
 * not count as synchronised with each other until this many rounds after they
 * reached a control VM, which has its host records from its disk. A fleet that
 * starts as a whole waits as long. */
constexpr int kSettlingRounds = 2;
/** Share of the burst below which a process that has never synchronised is
 * referred to others: comparing records with many newcomers would use up the
 * bytes before any of them had learned of another one. */
constexpr double kNewcomerReserve = 0.25;
/** Shares of the burst above which transfers of a long configuration are not
 * limited in number. Balancers come first: they decide by the routes. */
constexpr double kTransferReserve = 0.3;
constexpr double kAgentTransferReserve = 0.75;

} // namespace

void
Node::State::Handle(TimePoint aNow, const VersionSeen& aEvent)
{
  newestKnownConfig_ = std::max(newestKnownConfig_, aEvent.version_);
  NoteConfigHolder(aEvent.from_, aEvent.address_, aEvent.version_);
  const bool retryDue = aNow - requestedAt_ >= kRequestRetryInterval;
  if (aEvent.version_ > config_.Version() && retryDue) {
    RequestConfig(aNow, aEvent.from_, aEvent.address_);
  }
}

void
Node::State::Answer(TimePoint aNow, const Received& aEvent, bool aProgress)
{
  const auto& message = aEvent.message_;
  const auto& header = message.header_;
  const bool round = header.kind_ == MessageKind::Round;
  if (round && MustRefer(aNow, header)) {
    if (!message.snapshotRequest_) {
      Refer(aNow, aEvent);
    }
    return;
  }
  Packer packer(HeaderFor(aNow, aEvent.from_, MessageKind::Answer));
  const bool unknownToSender = header.receiver_ != settings_.incarnation_;
  if (round && unknownToSender) {
    AddSubject(aNow, settings_.self_, packer);
  }
  if (round && header.role_ == NodeRole::Agent) {
    AddSample(aNow, unknownToSender, packer);
  } else if (round) {
    for (const auto subject : rumors_.Take(kRumorsPerAnswer)) {
      AddSubject(aNow, subject, packer);
    }
  }
  AddChunks(aNow, aEvent, packer);
  for (const auto subject : message.requestedRecords_) {
    AddSubject(aNow, subject, packer);
  }
  CompareDigest(aNow, aEvent.from_, message, packer);
  CompareHashes(aNow, aEvent, packer);
  CompareLeaves(aNow, message, packer);
  const bool behind = header.config_ > config_.Version();
  const bool transferContinues =
    aProgress && aEvent.from_ == requestedFrom_ &&
    (receivedBytes_ + kChunkBytes > kMaxRequestedBytes ||
     EndsRequestedPart(message));
  const bool retryDue = aNow - requestedAt_ >= kRequestRetryInterval;
  if (behind && (transferContinues || (retryDue && !DefersToServiceAgents()))) {
    AddConfigRequest(aNow, aEvent.from_, packer);
  }
  if (!round && packer.Empty()) {
    return;
  }
  auto messages = std::move(packer).Finish();
  const auto priority = messages.size() > 1 ? Priority::Bulk : Priority::Normal;
  SendTo(aNow, aEvent.from_, aEvent.address_, std::move(messages), priority);
}

bool
Node::State::EndsRequestedPart(const Message& aMessage) const
{
  return std::any_of(
    aMessage.chunks_.begin(),
    aMessage.chunks_.end(),
    [this](const ConfigChunk& aChunk) {
      const auto part = kMaxRequestedBytes / BytesOf(aChunk) * kChunkBytes;
      return aChunk.size_ > part &&
             aChunk.offset_ + kChunkBytes >=
               std::min<std::size_t>(aChunk.size_, requestedOffset_ + part);
    });
}

bool
Node::State::MustRefer(TimePoint aNow, const Header& aTheirs)
{
  return !IsAgent() && aTheirs.role_ != NodeRole::Agent &&
         aTheirs.syncAge_ >= kNeverSynced && HasSettled(aNow) &&
         !budget_.HasShareLeft(aNow, kNewcomerReserve);
}

void
Node::State::Refer(TimePoint aNow, const Received& aEvent)
{
  Packer packer(HeaderFor(aNow, aEvent.from_, MessageKind::Answer));
  AddSubject(aNow, settings_.self_, packer);
  for (const auto peer :
       partners_.PickBalancers(aNow, ledger_, kReferredPeers)) {
    AddSubject(aNow, peer, packer);
  }
  SendTo(aNow,
         aEvent.from_,
         aEvent.address_,
         std::move(packer).Finish(),
         Priority::Normal);
}

bool
Node::State::DefersToServiceAgents()
{
  const auto missed = newestKnownConfig_.value_ - config_.Version().value_;
  const bool far =
    config_.Version() != ConfigVersion{} && missed > kLargeVersionGap;
  return IsAgent() && !settings_.ownRecordOnly_ && far &&
         partners_.Randomness().Below(kBalancerRequestOneIn) != 0;
}

void
Node::State::AddChunks(TimePoint aNow, const Received& aEvent, Packer& aPacker)
{
  const auto& message = aEvent.message_;
  const auto& header = message.header_;
  const bool asked =
    message.configRequest_ || header.kind_ == MessageKind::Round;
  if (header.config_ >= config_.Version() || !asked) {
    return;
  }
  ConfigRequest request;
  request.held_ = header.config_;
  auto chunks = config_.ChunksFor(message.configRequest_.value_or(request),
                                  kMaxRequestedBytes);
  if (chunks.empty()) {
    return;
  }
  const bool isLong = chunks.size() > kShortTransferChunks ||
                      chunks.front().size_ > chunks.front().bytes_.size();
  const bool agent = header.role_ == NodeRole::Agent;
  const bool hasRoom = budget_.HasShareLeft(
    aNow, agent ? kAgentTransferReserve : kTransferReserve);
  if (isLong && (!message.configRequest_ ||
                 !transfers_.Admit(aNow, aEvent.from_, agent, hasRoom))) {
    return;
  }
  if (chunks.back().version_ == config_.Version()) {
    const auto& last = chunks.back();
    if (last.offset_ + last.bytes_.size() >= last.size_) {
      transfers_.Release(aEvent.from_);
    }
  }
  for (auto& chunk : chunks) {
    aPacker.Add(std::move(chunk));
  }
}

void
Node::State::AddRecent(TimePoint aNow, ServiceId aScope, Packer& aPacker) const
{
  std::size_t added = 0;
  for (const auto subject : recent_) {
    const auto host = ledger_.HostOf(aNow, subject);
    const bool inScope =
      host && (aScope == ServiceId{} || host->record_.service_ == aScope);
    if (inScope && added++ < kRecentPerAnswer) {
      aPacker.Add(*host);
    }
  }
}

void
Node::State::AddSample(TimePoint aNow, bool aUnknownToSender, Packer& aPacker)
{
  if (!aUnknownToSender && partners_.Randomness().Below(kSampleOneIn) != 0) {
    return;
  }
  for (const auto peer :
       partners_.PickBalancers(aNow, ledger_, kSampledPeers)) {
    AddSubject(aNow, peer, aPacker);
  }
}

void
Node::State::CompareDigest(TimePoint aNow,
                           NodeId aFrom,
                           const Message& aMessage,
                           Packer& aPacker)
{
  const auto& header = aMessage.header_;
  if (!header.compare_ || IsAgent() || header.digest_ == DigestWith(aFrom)) {
    return;
  }
  if (HoldsOwnRecordOnly(aFrom)) {
    if (const auto version = ledger_.VersionOf(aFrom)) {
      aPacker.Add(Leaf{ {}, { { aFrom, *version } } });
    } else {
      aPacker.AddRecordRequest(aFrom);
    }
    return;
  }
  AddRecent(aNow, header.scope_, aPacker);
  if (header.scope_ == ServiceId{}) {
    aPacker.Add(ledger_.Tree().ChildrenOf(0, 0));
    return;
  }
  Leaf versions;
  for (const auto& record : ledger_.Hosts().OfServiceWithGone(header.scope_)) {
    versions.entries_.push_back(
      { SubjectOf(record.id_), membership::VersionOf(record) });
    if (versions.entries_.size() == kMaxLeafEntries) {
      aPacker.Add(std::exchange(versions, {}));
    }
  }
  aPacker.Add(std::move(versions));
}

void
Node::State::CompareHashes(TimePoint aNow,
                           const Received& aEvent,
                           Packer& aPacker)
{
  if (IsAgent() || aEvent.message_.hashes_.empty()) {
    return;
  }
  struct Child
  {
    std::uint8_t level_;
    std::uint16_t index_;
  };
  std::vector<Child> differing;
  for (const auto& theirs : aEvent.message_.hashes_) {
    const auto own = ledger_.Tree().ChildrenOf(theirs.level_, theirs.index_);
    for (std::size_t child = 0; child < kTreeFanout; ++child) {
      if (own.hashes_.at(child) != theirs.hashes_.at(child)) {
        differing.push_back(
          { static_cast<std::uint8_t>(theirs.level_ + 1),
            static_cast<std::uint16_t>(theirs.index_ * kTreeFanout + child) });
      }
    }
  }
  const bool atLeaves =
    aEvent.message_.hashes_.front().level_ + 1 == DigestTree::kLeafLevel;
  const auto most = atLeaves ? kMaxLeavesCompared : kMaxNodesCompared;
  const auto few = joined_                       ? kMaxSyncedDifferences
                   : round_ >= kMaxJoiningRounds ? kMaxFirstSyncDifferences
                                                 : 0;
  repairing_ = differing.size() > (atLeaves ? few : most);
  if (aEvent.message_.hashes_.front().level_ == 0) {
    comparisonTruncated_ = false;
  }
  comparisonTruncated_ |= differing.size() > most;
  if (differing.size() > most) {
    auto& random = partners_.Randomness();
    for (std::size_t index = 0; index < most; ++index) {
      const auto other = index + random.Below(differing.size() - index);
      std::swap(differing[index], differing[other]);
    }
    differing.resize(most);
  }
  for (const auto& child : differing) {
    if (child.level_ == DigestTree::kLeafLevel) {
      aPacker.Add(ledger_.LeafAt(child.index_));
    } else {
      aPacker.Add(ledger_.Tree().ChildrenOf(child.level_, child.index_));
    }
  }
  if (atLeaves && !repairing_ && !comparisonTruncated_ &&
      CountsAsSync(aNow, aEvent.message_.header_)) {
    syncTracker_.Note(aEvent.from_, aNow);
    joined_ = true;
  }
}

void
Node::State::CompareLeaves(TimePoint aNow,
                           const Message& aMessage,
                           Packer& aPacker)
{
  for (const auto& leaf : aMessage.leaves_) {
    for (const auto& entry : leaf.entries_) {
      const auto held = ledger_.VersionOf(entry.id_);
      if (!held || *held < entry.version_) {
        aPacker.AddRecordRequest(entry.id_);
      } else if (*held > entry.version_) {
        AddSubject(aNow, entry.id_, aPacker);
      }
    }
    if (IsAgent()) {
      continue;
    }
    for (const auto& own : ledger_.LeafAt(leaf.index_).entries_) {
      const auto listed = std::any_of(
        leaf.entries_.begin(), leaf.entries_.end(), [&own](const auto& aEntry) {
          return aEntry.id_ == own.id_;
        });
      if (!listed) {
        AddSubject(aNow, own.id_, aPacker);
      }
    }
  }
}

bool
Node::State::CountsAsSync(TimePoint aNow, const Header& aTheirs) const
{
  const auto newcomer = aTheirs.syncAge_ >= kNeverSynced;
  return !newcomer || HasSettled(aNow) || IsAgent();
}

bool
Node::State::HasSettled(TimePoint aNow) const
{
  const bool awaitsConfig =
    !configActive_ && newestKnownConfig_ != ConfigVersion{};
  return !awaitsConfig && reachedControlAt_ &&
         aNow - *reachedControlAt_ >= settings_.round_ * kSettlingRounds;
}

void
Node::State::NoteSynced(TimePoint aNow, const Received& aEvent)
{
  const auto& header = aEvent.message_.header_;
  const bool fullyFollows =
    IsAgent() || header.role_ != membership::NodeRole::Agent;
  if (!fullyFollows || header.scope_ != ScopeWith(aEvent.from_) ||
      header.digest_ != DigestWith(aEvent.from_) ||
      header.receiver_ != settings_.incarnation_ ||
      !CountsAsSync(aNow, header)) {
    return;
  }
  syncTracker_.Note(aEvent.from_, IsAgent() ? aNow - header.syncAge_ : aNow);
  joined_ = true;
}

} // namespace cornelshore::dissemination
