#include <cornelshore/relay/balancer.hpp>

#include <algorithm>
#include <utility>

namespace cornelshore::relay {

namespace {

/** Interval at which expired flows are removed. */
constexpr Duration kSweepInterval = std::chrono::seconds{ 2 };

/** Maximum doublings of the answer timeout of an opening; its caller gives up
 * within them. */
constexpr std::uint32_t kMaxDoublings = 4;

/** Offers after which a host must accept the flow even if it is busy. */
constexpr std::uint32_t kOffersBeforeForcedOpen = 2;

} // namespace

Balancer::Balancer(BalancerSettings aSettings, Codec aCodec)
  : settings_(aSettings)
  , codec_(std::move(aCodec))
  , hosts_(aSettings.hosts_, aSettings.seed_)
  , near_(aSettings.nearSearch_)
  , far_(aSettings.farSearch_)
  , retryBudget_(aSettings.retryShare_, aSettings.retryBurst_)
  , searchBudget_(aSettings.searchBytesPerSecond_, aSettings.searchBurst_)
{
}

bool
Balancer::Sheds(TimePoint aNow, TimePoint aReceivedAt, std::string_view aPacket)
{
  const auto waited = aNow - aReceivedAt;
  if (waited <= settings_.maxOpeningWait_) {
    return false;
  }
  const auto segment = codec_.parse_(aPacket);
  const auto sheds =
    waited > settings_.maxPacketWait_ || (segment && segment->opening_);
  if (sheds) {
    Increment(BalancerCount::Shed);
  }
  return sheds;
}

void
Balancer::OnPacket(TimePoint aNow, std::string aPacket, Actions& aOut)
{
  const auto segment = codec_.parse_(aPacket);
  if (!segment) {
    Increment(BalancerCount::Malformed);
    return;
  }
  lastPacket_ = aNow;
  const auto key = KeyFromCaller(*segment);
  if (segment->opening_ && routes_.Version().value_ == 0) {
    Hold(aNow, key, *segment, std::move(aPacket), aOut);
    return;
  }
  const auto known = flows_.find(key);
  if (!MayRelay(key, *segment, aOut)) {
    Increment(BalancerCount::NoRoute);
    return;
  }
  if (known != flows_.end()) {
    OnKnownFlow(aNow, key, *segment, known->second, std::move(aPacket), aOut);
    return;
  }
  if (segment->opening_) {
    Open(aNow, key, *segment, std::move(aPacket), aOut);
    return;
  }
  auto& flow = flows_[key];
  flow.service_ = routes_.ServiceOf(key).value_or(kAnyService);
  flow.lastPacket_ = aNow;
  flow.packets_.push_back(std::move(aPacket));
  StartSearch(aNow, key, flow, std::nullopt, aOut);
}

bool
Balancer::MayRelay(const FlowKey& aKey,
                   const Segment& aSegment,
                   Actions& aOut) const
{
  if (routes_.Version().value_ == 0 || routes_.Find(aKey.service_) != nullptr) {
    return true;
  }
  if (aSegment.opening_) {
    aOut.emplace_back(ToCaller{ aKey,
                                ResetReason::NoRoute,
                                codec_.reset_(aKey, aSegment.acknowledged_) });
  }
  return false;
}

void
Balancer::OnKnownFlow(TimePoint aNow,
                      const FlowKey& aKey,
                      const Segment& aSegment,
                      Flow& aFlow,
                      std::string aPacket,
                      Actions& aOut)
{
  if (aSegment.opening_ && !IsCopy(aNow, aFlow, aSegment)) {
    Reopen(aNow, aKey, aSegment, Flow(aFlow), std::move(aPacket), aOut);
    return;
  }
  aFlow.lastPacket_ = aNow;
  if (!aSegment.opening_ && IsOfOther(aFlow, aSegment)) {
    Increment(BalancerCount::Direct);
    Send(aFlow.other_->host_,
         Purpose::Direct,
         aFlow.other_->service_,
         std::move(aPacket),
         aOut);
    return;
  }
  if (!aSegment.opening_ && !aSegment.reset_ && aFlow.initialSequence_ &&
      !IsWithinFlow(*aFlow.initialSequence_, aSegment.sequence_)) {
    OnForeignPacket(aNow, aKey, aFlow, std::move(aPacket), aOut);
    return;
  }
  if (aFlow.phase_ == Phase::Searching) {
    ContinueSearch(aNow, aKey, aFlow, std::move(aPacket), aOut);
    return;
  }
  if (aSegment.opening_ && aFlow.phase_ == Phase::Opening) {
    const auto awaits = aFlow.due_ > aNow || aFlow.waits_;
    if (!awaits && aFlow.offers_ < settings_.maxOffers_) {
      Offer(aNow, aKey, aFlow, aOut);
    }
    return;
  }
  SendDirect(aFlow, std::move(aPacket), aOut);
}

void
Balancer::Open(TimePoint aNow,
               const FlowKey& aKey,
               const Segment& aSegment,
               std::string aPacket,
               Actions& aOut)
{
  Flow flow;
  flow.service_ = routes_.ServiceOf(aKey).value_or(kAnyService);
  flow.since_ = flow.lastPacket_ = flow.openedAt_ = aNow;
  flow.initialSequence_ = aSegment.sequence_;
  flow.packets_.push_back(std::move(aPacket));
  Increment(BalancerCount::Opened);
  retryBudget_.First();
  if (!hosts_.Pick(aNow, flow.service_, aKey, flow.tried_)) {
    Increment(BalancerCount::NoHost);
    if (!lastSyncedAt_ || hosts_.AwaitsHostOf(aNow, flow.service_)) {
      Hold(aNow, aKey, aSegment, std::move(flow.packets_.front()), aOut);
      return;
    }
    held_.erase(aKey);
    aOut.emplace_back(ToCaller{
      aKey, ResetReason::NoHost, codec_.reset_(aKey, aSegment.acknowledged_) });
    return;
  }
  auto& held = flows_[aKey] = std::move(flow);
  Offer(aNow, aKey, held, aOut);
}

void
Balancer::Hold(TimePoint aNow,
               const FlowKey& aKey,
               const Segment& aSegment,
               std::string aPacket,
               Actions& aOut)
{
  if (held_.size() >= settings_.maxHeldOpenings_ && !held_.contains(aKey)) {
    Increment(BalancerCount::NoHost);
    return;
  }
  const auto [row, added] = held_.try_emplace(aKey);
  const auto isCopy =
    !added && row->second.initialSequence_ == aSegment.sequence_;
  row->second.packet_ = std::move(aPacket);
  row->second.initialSequence_ = aSegment.sequence_;
  if (!isCopy) {
    row->second.since_ = aNow;
    Flow flow;
    flow.since_ = aNow;
    EmitDecision(aNow, FlowEvent::Held, aKey, flow, aOut);
  }
}

void
Balancer::EmitDecision(TimePoint aNow,
                       FlowEvent aEvent,
                       const FlowKey& aKey,
                       const Flow& aFlow,
                       Actions& aOut) const
{
  FlowDecision decision;
  decision.event_ = aEvent;
  decision.key_ = aKey;
  decision.host_ = aFlow.host_;
  decision.offers_ = aFlow.offers_;
  decision.waited_ = aNow - aFlow.since_;
  decision.version_ = routes_.Version();
  decision.hosts_ = hosts_.All().size();
  if (const auto* host = hosts_.Find(aFlow.host_)) {
    decision.load_ = host->load_;
    decision.reportAge_ =
      host->lastReportAt_ ? aNow - *host->lastReportAt_ : Duration{};
  }
  aOut.emplace_back(decision);
}

void
Balancer::ScheduleResume()
{
  resumePending_ = true;
  nextTimer_ = TimePoint{};
}

void
Balancer::Offer(TimePoint aNow, const FlowKey& aKey, Flow& aFlow, Actions& aOut)
{
  auto host = hosts_.Pick(aNow, aFlow.service_, aKey, aFlow.tried_);
  if (!host && !aFlow.tried_.empty()) {
    aFlow.tried_.clear();
    host = hosts_.Pick(aNow, aFlow.service_, aKey, aFlow.tried_);
  }
  if (host) {
    OfferTo(aNow, *host, aKey, aFlow, aOut);
  }
}

void
Balancer::OfferTo(TimePoint aNow,
                  HostId aHost,
                  const FlowKey& aKey,
                  Flow& aFlow,
                  Actions& aOut)
{
  if (aFlow.offers_ > 0) {
    Increment(BalancerCount::Retried);
  }
  const auto insists = aFlow.offers_ >= kOffersBeforeForcedOpen;
  aFlow.host_ = aHost;
  aFlow.tried_.push_back(aHost);
  ++aFlow.offers_;
  hosts_.NoteOffered(aHost);
  Send(aHost,
       insists ? Purpose::ForceOpen : Purpose::Open,
       aFlow.service_,
       aFlow.packets_.front(),
       aOut);
  ScheduleAt(
    aNow + settings_.openTimeout_ * (1U << aFlow.unanswered_), aKey, aFlow);
}

void
Balancer::ScheduleAt(TimePoint aDue, const FlowKey& aKey, Flow& aFlow)
{
  aFlow.due_ = aDue;
  due_.emplace_back(aDue, aKey);
  nextTimer_ = std::min(nextTimer_, aDue);
}

void
Balancer::SendDirect(const Flow& aFlow, std::string aPacket, Actions& aOut)
{
  Increment(BalancerCount::Direct);
  Send(aFlow.host_, Purpose::Direct, aFlow.service_, std::move(aPacket), aOut);
}

void
Balancer::Send(HostId aHost,
               Purpose aPurpose,
               ServiceId aService,
               std::string aPacket,
               Actions& aOut)
{
  const auto* host = hosts_.Find(aHost);
  if (host == nullptr) {
    return;
  }
  aOut.emplace_back(
    ToAgent{ aHost,
             host->record_.agent_,
             RelayedPacket{
               aPurpose, aService, routes_.Version(), std::move(aPacket) } });
}

void
Balancer::OnAnswer(TimePoint aNow, HostId aHost, Answer aAnswer, Actions& aOut)
{
  OnLoad(aNow, aHost, aAnswer.load_);
  const auto found = flows_.find(aAnswer.key_);
  if (found == flows_.end()) {
    return;
  }
  auto& flow = found->second;
  switch (aAnswer.verdict_) {
    case Verdict::Opened:
    case Verdict::Holds:
      OnTaken(aNow, aAnswer, aHost, flow, aOut);
      return;
    case Verdict::Busy:
    case Verdict::Refused:
      if (flow.phase_ == Phase::Opening && flow.host_ == aHost &&
          !flow.waits_) {
        EmitDecision(aNow, FlowEvent::Declined, aAnswer.key_, flow, aOut);
        OnDeclined(aNow, aAnswer, flow, aOut);
      }
      return;
    case Verdict::Unknown:
      OnDenied(aNow, aHost, aAnswer, flow, aOut);
      return;
    case Verdict::Unsure:
      OnUnsure(aNow, aHost, aAnswer.key_, flow, aOut);
      return;
    case Verdict::OtherFlow:
      OnOtherFlow(aNow, aHost, aAnswer, flow, aOut);
      return;
  }
}

void
Balancer::OnDeclined(TimePoint aNow,
                     const Answer& aAnswer,
                     Flow& aFlow,
                     Actions& aOut)
{
  ++aFlow.declined_;
  if (aAnswer.verdict_ == Verdict::Busy &&
      aFlow.declined_ >= settings_.maxDeclinedOffers_) {
    WaitForSlot(aNow, aAnswer.key_, aFlow);
  } else if (aFlow.offers_ < settings_.maxOffers_) {
    Offer(aNow, aAnswer.key_, aFlow, aOut);
  }
}

void
Balancer::OnTaken(TimePoint aNow,
                  const Answer& aAnswer,
                  HostId aHost,
                  Flow& aFlow,
                  Actions& aOut)
{
  const auto late =
    aAnswer.verdict_ == Verdict::Opened && aFlow.phase_ == Phase::Held;
  if (late) {
    return;
  }
  const auto searched = aFlow.phase_ == Phase::Searching;
  const auto opened = aFlow.phase_ == Phase::Opening;
  aFlow.phase_ = Phase::Held;
  aFlow.host_ = aHost;
  if (searched || opened) {
    EmitDecision(aNow,
                 searched ? FlowEvent::Found : FlowEvent::Opened,
                 aAnswer.key_,
                 aFlow,
                 aOut);
  }
  if (aAnswer.verdict_ == Verdict::Holds) {
    aFlow.service_ = kAnyService;
  }
  if (searched) {
    SendWaiting(aFlow, aOut);
    StopSearch(aAnswer.key_);
  }
  aFlow.packets_.clear();
  aFlow.tried_.clear();
  hosts_.ClearSuspicion(aHost);
}

void
Balancer::OnLoad(TimePoint aNow, HostId aHost, const HostLoad& aLoad)
{
  hosts_.OnLoad(aNow, aHost, aLoad);
  if (aLoad.accepts_ && !held_.empty()) {
    ScheduleResume();
  }
}

void
Balancer::UpdateHosts(TimePoint aNow, const std::vector<HostRecord>& aRecords)
{
  if (hosts_.Update(aNow, aRecords)) {
    ScheduleResume();
  }
}

void
Balancer::NoteSynced(TimePoint aAt)
{
  if (!std::exchange(lastSyncedAt_, aAt)) {
    ScheduleResume();
  }
}

void
Balancer::UpdateRoutes(TimePoint aNow, const Configuration& aConfiguration)
{
  routes_.Update(aConfiguration);
  if (!configuredAt_) {
    configuredAt_ = aNow;
    resumeAgainAt_ = aNow + settings_.hostRecordsDelay_;
    ScheduleResume();
  }
}

void
Balancer::OnDue(TimePoint aNow, const FlowKey& aKey, Flow& aFlow, Actions& aOut)
{
  const auto awaitsNewHosts = aFlow.allAnswered_ && !aFlow.asked_.empty();
  if (aFlow.phase_ == Phase::Searching) {
    if (IsLost(aNow, aFlow)) {
      ResetLost(aNow, aKey, aOut);
    } else if (!awaitsNewHosts &&
               (aFlow.allAnswered_ || aFlow.waitsForUnresponsive_)) {
      Decide(aNow, aKey, aFlow, aOut);
    } else if (awaitsNewHosts || !aFlow.searchesAllHosts_) {
      RetryNearbyHosts(aNow, aKey, aFlow, aOut);
    }
  } else if (aFlow.phase_ == Phase::Opening && !aFlow.waits_) {
    EmitDecision(aNow, FlowEvent::Unanswered, aKey, aFlow, aOut);
    hosts_.Suspect(aNow, aFlow.host_);
    aFlow.unanswered_ = std::min(aFlow.unanswered_ + 1, kMaxDoublings);
    if (aFlow.offers_ >= settings_.maxOffers_ || !retryBudget_.Take()) {
      Increment(BalancerCount::RetryDenied);
      return;
    }
    Offer(aNow, aKey, aFlow, aOut);
  }
}

void
Balancer::Tick(TimePoint aNow, Actions& aOut)
{
  startedAt_ = startedAt_.value_or(aNow);
  if (std::exchange(resumePending_, false) || resumeAgainAt_ <= aNow) {
    resumeAgainAt_ = resumeAgainAt_ <= aNow ? TimePoint::max() : resumeAgainAt_;
    Resume(aNow, aOut);
  }
  std::vector<std::pair<TimePoint, FlowKey>> waiting;
  waiting.swap(due_);
  for (auto& [due, key] : waiting) {
    const auto found = flows_.find(key);
    if (found == flows_.end() || found->second.due_ != due) {
      continue;
    }
    if (due > aNow) {
      due_.emplace_back(due, key);
    } else {
      OnDue(aNow, key, found->second, aOut);
    }
  }
  if (sweepAt_ <= aNow) {
    sweepAt_ = aNow + kSweepInterval;
    absl::erase_if(flows_, [&](const auto& aRow) {
      const auto old = aNow - aRow.second.lastPacket_ > settings_.flowTimeout_;
      if (old && aRow.second.phase_ == Phase::Searching) {
        StopSearch(aRow.first);
      }
      return old;
    });
    hosts_.ForgetGoneBefore(aNow - settings_.flowTimeout_);
  }
  if (waitingDue_ <= aNow) {
    OfferWaiting(aNow, aOut);
  }
  for (const auto& watch : hosts_.TakeDueWatches(aNow)) {
    aOut.emplace_back(watch);
  }
  for (auto& query : near_.Take(aNow, hosts_)) {
    aOut.emplace_back(std::move(query));
  }
  if (far_.Next() <= aNow) {
    auto due = far_.Take(aNow, hosts_);
    for (auto& query : due.queries_) {
      aOut.emplace_back(std::move(query));
    }
    for (auto& unresolved : due.unresolved_) {
      WaitForUnresponsive(aNow, unresolved, aOut);
    }
  }
  nextTimer_ = std::min({ sweepAt_,
                          hosts_.NextWatch(),
                          near_.Next(),
                          far_.Next(),
                          waitingDue_,
                          resumeAgainAt_ });
  for (const auto& [due, key] : due_) {
    nextTimer_ = std::min(nextTimer_, due);
  }
}

} // namespace cornelshore::relay
