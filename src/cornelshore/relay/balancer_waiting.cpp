#include <algorithm>
#include <utility>

#include <cornelshore/relay/balancer.hpp>

namespace cornelshore::relay {

void
Balancer::WaitForSlot(TimePoint aNow, const FlowKey& aKey, Flow& aFlow)
{
  aFlow.waits_ = true;
  waiting_.push_back(aKey);
  waitingDue_ = std::min(waitingDue_, aNow + settings_.waitingInterval_);
  nextTimer_ = std::min(nextTimer_, waitingDue_);
}

void
Balancer::OfferWaiting(TimePoint aNow, Actions& aOut)
{
  std::vector<std::pair<TimePoint, FlowKey>> openings;
  for (const auto& key : std::exchange(waiting_, {})) {
    const auto found = flows_.find(key);
    if (found == flows_.end() || !found->second.waits_ ||
        found->second.phase_ != Phase::Opening) {
      continue;
    }
    if (aNow - found->second.since_ > settings_.openingLifetime_) {
      flows_.erase(found);
    } else {
      openings.emplace_back(found->second.since_, key);
    }
  }
  std::sort(
    openings.begin(), openings.end(), [](const auto& aOne, const auto& aOther) {
      return aOne.first > aOther.first;
    });
  for (const auto& [since, key] : openings) {
    auto& flow = flows_[key];
    const auto host = hosts_.PickFreeSlot(aNow, flow.service_);
    if (!host) {
      waiting_.push_back(key);
    } else if (std::exchange(flow.waits_, false)) {
      flow.declined_ = settings_.maxDeclinedOffers_ - 1;
      flow.offers_ = 0;
      flow.tried_.clear();
      OfferTo(aNow, *host, key, flow, aOut);
    }
  }
  waitingDue_ =
    waiting_.empty() ? TimePoint::max() : aNow + settings_.waitingInterval_;
}

} // namespace cornelshore::relay
