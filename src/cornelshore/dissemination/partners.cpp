#include <cornelshore/dissemination/partners.hpp>

#include <algorithm>
#include <tuple>

#include <cornelshore/core/hash.hpp>

namespace cornelshore::dissemination {

namespace {

constexpr std::uint32_t kPushesAVersion = 2;

} // namespace

void
Partners::Heard(TimePoint aNow,
                NodeId aFrom,
                const Address& aAddress,
                const Header& aHeader)
{
  awaitedSince_.erase(aFrom);
  if (aHeader.role_ != membership::NodeRole::Agent) {
    return;
  }
  if (attached_.size() < kMaxAttached || attached_.contains(aFrom)) {
    auto& agent = attached_[aFrom];
    agent.address_ = aAddress;
    agent.incarnation_ = aHeader.incarnation_;
    agent.interest_ = aHeader.scope_;
    agent.config_ = aHeader.config_;
    agent.heardAt_ = aNow;
  }
}

void
Partners::Asked(TimePoint aNow, NodeId aPeer)
{
  awaitedSince_.try_emplace(aPeer, aNow);
}

std::vector<NodeId>
Partners::PeersThat(TimePoint aNow, bool aAnswer, const Ledger& aLedger) const
{
  std::vector<NodeId> peers;
  for (const auto peer : aLedger.LivePeers()) {
    if (peer != self_ && IsSilent(aNow, peer) != aAnswer) {
      peers.push_back(peer);
    }
  }
  return peers;
}

void
Partners::Sample(std::size_t aCount, std::vector<NodeId>& aPeers)
{
  const auto count = std::min(aCount, aPeers.size());
  for (std::size_t index = 0; index < count; ++index) {
    const auto other = index + random_.Below(aPeers.size() - index);
    std::swap(aPeers[index], aPeers[other]);
  }
  aPeers.resize(count);
}

std::vector<NodeId>
Partners::Pick(TimePoint aNow, const Ledger& aLedger, std::size_t aCount)
{
  auto peers = PeersThat(aNow, true, aLedger);
  if (peers.empty()) {
    peers = PeersThat(aNow, false, aLedger);
  }
  Sample(aCount, peers);
  return peers;
}

std::vector<NodeId>
Partners::PickBalancers(TimePoint aNow,
                        const Ledger& aLedger,
                        std::size_t aCount)
{
  auto peers = PeersThat(aNow, true, aLedger);
  std::erase_if(peers, [&](NodeId aPeer) {
    return aLedger.LivePeer(aPeer)->role_ != membership::NodeRole::Balancer;
  });
  Sample(aCount, peers);
  return peers;
}

std::vector<NodeId>
Partners::PickFurther(TimePoint aNow,
                      const Ledger& aLedger,
                      const Outreach& aOutreach,
                      std::size_t aCount)
{
  auto peers = PeersThat(aNow, true, aLedger);
  std::erase_if(peers, [&](NodeId aPeer) { return aOutreach.HasAsked(aPeer); });
  Sample(aCount, peers);
  return peers;
}

std::optional<NodeId>
Partners::PickSilent(TimePoint aNow, const Ledger& aLedger)
{
  const auto silent = PeersThat(aNow, false, aLedger);
  return silent.empty() ? std::nullopt
                        : std::optional(silent[random_.Below(silent.size())]);
}

std::vector<NodeId>
Partners::RankForAgent(TimePoint aNow, const Ledger& aLedger) const
{
  using Rank = std::tuple<bool, bool, std::uint64_t, NodeId>;
  std::vector<Rank> ranks;
  for (const auto peer : aLedger.LivePeers()) {
    const auto* record = aLedger.LivePeer(peer);
    if (record->role_ == membership::NodeRole::Balancer) {
      ranks.emplace_back(IsSilent(aNow, peer),
                         record->dataCentre_ != dataCentre_,
                         HashPair(self_.value_, peer.value_),
                         peer);
    }
  }
  std::sort(ranks.begin(), ranks.end());
  std::vector<NodeId> ranked;
  ranked.reserve(ranks.size());
  for (const auto& rank : ranks) {
    ranked.push_back(std::get<NodeId>(rank));
  }
  return ranked;
}

std::vector<NodeId>
Partners::PickForAgent(TimePoint aNow, const Ledger& aLedger) const
{
  auto ranked = RankForAgent(aNow, aLedger);
  ranked.resize(std::min(ranked.size(), kAgentPartners));
  return ranked;
}

std::vector<NodeId>
Partners::PickFurtherForAgent(TimePoint aNow,
                              const Ledger& aLedger,
                              const Outreach& aOutreach,
                              std::size_t aCount) const
{
  auto peers = RankForAgent(aNow, aLedger);
  std::erase_if(peers, [&](NodeId aPeer) {
    return aOutreach.HasAsked(aPeer) || IsSilent(aNow, aPeer);
  });
  peers.resize(std::min(peers.size(), aCount));
  return peers;
}

std::vector<NodeId>
Partners::TakeLaggards(ConfigVersion aVersion, std::size_t aMost)
{
  std::vector<NodeId> laggards;
  for (auto& [id, agent] : attached_) {
    if (agent.pushed_ != aVersion) {
      agent.pushed_ = aVersion;
      agent.pushes_ = 0;
    }
    const bool lags =
      agent.config_ < aVersion && agent.pushes_ < kPushesAVersion;
    if (lags && laggards.size() < aMost) {
      ++agent.pushes_;
      laggards.push_back(id);
    }
  }
  return laggards;
}

void
Partners::Expire(TimePoint aNow, Duration aLife, const Ledger& aLedger)
{
  absl::erase_if(attached_, [aNow, aLife](const auto& aEntry) {
    return aNow - aEntry.second.heardAt_ >= aLife;
  });
  absl::erase_if(awaitedSince_, [&aLedger](const auto& aEntry) {
    return aLedger.LivePeer(aEntry.first) == nullptr;
  });
}

bool
Partners::IsSilent(TimePoint aNow, NodeId aPeer) const
{
  const auto found = awaitedSince_.find(aPeer);
  return found != awaitedSince_.end() && aNow - found->second >= answerTimeout_;
}

} // namespace cornelshore::dissemination
