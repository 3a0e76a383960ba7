#include <cornelshore/dissemination/node.hpp>

#include <algorithm>
#include <utility>

#include <absl/status/status.h>

#include <cornelshore/dissemination/node_state.hpp>

namespace cornelshore::dissemination {

Node::Node(std::unique_ptr<State> aState) noexcept
  : state_(std::move(aState))
{
}

Node::Node(Node&&) noexcept = default;
Node& Node::operator=(Node&&) noexcept = default;
Node::~Node() = default;

std::vector<Action>
Node::On(TimePoint aNow, const Event& aEvent)
{
  state_->now_ = std::max(state_->now_, aNow);
  state_->AnnounceSelf(aNow);
  std::visit([this, aNow](const auto& aOne) { state_->Handle(aNow, aOne); },
             aEvent);
  return state_->TakeActions(aNow);
}

void
Node::NoteOtherTraffic(TimePoint aNow, std::size_t aBytes) noexcept
{
  state_->budget_.NoteOther(aNow, aBytes);
}

TimePoint
Node::NextTimer() const noexcept
{
  const auto orRound = [this](std::optional<TimePoint> aDue) {
    return aDue.value_or(state_->nextRound_);
  };
  return std::min({ state_->nextRound_,
                    orRound(state_->spreadAt_),
                    orRound(state_->ConfigRequestDue()),
                    orRound(state_->roundOutreach_.Due()) });
}

const membership::View&
Node::Hosts() const noexcept
{
  return state_->ledger_.Hosts();
}

std::vector<membership::PeerRecord>
Node::Peers() const
{
  std::vector<membership::PeerRecord> peers;
  for (const auto id : state_->ledger_.LivePeers()) {
    peers.push_back(*state_->ledger_.LivePeer(id));
  }
  std::sort(
    peers.begin(), peers.end(), [](const auto& aOne, const auto& aOther) {
      return aOne.id_ < aOther.id_;
    });
  return peers;
}

bool
Node::IsSilent(TimePoint aNow, NodeId aPeer) const
{
  return state_->partners_.IsSilent(aNow, aPeer);
}

std::optional<Address>
Node::AddressOf(NodeId aNode) const
{
  return state_->AddressOf(aNode);
}

ConfigVersion
Node::Config() const noexcept
{
  return state_->InForce();
}

bool
Node::Confirmed(TimePoint aNow) const noexcept
{
  return Config() != ConfigVersion{} &&
         state_->confirmation_.Covers(aNow, Config());
}

std::optional<TimePoint>
Node::ConfirmedAt() const noexcept
{
  return state_->ConfirmedAt();
}

NodeDump
Node::Dump(TimePoint aNow) const
{
  NodeDump dump;
  dump.config_ = Config();
  dump.confirmed_ = Confirmed(aNow);
  dump.confirmation_ = state_->confirmation_.Held(aNow);
  if (const auto confirmedAt = ConfirmedAt()) {
    dump.syncAge_ = aNow - *confirmedAt;
  }
  dump.digest_ = state_->ledger_.Tree().Root();
  dump.hosts_ = Hosts().size();
  dump.peers_ = state_->ledger_.PeerCount();
  dump.rumors_ = state_->rumors_.size();
  dump.bytesSent_ = state_->bytesSent_;
  dump.sendsThrottled_ = state_->sendsThrottled_;
  dump.recordsRefused_ = state_->recordsRefused_;
  dump.configsRefused_ = state_->config_.Refused();
  return dump;
}

Node::Builder::Builder(NodeSettings aSettings)
  : settings_(aSettings)
{
}

absl::StatusOr<Node>
Node::Builder::Build() const
{
  const auto fault = [](const char* aWhat) {
    return absl::InvalidArgumentError(aWhat);
  };
  if (settings_.self_ == NodeId{}) {
    return fault("dissemination: self id is 0");
  }
  if (settings_.incarnation_ == Incarnation{}) {
    return fault("dissemination: incarnation is 0");
  }
  const bool agent = settings_.role_ == membership::NodeRole::Agent;
  if (agent != (settings_.interest_ != ServiceId{})) {
    return fault("dissemination: the service of interest must be set for "
                 "agents and 0 for other roles");
  }
  if (settings_.ownRecordOnly_ && !agent) {
    return fault("dissemination: only an agent can hold just its own record");
  }
  if (settings_.round_ <= Duration::zero() ||
      settings_.confirmationLife_ <= Duration::zero() ||
      settings_.peerRefresh_ <= Duration::zero()) {
    return fault("dissemination: round, confirmation life and peer refresh "
                 "must be positive");
  }
  if (settings_.bytesPerSecond_ == 0 ||
      settings_.burstBytes_ < kLeastBurstBytes) {
    return fault("dissemination: bytes per second must be positive and the "
                 "burst at least 8192 bytes");
  }
  if (settings_.maxPeers_ == 0) {
    return fault("dissemination: peer limit is 0");
  }
  auto hosts = membership::View::Builder()
                 .MostHosts(settings_.mostHosts_)
                 .TombstoneLife(settings_.tombstoneLife_)
                 .Build();
  if (!hosts.ok()) {
    return hosts.status();
  }
  return Node(std::make_unique<State>(settings_, *std::move(hosts)));
}

} // namespace cornelshore::dissemination
