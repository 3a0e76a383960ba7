#include <cornelshore/relay/host_table.hpp>

#include <algorithm>

namespace cornelshore::relay {

namespace {

/** Random part of a host's cost, so that balancers do not all choose one. */
constexpr double kJitter = 0.15;

/** What a host that warms up costs more, in busy slots. */
constexpr double kWarmingPenalty = 0.7;

/** Cost of a host that did not answer a short while ago. */
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
  auto started = false;
  for (const auto& record : aRecords) {
    auto& host = hosts_[record.id_];
    if (host.record_.incarnation_ != record.incarnation_) {
      host = {};
      host.knownAt_ = aNow;
      watchAt_ = aNow;
      started = true;
    }
    host.record_ = record;
  }
  return started;
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
  host.heardAt_ = aNow;
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
    host.suspicion_ * 2, settings_.suspicion_, settings_.longestSuspicion_);
  host.suspectUntil_ = aNow + host.suspicion_;
}

void
HostTable::Trust(HostId aHost)
{
  if (const auto found = hosts_.find(aHost); found != hosts_.end()) {
    found->second.suspicion_ = Duration::zero();
    found->second.suspectUntil_ = TimePoint{};
  }
}

void
HostTable::NoteOffered(HostId aHost)
{
  if (const auto found = hosts_.find(aHost); found != hosts_.end()) {
    ++found->second.offered_;
  }
}

bool
HostTable::IsFresh(TimePoint aNow, const KnownHost& aHost) const
{
  return !aHost.heardAt_ && aNow - aHost.knownAt_ < settings_.loadLife_;
}

bool
HostTable::Takes(TimePoint aNow, const KnownHost& aHost) const
{
  if (aHost.record_.state_ != HostState::Ready) {
    return false;
  }
  if (!aHost.heardAt_) {
    return IsFresh(aNow, aHost);
  }
  return aHost.load_.accepts_ && aNow - *aHost.heardAt_ < settings_.loadLife_;
}

double
HostTable::Cost(TimePoint aNow, const KnownHost& aHost)
{
  const auto slots = std::max<double>(1.0, aHost.record_.slots_);
  auto busy = static_cast<double>(aHost.load_.busy_ + aHost.offered_) +
              settings_.flowWeight_ * aHost.load_.flows_;
  if (aHost.load_.warming_) {
    busy += kWarmingPenalty;
  }
  auto cost = busy / slots + kJitter * random_.Unit();
  if (aHost.record_.dataCentre_ != settings_.dataCentre_) {
    cost += settings_.farPenalty_;
  }
  if (aNow < aHost.suspectUntil_) {
    cost += kSuspectPenalty;
  }
  return cost;
}

std::optional<HostId>
HostTable::Pick(TimePoint aNow,
                ServiceId aService,
                const std::vector<HostId>& aTried)
{
  std::optional<HostId> best;
  double least = 0;
  for (const auto& [id, host] : hosts_) {
    const auto tried = std::find(aTried.begin(), aTried.end(), id);
    if (host.record_.service_ != aService || !Takes(aNow, host) ||
        tried != aTried.end()) {
      continue;
    }
    const auto cost = Cost(aNow, host);
    if (!best || cost < least) {
      best = id;
      least = cost;
    }
  }
  return best;
}

std::vector<Address>
HostTable::TakeWatches(TimePoint aNow)
{
  std::vector<Address> agents;
  if (aNow < watchAt_) {
    return agents;
  }
  auto wait = settings_.watchEvery_;
  for (auto& [id, host] : hosts_) {
    if (host.record_.state_ == HostState::Gone) {
      continue;
    }
    const auto fresh = IsFresh(aNow, host);
    const auto every =
      fresh ? settings_.watchAgainAfter_ : settings_.watchEvery_;
    wait = std::min(wait, every);
    if (host.watchedAt_ == TimePoint{} || aNow - host.watchedAt_ >= every) {
      host.watchedAt_ = aNow;
      agents.push_back(host.record_.agent_);
    }
  }
  watchAt_ = aNow + wait;
  return agents;
}

void
HostTable::ForgetGoneBefore(TimePoint aTime)
{
  std::erase_if(hosts_, [&](const auto& aRow) {
    return aRow.second.record_.state_ == HostState::Gone &&
           aRow.second.knownAt_ < aTime;
  });
}

const KnownHost*
HostTable::Find(HostId aHost) const
{
  const auto found = hosts_.find(aHost);
  return found == hosts_.end() ? nullptr : &found->second;
}

} // namespace cornelshore::relay
