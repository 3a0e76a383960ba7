#include <cornelshore/dissemination/ledger.hpp>

#include <algorithm>
#include <utility>

namespace cornelshore::dissemination {

using membership::MergeOutcome;
using membership::RecordVersion;

Ledger::Ledger(membership::View aHosts, Bounds aBounds)
  : bounds_(aBounds)
  , hosts_(std::move(aHosts))
  , leaves_(DigestTree::kLeaves)
{
}

MergeOutcome
Ledger::Merge(TimePoint aNow, const HostUpdate& aUpdate)
{
  const auto subject = SubjectOf(aUpdate.record_.id_);
  if (peers_.contains(subject)) {
    return MergeOutcome::Known;
  }
  const auto before = VersionOf(subject);
  const auto outcome = hosts_.Merge(aNow, aUpdate.record_, aUpdate.age_);
  if (outcome == MergeOutcome::Changed) {
    Replace(subject, before, membership::VersionOf(aUpdate.record_));
  }
  return outcome;
}

MergeOutcome
Ledger::Merge(TimePoint aNow, const PeerUpdate& aUpdate)
{
  const auto& record = aUpdate.record_;
  if (hosts_.Find(HostId{ record.id_.value_ }) != nullptr) {
    return MergeOutcome::Known;
  }
  const auto found = peers_.find(record.id_);
  std::optional<RecordVersion> before;
  if (found != peers_.end()) {
    before = membership::VersionOf(found->second.record_);
    if (membership::VersionOf(record) <= *before) {
      return MergeOutcome::Known;
    }
  }
  if (aUpdate.age_ >= bounds_.peerLife_) {
    return MergeOutcome::Expired;
  }
  if (!before && peers_.size() >= bounds_.maxPeers_) {
    return MergeOutcome::Full;
  }
  peers_[record.id_] = { record, aNow - aUpdate.age_ };
  Replace(record.id_, before, membership::VersionOf(record));
  SetLive(record.id_, !record.gone_);
  return MergeOutcome::Changed;
}

void
Ledger::Expire(TimePoint aNow)
{
  for (const auto& record : hosts_.Expire(aNow)) {
    Remove(SubjectOf(record.id_), membership::VersionOf(record));
  }
  std::vector<NodeId> expired;
  for (const auto& [id, entry] : peers_) {
    if (aNow - entry.madeAt_ >= bounds_.peerLife_) {
      expired.push_back(id);
    }
  }
  for (const auto id : expired) {
    Forget(id);
  }
}

void
Ledger::Forget(NodeId aPeer)
{
  const auto found = peers_.find(aPeer);
  if (found == peers_.end()) {
    return;
  }
  Remove(aPeer, membership::VersionOf(found->second.record_));
  peers_.erase(found);
  SetLive(aPeer, false);
}

std::uint64_t
Ledger::DigestOf(ServiceId aService) const
{
  std::uint64_t digest = 0;
  for (const auto& record : hosts_.OfServiceWithGone(aService)) {
    digest ^= HashOf(SubjectOf(record.id_), membership::VersionOf(record));
  }
  return digest;
}

std::uint64_t
Ledger::DigestOf(NodeId aSubject) const
{
  const auto version = VersionOf(aSubject);
  return version ? HashOf(aSubject, *version) : 0;
}

Leaf
Ledger::LeafAt(std::uint16_t aIndex) const
{
  Leaf leaf{ aIndex, {} };
  for (const auto subject : leaves_[aIndex]) {
    if (leaf.entries_.size() == kMaxLeafEntries) {
      break;
    }
    if (const auto version = VersionOf(subject)) {
      leaf.entries_.push_back({ subject, *version });
    }
  }
  return leaf;
}

std::optional<RecordVersion>
Ledger::VersionOf(NodeId aSubject) const
{
  if (const auto* host = hosts_.Find(HostId{ aSubject.value_ })) {
    return membership::VersionOf(*host);
  }
  const auto found = peers_.find(aSubject);
  if (found != peers_.end()) {
    return membership::VersionOf(found->second.record_);
  }
  return std::nullopt;
}

std::optional<HostUpdate>
Ledger::HostOf(TimePoint aNow, NodeId aSubject) const
{
  const HostId host{ aSubject.value_ };
  if (const auto* record = hosts_.Find(host)) {
    return HostUpdate{ *record, hosts_.AgeOf(aNow, host) };
  }
  return std::nullopt;
}

std::optional<PeerUpdate>
Ledger::PeerOf(TimePoint aNow, NodeId aSubject) const
{
  const auto found = peers_.find(aSubject);
  if (found == peers_.end()) {
    return std::nullopt;
  }
  return PeerUpdate{ found->second.record_, aNow - found->second.madeAt_ };
}

const membership::PeerRecord*
Ledger::LivePeer(NodeId aPeer) const
{
  const auto found = peers_.find(aPeer);
  const bool live = found != peers_.end() && !found->second.record_.gone_;
  return live ? &found->second.record_ : nullptr;
}

void
Ledger::Replace(NodeId aSubject,
                std::optional<RecordVersion> aOld,
                const RecordVersion& aNew)
{
  if (aOld) {
    tree_.Toggle(aSubject, *aOld);
  } else {
    leaves_[DigestTree::LeafOf(aSubject)].push_back(aSubject);
  }
  tree_.Toggle(aSubject, aNew);
}

void
Ledger::Remove(NodeId aSubject, const RecordVersion& aOld)
{
  tree_.Toggle(aSubject, aOld);
  std::erase(leaves_[DigestTree::LeafOf(aSubject)], aSubject);
}

void
Ledger::SetLive(NodeId aPeer, bool aLive)
{
  const auto found = std::find(live_.begin(), live_.end(), aPeer);
  if (aLive && found == live_.end()) {
    live_.push_back(aPeer);
  } else if (!aLive && found != live_.end()) {
    *found = live_.back();
    live_.pop_back();
  }
}

} // namespace cornelshore::dissemination
