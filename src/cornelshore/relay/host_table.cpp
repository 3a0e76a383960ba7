#include <cornelshore/relay/host_table.hpp>

#include <algorithm>
#include <utility>

namespace cornelshore::relay {

namespace {

/** Random part of a host's cost, so that balancers do not all choose the same
 * host. */
constexpr double kJitter = 0.15;

/** Load added to a host that is warming up, in busy slots. */
constexpr double kWarmupPenalty = 0.7;

/** Cost added to a host that recently did not answer. */
constexpr double kSuspectPenalty = 1000.0;

} // namespace

HostTable::HostTable(HostTableSettings aSettings, std::uint64_t aSeed)
  : settings_(aSettings)
  , random_(aSeed)
{
}

bool
HostTable::Update(TimePoint aNow, const std::vector<HostRecord>& aRecords)
{
  auto changed = false;
  for (const auto& record : aRecords) {
    auto& host = hosts_[record.id_];
    if (host.record_.incarnation_ != record.incarnation_) {
      const auto heardAt =
        host.lastReportAt_ ? host.lastReportAt_ : host.earlierRunHeardAt_;
      const auto left =
        host.record_.state_ == HostState::Leaving ||
        (host.earlierRunLeaving_ && AwaitsReportAfterLeaving(aNow, host));
      host = {};
      host.firstSeenAt_ = aNow;
      host.earlierRunHeardAt_ = heardAt;
      host.earlierRunLeaving_ = left;
      watchAt_ = aNow;
      changed = true;
    }
    changed |= record.state_ == HostState::Ready &&
               host.record_.state_ == HostState::Starting;
    host.record_ = record;
  }
  return changed;
}

void
HostTable::OnLoad(TimePoint aNow, HostId aHost, const HostLoad& aLoad)
{
  const auto found = hosts_.find(aHost);
  if (found == hosts_.end()) {
    return;
  }
  auto& host = found->second;
  host.load_ = aLoad;
  host.lastReportAt_ = aNow;
  host.offered_ = 0;
}

void
HostTable::Suspect(TimePoint aNow, HostId aHost)
{
  const auto found = hosts_.find(aHost);
  if (found == hosts_.end()) {
    return;
  }
  auto& host = found->second;
  host.suspicion_ = std::clamp(
    host.suspicion_ * 2, settings_.suspicion_, settings_.maxSuspicion_);
  host.suspectUntil_ = aNow + host.suspicion_;
}

void
HostTable::ClearSuspicion(HostId aHost)
{
  if (const auto found = hosts_.find(aHost); found != hosts_.end()) {
    found->second.suspicion_ = Duration::zero();
    found->second.suspectUntil_ = TimePoint{};
  }
}

void
HostTable::NoteUnsure(TimePoint aNow, HostId aHost)
{
  if (const auto found = hosts_.find(aHost); found != hosts_.end()) {
    found->second.unsureAt_ = aNow;
  }
}

bool
HostTable::WasUnsure(TimePoint aNow, HostId aHost) const
{
  const auto* host = Find(aHost);
  return host != nullptr && host->unsureAt_ &&
         aNow - *host->unsureAt_ < settings_.unsureTimeout_;
}

void
HostTable::NoteOffered(HostId aHost)
{
  if (const auto found = hosts_.find(aHost); found != hosts_.end()) {
    ++found->second.offered_;
  }
}

bool
HostTable::AwaitsFirstLoad(TimePoint aNow, const KnownHost& aHost) const
{
  return !aHost.lastReportAt_ &&
         aNow - aHost.firstSeenAt_ < settings_.loadValidity_;
}

bool
HostTable::AwaitsReportAfterLeaving(TimePoint aNow,
                                    const KnownHost& aHost) const
{
  return aHost.earlierRunLeaving_ &&
         aNow - aHost.firstSeenAt_ < settings_.firstReportTimeout_;
}

bool
HostTable::AcceptsFlows(TimePoint aNow, const KnownHost& aHost) const
{
  if (AwaitsReportAfterLeaving(aNow, aHost)) {
    return false;
  }
  const auto state = aHost.record_.state_;
  if (state != HostState::Ready && state != HostState::Starting) {
    return false;
  }
  if (!aHost.lastReportAt_) {
    return state == HostState::Ready && AwaitsFirstLoad(aNow, aHost);
  }
  return aHost.load_.accepts_ &&
         aNow - *aHost.lastReportAt_ < settings_.loadValidity_;
}

bool
HostTable::IsSilent(TimePoint aNow, HostId aHost) const
{
  const auto* host = Find(aHost);
  return host == nullptr ||
         aNow - host->lastReportAt_.value_or(host->firstSeenAt_) >=
           settings_.silenceTimeout_;
}

bool
HostTable::AwaitsHostOf(TimePoint aNow, ServiceId aService) const
{
  return std::any_of(hosts_.begin(), hosts_.end(), [&](const auto& aRow) {
    const auto& host = aRow.second;
    return host.record_.service_ == aService &&
           host.record_.state_ == HostState::Starting &&
           aNow - host.firstSeenAt_ < settings_.firstReportTimeout_;
  });
}

double
HostTable::Cost(TimePoint aNow, const KnownHost& aHost)
{
  const auto slots = std::max<double>(1.0, aHost.record_.slots_);
  auto busy = static_cast<double>(aHost.load_.busy_ + aHost.offered_) +
              settings_.flowWeight_ * aHost.load_.flows_;
  if (aHost.load_.warmingUp_) {
    busy += kWarmupPenalty;
  }
  auto cost = busy / slots + kJitter * random_.Unit();
  if (aHost.record_.dataCentre_ != settings_.dataCentre_) {
    cost += settings_.remotePenalty_;
  }
  if (aNow < aHost.suspectUntil_) {
    cost += kSuspectPenalty;
  }
  return cost;
}

std::vector<HostId>
HostTable::Near(ServiceId aService,
                const FlowKey& aKey,
                std::size_t aMore) const
{
  struct Scored
  {
    std::uint64_t score_;
    HostId id_;
  };
  const auto flow = HashOf(aKey);
  std::vector<Scored> here;
  std::vector<Scored> elsewhere;
  for (const auto& [id, host] : hosts_) {
    if (host.record_.service_ == aService &&
        host.record_.state_ != HostState::Gone) {
      const auto isHere = host.record_.dataCentre_ == settings_.dataCentre_;
      (isHere ? here : elsewhere)
        .push_back({ Random(flow ^ id.value_).Next(), id });
    }
  }
  std::vector<HostId> near;
  const auto small =
    here.size() + elsewhere.size() <= settings_.smallServiceHosts_;
  for (auto* part : { &here, &elsewhere }) {
    const auto most =
      small ? part->size()
            : std::min(part->size(), settings_.nearbyHosts_ + aMore);
    std::partial_sort(part->begin(),
                      part->begin() + static_cast<std::ptrdiff_t>(most),
                      part->end(),
                      [](const Scored& aOne, const Scored& aOther) {
                        return std::pair(aOne.score_, aOne.id_) >
                               std::pair(aOther.score_, aOther.id_);
                      });
    for (std::size_t index = 0; index < most; ++index) {
      near.push_back((*part)[index].id_);
    }
  }
  return near;
}

std::optional<HostId>
HostTable::PickFrom(TimePoint aNow,
                    const std::vector<HostId>& aHosts,
                    const std::vector<HostId>& aTried)
{
  std::optional<HostId> best;
  double least = 0;
  for (const auto id : aHosts) {
    const auto* host = Find(id);
    const auto tried = std::find(aTried.begin(), aTried.end(), id);
    if (host == nullptr || !AcceptsFlows(aNow, *host) ||
        tried != aTried.end()) {
      continue;
    }
    const auto cost = Cost(aNow, *host);
    if (!best || cost < least) {
      best = id;
      least = cost;
    }
  }
  return best;
}

std::optional<HostId>
HostTable::Pick(TimePoint aNow,
                ServiceId aService,
                const FlowKey& aKey,
                const std::vector<HostId>& aTried)
{
  const auto near = PickFrom(aNow, Near(aService, aKey, 0), aTried);
  if (near) {
    return near;
  }
  std::vector<HostId> all;
  for (const auto& [id, host] : hosts_) {
    if (host.record_.service_ == aService) {
      all.push_back(id);
    }
  }
  return PickFrom(aNow, all, aTried);
}

std::optional<HostId>
HostTable::PickFreeSlot(TimePoint aNow, ServiceId aService)
{
  std::vector<HostId> free;
  for (const auto& [id, host] : hosts_) {
    const auto outdated =
      !host.lastReportAt_ || aNow - *host.lastReportAt_ > settings_.loadReuse_;
    const auto slots = host.record_.slots_ + (outdated ? 1U : 0U);
    if (host.record_.service_ == aService &&
        host.load_.busy_ + host.offered_ < slots) {
      free.push_back(id);
    }
  }
  return PickFrom(aNow, free, {});
}

std::vector<WatchAgent>
HostTable::TakeDueWatches(TimePoint aNow)
{
  std::vector<WatchAgent> watches;
  if (aNow < watchAt_) {
    return watches;
  }
  auto wait = settings_.watchInterval_;
  for (auto& [id, host] : hosts_) {
    if (host.record_.state_ == HostState::Gone) {
      continue;
    }
    const auto fresh = AwaitsFirstLoad(aNow, host);
    const auto every =
      fresh ? settings_.firstWatchInterval_ : settings_.watchInterval_;
    wait = std::min(wait, every);
    if (host.watchedAt_ == TimePoint{} || aNow - host.watchedAt_ >= every) {
      host.watchedAt_ = aNow;
      Watch watch;
      if (host.earlierRunHeardAt_) {
        watch.earlierRunHeardAgo_ = aNow - *host.earlierRunHeardAt_;
      }
      watch.earlierRunLeaving_ = host.earlierRunLeaving_;
      watches.push_back({ host.record_.agent_, watch });
    }
  }
  watchAt_ = aNow + wait;
  return watches;
}

void
HostTable::ForgetGoneBefore(TimePoint aTime)
{
  std::erase_if(hosts_, [&](const auto& aRow) {
    return aRow.second.record_.state_ == HostState::Gone &&
           aRow.second.firstSeenAt_ < aTime;
  });
}

const KnownHost*
HostTable::Find(HostId aHost) const
{
  const auto found = hosts_.find(aHost);
  return found == hosts_.end() ? nullptr : &found->second;
}

} // namespace cornelshore::relay
