#include <cornelshore/dissemination/node_state.hpp>

#include <algorithm>
#include <utility>

namespace cornelshore::dissemination {

using membership::NodeRole;

namespace {

constexpr std::size_t kRumorsARound = 12;
constexpr std::size_t kSeedsARound = 3;
/** Halves of a fleet that started without hearing each other all have peers, so
 * a seed that is no peer is asked now and then, too. Every fifth round heals
 * halves within seconds and costs 30 B/s while a seed is away. A process that
 * waits for a configuration asks every round. */
constexpr std::uint64_t kStraySeedEvery = 5;
constexpr std::size_t kJoiningPartners = 3;
/** Share of the burst that joining rounds leave: what they ask for comes in
 * answers that leave a quarter, and without them nobody would ever join. */
constexpr double kLeftByJoining = 0.6;
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
  hastens_ = IsBehind() && budget_.HasLeft(aNow, kLeftByJoining);
  nextRound_ = aNow + (hastens_ ? std::min(settings_.round_,
                                           settings_.joiningRoundInterval_)
                                : settings_.round_);
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

void
Node::State::Round(TimePoint aNow)
{
  std::vector<NodeId> peers;
  if (!IsAgent()) {
    peers = partners_.Pick(ledger_, hastens_ ? kJoiningPartners : 1);
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
  if (!IsAgent() && released_) {
    PushToLaggards(aNow);
  }
  if (IsAgent() && newestHeard_ > config_.Version()) {
    AskFellow(aNow);
  }
  AskSeeds(aNow);
}

void
Node::State::AskSeeds(TimePoint aNow)
{
  const bool alone = IsAgent() ? partners_.PickForAgent(ledger_).empty()
                               : ledger_.LivePeers().size() <= 1;
  const bool due = !released_ || round_ % kStraySeedEvery == 0;
  if (seeds_.empty() || (!alone && (IsAgent() || !due))) {
    return;
  }
  const auto unmet = alone ? seeds_ : UnmetSeeds();
  const auto most = std::min(alone ? kSeedsARound : 1, unmet.size());
  for (std::size_t seed = 0; seed < most; ++seed) {
    Packer packer(HeaderFor(aNow, {}, MessageKind::Round));
    AddSubject(aNow, settings_.self_, packer);
    SendTo(aNow,
           {},
           unmet[nextSeed_++ % unmet.size()],
           std::move(packer).Finish(),
           Priority::Normal);
  }
}

std::vector<Address>
Node::State::UnmetSeeds() const
{
  auto unmet = seeds_;
  for (const auto peer : ledger_.LivePeers()) {
    std::erase(unmet, ledger_.LivePeer(peer)->address_);
  }
  return unmet;
}

void
Node::State::RoundWith(TimePoint aNow, NodeId aPeer)
{
  auto header = HeaderFor(aNow, aPeer, MessageKind::Round);
  header.compare_ = true;
  Packer packer(header);
  AddRumors(aNow, kRumorsARound, packer);
  if (!IsAgent() && released_ && round_ - configRound_ <= kConfigRounds) {
    AddNewestDelta(packer);
  }
  if (config_.Assembling() && aNow - wantedAt_ >= settings_.round_) {
    packer.Add(config_.Missing());
    wantedAt_ = aNow;
    wantedFrom_ = aPeer;
    wantedBytes_ = 0;
  }
  const auto address = AddressOf(aPeer);
  partners_.Asked(aPeer);
  SendTo(aNow, aPeer, *address, std::move(packer).Finish(), Priority::Normal);
}

void
Node::State::AskFellow(TimePoint aNow)
{
  auto fellows = ledger_.Hosts().OfService(settings_.interest_);
  std::erase_if(fellows, [this](const HostRecord& aRecord) {
    return SubjectOf(aRecord.id_) == settings_.self_;
  });
  if (fellows.empty()) {
    return;
  }
  const auto pick = partners_.Randomness().Below(fellows.size());
  const auto fellow = SubjectOf(fellows[pick].id_);
  Packer packer(HeaderFor(aNow, fellow, MessageKind::Round));
  packer.Add(config_.Missing());
  wantedAt_ = aNow;
  wantedFrom_ = fellow;
  wantedBytes_ = 0;
  SendTo(aNow,
         fellow,
         fellows[pick].agent_,
         std::move(packer).Finish(),
         Priority::Normal);
}

} // namespace cornelshore::dissemination
