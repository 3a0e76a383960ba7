#include <cornelshore/role/message.hpp>

namespace cornelshore::role {

namespace {

TrafficPurpose
PurposeOfUpdate(const dissemination::Message& aMessage) noexcept
{
  if (!aMessage.chunks_.empty()) {
    return TrafficPurpose::Config;
  }
  if (aMessage.snapshotRequest_ || aMessage.snapshotBatch_) {
    return TrafficPurpose::Snapshot;
  }
  return aMessage.header_.kind_ == dissemination::MessageKind::Push
           ? TrafficPurpose::Push
           : TrafficPurpose::Round;
}

TrafficPurpose
PurposeOfRelay(const relay::Message& aMessage) noexcept
{
  if (const auto* packet = std::get_if<relay::RelayedPacket>(&aMessage)) {
    const auto searched = packet->purpose_ == relay::Purpose::Search ||
                          packet->purpose_ == relay::Purpose::Probe;
    return searched ? TrafficPurpose::Searched : TrafficPurpose::Relayed;
  }
  if (std::holds_alternative<relay::Answer>(aMessage)) {
    return TrafficPurpose::Answer;
  }
  const auto query = std::holds_alternative<relay::Query>(aMessage) ||
                     std::holds_alternative<relay::QueryAnswer>(aMessage);
  return query ? TrafficPurpose::Query : TrafficPurpose::Load;
}

} // namespace

TrafficPurpose
TrafficPurposeOf(const Message& aMessage) noexcept
{
  if (const auto* update = std::get_if<dissemination::Message>(&aMessage)) {
    return PurposeOfUpdate(*update);
  }
  if (const auto* message = std::get_if<relay::Message>(&aMessage)) {
    return PurposeOfRelay(*message);
  }
  return std::holds_alternative<consensus::Message>(aMessage)
           ? TrafficPurpose::Consensus
           : TrafficPurpose::Other;
}

} // namespace cornelshore::role
