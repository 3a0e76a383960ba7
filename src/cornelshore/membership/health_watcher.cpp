#include <cornelshore/membership/health_watcher.hpp>

#include <algorithm>
#include <utility>

#include <absl/status/status.h>

namespace cornelshore::membership {

namespace {

constexpr std::size_t kSharedLossInDataCentre = 3;
constexpr std::size_t kSharedLossOverall = 4;
constexpr std::int64_t kSuspicionsPerLife = 3;
constexpr std::int64_t kSuspectedProbesAnInterval = 4;

} // namespace

HealthWatcher::HealthWatcher(const HealthSettings& aSettings)
  : settings_(aSettings)
  , random_(aSettings.seed_)
  , observers_(aSettings.observersPerHost_)
{
}

std::vector<HealthAction>
HealthWatcher::On(TimePoint aNow, const HealthEvent& aEvent)
{
  std::visit([this, aNow](const auto& aOne) { Handle(aNow, aOne); }, aEvent);
  return std::exchange(actions_, {});
}

TimePoint
HealthWatcher::NextTimer() const noexcept
{
  return nextTimer_;
}

void
HealthWatcher::Handle(TimePoint aNow, const HostRecordsChanged& aEvent)
{
  for (const auto& record : aEvent.records_) {
    const auto found = records_.find(record.id_);
    if (found != records_.end() &&
        VersionOf(record) <= VersionOf(found->second)) {
      continue;
    }
    if (record.state_ == HostState::Gone) {
      records_.erase(record.id_);
      watched_.erase(record.id_);
      observers_.RemoveHost(record.id_);
      continue;
    }
    records_[record.id_] = record;
    observers_.AddHost(record.id_);
    if (observers_.Observes(settings_.self_, record.id_)) {
      Watch(aNow, record);
    }
  }
  Schedule();
}

void
HealthWatcher::Handle(TimePoint aNow, const BalancersChanged& aEvent)
{
  if (observers_.SetBalancers(aEvent.balancers_)) {
    Reconcile(aNow);
  }
  Schedule();
}

void
HealthWatcher::Reconcile(TimePoint aNow)
{
  const auto hosts = observers_.ObservedBy(settings_.self_);
  std::erase_if(watched_, [&hosts](const auto& aEntry) {
    return !std::binary_search(hosts.begin(), hosts.end(), aEntry.first);
  });
  for (const auto host : hosts) {
    if (!watched_.contains(host)) {
      Watch(aNow, records_[host]);
    }
  }
}

void
HealthWatcher::Watch(TimePoint aNow, const HostRecord& aRecord)
{
  auto& watched = watched_[aRecord.id_];
  const bool sameState = watched.record_.id_ == aRecord.id_ &&
                         watched.record_.state_ == aRecord.state_ &&
                         watched.record_.incarnation_ == aRecord.incarnation_;
  watched.record_ = aRecord;
  if (!sameState) {
    watched.watchedSince_ = aNow;
  }
  Restart(aNow, watched);
}

void
HealthWatcher::Restart(TimePoint aNow, Watched& aWatched)
{
  const auto interval = settings_.probeInterval_.count();
  const auto jitter = random_.Below(static_cast<std::uint64_t>(interval));
  aWatched.heardAt_ = aNow;
  aWatched.probeAt_ = aNow + Duration{ static_cast<std::int64_t>(jitter) };
  aWatched.deadline_.reset();
  aWatched.misses_ = 0;
  aWatched.failures_ = 0;
  aWatched.failingSince_.reset();
  aWatched.missingSince_.reset();
  aWatched.suspicionSentAt_.reset();
  aWatched.suspicions_.clear();
}

void
HealthWatcher::Handle(TimePoint aNow, const HostResultObserved& aEvent)
{
  const auto found = watched_.find(aEvent.host_);
  if (found == watched_.end()) {
    return;
  }
  auto& watched = found->second;
  if (aEvent.answered_) {
    watched.failures_ = 0;
    watched.failingSince_.reset();
    RecordAnswer(aNow, watched);
    return;
  }
  ++watched.failures_;
  if (!watched.failingSince_) {
    watched.failingSince_ = aNow;
    watched.probeAt_ = aNow;
    nextTimer_ = std::min(nextTimer_, aNow);
  }
}

void
HealthWatcher::Handle(TimePoint aNow, const DataCentreContact& aEvent)
{
  heard_[aEvent.dataCentre_] = aNow;
}

void
HealthWatcher::Handle(TimePoint aNow, const MessageReceived& aEvent)
{
  std::visit(
    [&](const auto& aMessage) { Handle(aNow, aEvent.from_, aMessage); },
    aEvent.message_);
  Schedule();
}

void
HealthWatcher::Handle(TimePoint /*aNow*/, NodeId aFrom, const Probe& aProbe)
{
  actions_.emplace_back(HealthSend{ aFrom, ProbeAnswer{ aProbe.token_ } });
}

void
HealthWatcher::Handle(TimePoint aNow, NodeId aFrom, const ProbeAnswer& aAnswer)
{
  const auto found = watched_.find(HostId{ aFrom.value_ });
  if (found != watched_.end() && found->second.token_ == aAnswer.token_) {
    RecordAnswer(aNow, found->second);
  }
}

void
HealthWatcher::Handle(TimePoint aNow, NodeId aFrom, const Suspicion& aSuspicion)
{
  const auto found = watched_.find(aSuspicion.host_);
  if (found == watched_.end() ||
      !observers_.Observes(aFrom, aSuspicion.host_)) {
    return;
  }
  auto& watched = found->second;
  if (aSuspicion.withdrawn_) {
    watched.suspicions_.erase(aFrom);
    return;
  }
  if (aSuspicion.incarnation_ != watched.record_.incarnation_ ||
      aSuspicion.sequence_ != watched.record_.sequence_) {
    return;
  }
  watched.suspicions_[aFrom] = aNow;
  if (watched.misses_ == 0) {
    watched.probeAt_ = aNow;
    watched.heardAt_ =
      std::min(watched.heardAt_, aNow - settings_.probeInterval_);
  }
  Step(aNow, watched);
}

void
HealthWatcher::Handle(TimePoint aNow, const HealthTick& /*aEvent*/)
{
  for (auto& [host, watched] : watched_) {
    Step(aNow, watched);
  }
  std::erase_if(watched_, [](const auto& aEntry) {
    return aEntry.second.record_.state_ == HostState::Gone;
  });
  Schedule();
}

void
HealthWatcher::Schedule()
{
  nextTimer_ = TimePoint::max();
  for (const auto& [host, watched] : watched_) {
    nextTimer_ =
      std::min(nextTimer_, watched.deadline_.value_or(watched.probeAt_));
  }
}

void
HealthWatcher::RecordAnswer(TimePoint aNow, Watched& aWatched)
{
  aWatched.heardAt_ = aNow;
  aWatched.deadline_.reset();
  aWatched.probeAt_ = aNow + settings_.probeInterval_;
  aWatched.misses_ = 0;
  heard_[aWatched.record_.dataCentre_] = aNow;
  if (Unanswered(aNow, aWatched)) {
    return;
  }
  aWatched.missingSince_.reset();
  if (aWatched.suspicionSentAt_) {
    aWatched.suspicionSentAt_.reset();
    SendSuspicion(aWatched, true);
  }
}

void
HealthWatcher::RecordMiss(TimePoint aNow, Watched& aWatched)
{
  aWatched.deadline_.reset();
  ++aWatched.misses_;
  if (!aWatched.missingSince_) {
    aWatched.missingSince_ = aNow;
  }
  const bool enough = aWatched.misses_ >= settings_.missesToSuspect_;
  aWatched.probeAt_ =
    enough ? aNow + settings_.probeInterval_ / kSuspectedProbesAnInterval
           : aNow;
}

void
HealthWatcher::SendProbe(TimePoint aNow, Watched& aWatched)
{
  ++probesSent_;
  aWatched.token_ = random_.Next();
  aWatched.deadline_ = aNow + settings_.probeTimeout_;
  actions_.emplace_back(HealthSend{ NodeId{ aWatched.record_.id_.value_ },
                                    Probe{ aWatched.token_ } });
}

void
HealthWatcher::Step(TimePoint aNow, Watched& aWatched)
{
  if (aWatched.record_.state_ == HostState::Gone) {
    return;
  }
  if (InStartGrace(aNow, aWatched)) {
    aWatched.probeAt_ = aNow + settings_.probeInterval_;
    return;
  }
  if (aWatched.deadline_ && aNow >= *aWatched.deadline_) {
    RecordMiss(aNow, aWatched);
  }
  if (!aWatched.deadline_ && aNow >= aWatched.probeAt_) {
    const bool recent = aWatched.misses_ == 0 &&
                        aNow - aWatched.heardAt_ < settings_.probeInterval_ &&
                        aWatched.failures_ == 0;
    if (recent) {
      aWatched.probeAt_ = aWatched.heardAt_ + settings_.probeInterval_;
    } else {
      SendProbe(aNow, aWatched);
    }
  }
  Judge(aNow, aWatched);
}

void
HealthWatcher::Judge(TimePoint aNow, Watched& aWatched)
{
  if (!Unanswered(aNow, aWatched)) {
    return;
  }
  if (!aWatched.missingSince_) {
    aWatched.missingSince_ = aWatched.failingSince_;
  }
  if (HeldBack(aNow, aWatched)) {
    return;
  }
  if (!aWatched.suspicionSentAt_ ||
      aNow - *aWatched.suspicionSentAt_ >=
        settings_.suspicionLife_ / kSuspicionsPerLife) {
    aWatched.suspicionSentAt_ = aNow;
    SendSuspicion(aWatched, false);
  }
  std::erase_if(aWatched.suspicions_, [this, aNow](const auto& aEntry) {
    return aNow - aEntry.second >= settings_.suspicionLife_;
  });
  if (1 + aWatched.suspicions_.size() <
      RequiredObservers(aWatched.record_.id_)) {
    return;
  }
  ++declaredGone_;
  aWatched.record_.state_ = HostState::Gone;
  actions_.emplace_back(HostDeclaredGone{ aWatched.record_ });
}

bool
HealthWatcher::Unanswered(TimePoint aNow, const Watched& aWatched) const
{
  const bool failing =
    aWatched.failures_ >= settings_.failuresToSuspect_ &&
    aNow - *aWatched.failingSince_ >= settings_.failingToSuspect_;
  return failing || aWatched.misses_ >= settings_.missesToSuspect_;
}

bool
HealthWatcher::InStartGrace(TimePoint aNow, const Watched& aWatched) const
{
  return aWatched.record_.state_ == HostState::Starting &&
         aNow - aWatched.watchedSince_ < settings_.startGrace_;
}

bool
HealthWatcher::HeldBack(TimePoint aNow, const Watched& aWatched) const
{
  const auto since = aWatched.missingSince_.value_or(aNow);
  if (aNow - since >= settings_.holdLimit_) {
    return false;
  }
  const auto heard = heard_.find(aWatched.record_.dataCentre_);
  const bool reachable = heard != heard_.end() && heard->second >= since &&
                         aNow - heard->second < settings_.dataCentreSilence_;
  std::size_t inDataCentre = 0;
  std::size_t missingInDataCentre = 0;
  std::size_t missing = 0;
  for (const auto& [host, other] : watched_) {
    const bool sameDataCentre =
      other.record_.dataCentre_ == aWatched.record_.dataCentre_;
    const bool unanswered = other.misses_ > 0;
    inDataCentre += sameDataCentre ? 1U : 0U;
    missingInDataCentre += sameDataCentre && unanswered ? 1U : 0U;
    missing += unanswered ? 1U : 0U;
  }
  const bool sharedInDataCentre =
    missingInDataCentre >= kSharedLossInDataCentre &&
    2 * missingInDataCentre >= inDataCentre;
  const bool shared =
    missing >= kSharedLossOverall && 2 * missing >= watched_.size();
  return !reachable || sharedInDataCentre || shared;
}

std::size_t
HealthWatcher::RequiredObservers(HostId aHost) const
{
  const auto majority = observers_.Of(aHost).size() / 2 + 1;
  return std::min(majority, settings_.observersToDeclare_);
}

void
HealthWatcher::SendSuspicion(const Watched& aWatched, bool aWithdrawn)
{
  const auto& record = aWatched.record_;
  for (const auto observer : observers_.Of(record.id_)) {
    if (observer != settings_.self_) {
      actions_.emplace_back(HealthSend{
        observer,
        Suspicion{
          record.id_, record.incarnation_, record.sequence_, aWithdrawn } });
    }
  }
}

Judgement
HealthWatcher::Of(TimePoint aNow, HostId aHost) const
{
  const auto found = watched_.find(aHost);
  if (found == watched_.end()) {
    return Judgement::Alive;
  }
  const auto& watched = found->second;
  if (!Unanswered(aNow, watched)) {
    return watched.misses_ == 0 ? Judgement::Alive : Judgement::Missing;
  }
  return HeldBack(aNow, watched) ? Judgement::HeldBack : Judgement::Suspected;
}

HealthDump
HealthWatcher::Dump(TimePoint aNow) const
{
  HealthDump dump;
  dump.watched_ = watched_.size();
  dump.probesSent_ = probesSent_;
  dump.declaredGone_ = declaredGone_;
  for (const auto& [host, watched] : watched_) {
    ++dump.byJudgement_.at(static_cast<std::size_t>(Of(aNow, host)));
  }
  return dump;
}

absl::StatusOr<HealthWatcher>
HealthWatcher::Builder::Build() const
{
  const auto fault = [](const char* aWhat) {
    return absl::InvalidArgumentError(aWhat);
  };
  if (settings_.self_ == NodeId{}) {
    return fault("health: self id is 0");
  }
  if (settings_.observersPerHost_ == 0 || settings_.observersToDeclare_ == 0 ||
      settings_.missesToSuspect_ == 0 || settings_.failuresToSuspect_ == 0) {
    return fault("health: observers per host, observers to declare, misses "
                 "to suspect and failures to suspect must be positive");
  }
  if (settings_.probeTimeout_ <= Duration::zero() ||
      settings_.probeInterval_ <= settings_.probeTimeout_) {
    return fault("health: the probe timeout must be positive and less than "
                 "the probe interval");
  }
  return HealthWatcher(settings_);
}

} // namespace cornelshore::membership
