#include <algorithm>
#include <utility>

#include <cornelshore/relay/balancer.hpp>

namespace cornelshore::relay {

namespace {

/** Hosts asked beyond those that an opening is offered to: hosts may have been
 * added since the flow opened. */
constexpr std::size_t kExtraNearbyHosts = 1;

/** Nearby hosts are asked twice before all hosts are, because a query to all
 * would worsen congestion of a full link. The second timeout is this multiple
 * of an opening's. */
constexpr int kNearbyTimeoutFactor = 2;

/** Up to this many unresponsive hosts are sent the flow's packets; more are
 * queried again for many flows at once, since sending each packet to all of
 * them would fill a link. */
constexpr std::size_t kMaxProbedUnresponsive = 4;

constexpr std::uint64_t kMaxLinkBytesPerSecond = 1'250'000;
constexpr std::uint32_t kSearchShareOfLink = 8;
constexpr std::uint32_t kBurstSeconds = 2;
constexpr double kFarShareOfLink = 0.15;
constexpr double kFarMessageBytes = 400;

} // namespace

void
ScaleSearchTo(std::uint64_t aLinkBytesPerSecond, BalancerSettings& aSettings)
{
  const auto link = std::min(aLinkBytesPerSecond, kMaxLinkBytesPerSecond);
  const auto share = static_cast<std::uint32_t>(link / kSearchShareOfLink);
  aSettings.searchBytesPerSecond_ = aSettings.nearSearch_.bytesPerSecond_ =
    share;
  aSettings.searchBurst_ = aSettings.nearSearch_.burst_ = share * kBurstSeconds;
  aSettings.farSearch_.burst_ = aSettings.farSearch_.perSecond_ =
    static_cast<double>(link) * kFarShareOfLink / kFarMessageBytes;
}

void
Balancer::StartSearch(TimePoint aNow,
                      const FlowKey& aKey,
                      Flow& aFlow,
                      std::optional<HostId> aExcept,
                      Actions& aOut)
{
  Increment(BalancerCount::Searched);
  aFlow.phase_ = Phase::Searching;
  aFlow.since_ = aFlow.searchingSince_ = aFlow.searchedAt_ = aNow;
  aFlow.searchesAllHosts_ = aFlow.denied_ = false;
  aFlow.askedTwice_ = aFlow.waitsForUnresponsive_ = aFlow.unsent_ = false;
  EmitDecision(aNow, FlowEvent::Searched, aKey, aFlow, aOut);
  aFlow.asked_ = hosts_.Near(aFlow.service_, aKey, kExtraNearbyHosts);
  if (aExcept) {
    std::erase(aFlow.asked_, *aExcept);
  }
  if (aFlow.asked_.empty()) {
    SearchAllHosts(aNow, aKey, aFlow);
  } else {
    AskNearbyHosts(aNow, aKey, aFlow, aOut);
    ScheduleAt(aNow + settings_.openTimeout_, aKey, aFlow);
  }
}

void
Balancer::AskNearbyHosts(TimePoint aNow,
                         const FlowKey& aKey,
                         Flow& aFlow,
                         Actions& aOut)
{
  if (searchBudget_.HasShareLeft(aNow, settings_.searchReserve_) &&
      SendSearch(aNow, aFlow.asked_, aFlow, aOut)) {
    return;
  }
  aFlow.unsent_ = true;
  near_.Add(aNow, aKey, AcknowledgedBy(aFlow), aFlow.asked_);
  nextTimer_ = std::min(nextTimer_, near_.Next());
}

std::uint32_t
Balancer::AcknowledgedBy(const Flow& aFlow) const
{
  const auto segment = codec_.parse_(aFlow.packets_.back());
  return segment ? segment->acknowledged_ : 0;
}

void
Balancer::StopSearch(const FlowKey& aKey)
{
  near_.Forget(aKey);
  far_.Forget(aKey);
}

bool
Balancer::SendSearch(TimePoint aNow,
                     const std::vector<HostId>& aHosts,
                     Flow& aFlow,
                     Actions& aOut)
{
  const auto& packet = aFlow.packets_.back();
  if (!searchBudget_.TrySpend(
        aNow, packet.size() * aHosts.size(), dissemination::Priority::Normal)) {
    aFlow.unsent_ = true;
    Increment(BalancerCount::SearchDenied);
    return false;
  }
  for (const auto host : aHosts) {
    Send(host, Purpose::Search, kAnyService, packet, aOut);
  }
  return true;
}

void
Balancer::ContinueSearch(TimePoint aNow,
                         const FlowKey& aKey,
                         Flow& aFlow,
                         std::string aPacket,
                         Actions& aOut)
{
  if (aFlow.packets_.size() >= settings_.maxBufferedPackets_) {
    aFlow.packets_.pop_back();
  }
  aFlow.packets_.push_back(std::move(aPacket));
  if (IsLost(aNow, aFlow)) {
    ResetLost(aNow, aKey, aOut);
    return;
  }
  std::erase_if(aFlow.asked_, [&](HostId aHost) {
    const auto* host = hosts_.Find(aHost);
    return host == nullptr || host->record_.state_ == HostState::Gone;
  });
  const auto manyUnresponsive =
    aFlow.waitsForUnresponsive_ && aFlow.asked_.size() > kMaxProbedUnresponsive;
  if (!aFlow.searchesAllHosts_ && (aFlow.asked_.empty() || manyUnresponsive)) {
    SearchAllHosts(aNow, aKey, aFlow);
  } else if (!aFlow.searchesAllHosts_ && !near_.IsQueued(aKey)) {
    AskNearbyHosts(aNow, aKey, aFlow, aOut);
  } else if (aFlow.searchesAllHosts_ && !aFlow.denied_) {
    QueueQuery(aNow, aKey, aFlow);
  }
}

void
Balancer::RetryNearbyHosts(TimePoint aNow,
                           const FlowKey& aKey,
                           Flow& aFlow,
                           Actions& aOut)
{
  if (aFlow.waitsForUnresponsive_) {
    return;
  }
  if (near_.IsQueued(aKey)) {
    ScheduleAt(aNow + settings_.openTimeout_, aKey, aFlow);
    return;
  }
  if (std::exchange(aFlow.askedTwice_, true)) {
    SearchAllHosts(aNow, aKey, aFlow);
    return;
  }
  AskNearbyHosts(aNow, aKey, aFlow, aOut);
  ScheduleAt(aNow + settings_.openTimeout_ * kNearbyTimeoutFactor, aKey, aFlow);
}

void
Balancer::WaitForUnresponsive(const FarSearch::Unresolved& aUnresolved)
{
  const auto found = flows_.find(aUnresolved.key_);
  if (found == flows_.end() || found->second.phase_ != Phase::Searching) {
    return;
  }
  auto& flow = found->second;
  flow.searchesAllHosts_ = false;
  flow.waitsForUnresponsive_ = true;
  flow.asked_ = aUnresolved.unresponsive_;
}

void
Balancer::SearchAllHosts(TimePoint aNow, const FlowKey& aKey, Flow& aFlow)
{
  if (Hosts() > settings_.maxSearchedHosts_) {
    return;
  }
  aFlow.searchesAllHosts_ = true;
  aFlow.waitsForUnresponsive_ = false;
  aFlow.searchingSince_ = aNow;
  QueueQuery(aNow, aKey, aFlow);
  ScheduleAt(aNow + settings_.minSearchTime_, aKey, aFlow);
}

void
Balancer::QueueQuery(TimePoint aNow, const FlowKey& aKey, const Flow& aFlow)
{
  far_.Add(aNow, aKey, AcknowledgedBy(aFlow));
  nextTimer_ = std::min(nextTimer_, far_.Next());
}

bool
Balancer::IsLost(TimePoint aNow, const Flow& aFlow) const
{
  const auto inStep =
    lastSyncedAt_ && aNow - *lastSyncedAt_ < settings_.maxSyncAge_;
  const auto longEnough =
    aNow - aFlow.searchingSince_ >= settings_.minSearchTime_;
  return inStep && !resumePending_ && longEnough && aFlow.searchesAllHosts_ &&
         aFlow.denied_;
}

void
Balancer::ResetLost(TimePoint aNow, const FlowKey& aKey, Actions& aOut)
{
  const auto found = flows_.find(aKey);
  SearchSummary search;
  search.searched_ = aNow - found->second.since_;
  search.syncAge_ = aNow - lastSyncedAt_.value_or(aNow);
  search.uptime_ = aNow - startedAt_.value_or(aNow);
  const auto segment = codec_.parse_(found->second.packets_.back());
  Increment(BalancerCount::Lost);
  aOut.emplace_back(
    ToCaller{ aKey,
              ResetReason::Lost,
              codec_.reset_(aKey, segment ? segment->acknowledged_ : 0),
              search });
  StopSearch(aKey);
  flows_.erase(found);
}

void
Balancer::NoteDenied(TimePoint aNow, const FlowKey& aKey, Flow& aFlow)
{
  aFlow.denied_ = true;
  if (aFlow.due_ <= aNow) {
    ScheduleAt(aNow, aKey, aFlow);
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
      aFlow.packets_.size() < settings_.maxBufferedPackets_) {
    aFlow.packets_.push_back(std::move(aAnswer.packet_));
  }
  if (aFlow.searchesAllHosts_) {
    if (far_.OnDenied(aHost, aAnswer.key_)) {
      NoteDenied(aNow, aAnswer.key_, aFlow);
    }
  } else if (std::erase(aFlow.asked_, aHost) > 0 && aFlow.asked_.empty()) {
    SearchAllHosts(aNow, aAnswer.key_, aFlow);
  }
}

void
Balancer::OnAnswer(TimePoint aNow,
                   HostId aHost,
                   const QueryAnswer& aAnswer,
                   Actions& aOut)
{
  if (NearSearch::IsNearQuery(aAnswer.id_)) {
    OnNearAnswer(aNow, aHost, aAnswer, aOut);
    return;
  }
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
Balancer::OnNearAnswer(TimePoint aNow,
                       HostId aHost,
                       const QueryAnswer& aAnswer,
                       Actions& aOut)
{
  const auto findings = near_.OnAnswer(aHost, aAnswer);
  const auto answerAs = [&](const FlowKey& aKey, Verdict aVerdict) {
    const auto found = flows_.find(aKey);
    if (found == flows_.end() || found->second.phase_ != Phase::Searching) {
      return;
    }
    Answer answer;
    answer.key_ = aKey;
    answer.verdict_ = aVerdict;
    if (aVerdict == Verdict::Holds) {
      OnTaken(aNow, answer, aHost, found->second, aOut);
    } else {
      OnDenied(aNow, aHost, answer, found->second, aOut);
    }
  };
  for (const auto& key : findings.held_) {
    answerAs(key, Verdict::Holds);
  }
  for (const auto& key : findings.denied_) {
    answerAs(key, Verdict::Unknown);
  }
  for (const auto& key : findings.unsure_) {
    const auto found = flows_.find(key);
    if (found != flows_.end() && found->second.phase_ == Phase::Searching) {
      SendSearch(aNow, { aHost }, found->second, aOut);
    }
  }
}

void
Balancer::SendWaiting(Flow& aFlow, Actions& aOut)
{
  if (!aFlow.searchesAllHosts_ && !aFlow.unsent_) {
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
    if (aNow - opening.since_ > settings_.openingLifetime_) {
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
      return aRow.second.firstSeenAt_ >= aFlow.searchedAt_;
    });
  if (newHosts && aFlow.searchesAllHosts_) {
    aFlow.denied_ = false;
    far_.Forget(aKey);
    QueueQuery(aNow, aKey, aFlow);
  } else if (newHosts) {
    auto near = hosts_.Near(aFlow.service_, aKey, kExtraNearbyHosts);
    std::erase_if(near, [&](HostId aHost) {
      return hosts_.Find(aHost)->firstSeenAt_ < aFlow.searchedAt_;
    });
    aFlow.asked_.insert(aFlow.asked_.end(), near.begin(), near.end());
    AskNearbyHosts(aNow, aKey, aFlow, aOut);
  }
  aFlow.searchedAt_ = aNow + Duration{ 1 };
  if (aFlow.due_ <= aNow) {
    ScheduleAt(aNow + settings_.minSearchTime_, aKey, aFlow);
  }
}

} // namespace cornelshore::relay
