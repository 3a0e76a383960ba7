#include <cornelshore/dissemination/node_state.hpp>

#include <algorithm>
#include <functional>
#include <utility>

namespace cornelshore::dissemination {

using membership::NodeRole;

namespace {

constexpr std::size_t kRumorsPerRound = 12;
constexpr std::size_t kSeedsPerRound = 3;
/** Two partitions of a fleet that started apart both have peers, so a seed that
 * is not a known peer is contacted periodically. Every fifth round joins them
 * within seconds and costs 30 B/s while a seed is down. A process without a
 * configuration contacts one every round. */
constexpr std::uint64_t kUnknownSeedRounds = 5;
constexpr std::size_t kJoiningPartners = 3;
/** Share of the burst that must be left for a joining round: the answers to it
 * need the bytes, leave a quarter themselves, and without them no process
 * would ever join. */
constexpr double kJoiningBudgetReserve = 0.6;
constexpr std::uint64_t kMaxJoiningDoublings = 4;
constexpr std::uint64_t kConfigRounds = 5;
constexpr std::uint64_t kAgentRoundEvery = 2;
constexpr std::uint64_t kExpireEvery = 10;
constexpr std::int64_t kAttachedRounds = 20;
/** A peer that does not answer is asked again in one of this many rounds, as it
 * may have been cut off; at 1 s a round this costs less than 30 B/s. */
constexpr std::uint64_t kSilentPeerRounds = 4;

} // namespace

void
Node::State::Handle(TimePoint aNow, const Tick& /*aEvent*/)
{
  RepeatConfigRequest(aNow);
  if (aNow < nextRound_) {
    return;
  }
  joiningRoundDue_ =
    IsBehind() && budget_.HasShareLeft(aNow, kJoiningBudgetReserve);
  nextRound_ = aNow + (joiningRoundDue_ ? JoiningInterval() : settings_.round_);
  ++round_;
  if (!IsAgent() && aNow >= renewAt_) {
    Renew(aNow);
  }
  if (round_ % kExpireEvery == 0) {
    ledger_.Expire(aNow);
    partners_.Expire(aNow, settings_.round_ * kAttachedRounds, ledger_);
  }
  Round(aNow);
}

Duration
Node::State::JoiningInterval() const noexcept
{
  const auto late = round_ < kMaxJoiningRounds ? 0 : round_ - kMaxJoiningRounds;
  const auto doublings = std::min(late, kMaxJoiningDoublings);
  return std::min(settings_.round_,
                  settings_.joiningRoundInterval_ * (1U << doublings));
}

void
Node::State::Round(TimePoint aNow)
{
  if (AwaitsSnapshot()) {
    RequestSnapshot(aNow);
  } else if (!IsAgent() && joiningRoundDue_) {
    for (const auto peer : partners_.Pick(aNow, ledger_, kJoiningPartners)) {
      RoundWith(aNow, peer);
    }
  } else if (!roundOutreach_.Due()) {
    BeginRoundOutreach(aNow);
  }
  if (round_ % kSilentPeerRounds == 0) {
    if (const auto silent = partners_.PickSilent(aNow, ledger_)) {
      RoundWith(aNow, *silent);
    }
  }
  if (!pushedSubjects_.empty()) {
    SpreadRecords(aNow, std::exchange(pushedSubjects_, {}));
  }
  if (!IsAgent() && configActive_) {
    PushToLaggards(aNow);
  }
  if (IsAgent() && newestKnownConfig_ > config_.Version()) {
    RequestFromServiceAgent(aNow);
  }
  ContactSeeds(aNow);
}

void
Node::State::BeginRoundOutreach(TimePoint aNow)
{
  std::vector<NodeId> peers;
  if (!IsAgent()) {
    peers = partners_.Pick(aNow, ledger_, 1);
  } else {
    peers = partners_.PickForAgent(aNow, ledger_);
    const bool awaited =
      std::any_of(peers.begin(), peers.end(), [this](NodeId aPeer) {
        return partners_.Awaits(aPeer);
      });
    const bool due = !joined_ || awaited || round_ % kAgentRoundEvery == 0;
    if (!due) {
      return;
    }
    if (!peers.empty()) {
      peers = { peers[round_ / kAgentRoundEvery % peers.size()] };
    }
  }
  roundOutreach_.Start(aNow, peers.size());
  static_cast<void>(roundOutreach_.TakeDue(aNow));
  for (const auto peer : peers) {
    roundOutreach_.Asked(peer);
    RoundWith(aNow, peer);
  }
}

void
Node::State::ContinueRoundOutreach(TimePoint aNow)
{
  const auto count = roundOutreach_.TakeDue(aNow);
  if (count == 0) {
    return;
  }
  const auto peers =
    IsAgent()
      ? partners_.PickFurtherForAgent(aNow, ledger_, roundOutreach_, count)
      : partners_.PickFurther(aNow, ledger_, roundOutreach_, count);
  if (peers.empty()) {
    roundOutreach_.Stop();
  }
  for (const auto peer : peers) {
    roundOutreach_.Asked(peer);
    RoundWith(aNow, peer);
  }
}

bool
Node::State::IsAlone(TimePoint aNow) const
{
  if (!IsAgent()) {
    return ledger_.LivePeers().size() <= 1;
  }
  const auto ranked = partners_.PickForAgent(aNow, ledger_);
  return ranked.empty() || partners_.IsSilent(aNow, ranked.front());
}

void
Node::State::ContactSeeds(TimePoint aNow)
{
  const bool alone = IsAlone(aNow);
  const bool due = !configActive_ || round_ % kUnknownSeedRounds == 0;
  if (seeds_.empty() || (!alone && (IsAgent() || !due))) {
    return;
  }
  const auto unknownSeeds = alone ? seeds_ : UnknownSeeds();
  const auto most = std::min(alone ? kSeedsPerRound : 1, unknownSeeds.size());
  for (std::size_t seed = 0; seed < most; ++seed) {
    const auto& address = unknownSeeds[nextSeed_++ % unknownSeeds.size()];
    if (seed == 0 && alone && AwaitsSnapshot()) {
      SendSnapshotRequest(aNow, {}, address);
      continue;
    }
    Packer packer(HeaderFor(aNow, {}, MessageKind::Round));
    AddSubject(aNow, settings_.self_, packer);
    SendTo(aNow, {}, address, std::move(packer).Finish(), Priority::Normal);
  }
}

std::vector<Address>
Node::State::UnknownSeeds() const
{
  auto unknownSeeds = seeds_;
  for (const auto peer : ledger_.LivePeers()) {
    std::erase(unknownSeeds, ledger_.LivePeer(peer)->address_);
  }
  return unknownSeeds;
}

void
Node::State::RoundWith(TimePoint aNow, NodeId aPeer)
{
  auto header = HeaderFor(aNow, aPeer, MessageKind::Round);
  header.compare_ = true;
  Packer packer(header);
  AddRumors(aNow, kRumorsPerRound, packer);
  if (!IsAgent() && configActive_ && round_ - configRound_ <= kConfigRounds) {
    AddNewestDelta(packer);
  }
  if (config_.IsAssembling() && aNow - requestedAt_ >= settings_.round_) {
    AddConfigRequest(aNow, aPeer, packer);
  }
  const auto address = AddressOf(aPeer);
  partners_.Asked(aNow, aPeer);
  SendTo(aNow, aPeer, *address, std::move(packer).Finish(), Priority::Normal);
}

void
Node::State::RequestFromServiceAgent(TimePoint aNow)
{
  auto serviceAgents = ledger_.Hosts().OfService(settings_.interest_);
  std::erase_if(serviceAgents, [this](const HostRecord& aRecord) {
    return SubjectOf(aRecord.id_) == settings_.self_;
  });
  if (serviceAgents.empty()) {
    return;
  }
  const auto pick = partners_.Randomness().Below(serviceAgents.size());
  RequestConfig(
    aNow, SubjectOf(serviceAgents[pick].id_), serviceAgents[pick].agent_);
}

void
Node::State::RequestConfig(TimePoint aNow,
                           NodeId aFrom,
                           const Address& aAddress)
{
  Packer packer(HeaderFor(aNow, aFrom, MessageKind::Round));
  AddConfigRequest(aNow, aFrom, packer);
  SendTo(aNow, aFrom, aAddress, std::move(packer).Finish(), Priority::Normal);
}

void
Node::State::AddConfigRequest(TimePoint aNow, NodeId aFrom, Packer& aPacker)
{
  const auto request = config_.Missing();
  aPacker.Add(request);
  requestedAt_ = aNow;
  requestedFrom_ = aFrom;
  requestedOffset_ = request.offset_;
  receivedBytes_ = 0;
}

void
Node::State::NoteConfigHolder(NodeId aNode,
                              const Address& aAddress,
                              ConfigVersion aVersion)
{
  std::erase_if(configHolders_, [&](const ConfigHolder& aHolder) {
    return aHolder.node_ == aNode || aHolder.version_ <= config_.Version();
  });
  if (IsAgent() || aNode == NodeId{} || aVersion <= config_.Version()) {
    return;
  }
  if (configHolders_.size() < kMaxConfigHolders) {
    configHolders_.push_back({ aNode, aAddress, aVersion });
  }
}

std::optional<TimePoint>
Node::State::ConfigRequestDue() const noexcept
{
  if (IsAgent() || configHolders_.empty() ||
      newestKnownConfig_ <= config_.Version()) {
    return std::nullopt;
  }
  return std::max(requestedAt_, configProgressAt_) + configRetryInterval_;
}

void
Node::State::RepeatConfigRequest(TimePoint aNow)
{
  std::erase_if(configHolders_, [&](const ConfigHolder& aHolder) {
    return aHolder.version_ <= config_.Version();
  });
  const auto due = ConfigRequestDue();
  if (!due || aNow < *due) {
    return;
  }
  configRetryInterval_ =
    std::min(configRetryInterval_ * 2, kRequestRetryInterval);
  auto holders = configHolders_;
  const auto isControl = [this](const ConfigHolder& aHolder) {
    const auto* peer = ledger_.LivePeer(aHolder.node_);
    return peer != nullptr && peer->role_ == NodeRole::Control;
  };
  // Control VMs have faster links than balancers, but are few.
  const bool asksControl =
    partners_.Randomness().Below(2) == 0 &&
    std::any_of(holders.begin(), holders.end(), isControl);
  if (asksControl) {
    std::erase_if(holders, std::not_fn(isControl));
  }
  if (holders.size() > 1) {
    std::erase_if(holders, [&](const ConfigHolder& aHolder) {
      return aHolder.node_ == requestedFrom_;
    });
  }
  const auto& holder = holders[partners_.Randomness().Below(holders.size())];
  RequestConfig(aNow, holder.node_, holder.address_);
}

} // namespace cornelshore::dissemination
