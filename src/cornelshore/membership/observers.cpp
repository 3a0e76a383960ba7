#include <cornelshore/membership/observers.hpp>

#include <algorithm>
#include <functional>
#include <iterator>

#include <cornelshore/core/hash.hpp>

namespace cornelshore::membership {

namespace {

std::pair<std::uint64_t, NodeId>
RankOf(HostId aHost, NodeId aBalancer)
{
  return { HashPair(aHost.value_, aBalancer.value_), aBalancer };
}

/** Inserts in descending order and truncates to the limit. */
template<typename Ranked>
bool
Insert(Ranked& aRanked,
       const typename Ranked::value_type& aRank,
       std::size_t aMost)
{
  const auto place =
    std::lower_bound(aRanked.begin(), aRanked.end(), aRank, std::greater<>{});
  if (place == aRanked.end() && aRanked.size() >= aMost) {
    return false;
  }
  aRanked.insert(place, aRank);
  if (aRanked.size() > aMost) {
    aRanked.pop_back();
  }
  return true;
}

} // namespace

Observers::Ranked
Observers::Choose(HostId aHost) const
{
  Ranked ranked;
  for (const auto balancer : balancers_) {
    Insert(ranked, RankOf(aHost, balancer), perHost_);
  }
  return ranked;
}

void
Observers::AddHost(HostId aHost)
{
  if (!chosen_.contains(aHost)) {
    chosen_[aHost] = Choose(aHost);
  }
}

void
Observers::RemoveHost(HostId aHost)
{
  chosen_.erase(aHost);
}

bool
Observers::SetBalancers(std::vector<NodeId> aBalancers)
{
  std::sort(aBalancers.begin(), aBalancers.end());
  std::vector<NodeId> added;
  std::vector<NodeId> removed;
  std::set_difference(aBalancers.begin(),
                      aBalancers.end(),
                      balancers_.begin(),
                      balancers_.end(),
                      std::back_inserter(added));
  std::set_difference(balancers_.begin(),
                      balancers_.end(),
                      aBalancers.begin(),
                      aBalancers.end(),
                      std::back_inserter(removed));
  balancers_ = std::move(aBalancers);
  const auto lost = [&removed](const auto& aRank) {
    return std::binary_search(removed.begin(), removed.end(), aRank.second);
  };
  bool changed = false;
  for (auto& [host, ranked] : chosen_) {
    if (std::any_of(ranked.begin(), ranked.end(), lost)) {
      ranked = Choose(host);
      changed = true;
      continue;
    }
    for (const auto balancer : added) {
      changed |= Insert(ranked, RankOf(host, balancer), perHost_);
    }
  }
  return changed;
}

std::vector<NodeId>
Observers::Of(HostId aHost) const
{
  std::vector<NodeId> observers;
  const auto found = chosen_.find(aHost);
  if (found != chosen_.end()) {
    for (const auto& rank : found->second) {
      observers.push_back(rank.second);
    }
  }
  return observers;
}

std::vector<HostId>
Observers::ObservedBy(NodeId aBalancer) const
{
  std::vector<HostId> hosts;
  for (const auto& [host, ranked] : chosen_) {
    if (Observes(aBalancer, host)) {
      hosts.push_back(host);
    }
  }
  std::sort(hosts.begin(), hosts.end());
  return hosts;
}

bool
Observers::Observes(NodeId aBalancer, HostId aHost) const
{
  const auto found = chosen_.find(aHost);
  return found != chosen_.end() &&
         std::any_of(found->second.begin(),
                     found->second.end(),
                     [aBalancer](const auto& aRank) {
                       return aRank.second == aBalancer;
                     });
}

} // namespace cornelshore::membership
