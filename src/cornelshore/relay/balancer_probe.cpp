#include <algorithm>
#include <utility>

#include <cornelshore/relay/balancer.hpp>

namespace cornelshore::relay {

namespace {

/** Hosts that may be sent a packet of a flow before every other host has denied
 * it. A flow counts as sent elsewhere from three packets on, and two balancers
 * may search for it. */
constexpr std::size_t kMaxEarlyProbes = 1;

/** Most hosts sent a packet of a flow at a time. */
constexpr std::size_t kMaxProbesAtOnce = 8;

} // namespace

void
Balancer::OnUnsure(TimePoint aNow,
                   HostId aHost,
                   const FlowKey& aKey,
                   Flow& aFlow,
                   Actions& aOut)
{
  if (aFlow.phase_ == Phase::Searching && std::erase(aFlow.asked_, aHost) > 0) {
    hosts_.NoteUnsure(aNow, aHost);
    aFlow.unsure_.push_back(aHost);
    Decide(aNow, aKey, aFlow, aOut);
  }
}

void
Balancer::Decide(TimePoint aNow,
                 const FlowKey& aKey,
                 Flow& aFlow,
                 Actions& aOut)
{
  if (aNow < aFlow.probeDue_ || aFlow.denied_) {
    return;
  }
  const auto allAsked =
    aFlow.allAnswered_ || Hosts() > settings_.maxSearchedHosts_;
  const auto few = aFlow.probes_ + aFlow.unsure_.size() <= kMaxEarlyProbes;
  const auto waited =
    aFlow.waitsForUnresponsive_ &&
    std::all_of(aFlow.asked_.begin(), aFlow.asked_.end(), [&](HostId aHost) {
      return hosts_.IsSilent(aNow, aHost);
    });
  const auto answered = aFlow.asked_.empty() || aFlow.waitsForUnresponsive_;
  const auto complete = KnowsAllHosts(aNow) && (allAsked || waited);
  const auto mayProbe = (few || complete) && ProbePacketOf(aFlow) != nullptr &&
                        !HasProbedTooLong(aNow, aFlow);
  if (!aFlow.unsure_.empty() && answered) {
    if (mayProbe) {
      Probe(aNow, aKey, aFlow, aOut);
    } else if (aFlow.waitsForUnresponsive_) {
      ScheduleAt(aNow + settings_.openTimeout_, aKey, aFlow);
    } else if (!aFlow.searchesAllHosts_) {
      SearchAllHosts(aNow, aKey, aFlow);
    }
  } else if (!aFlow.asked_.empty() || aFlow.searchesAllHosts_) {
    if (aFlow.allAnswered_ && answered && aFlow.unsure_.empty() &&
        aFlow.probed_.empty() && !aFlow.silentLeft_) {
      NoteDenied(aNow, aKey, aFlow);
    }
  } else {
    SearchAllHosts(aNow, aKey, aFlow);
  }
}

void
Balancer::Probe(TimePoint aNow, const FlowKey& aKey, Flow& aFlow, Actions& aOut)
{
  const auto near = NearbyHosts(aKey, aFlow);
  auto& unsure = aFlow.unsure_;
  const auto farHosts =
    std::stable_partition(unsure.begin(), unsure.end(), [&](HostId aHost) {
      return std::find(near.begin(), near.end(), aHost) != near.end();
    });
  aFlow.probeDue_ = aNow + settings_.openTimeout_;
  ScheduleAt(aFlow.probeDue_, aKey, aFlow);
  const auto& packet = *ProbePacketOf(aFlow);
  if (aFlow.paidProbes_ == 0) {
    const auto nearHosts = static_cast<std::size_t>(farHosts - unsure.begin());
    const auto count = nearHosts > 0 ? nearHosts : unsure.size();
    if (!searchBudget_.TrySpend(
          aNow, packet.size() * count, dissemination::Priority::Normal)) {
      Increment(BalancerCount::SearchDenied);
      return;
    }
    aFlow.paidProbes_ = count;
  }
  const auto count =
    std::min({ std::clamp<std::size_t>(aFlow.probes_, 1, kMaxProbesAtOnce),
               aFlow.paidProbes_,
               unsure.size() });
  const auto last = unsure.begin() + static_cast<std::ptrdiff_t>(count);
  for (auto host = unsure.begin(); host != last; ++host) {
    Send(*host, Purpose::Probe, kAnyService, packet, aOut);
    aFlow.probed_.push_back(*host);
  }
  unsure.erase(unsure.begin(), last);
  aFlow.paidProbes_ -= count;
  aFlow.awaitedProbes_ = count;
  if (aFlow.probes_ <= kMaxEarlyProbes) {
    aFlow.firstProbeAt_ = aNow;
  }
  aFlow.probes_ += count;
  aFlow.unsent_ = true;
}

const std::string*
Balancer::ProbePacketOf(const Flow& aFlow) const
{
  const auto found = std::find_if(
    aFlow.packets_.rbegin(), aFlow.packets_.rend(), [&](const auto& aPacket) {
      const auto segment = codec_.parse_(aPacket);
      return segment && (segment->payload_ > 0 || segment->finishing_);
    });
  return found == aFlow.packets_.rend() ? nullptr : &*found;
}

bool
Balancer::KnowsAllHosts(TimePoint aNow) const
{
  return configuredAt_ && aNow - *configuredAt_ >= settings_.hostRecordsDelay_;
}

bool
Balancer::HasProbedTooLong(TimePoint aNow, const Flow& aFlow) const
{
  return aFlow.probes_ > kMaxEarlyProbes &&
         aNow - aFlow.firstProbeAt_ >= settings_.maxProbeTime_;
}

bool
Balancer::MayProbeAgain(TimePoint aNow, const Flow& aFlow) const
{
  return aFlow.probed_.size() <= kMaxEarlyProbes ||
         !HasProbedTooLong(aNow, aFlow);
}

} // namespace cornelshore::relay
