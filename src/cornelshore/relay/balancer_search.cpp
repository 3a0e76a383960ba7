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

std::vector<HostId>
Balancer::NearbyHosts(const FlowKey& aKey, const Flow& aFlow) const
{
  return hosts_.Near(aFlow.service_, aKey, kExtraNearbyHosts);
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
  aFlow.since_ = aFlow.searchingSince_ = aNow;
  aFlow.searchesAllHosts_ = aFlow.denied_ = false;
  aFlow.askedTwice_ = aFlow.waitsForUnresponsive_ = aFlow.unsent_ = false;
  aFlow.allAnswered_ = aFlow.silentLeft_ = false;
  aFlow.unsure_.clear();
  aFlow.probed_.clear();
  aFlow.probes_ = aExcept ? 1 : 0;
  aFlow.awaitedProbes_ = aFlow.paidProbes_ = 0;
  aFlow.probeDue_ = aFlow.firstProbeAt_ = aNow;
  EmitDecision(aNow, FlowEvent::Searched, aKey, aFlow, aOut);
  aFlow.asked_ = NearbyHosts(aKey, aFlow);
  if (aExcept) {
    std::erase(aFlow.asked_, *aExcept);
  }
  const auto silent = [&](HostId aHost) {
    return hosts_.IsSilent(aNow, aHost);
  };
  if (!std::all_of(aFlow.asked_.begin(), aFlow.asked_.end(), silent)) {
    std::erase_if(aFlow.asked_, silent);
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
  const auto unsure =
    std::any_of(aFlow.asked_.begin(), aFlow.asked_.end(), [&](HostId aHost) {
      return hosts_.WasUnsure(aNow, aHost);
    });
  if (!unsure && searchBudget_.HasShareLeft(aNow, settings_.searchReserve_) &&
      SendSearch(aNow, Purpose::Search, aFlow.asked_, aFlow, aOut)) {
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
                     Purpose aPurpose,
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
    Send(host, aPurpose, kAnyService, packet, aOut);
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
  DropGoneHosts(aFlow);
  if (!aFlow.probed_.empty() && aFlow.unsure_.empty() &&
      MayProbeAgain(aNow, aFlow)) {
    SendSearch(aNow, Purpose::Probe, aFlow.probed_, aFlow, aOut);
    return;
  }
  if (aFlow.allAnswered_ && HasProbedTooLong(aNow, aFlow)) {
    near_.Add(aNow, aKey, AcknowledgedBy(aFlow), NearbyHosts(aKey, aFlow));
    nextTimer_ = std::min(nextTimer_, near_.Next());
    return;
  }
  if (aFlow.allAnswered_ && aFlow.silentLeft_ && aFlow.unsure_.empty() &&
      aFlow.asked_.empty()) {
    SearchAllHosts(aNow, aKey, aFlow);
    return;
  }
  if (aFlow.allAnswered_ && aFlow.asked_.empty()) {
    Decide(aNow, aKey, aFlow, aOut);
    return;
  }
  const auto manyUnresponsive =
    aFlow.waitsForUnresponsive_ && aFlow.asked_.size() > kMaxProbedUnresponsive;
  if (!aFlow.searchesAllHosts_ && (aFlow.asked_.empty() || manyUnresponsive)) {
    SearchAllHosts(aNow, aKey, aFlow);
  } else if (aFlow.searchesAllHosts_ && !aFlow.allAnswered_) {
    if (!aFlow.denied_) {
      QueueQuery(aNow, aKey, aFlow);
    }
  } else if (!near_.IsQueued(aKey)) {
    AskNearbyHosts(aNow, aKey, aFlow, aOut);
  }
}

void
Balancer::DropGoneHosts(Flow& aFlow) const
{
  for (auto* hosts : { &aFlow.asked_, &aFlow.unsure_, &aFlow.probed_ }) {
    std::erase_if(*hosts, [&](HostId aHost) {
      const auto* host = hosts_.Find(aHost);
      return host == nullptr || host->record_.state_ == HostState::Gone;
    });
  }
}

void
Balancer::RetryNearbyHosts(TimePoint aNow,
                           const FlowKey& aKey,
                           Flow& aFlow,
                           Actions& aOut)
{
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
Balancer::WaitForUnresponsive(TimePoint aNow,
                              const FarSearch::Unresolved& aUnresolved,
                              Actions& aOut)
{
  const auto found = flows_.find(aUnresolved.key_);
  if (found == flows_.end() || found->second.phase_ != Phase::Searching) {
    return;
  }
  auto& flow = found->second;
  flow.searchesAllHosts_ = false;
  flow.waitsForUnresponsive_ = true;
  flow.asked_ = aUnresolved.unresponsive_;
  flow.unsure_ = aUnresolved.unsure_;
  if (!flow.unsure_.empty()) {
    Decide(aNow, aUnresolved.key_, flow, aOut);
  }
}

void
Balancer::SearchAllHosts(TimePoint aNow, const FlowKey& aKey, Flow& aFlow)
{
  if (Hosts() > settings_.maxSearchedHosts_) {
    return;
  }
  aFlow.searchesAllHosts_ = true;
  aFlow.waitsForUnresponsive_ = aFlow.allAnswered_ = false;
  aFlow.silentLeft_ = false;
  aFlow.asked_.clear();
  aFlow.unsure_.clear();
  aFlow.probed_.clear();
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
  if (found->second.other_ && !found->second.initialSequence_) {
    RestoreOther(aKey, found->second);
    return;
  }
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
  if (const auto denied = codec_.parse_(aAnswer.packet_);
      denied && IsOfOther(aFlow, *denied) && aFlow.other_->host_ == aHost) {
    aFlow.other_.reset();
    return;
  }
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
  const auto probed = std::erase(aFlow.probed_, aHost);
  if (probed > 0 && aFlow.awaitedProbes_ > 0 && --aFlow.awaitedProbes_ == 0) {
    aFlow.probeDue_ = aNow;
  }
  if (probed + std::erase(aFlow.asked_, aHost) +
        std::erase(aFlow.unsure_, aHost) >
      0) {
    Decide(aNow, aAnswer.key_, aFlow, aOut);
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
  eachFlow(findings.denied_, [&](const FlowKey& aKey, Flow& aFlow) {
    NoteDenied(aNow, aKey, aFlow);
  });
  for (const auto& undecided : findings.undecided_) {
    eachFlow({ undecided.key_ }, [&](const FlowKey& aKey, Flow& aFlow) {
      aFlow.allAnswered_ = true;
      aFlow.silentLeft_ = undecided.silentLeft_;
      aFlow.unsure_ = undecided.unsure_;
      aFlow.paidProbes_ = 0;
      Decide(aNow, aKey, aFlow, aOut);
    });
  }
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
      OnUnsure(aNow, aHost, key, found->second, aOut);
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
  const auto newHosts = TakeNewHosts(aNow);
  far_.AddHosts(newHosts);
  nextTimer_ = std::min(nextTimer_, far_.Next());
  for (auto& [key, flow] : flows_) {
    if (flow.phase_ == Phase::Searching) {
      ResumeSearch(aNow, key, flow, newHosts, aOut);
    }
  }
}

std::vector<HostId>
Balancer::TakeNewHosts(TimePoint aNow)
{
  std::vector<HostId> added;
  for (const auto& [id, host] : hosts_.All()) {
    if (host.firstSeenAt_ >= newHostsSince_ &&
        host.record_.state_ != HostState::Gone) {
      added.push_back(id);
    }
  }
  newHostsSince_ = aNow + Duration{ 1 };
  return added;
}

void
Balancer::ResumeSearch(TimePoint aNow,
                       const FlowKey& aKey,
                       Flow& aFlow,
                       const std::vector<HostId>& aNewHosts,
                       Actions& aOut)
{
  const auto all = aFlow.searchesAllHosts_;
  const auto answered = aFlow.allAnswered_ || aFlow.denied_;
  auto added = aNewHosts;
  if (!all && !aFlow.waitsForUnresponsive_) {
    const auto near = NearbyHosts(aKey, aFlow);
    std::erase_if(added, [&](HostId aHost) {
      return std::find(near.begin(), near.end(), aHost) == near.end();
    });
  }
  if (!added.empty() && (!all || answered)) {
    for (const auto host : added) {
      for (auto* hosts : { &aFlow.asked_, &aFlow.unsure_, &aFlow.probed_ }) {
        std::erase(*hosts, host);
      }
      aFlow.asked_.push_back(host);
    }
    aFlow.allAnswered_ = answered;
    aFlow.denied_ = aFlow.askedTwice_ = false;
    AskNearbyHosts(aNow, aKey, aFlow, aOut);
  } else if (aFlow.allAnswered_) {
    Decide(aNow, aKey, aFlow, aOut);
  }
  if (aFlow.due_ < aNow) {
    ScheduleAt(aNow + settings_.minSearchTime_, aKey, aFlow);
  }
}

} // namespace cornelshore::relay
