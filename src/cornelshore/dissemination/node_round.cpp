#include <cornelshore/dissemination/node_state.hpp>

#include <algorithm>
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

} // namespace

void
Node::State::Handle(TimePoint aNow, const Tick& /*aEvent*/)
{
  startedAt_ = startedAt_.value_or(aNow);
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
  std::vector<NodeId> peers;
  if (AwaitsSnapshot()) {
    RequestSnapshot(aNow);
  } else if (!IsAgent()) {
    peers = partners_.Pick(ledger_, joiningRoundDue_ ? kJoiningPartners : 1);
  } else {
    peers = partners_.PickForAgent(ledger_);
    const bool awaited =
      std::any_of(peers.begin(), peers.end(), [this](NodeId aPeer) {
        return partners_.Awaits(aPeer);
      });
    const bool due = !joined_ || awaited || round_ % kAgentRoundEvery == 0;
    if (!peers.empty()) {
      peers = { peers[round_ / kAgentRoundEvery % peers.size()] };
    }
    peers.resize(due ? peers.size() : 0);
  }
  for (const auto peer : peers) {
    RoundWith(aNow, peer);
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
Node::State::ContactSeeds(TimePoint aNow)
{
  const bool alone = IsAgent() ? partners_.PickForAgent(ledger_).empty()
                               : ledger_.LivePeers().size() <= 1;
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
    packer.Add(config_.Missing());
    requestedAt_ = aNow;
    requestedFrom_ = aPeer;
    receivedBytes_ = 0;
  }
  const auto address = AddressOf(aPeer);
  partners_.Asked(aPeer);
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
  const auto serviceAgent = SubjectOf(serviceAgents[pick].id_);
  Packer packer(HeaderFor(aNow, serviceAgent, MessageKind::Round));
  packer.Add(config_.Missing());
  requestedAt_ = aNow;
  requestedFrom_ = serviceAgent;
  receivedBytes_ = 0;
  SendTo(aNow,
         serviceAgent,
         serviceAgents[pick].agent_,
         std::move(packer).Finish(),
         Priority::Normal);
}

} // namespace cornelshore::dissemination
