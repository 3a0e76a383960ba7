#include <cornelshore/role/host_results.hpp>

#include <algorithm>
#include <utility>
#include <variant>

#include <cornelshore/core/hash.hpp>
#include <cornelshore/request/balancer.hpp>
#include <cornelshore/request/settings.hpp>

namespace cornelshore::role::internal {

namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds{ 500 };

/** Maximum time for which an answer is awaited; callers set their own. */
constexpr Duration kMaxWait = request::AgentSettings{}.retention_;

admission::HostResult
ResultOf(const request::Outcome& aOutcome)
{
  const bool failed = aOutcome.reason_ == request::Reason::UpstreamLost ||
                      aOutcome.reason_ == request::Reason::ExecutorLost;
  return failed ? admission::HostResult::Failed
                : admission::HostResult::Refused;
}

} // namespace

void
HostResults::SetHosts(TimePoint aNow,
                      ServiceId aService,
                      std::span<const HostRecord> aHosts)
{
  if (!services_.contains(aService) && services_.size() >= kMaxServices) {
    return;
  }
  std::vector<HostId> ready;
  for (const auto& host : aHosts) {
    if (host.state_ == HostState::Ready) {
      ready.push_back(host.id_);
    }
  }
  const auto seed = HashPair(seed_, aService.value_);
  services_.try_emplace(aService, seed).first->second.SetHosts(aNow, ready);
}

std::vector<HostRecord>
HostResults::SelectHosts(TimePoint aNow,
                         const request::TicketRequest& aRequest,
                         std::vector<HostRecord> aHosts)
{
  const auto service = services_.find(aRequest.work_.service_);
  if (service == services_.end()) {
    return aHosts;
  }
  auto candidates = aHosts;
  while (candidates.size() > 1) {
    const auto home = request::PickHome(
      aRequest.id_, aRequest.work_.service_, candidates, aRequest.choice_);
    if (home.value_ == 0) {
      return aHosts;
    }
    if (service->second.TryAdmit(aNow, home)) {
      return candidates;
    }
    std::erase_if(candidates,
                  [home](const auto& aHost) { return aHost.id_ == home; });
  }
  return candidates;
}

void
HostResults::OnRelayed(TimePoint aNow, const request::Submit& aSubmit)
{
  // A home refuses these at once, whatever the state of its host.
  if (aSubmit.timeLeft_ <= Duration::zero()) {
    return;
  }
  if (pending_.size() < kMaxPending) {
    pending_.try_emplace(
      aSubmit.key_.id_,
      Pending{ aSubmit.key_.ticket_.home_.host_,
               aSubmit.work_.service_,
               aSubmit.work_.class_,
               aNow,
               aNow + std::min(aSubmit.timeLeft_, kMaxWait) });
  }
}

void
HostResults::OnReply(TimePoint aNow, const request::Message& aReply)
{
  const auto* part = std::get_if<request::AnswerPart>(&aReply);
  const auto* outcome = std::get_if<request::Outcome>(&aReply);
  if (part == nullptr && outcome == nullptr) {
    return;
  }
  const auto id = part != nullptr ? part->key_.id_ : outcome->key_.id_;
  const auto found = pending_.find(id);
  if (found == pending_.end()) {
    return;
  }
  const auto result =
    part != nullptr ? admission::HostResult::Answered : ResultOf(*outcome);
  RecordResult(aNow, found->second, result);
  pending_.erase(found);
}

void
HostResults::Tick(TimePoint aNow)
{
  nextTick_ = aNow + kTickInterval;
  absl::erase_if(pending_, [&](const auto& aEntry) {
    const bool late = aEntry.second.deadline_ <= aNow;
    if (late) {
      RecordResult(aNow, aEntry.second, admission::HostResult::Late);
    }
    return late;
  });
  for (auto& [service, health] : services_) {
    if (health.NextTimer().value_or(TimePoint::max()) <= aNow) {
      health.Tick(aNow);
    }
  }
}

std::vector<HostId>
HostResults::Avoided() const
{
  std::vector<HostId> avoided;
  for (const auto& [service, health] : services_) {
    const auto hosts = health.Avoided();
    avoided.insert(avoided.end(), hosts.begin(), hosts.end());
  }
  std::sort(avoided.begin(), avoided.end());
  return avoided;
}

void
HostResults::RecordResult(TimePoint aNow,
                          const Pending& aPending,
                          admission::HostResult aResult)
{
  const auto service = services_.find(aPending.service_);
  if (service != services_.end()) {
    service->second.OnResult(aNow,
                             aPending.home_,
                             aPending.class_,
                             aResult,
                             aNow - aPending.relayedAt_);
  }
}

} // namespace cornelshore::role::internal
