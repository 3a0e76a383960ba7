#include <cornelshore/dissemination/node_state.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace cornelshore::dissemination {

namespace {

constexpr std::size_t kUrgentFanout = 5;
/** Share of the burst below which records are not pushed a second time. */
constexpr double kRepeatReserve = 0.5;
constexpr std::size_t kConfigFanout = 6;
/** Peers that a control VM notifies of a configuration that is too long to be
 * pushed; they request it from there. */
constexpr std::size_t kLongConfigFanout = 64;
constexpr std::size_t kMaxPushedAgents = 64;
constexpr std::size_t kMaxRepeatedPushes = 64;
constexpr Duration kSpreadInterval = std::chrono::milliseconds(100);

} // namespace

std::vector<Action>
Node::State::TakeActions(TimePoint aNow)
{
  Release(aNow);
  Spread(aNow);
  ContinueRoundOutreach(aNow);
  std::vector<Action> actions;
  if (InForce() != announcedConfig_) {
    announcedConfig_ = InForce();
    actions.emplace_back(
      ConfigChanged{ announcedConfig_,
                     config_.Bytes(),
                     confirmation_.Covers(aNow, announcedConfig_) });
  }
  if (!changedHosts_.empty()) {
    actions.emplace_back(HostsChanged{ std::exchange(changedHosts_, {}) });
  }
  if (!changedPeers_.empty()) {
    actions.emplace_back(PeersChanged{ std::exchange(changedPeers_, {}) });
  }
  for (auto& send : sends_) {
    actions.push_back(std::move(send));
  }
  sends_.clear();
  return actions;
}

void
Node::State::Spread(TimePoint aNow)
{
  if (config_.Version() != spreadConfig_) {
    spreadConfig_ = config_.Version();
    configRound_ = round_;
    if (!IsAgent() && configActive_ && spreadConfig_ >= newestKnownConfig_) {
      SpreadConfig(aNow);
    }
  }
  const auto confirmed =
    configActive_ && confirmation_.Covers(aNow, config_.Version());
  if (confirmed && !wasConfirmed_ && !IsAgent()) {
    SpreadConfig(aNow);
  }
  wasConfirmed_ = confirmed;
  spreadAt_.reset();
  if (urgentSubjects_.empty()) {
    return;
  }
  if (aNow - spreadLast_ < kSpreadInterval) {
    spreadAt_ = spreadLast_ + kSpreadInterval;
    return;
  }
  spreadLast_ = aNow;
  SpreadRecords(aNow, urgentSubjects_);
  if (pushedSubjects_.size() < kMaxRepeatedPushes &&
      budget_.HasShareLeft(aNow, kRepeatReserve)) {
    pushedSubjects_.insert(
      pushedSubjects_.end(), urgentSubjects_.begin(), urgentSubjects_.end());
  }
  urgentSubjects_.clear();
}

std::size_t
Node::State::PushFanout(TimePoint aNow)
{
  const auto share = std::max(0.0, budget_.ShareLeft(aNow));
  const auto fanout = std::ceil(static_cast<double>(kUrgentFanout) * share);
  return std::max<std::size_t>(1, static_cast<std::size_t>(fanout));
}

void
Node::State::SpreadRecords(TimePoint aNow, const std::vector<NodeId>& aSubjects)
{
  const auto push = [&](NodeId aTo, const Address& aAddress, auto aWanted) {
    Packer packer(HeaderFor(aNow, aTo, MessageKind::Push));
    for (const auto subject : aSubjects) {
      if (aWanted(subject)) {
        AddSubject(aNow, subject, packer);
      }
    }
    if (!packer.Empty()) {
      SendTo(aNow, aTo, aAddress, std::move(packer).Finish(), Priority::Urgent);
    }
  };
  const auto all = [](NodeId) { return true; };
  const auto peers = IsAgent()
                       ? partners_.PickForAgent(aNow, ledger_)
                       : partners_.Pick(aNow, ledger_, PushFanout(aNow));
  for (const auto peer : peers) {
    push(peer, *AddressOf(peer), all);
  }
  for (const auto& [agent, attached] : partners_.Attached()) {
    const auto interest = attached.interest_;
    if (interest == ServiceId{}) {
      continue;
    }
    const auto followed = [this, interest](NodeId aSubject) {
      const auto* host = ledger_.Hosts().Find(HostId{ aSubject.value_ });
      return host != nullptr && host->service_ == interest;
    };
    push(agent, attached.address_, followed);
  }
}

void
Node::State::SpreadConfig(TimePoint aNow)
{
  const bool fetched =
    settings_.role_ == membership::NodeRole::Control && !NewestDeltaChunk();
  const auto fanout = fetched ? kLongConfigFanout : kConfigFanout;
  for (const auto peer : partners_.Pick(aNow, ledger_, fanout)) {
    PushConfig(aNow, peer, *AddressOf(peer));
  }
  PushToLaggards(aNow);
}

void
Node::State::PushToLaggards(TimePoint aNow)
{
  for (const auto agent :
       partners_.TakeLaggards(config_.Version(), kMaxPushedAgents)) {
    PushConfig(aNow, agent, partners_.Attached().at(agent).address_);
  }
}

void
Node::State::PushConfig(TimePoint aNow, NodeId aTo, const Address& aAddress)
{
  Packer packer(HeaderFor(aNow, aTo, MessageKind::Push));
  AddNewestDelta(packer);
  SendTo(aNow, aTo, aAddress, std::move(packer).Finish(), Priority::Urgent);
}

void
Node::State::AddNewestDelta(Packer& aPacker) const
{
  if (auto chunk = NewestDeltaChunk()) {
    aPacker.Add(*std::move(chunk));
  }
}

std::optional<ConfigChunk>
Node::State::NewestDeltaChunk() const
{
  if (config_.Base() == ConfigVersion{}) {
    return std::nullopt;
  }
  ConfigRequest step;
  step.held_ = config_.Base();
  auto chunks = config_.ChunksFor(step, kMaxMessageBytes);
  const bool fits =
    chunks.size() == 1 && chunks.front().size_ == chunks.front().bytes_.size();
  return fits ? std::optional(std::move(chunks.front())) : std::nullopt;
}

} // namespace cornelshore::dissemination
