#include <algorithm>
#include <utility>

#include <cornelshore/relay/balancer.hpp>

namespace cornelshore::relay {

namespace {

/** Hosts asked beyond those that an opening is offered to: some may have come
 * since the flow opened. */
constexpr std::size_t kMoreNear = 1;

/** The hosts near a flow are asked twice before all are: over a full link a
 * query to all would make it worse. The second time they have so many times the
 * time of an opening. */
constexpr int kPatienceNearby = 2;

/** Silent hosts up to so many get the flow's packets; more are asked by one
 * query for many flows again, since each packet to all of them would fill a
 * link. */
constexpr std::size_t kFewSilent = 4;

} // namespace

void
Balancer::StartSearch(TimePoint aNow,
                      const FlowKey& aKey,
                      Flow& aFlow,
                      std::optional<HostId> aExcept,
                      Actions& aOut)
{
  Note(BalancerCount::Searched);
  aFlow.phase_ = Phase::Searching;
  aFlow.since_ = aFlow.searchingSince_ = aFlow.searchedAt_ = aNow;
  aFlow.everywhere_ = aFlow.denied_ = false;
  aFlow.askedTwice_ = aFlow.waitsForSilent_ = aFlow.unsent_ = false;
  Tell(aNow, FlowEvent::Searched, aKey, aFlow, aOut);
  aFlow.asked_ = hosts_.Near(aFlow.service_, aKey, kMoreNear);
  if (aExcept) {
    std::erase(aFlow.asked_, *aExcept);
  }
  if (aFlow.asked_.empty() || !SendSearch(aNow, aFlow.asked_, aFlow, aOut)) {
    SearchEverywhere(aNow, aKey, aFlow);
  } else {
    WakeAt(aNow + settings_.openTimeout_, aKey, aFlow);
  }
}

bool
Balancer::SendSearch(TimePoint aNow,
                     const std::vector<HostId>& aHosts,
                     Flow& aFlow,
                     Actions& aOut)
{
  const auto& packet = aFlow.packets_.back();
  if (!searches_.TrySpend(
        aNow, packet.size() * aHosts.size(), dissemination::Priority::Normal)) {
    aFlow.unsent_ = true;
    Note(BalancerCount::Unasked);
    return false;
  }
  for (const auto host : aHosts) {
    Send(host, Purpose::Search, kAnyService, packet, aOut);
  }
  return true;
}

void
Balancer::GoOnSearching(TimePoint aNow,
                        const FlowKey& aKey,
                        Flow& aFlow,
                        std::string aPacket,
                        Actions& aOut)
{
  if (aFlow.packets_.size() >= settings_.mostWaiting_) {
    aFlow.packets_.pop_back();
  }
  aFlow.packets_.push_back(std::move(aPacket));
  if (IsLost(aNow, aFlow)) {
    ResetLost(aKey, aOut);
    return;
  }
  std::erase_if(aFlow.asked_, [&](HostId aHost) {
    const auto* host = hosts_.Find(aHost);
    return host == nullptr || host->record_.state_ == HostState::Gone;
  });
  const auto manySilent =
    aFlow.waitsForSilent_ && aFlow.asked_.size() > kFewSilent;
  if (!aFlow.everywhere_ && (aFlow.asked_.empty() || manySilent)) {
    SearchEverywhere(aNow, aKey, aFlow);
  } else if (!aFlow.everywhere_) {
    SendSearch(aNow, aFlow.asked_, aFlow, aOut);
  } else if (!aFlow.denied_) {
    AskEverywhere(aNow, aKey, aFlow);
  }
}

void
Balancer::GoOnNearby(TimePoint aNow,
                     const FlowKey& aKey,
                     Flow& aFlow,
                     Actions& aOut)
{
  if (aFlow.waitsForSilent_) {
    return;
  }
  if (std::exchange(aFlow.askedTwice_, true) ||
      !SendSearch(aNow, aFlow.asked_, aFlow, aOut)) {
    SearchEverywhere(aNow, aKey, aFlow);
    return;
  }
  WakeAt(aNow + settings_.openTimeout_ * kPatienceNearby, aKey, aFlow);
}

void
Balancer::WaitForSilent(const FarSearch::Unresolved& aUnresolved)
{
  const auto found = flows_.find(aUnresolved.key_);
  if (found == flows_.end() || found->second.phase_ != Phase::Searching) {
    return;
  }
  auto& flow = found->second;
  flow.everywhere_ = false;
  flow.waitsForSilent_ = true;
  flow.asked_ = aUnresolved.silent_;
}

void
Balancer::SearchEverywhere(TimePoint aNow, const FlowKey& aKey, Flow& aFlow)
{
  if (Hosts() > settings_.mostSearched_) {
    return;
  }
  aFlow.everywhere_ = true;
  aFlow.waitsForSilent_ = false;
  aFlow.searchingSince_ = aNow;
  AskEverywhere(aNow, aKey, aFlow);
  WakeAt(aNow + settings_.searchLeast_, aKey, aFlow);
}

void
Balancer::AskEverywhere(TimePoint aNow, const FlowKey& aKey, const Flow& aFlow)
{
  const auto segment = codec_.parse_(aFlow.packets_.back());
  far_.Add(aNow, aKey, segment ? segment->acknowledged_ : 0);
  nextTimer_ = std::min(nextTimer_, far_.Next());
}

bool
Balancer::IsLost(TimePoint aNow, const Flow& aFlow) const
{
  const auto inStep =
    lastSyncedAt_ && aNow - *lastSyncedAt_ < settings_.maxSyncAge_;
  const auto longEnough =
    aNow - aFlow.searchingSince_ >= settings_.searchLeast_;
  return inStep && !resumes_ && longEnough && aFlow.everywhere_ &&
         aFlow.denied_;
}

void
Balancer::ResetLost(const FlowKey& aKey, Actions& aOut)
{
  const auto found = flows_.find(aKey);
  const auto segment = codec_.parse_(found->second.packets_.back());
  Note(BalancerCount::Lost);
  aOut.emplace_back(
    ToCaller{ aKey,
              ResetReason::Lost,
              codec_.reset_(aKey, segment ? segment->acknowledged_ : 0) });
  far_.Forget(aKey);
  flows_.erase(found);
}

void
Balancer::NoteDenied(TimePoint aNow, const FlowKey& aKey, Flow& aFlow)
{
  aFlow.denied_ = true;
  if (aFlow.due_ <= aNow) {
    WakeAt(aNow, aKey, aFlow);
  }
}

void
Balancer::OnDenied(TimePoint aNow,
                   HostId aHost,
                   Answer& aAnswer,
                   Flow& aFlow,
                   Actions& aOut)
{
  if (aFlow.phase_ != Phase::Searching) {
    if (aFlow.host_ == aHost && !aAnswer.packet_.empty()) {
      aFlow.packets_ = { std::move(aAnswer.packet_) };
      StartSearch(aNow, aAnswer.key_, aFlow, aHost, aOut);
    }
    return;
  }
  if (!aAnswer.packet_.empty() &&
      aFlow.packets_.size() < settings_.mostWaiting_) {
    aFlow.packets_.push_back(std::move(aAnswer.packet_));
  }
  if (aFlow.everywhere_) {
    if (far_.OnDenied(aHost, aAnswer.key_)) {
      NoteDenied(aNow, aAnswer.key_, aFlow);
    }
  } else if (std::erase(aFlow.asked_, aHost) > 0 && aFlow.asked_.empty()) {
    SearchEverywhere(aNow, aAnswer.key_, aFlow);
  }
}

void
Balancer::OnAnswer(TimePoint aNow,
                   HostId aHost,
                   const QueryAnswer& aAnswer,
                   Actions& aOut)
{
  const auto findings = far_.OnAnswer(aHost, aAnswer);
  const auto eachFlow = [&](const std::vector<FlowKey>& aKeys, auto aDo) {
    for (const auto& key : aKeys) {
      const auto found = flows_.find(key);
      if (found != flows_.end() && found->second.phase_ == Phase::Searching) {
        aDo(key, found->second);
      }
    }
  };
  eachFlow(findings.held_, [&](const FlowKey& aKey, Flow& aFlow) {
    Answer holds;
    holds.key_ = aKey;
    holds.verdict_ = Verdict::Holds;
    OnTaken(aNow, holds, aHost, aFlow, aOut);
  });
  eachFlow(findings.unsure_, [&](const FlowKey&, Flow& aFlow) {
    SendSearch(aNow, { aHost }, aFlow, aOut);
  });
  eachFlow(findings.denied_, [&](const FlowKey& aKey, Flow& aFlow) {
    NoteDenied(aNow, aKey, aFlow);
  });
}

void
Balancer::SendWaiting(Flow& aFlow, Actions& aOut)
{
  if (!aFlow.everywhere_ && !aFlow.unsent_) {
    return;
  }
  for (auto& packet : aFlow.packets_) {
    SendDirect(aFlow, std::move(packet), aOut);
  }
}

void
Balancer::Resume(TimePoint aNow, Actions& aOut)
{
  for (auto& [key, opening] : std::exchange(held_, {})) {
    if (aNow - opening.since_ > settings_.openingLife_) {
      continue;
    }
    OnPacket(aNow, std::move(opening.packet_), aOut);
    if (const auto again = held_.find(key); again != held_.end()) {
      again->second.since_ = opening.since_;
    }
  }
  for (auto& [key, flow] : flows_) {
    if (flow.phase_ == Phase::Searching) {
      ResumeSearch(aNow, key, flow, aOut);
    }
  }
}

void
Balancer::ResumeSearch(TimePoint aNow,
                       const FlowKey& aKey,
                       Flow& aFlow,
                       Actions& aOut)
{
  const auto& all = hosts_.All();
  const auto newHosts =
    std::any_of(all.begin(), all.end(), [&](const auto& aRow) {
      return aRow.second.knownAt_ >= aFlow.searchedAt_;
    });
  if (newHosts && aFlow.everywhere_) {
    aFlow.denied_ = false;
    far_.Forget(aKey);
    AskEverywhere(aNow, aKey, aFlow);
  } else if (newHosts) {
    auto near = hosts_.Near(aFlow.service_, aKey, kMoreNear);
    std::erase_if(near, [&](HostId aHost) {
      return hosts_.Find(aHost)->knownAt_ < aFlow.searchedAt_;
    });
    aFlow.asked_.insert(aFlow.asked_.end(), near.begin(), near.end());
    SendSearch(aNow, near, aFlow, aOut);
  }
  aFlow.searchedAt_ = aNow + Duration{ 1 };
  if (aFlow.due_ <= aNow) {
    WakeAt(aNow + settings_.searchLeast_, aKey, aFlow);
  }
}

} // namespace cornelshore::relay
