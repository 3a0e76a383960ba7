#include <cornelshore/request/peers.hpp>

#include <algorithm>
#include <cstdint>
#include <utility>

#include <cornelshore/core/hash.hpp>

namespace cornelshore::request::internal {

namespace {

std::uint64_t
WeightOf(RequestId aId, HostId aHost)
{
  return HashPair(HashPair(aId.high_, aId.low_), aHost.value_);
}

} // namespace

void
Peers::Update(TimePoint aNow,
              std::span<const HostRecord> aHosts,
              const AgentSettings& aSettings)
{
  absl::flat_hash_map<HostId, Peer> updated;
  for (const auto& host : aHosts) {
    if (host.id_ == aSettings.self_ || host.service_ != aSettings.service_) {
      continue;
    }
    const auto found = peers_.find(host.id_);
    Peer peer = found == peers_.end() ? Peer{} : found->second;
    if (host.incarnation_ > peer.incarnation_) {
      peer = {};
      peer.incarnation_ = host.incarnation_;
    }
    if (host.incarnation_ == peer.incarnation_) {
      peer.state_ = host.state_;
    }
    peer.dataCentre_ = host.dataCentre_;
    updated.emplace(host.id_, peer);
  }
  peers_ = std::move(updated);
  hasView_ = true;
  SelectStampPeers(aSettings);
  nextRequestAt_ = aNow;
}

void
Peers::SelectStampPeers(const AgentSettings& aSettings)
{
  std::vector<std::pair<std::uint64_t, HostId>> ranked;
  for (const auto& [id, peer] : peers_) {
    if (peer.state_ != HostState::Gone) {
      ranked.emplace_back(HashPair(aSettings.self_.value_, id.value_), id);
    }
  }
  std::sort(ranked.begin(), ranked.end());
  stampPeers_.clear();
  for (const auto& [weight, id] : ranked) {
    if (stampPeers_.size() < aSettings.peerLimit_) {
      stampPeers_.push_back(id);
    }
  }
}

void
Peers::OnMessage(HostId aHost, Incarnation aIncarnation)
{
  const auto found = peers_.find(aHost);
  if (found != peers_.end() && aIncarnation > found->second.incarnation_) {
    const auto dataCentre = found->second.dataCentre_;
    found->second = {};
    found->second.incarnation_ = aIncarnation;
    found->second.dataCentre_ = dataCentre;
  }
}

void
Peers::OnStamp(TimePoint aNow,
               HostId aHost,
               Incarnation aIncarnation,
               Stamp aStamp)
{
  const auto found = peers_.find(aHost);
  if (found == peers_.end() || found->second.incarnation_ != aIncarnation) {
    return;
  }
  found->second.stamp_ = std::max(found->second.stamp_, aStamp);
  found->second.stampedAt_ = aNow;
}

void
Peers::MarkUnresponsive(HostId aHost)
{
  const auto found = peers_.find(aHost);
  if (found != peers_.end()) {
    found->second.stampedAt_.reset();
  }
}

bool
Peers::HasEnded(const Authority& aAuthority) const
{
  const auto found = peers_.find(aAuthority.host_);
  if (found == peers_.end()) {
    return hasView_;
  }
  const auto& peer = found->second;
  return peer.incarnation_ > aAuthority.incarnation_ ||
         (peer.incarnation_ == aAuthority.incarnation_ &&
          peer.state_ == HostState::Gone);
}

bool
Peers::IsUsable(TimePoint aNow,
                const Peer& aPeer,
                const AgentSettings& aSettings) const
{
  return aPeer.state_ == HostState::Ready && aPeer.stampedAt_ &&
         aNow - *aPeer.stampedAt_ < aSettings.maxStampAge_;
}

Authority
Peers::PickBackup(TimePoint aNow,
                  RequestId aId,
                  const AgentSettings& aSettings) const
{
  Authority best;
  std::pair<bool, std::uint64_t> bestRank{};
  for (const auto host : stampPeers_) {
    const auto& peer = peers_.at(host);
    if (!IsUsable(aNow, peer, aSettings)) {
      continue;
    }
    const std::pair rank{ peer.dataCentre_ != aSettings.dataCentre_,
                          WeightOf(aId, host) };
    if (best.host_.value_ == 0 || rank > bestRank) {
      best = { host, peer.incarnation_, peer.stamp_ };
      bestRank = rank;
    }
  }
  return best;
}

std::optional<Authority>
Peers::PickExecutor(TimePoint aNow,
                    RequestId aId,
                    std::span<const HostId> aTried,
                    const AgentSettings& aSettings) const
{
  std::optional<Authority> best;
  std::uint64_t bestWeight = 0;
  for (const auto host : stampPeers_) {
    const auto& peer = peers_.at(host);
    const bool tried =
      std::find(aTried.begin(), aTried.end(), host) != aTried.end();
    if (tried || !IsUsable(aNow, peer, aSettings)) {
      continue;
    }
    const auto weight = WeightOf(aId, host);
    if (!best || weight > bestWeight) {
      best = Authority{ host, peer.incarnation_, peer.stamp_ };
      bestWeight = weight;
    }
  }
  return best;
}

void
Peers::OnTimers(TimePoint aNow,
                const AgentSettings& aSettings,
                std::vector<Action>& aActions)
{
  if (!nextRequestAt_ || *nextRequestAt_ > aNow) {
    return;
  }
  for (const auto host : stampPeers_) {
    aActions.emplace_back(SendToHost{ host, StampRequest{} });
  }
  nextRequestAt_ = aNow + aSettings.stampEvery_;
}

std::optional<TimePoint>
Peers::NextTimer() const
{
  return stampPeers_.empty() ? std::nullopt : nextRequestAt_;
}

std::size_t
Peers::CountFresh(TimePoint aNow, const AgentSettings& aSettings) const
{
  return static_cast<std::size_t>(
    std::count_if(stampPeers_.begin(), stampPeers_.end(), [&](HostId aHost) {
      return IsUsable(aNow, peers_.at(aHost), aSettings);
    }));
}

} // namespace cornelshore::request::internal
