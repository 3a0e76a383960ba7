#include <cornelshore/flow/balancer.hpp>

#include <utility>

namespace cornelshore::flow {

bool
Balancer::MakeRoom()
{
  if (hosts_.size() >= kMaxHosts) {
    absl::erase_if(
      hosts_, [](const auto& aHost) { return aHost.second.version_.gone_; });
  }
  return hosts_.size() < kMaxHosts;
}

bool
Balancer::Take(const HostRecord& aRecord, Changes& aChanges)
{
  const auto found = hosts_.find(aRecord.id_);
  if (found != hosts_.end()) {
    const auto& known = found->second;
    if (membership::VersionOf(aRecord) <= known.version_) {
      return false;
    }
    if (known.service_ != aRecord.service_) {
      aChanges[known.service_].push_back({ aRecord.id_, 0 });
      services_[known.service_].draining_.erase(aRecord.id_);
    }
  }
  if (!services_.contains(aRecord.service_) &&
      services_.size() >= kMaxServices) {
    return false;
  }
  if (found == hosts_.end() && !MakeRoom()) {
    return false;
  }
  hosts_[aRecord.id_] = { membership::VersionOf(aRecord), aRecord.service_ };
  auto& service = services_[aRecord.service_];
  const bool ready = aRecord.state_ == HostState::Ready;
  aChanges[aRecord.service_].push_back(
    { aRecord.id_, ready ? aRecord.slots_ : std::uint16_t{ 0 } });
  const bool drains =
    aRecord.state_ == HostState::Leaving ||
    (aRecord.state_ == HostState::Starting && aRecord.held_.any());
  if (drains) {
    service.draining_[aRecord.id_] = aRecord.held_;
  } else {
    service.draining_.erase(aRecord.id_);
  }
  return true;
}

void
Balancer::Update(TimePoint aNow, std::span<const HostRecord> aRecords)
{
  bool changed = false;
  Changes changes;
  for (const auto& record : aRecords) {
    changed = Take(record, changes) || changed;
  }
  for (const auto& [service, weights] : changes) {
    services_[service].table_.Apply(weights);
  }
  if (changed) {
    ++epoch_.value_;
    lastChange_ = aNow;
  }
}

HostId
Balancer::Target(const Service& aService, BucketId aBucket)
{
  const auto first = aService.table_.First(aBucket);
  if (first != HostId{}) {
    return first;
  }
  HostId target;
  bool targetHolds = false;
  for (const auto& [id, held] : aService.draining_) {
    const bool holds = held[aBucket.value_];
    const bool better = holds == targetHolds ? id < target : holds;
    if (target == HostId{} || better) {
      target = id;
      targetHolds = holds;
    }
  }
  return target;
}

Balancer::Decision
Balancer::OnPacket(TimePoint /*aNow*/, Packet&& aPacket) const
{
  const auto service = services_.find(aPacket.service_);
  if (service == services_.end()) {
    return Refusal::UnknownService;
  }
  const auto bucket = routing::BucketOf(aPacket.key_);
  const auto target = Target(service->second, bucket);
  if (target == HostId{}) {
    return Refusal::NoReadyHost;
  }
  Decision decision{ std::in_place_type<Send> };
  auto& send = std::get<Send>(decision);
  send.to_ = target;
  auto& envelope = send.envelope_;
  envelope.service_ = aPacket.service_;
  envelope.key_ = aPacket.key_;
  envelope.bucket_ = bucket;
  envelope.class_ = aPacket.class_;
  envelope.epoch_ = epoch_;
  envelope.opening_ = aPacket.opening_;
  envelope.kind_ = aPacket.kind_;
  envelope.returnPath_ = aPacket.returnPath_;
  envelope.payload_ = std::move(aPacket.payload_);
  return decision;
}

Balancer::State
Balancer::Dump() const
{
  State state;
  state.epoch_ = epoch_;
  state.services_ = services_.size();
  state.hosts_ = hosts_.size();
  state.lastChange_ = lastChange_;
  for (const auto& [id, service] : services_) {
    state.tableBytes_ += service.table_.MemoryBytes();
  }
  return state;
}

} // namespace cornelshore::flow
