#include <utility>

#include <cornelshore/relay/balancer.hpp>

namespace cornelshore::relay {

bool
Balancer::IsCopy(TimePoint aNow,
                 const Flow& aFlow,
                 const Segment& aSegment) const
{
  return aFlow.phase_ != Phase::Searching &&
         aFlow.initialSequence_ == aSegment.sequence_ &&
         aNow - aFlow.openedAt_ <= settings_.openingLifetime_;
}

bool
Balancer::IsOfOther(const Flow& aFlow, const Segment& aSegment) noexcept
{
  const auto isWithin = [&](const std::optional<std::uint32_t>& aInitial) {
    return aInitial && IsWithinFlow(*aInitial, aSegment.sequence_);
  };
  return aFlow.other_ && !isWithin(aFlow.initialSequence_) &&
         isWithin(aFlow.other_->initialSequence_);
}

void
Balancer::OnForeignPacket(TimePoint aNow,
                          const FlowKey& aKey,
                          Flow& aFlow,
                          std::string aPacket,
                          Actions& aOut)
{
  if (aFlow.phase_ == Phase::Searching) {
    return;
  }
  if (aFlow.phase_ == Phase::Held) {
    SearchBeside(aNow, aKey, aFlow, std::move(aPacket), std::nullopt, aOut);
  } else if (aNow - aFlow.openedAt_ > settings_.openingLifetime_) {
    aFlow.initialSequence_.reset();
    aFlow.packets_ = { std::move(aPacket) };
    StartSearch(aNow, aKey, aFlow, std::nullopt, aOut);
  }
}

void
Balancer::SearchBeside(TimePoint aNow,
                       const FlowKey& aKey,
                       Flow& aFlow,
                       std::string aPacket,
                       std::optional<HostId> aExcept,
                       Actions& aOut)
{
  aFlow.other_ = { aFlow.service_, aFlow.host_, aFlow.initialSequence_ };
  aFlow.initialSequence_.reset();
  aFlow.service_ = routes_.ServiceOf(aKey).value_or(kAnyService);
  aFlow.packets_ = { std::move(aPacket) };
  StartSearch(aNow, aKey, aFlow, aExcept, aOut);
}

void
Balancer::OnOtherFlow(TimePoint aNow,
                      HostId aHost,
                      Answer& aAnswer,
                      Flow& aFlow,
                      Actions& aOut)
{
  const auto segment = codec_.parse_(aAnswer.packet_);
  if (!segment) {
    return;
  }
  const auto isHolder = aFlow.phase_ == Phase::Held && aFlow.host_ == aHost;
  const auto sentToOther =
    IsOfOther(aFlow, *segment) && aFlow.other_->host_ == aHost;
  if (sentToOther && isHolder) {
    aFlow.other_.reset();
  } else if (sentToOther && aFlow.phase_ == Phase::Searching) {
    ContinueSearch(aNow, aAnswer.key_, aFlow, std::move(aAnswer.packet_), aOut);
  } else if (sentToOther && aFlow.phase_ == Phase::Held) {
    SendDirect(aFlow, std::move(aAnswer.packet_), aOut);
  } else if (isHolder) {
    SearchBeside(
      aNow, aAnswer.key_, aFlow, std::move(aAnswer.packet_), aHost, aOut);
  }
}

void
Balancer::RestoreOther(const FlowKey& aKey, Flow& aFlow)
{
  StopSearch(aKey);
  aFlow.phase_ = Phase::Held;
  aFlow.service_ = aFlow.other_->service_;
  aFlow.host_ = aFlow.other_->host_;
  aFlow.initialSequence_ = aFlow.other_->initialSequence_;
  aFlow.other_.reset();
  aFlow.packets_.clear();
}

void
Balancer::Reopen(TimePoint aNow,
                 const FlowKey& aKey,
                 const Segment& aSegment,
                 const Flow& aFlow,
                 std::string aPacket,
                 Actions& aOut)
{
  StopSearch(aKey);
  flows_.erase(aKey);
  Open(aNow, aKey, aSegment, std::move(aPacket), aOut);
  const auto opened = flows_.find(aKey);
  if (opened == flows_.end()) {
    return;
  }
  opened->second.other_ = aFlow.other_;
  if (aFlow.phase_ == Phase::Held) {
    opened->second.other_ = { aFlow.service_,
                              aFlow.host_,
                              aFlow.initialSequence_ };
  }
}

} // namespace cornelshore::relay
