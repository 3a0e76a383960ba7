#include <cornelshore/membership/observers.hpp>

#include <algorithm>
#include <set>
#include <vector>

#include <gtest/gtest.h>

#include <cornelshore/core/hash.hpp>
#include <cornelshore/core/random.hpp>

namespace cornelshore::membership {
namespace {

constexpr std::size_t kPerHost = 5;

/** Reference: the highest random weights, computed from scratch. */
std::vector<NodeId>
NaiveObservers(HostId aHost, const std::set<NodeId>& aBalancers)
{
  std::vector<NodeId> ranked(aBalancers.begin(), aBalancers.end());
  std::sort(ranked.begin(), ranked.end(), [aHost](NodeId aOne, NodeId aOther) {
    return HashPair(aHost.value_, aOne.value_) >
           HashPair(aHost.value_, aOther.value_);
  });
  ranked.resize(std::min(ranked.size(), kPerHost));
  return ranked;
}

TEST(Observers, FollowBalancersAsANewChoiceWould)
{
  Random random(9);
  Observers observers(kPerHost);
  std::set<NodeId> balancers;
  std::set<HostId> hosts;
  for (int step = 0; step < 300; ++step) {
    const HostId host{ 1 + random.Below(40) };
    if (random.Below(4) == 0) {
      observers.RemoveHost(host);
      hosts.erase(host);
    } else {
      observers.AddHost(host);
      hosts.insert(host);
    }
    for (auto changes = random.Below(4); changes > 0; --changes) {
      const NodeId balancer{ 1 + random.Below(30) };
      if (balancers.erase(balancer) == 0) {
        balancers.insert(balancer);
      }
    }
    observers.SetBalancers({ balancers.begin(), balancers.end() });
    std::size_t observed = 0;
    for (const auto each : hosts) {
      const auto expected = NaiveObservers(each, balancers);
      ASSERT_EQ(observers.Of(each), expected);
      observed += expected.size();
    }
    for (const auto balancer : balancers) {
      observed -= observers.ObservedBy(balancer).size();
    }
    ASSERT_EQ(observed, 0U);
  }
}

} // namespace
} // namespace cornelshore::membership
