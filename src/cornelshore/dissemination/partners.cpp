#include <cornelshore/dissemination/partners.hpp>

#include <algorithm>
#include <tuple>

#include <cornelshore/core/hash.hpp>

namespace cornelshore::dissemination {

namespace {

constexpr std::uint32_t kSilentAfter = 3;
constexpr std::uint64_t kSilentRetryIn = 16;
constexpr std::size_t kTriesPerPick = 4;
constexpr std::uint32_t kPushesAVersion = 2;

} // namespace

void
Partners::Heard(TimePoint aNow,
                NodeId aFrom,
                const Address& aAddress,
                const Header& aHeader)
{
  unanswered_.erase(aFrom);
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
Partners::Asked(NodeId aPeer)
{
  ++unanswered_[aPeer];
}

std::vector<NodeId>
Partners::Pick(const Ledger& aLedger, std::size_t aCount)
{
  const auto& live = aLedger.LivePeers();
  std::vector<NodeId> picked;
  const auto tries = kTriesPerPick * aCount;
  for (std::size_t tried = 0; tried < tries && picked.size() < aCount;
       ++tried) {
    if (live.empty()) {
      break;
    }
    const auto peer = live[random_.Below(live.size())];
    const bool skip =
      peer == self_ ||
      std::find(picked.begin(), picked.end(), peer) != picked.end() ||
      (Silent(peer) && random_.Below(kSilentRetryIn) != 0);
    if (!skip) {
      picked.push_back(peer);
    }
  }
  return picked;
}

std::vector<NodeId>
Partners::PickForAgent(const Ledger& aLedger) const
{
  using Rank = std::tuple<bool, bool, std::uint64_t, NodeId>;
  std::vector<Rank> ranks;
  for (const auto peer : aLedger.LivePeers()) {
    const auto* record = aLedger.LivePeer(peer);
    if (record->role_ == membership::NodeRole::Balancer) {
      ranks.emplace_back(Silent(peer),
                         record->dataCentre_ != dataCentre_,
                         HashPair(self_.value_, peer.value_),
                         peer);
    }
  }
  std::sort(ranks.begin(), ranks.end());
  ranks.resize(std::min(ranks.size(), kAgentPartners));
  std::vector<NodeId> picked;
  picked.reserve(ranks.size());
  for (const auto& rank : ranks) {
    picked.push_back(std::get<NodeId>(rank));
  }
  return picked;
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
  absl::erase_if(unanswered_, [&aLedger](const auto& aEntry) {
    return aLedger.LivePeer(aEntry.first) == nullptr;
  });
}

bool
Partners::Silent(NodeId aPeer) const
{
  const auto found = unanswered_.find(aPeer);
  return found != unanswered_.end() && found->second >= kSilentAfter;
}

} // namespace cornelshore::dissemination
