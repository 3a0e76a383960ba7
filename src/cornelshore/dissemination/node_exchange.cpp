#include <cornelshore/dissemination/node_state.hpp>

#include <algorithm>
#include <utility>

namespace cornelshore::dissemination {

using membership::NodeRole;

namespace {

constexpr std::size_t kMostNodesCompared = 16;
constexpr std::size_t kMostLeavesCompared = 64;
constexpr std::size_t kManyDifferences = 24;
/** Differences with which a process counts as in step for the first time, once
 * its joining rounds are over: in a large fleet there is always some change on
 * its way. Before, a difference may be a host that it has never heard of. */
constexpr std::size_t kFewDifferences = 2;
constexpr std::size_t kWantedPieceBytes = 8400;
constexpr std::size_t kFewPieces = 4;
constexpr std::size_t kRecentAnAnswer = 4;
constexpr std::uint64_t kFarBehind = 8;
constexpr std::uint64_t kAskBalancerOneIn = 32;
constexpr std::size_t kSampledPeers = 2;
constexpr std::uint64_t kSampleOneIn = 8;
constexpr std::size_t kRumorsAnAnswer = 6;
/** Two that have just started hold the same little: in a fleet that runs they
 * do not count for each other, and one that starts as a whole waits so long. */
constexpr int kSettlingRounds = 2;
constexpr Duration kWantAgainAfter = std::chrono::milliseconds(300);

} // namespace

void
Node::State::Answer(TimePoint aNow, const Received& aEvent, bool aProgress)
{
  const auto& message = aEvent.message_;
  const auto& header = message.header_;
  const bool round = header.kind_ == MessageKind::Round;
  Packer packer(HeaderFor(aNow, aEvent.from_, MessageKind::Answer));
  const bool strange = header.receiver_ != settings_.incarnation_;
  if (round && strange) {
    AddSubject(aNow, settings_.self_, packer);
  }
  if (round && header.role_ == NodeRole::Agent) {
    AddSample(aNow, strange, packer);
  } else if (round) {
    for (const auto subject : rumors_.Take(kRumorsAnAnswer)) {
      AddSubject(aNow, subject, packer);
    }
  }
  AddPieces(aNow, aEvent, packer);
  for (const auto subject : message.requestedRecords_) {
    AddSubject(aNow, subject, packer);
  }
  CompareDigest(aNow, message, packer);
  CompareHashes(aNow, aEvent, packer);
  CompareLeaves(aNow, message, packer);
  const bool behind = header.config_ > config_.Version();
  if (aEvent.from_ == wantedFrom_) {
    for (const auto& piece : message.chunks_) {
      wantedBytes_ += BytesOf(piece);
    }
  }
  const bool goesOn = aProgress && aEvent.from_ == wantedFrom_ &&
                      wantedBytes_ + kMaxMessageBytes > kWantedPieceBytes;
  const bool again = aNow - wantedAt_ >= kWantAgainAfter;
  if (behind && (goesOn || (again && !LeavesToFellows()))) {
    packer.Add(config_.Missing());
    wantedAt_ = aNow;
    wantedFrom_ = aEvent.from_;
    wantedBytes_ = 0;
  }
  if (!round && packer.Empty()) {
    return;
  }
  auto messages = std::move(packer).Finish();
  const auto priority = messages.size() > 1 ? Priority::Bulk : Priority::Normal;
  SendTo(aNow, aEvent.from_, aEvent.address_, std::move(messages), priority);
}

bool
Node::State::LeavesToFellows()
{
  const auto missed = newestHeard_.value_ - config_.Version().value_;
  const bool far = config_.Version() != ConfigVersion{} && missed > kFarBehind;
  return IsAgent() && far &&
         partners_.Randomness().Below(kAskBalancerOneIn) != 0;
}

void
Node::State::AddPieces(TimePoint aNow, const Received& aEvent, Packer& aPacker)
{
  const auto& message = aEvent.message_;
  const auto& header = message.header_;
  const bool asked =
    message.configRequest_ || header.kind_ == MessageKind::Round;
  if (header.config_ >= config_.Version() || !asked) {
    return;
  }
  ConfigRequest want;
  want.held_ = header.config_;
  auto pieces =
    config_.PiecesFor(message.configRequest_.value_or(want), kWantedPieceBytes);
  if (pieces.empty()) {
    return;
  }
  const bool isLong = pieces.size() > kFewPieces ||
                      pieces.front().size_ > pieces.front().bytes_.size();
  const bool agent = header.role_ == NodeRole::Agent;
  if (isLong && (!message.configRequest_ ||
                 !transfers_.Admit(aNow, aEvent.from_, agent))) {
    return;
  }
  if (pieces.back().version_ == config_.Version()) {
    const auto& last = pieces.back();
    if (last.offset_ + last.bytes_.size() >= last.size_) {
      transfers_.Release(aEvent.from_);
    }
  }
  for (auto& piece : pieces) {
    aPacker.Add(std::move(piece));
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
    if (inScope && added++ < kRecentAnAnswer) {
      aPacker.Add(*host);
    }
  }
}

void
Node::State::AddSample(TimePoint aNow, bool aStrange, Packer& aPacker)
{
  if (!aStrange && partners_.Randomness().Below(kSampleOneIn) != 0) {
    return;
  }
  for (const auto peer : partners_.Pick(ledger_, kSampledPeers)) {
    if (ledger_.LivePeer(peer)->role_ == NodeRole::Balancer) {
      AddSubject(aNow, peer, aPacker);
    }
  }
}

void
Node::State::CompareDigest(TimePoint aNow,
                           const Message& aMessage,
                           Packer& aPacker)
{
  const auto& header = aMessage.header_;
  if (!header.compare_ || IsAgent() ||
      header.digest_ == DigestOf(header.scope_)) {
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
  const auto most = atLeaves ? kMostLeavesCompared : kMostNodesCompared;
  const auto few = joined_                        ? kManyDifferences
                   : round_ >= kMostJoiningRounds ? kFewDifferences
                                                  : 0;
  mending_ = differing.size() > (atLeaves ? few : most);
  if (aEvent.message_.hashes_.front().level_ == 0) {
    comparesPart_ = false;
  }
  comparesPart_ |= differing.size() > most;
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
  if (atLeaves && !mending_ && !comparesPart_ &&
      KnowsEnough(aNow, aEvent.message_.header_)) {
    inStep_.Note(aEvent.from_, aNow);
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
Node::State::KnowsEnough(TimePoint aNow, const Header& aTheirs) const
{
  const auto newcomer = aTheirs.syncAge_ >= kNeverInStep;
  const auto settling =
    startedAt_ && aNow - *startedAt_ < settings_.round_ * kSettlingRounds;
  return !newcomer || !settling || IsAgent();
}

void
Node::State::NoteSynced(TimePoint aNow, const Received& aEvent)
{
  const auto& header = aEvent.message_.header_;
  const bool fullyFollows =
    IsAgent() || header.role_ != membership::NodeRole::Agent;
  if (!fullyFollows || header.scope_ != ScopeWith(aEvent.from_) ||
      header.digest_ != DigestOf(header.scope_) ||
      header.receiver_ != settings_.incarnation_ ||
      !KnowsEnough(aNow, header)) {
    return;
  }
  inStep_.Note(aEvent.from_, IsAgent() ? aNow - header.syncAge_ : aNow);
  joined_ = true;
}

} // namespace cornelshore::dissemination
