#include <cornelshore/role/balancer.hpp>

#include <algorithm>
#include <optional>
#include <set>
#include <utility>

#include <cornelshore/admission/shedder.hpp>
#include <cornelshore/membership/health_watcher.hpp>
#include <cornelshore/role/address_book.hpp>
#include <cornelshore/role/figures.hpp>
#include <cornelshore/role/host_dump.hpp>
#include <cornelshore/role/host_results.hpp>

namespace cornelshore::role {

namespace {

using Actions = std::vector<BalancerAction>;

/** Time for which a stopping balancer keeps serving while the fabric moves
 * traffic away from it. */
constexpr Duration kDrainTime = std::chrono::seconds{ 2 };

request::Reason
ReasonOf(admission::Refusal)
{
  return request::Reason::Overloaded;
}

Dump
DumpHealth(const membership::HealthDump& aState)
{
  Dump dump;
  dump.With("watched", std::uint64_t{ aState.watched_ });
  for (const auto& row : membership::kJudgementNames) {
    const auto index = static_cast<std::size_t>(row.value_);
    dump.With(row.name_, std::uint64_t{ aState.byJudgement_[index] });
  }
  return dump.With("probes_sent", aState.probesSent_)
    .With("declared_gone", aState.declaredGone_);
}

template<typename RequestMessage>
constexpr bool kHasTicket = requires(const RequestMessage& aMessage)
{
  aMessage.key_.ticket_;
};

} // namespace

struct Balancer::Parts
{
  Parts(dissemination::Node aNode,
        membership::HealthWatcher aHealth,
        request::Balancer aRequests,
        Hooks aHooks)
    : node_(std::move(aNode))
    , health_(std::move(aHealth))
    , requests_(std::move(aRequests))
    , hooks_(std::move(aHooks))
  {
  }

  void Feed(TimePoint aNow, const dissemination::Event& aEvent, Actions& aOut)
  {
    for (auto& action : node_.On(aNow, aEvent)) {
      std::visit([&](auto& aAction) { Execute(aNow, aAction, aOut); }, action);
    }
  }

  void Execute(TimePoint, dissemination::Send& aSend, Actions& aOut)
  {
    aOut.emplace_back(SendToNode{ aSend.address_, std::move(aSend.message_) });
  }

  void Execute(TimePoint aNow,
               dissemination::HostsChanged& aChange,
               Actions& aOut)
  {
    flows_.Update(aNow, aChange.records_);
    std::set<ServiceId> services;
    for (const auto& record : aChange.records_) {
      services.insert(record.service_);
    }
    for (const auto service : services) {
      results_.SetHosts(aNow, service, node_.Hosts().OfService(service));
    }
    FeedHealth(aNow,
               membership::HostRecordsChanged{ std::move(aChange.records_) },
               aOut);
  }

  void Execute(TimePoint aNow, dissemination::PeersChanged&, Actions& aOut)
  {
    membership::BalancersChanged known{ { self_ } };
    for (const auto& peer : node_.Peers()) {
      if (peer.role_ == membership::NodeRole::Balancer && peer.id_ != self_) {
        known.balancers_.push_back(peer.id_);
      }
    }
    FeedHealth(aNow, std::move(known), aOut);
  }

  void FeedHealth(TimePoint aNow,
                  const membership::HealthEvent& aEvent,
                  Actions& aOut)
  {
    for (auto& action : health_.On(aNow, aEvent)) {
      if (const auto* send = std::get_if<membership::HealthSend>(&action)) {
        const auto address = AddressOf(send->to_);
        if (address) {
          aOut.emplace_back(SendToNode{ *address, send->message_ });
        }
        continue;
      }
      const auto& gone = std::get<membership::HostDeclaredGone>(action);
      aOut.emplace_back(
        Log{ Severity::Warning,
             "host_declared_gone",
             { { "host", internal::HexOf(gone.record_.id_.value_) } } });
      Feed(aNow, dissemination::HostAnnounced{ gone.record_ }, aOut);
    }
  }

  /** Any message shows that its host and data centre are reachable. */
  void RecordPeerActivity(TimePoint aNow, NodeId aFrom, Actions& aOut)
  {
    const HostId host{ aFrom.value_ };
    if (const auto* record = node_.Hosts().Find(host)) {
      FeedHealth(
        aNow, membership::DataCentreContact{ record->dataCentre_ }, aOut);
      FeedHealth(aNow, membership::HostResultObserved{ host, true }, aOut);
    }
  }

  void Execute(TimePoint, dissemination::ConfigChanged& aChange, Actions& aOut)
  {
    const auto configuration = hooks_.decode_(aChange.bytes_);
    if (!configuration.ok()) {
      aOut.emplace_back(
        Log{ Severity::Error,
             "configuration_unreadable",
             { { "version", std::to_string(aChange.version_.value_) } } });
      return;
    }
    shedder_->Configure(*configuration);
    aOut.emplace_back(
      Log{ Severity::Info,
           "configuration_in_force",
           { { "version", std::to_string(aChange.version_.value_) },
             { "confirmed", aChange.confirmed_ ? "yes" : "no" } } });
  }

  void Handle(TimePoint aNow, NodeMessage& aEvent, Actions& aOut)
  {
    addressBook_.Insert(aEvent.from_, aEvent.address_);
    RecordPeerActivity(aNow, aEvent.from_, aOut);
    std::visit([&](auto& aMessage) { Receive(aNow, aEvent, aMessage, aOut); },
               aEvent.message_);
  }

  void Receive(TimePoint,
               const NodeMessage&,
               FlowAnswer& aAnswer,
               Actions& aOut)
  {
    ++flowAnswers_;
    aOut.emplace_back(SendFlowAnswer{ std::move(aAnswer) });
  }

  void Receive(TimePoint aNow,
               const NodeMessage&,
               request::Message& aMessage,
               Actions& aOut)
  {
    results_.OnReply(aNow, aMessage);
    Relay(requests_.FromHost(std::move(aMessage)), aOut);
  }

  void Receive(TimePoint aNow,
               const NodeMessage& aFrom,
               const admission::Pushback& aPushback,
               Actions&)
  {
    shedder_->OnPushback(aNow, HostId{ aFrom.from_.value_ }, aPushback);
  }

  void Receive(TimePoint aNow,
               const NodeMessage& aFrom,
               dissemination::Message& aMessage,
               Actions& aOut)
  {
    FeedHealth(aNow,
               membership::DataCentreContact{ aMessage.header_.dataCentre_ },
               aOut);
    Feed(aNow,
         dissemination::Received{
           aFrom.from_, aFrom.address_, std::move(aMessage) },
         aOut);
  }

  void Receive(TimePoint aNow,
               const NodeMessage& aFrom,
               membership::Message& aMessage,
               Actions& aOut)
  {
    FeedHealth(aNow,
               membership::MessageReceived{ aFrom.from_, std::move(aMessage) },
               aOut);
  }

  template<typename Other>
  void Receive(TimePoint, const NodeMessage&, const Other&, Actions&)
  {
    ++unexpectedMessages_;
  }

  void Handle(TimePoint aNow, flow::Packet& aEvent, Actions& aOut)
  {
    ++packets_;
    auto decision = flows_.OnPacket(aNow, std::move(aEvent));
    if (const auto* refusal = std::get_if<flow::Refusal>(&decision)) {
      ++packetsRefused_[static_cast<std::size_t>(*refusal)];
      return;
    }
    auto& send = std::get<flow::Send>(decision);
    const auto* host = node_.Hosts().Find(send.to_);
    if (host == nullptr) {
      ++packetsRefused_[static_cast<std::size_t>(flow::Refusal::NoReadyHost)];
      return;
    }
    aOut.emplace_back(SendToNode{ host->agent_, std::move(send.envelope_) });
  }

  void Handle(TimePoint aNow, CallerMessage& aEvent, Actions& aOut)
  {
    if (!node_.ConfirmedAt()) {
      ++droppedBeforeSync_;
      return;
    }
    const auto hosts =
      std::visit([&](const auto& aMessage) { return HostsFor(aNow, aMessage); },
                 aEvent.message_);
    if (const auto* submit = std::get_if<request::Submit>(&aEvent.message_)) {
      results_.OnRelayed(aNow, *submit);
    }
    Relay(requests_.FromCaller(
            aNow, aEvent.caller_, std::move(aEvent.message_), hosts),
          aOut);
  }

  void Handle(TimePoint aNow, StopRequested&, Actions& aOut)
  {
    if (!stopAt_) {
      stopAt_ = aNow + kDrainTime;
      Feed(aNow, dissemination::SelfAnnounced{ address_, true }, aOut);
    }
  }

  void Handle(TimePoint aNow, Tick&, Actions& aOut)
  {
    if (node_.NextTimer() <= aNow) {
      Feed(aNow, dissemination::Tick{}, aOut);
    }
    if (results_.NextTimer() <= aNow) {
      results_.Tick(aNow);
    }
    if (health_.NextTimer() <= aNow) {
      FeedHealth(aNow, membership::HealthTick{}, aOut);
    }
    if (stopAt_ && *stopAt_ <= aNow) {
      aOut.emplace_back(Ended{});
    }
  }

  [[nodiscard]] std::vector<HostRecord> HostsFor(
    TimePoint aNow,
    const request::TicketRequest& aRequest)
  {
    return results_.SelectHosts(
      aNow, aRequest, node_.Hosts().OfService(aRequest.work_.service_));
  }

  template<typename RequestMessage>
  [[nodiscard]] std::vector<HostRecord> HostsFor(
    TimePoint,
    const RequestMessage& aMessage) const
  {
    std::vector<HostRecord> hosts;
    if constexpr (kHasTicket<RequestMessage>) {
      const auto& ticket = aMessage.key_.ticket_;
      for (const auto& authority : { ticket.home_, ticket.backup_ }) {
        if (const auto* record = node_.Hosts().Find(authority.host_)) {
          hosts.push_back(*record);
        }
      }
    }
    return hosts;
  }

  void Relay(std::vector<request::BalancerAction> aActions, Actions& aOut)
  {
    for (auto& action : aActions) {
      if (auto* toHost = std::get_if<request::SendToHost>(&action)) {
        const auto address = AddressOf(NodeId{ toHost->to_.value_ });
        if (address) {
          aOut.emplace_back(
            SendToNode{ *address, std::move(toHost->message_) });
        }
        continue;
      }
      aOut.emplace_back(std::get<request::SendToCaller>(std::move(action)));
    }
  }

  [[nodiscard]] std::optional<Address> AddressOf(NodeId aNode) const
  {
    if (const auto* record = node_.Hosts().Find(HostId{ aNode.value_ })) {
      return record->agent_;
    }
    const auto known = node_.AddressOf(aNode);
    return known ? known : addressBook_.Find(aNode);
  }

  dissemination::Node node_;
  membership::HealthWatcher health_;
  request::Balancer requests_;
  Hooks hooks_;
  std::unique_ptr<admission::Shedder> shedder_;
  flow::Balancer flows_;
  internal::AddressBook addressBook_;
  internal::HostResults results_{ 0 };
  NodeId self_;
  Address address_;
  std::optional<TimePoint> stopAt_;
  std::uint64_t packets_{};
  std::array<std::uint64_t, flow::kRefusalNames.size()> packetsRefused_{};
  std::uint64_t flowAnswers_{};
  std::uint64_t unexpectedMessages_{};
  /** Requests dropped before the host records were synchronised with peers. */
  std::uint64_t droppedBeforeSync_{};
};

Balancer::Balancer(std::unique_ptr<Parts> aParts)
  : parts_(std::move(aParts))
{
}

Balancer::~Balancer() = default;

std::vector<BalancerAction>
Balancer::On(TimePoint aNow, BalancerEvent aEvent)
{
  Actions out;
  std::visit([&](auto& aKind) { parts_->Handle(aNow, aKind, out); }, aEvent);
  return out;
}

TimePoint
Balancer::NextTimer() const
{
  const auto next = std::min({ parts_->node_.NextTimer(),
                               parts_->results_.NextTimer(),
                               parts_->health_.NextTimer() });
  return parts_->stopAt_ ? std::min(next, *parts_->stopAt_) : next;
}

Dump
Balancer::State(TimePoint aNow) const
{
  const auto flows = parts_->flows_.Dump();
  const auto& requests = parts_->requests_.Dump();
  Dump::Items shed;
  for (const auto& row : parts_->shedder_->Dump()) {
    shed.push_back(Dump()
                     .With("class", row.name_)
                     .With("limiting", row.limiting_)
                     .With("passed", row.passed_)
                     .With("shed", row.shed_));
  }
  return Dump()
    .With("role", "balancer")
    .With("stopping", parts_->stopAt_.has_value())
    .With("node", internal::DumpNode(parts_->node_, aNow))
    .With("flows",
          Dump()
            .With("table_epoch", flows.epoch_.value_)
            .With("services", std::uint64_t{ flows.services_ })
            .With("hosts", std::uint64_t{ flows.hosts_ })
            .With("table_bytes", std::uint64_t{ flows.tableBytes_ })
            .With("packets", parts_->packets_)
            .With("packets_refused_unknown_service", parts_->packetsRefused_[0])
            .With("packets_refused_no_ready_host", parts_->packetsRefused_[1])
            .With("answers", parts_->flowAnswers_))
    .With("health", DumpHealth(parts_->health_.Dump(aNow)))
    .With("requests",
          Dump()
            .With("ticket_requests", requests.ticketRequests_)
            .With("tickets_refused", requests.ticketsRefused_)
            .With("to_home", requests.toHome_)
            .With("to_backup", requests.toBackup_)
            .With("to_nobody", requests.unroutable_)
            .With("to_caller", requests.toCaller_)
            .With("ignored", requests.ignored_)
            .With("dropped_before_in_step", parts_->droppedBeforeSync_))
    .With("classes", std::move(shed))
    .With("homes_passed_over",
          std::uint64_t{ parts_->results_.Avoided().size() })
    .With("messages_misplaced", parts_->unexpectedMessages_);
}

Dump
Balancer::Hosts() const
{
  return internal::DumpHosts(parts_->node_);
}

std::vector<MetricSample>
Balancer::Figures(TimePoint aNow) const
{
  const auto& parts = *parts_;
  std::vector<MetricSample> samples{
    internal::Counter("cornelshore_balancer_packets_total",
                      "Packets received from the fabric.",
                      parts.packets_),
    internal::Counter("cornelshore_balancer_flow_answers_total",
                      "Answers of flows relayed to callers.",
                      parts.flowAnswers_),
    internal::Counter("cornelshore_balancer_requests_relayed_total",
                      "Request messages relayed to hosts.",
                      parts.requests_.Dump().toHome_ +
                        parts.requests_.Dump().toBackup_),
  };
  internal::AddNodeMetrics(parts.node_.Dump(aNow), samples);
  for (std::size_t index = 0; index < flow::kRefusalNames.size(); ++index) {
    samples.push_back(internal::Labelled(
      internal::Counter("cornelshore_balancer_packets_refused_total",
                        "Packets sent to no host.",
                        parts.packetsRefused_[index]),
      "reason",
      flow::kRefusalNames[index].name_));
  }
  for (const auto& row : parts.shedder_->Dump()) {
    samples.push_back(
      internal::Labelled(internal::Counter("cornelshore_balancer_shed_total",
                                           "Requests refused early.",
                                           row.shed_),
                         "class",
                         row.name_));
  }
  return samples;
}

Balancer::Builder::Builder(dissemination::NodeSettings aNode)
  : NodeBuilder(std::move(aNode), membership::NodeRole::Balancer)
{
}

absl::StatusOr<std::unique_ptr<Balancer>>
Balancer::Builder::Build(TimePoint aNow) const
{
  auto node = BuildNode();
  if (!node.ok()) {
    return node.status();
  }
  auto shedder = std::make_unique<admission::Shedder>(node_.seed_);
  auto* const shed = shedder.get();
  const auto admit =
    [shed](TimePoint aAt,
           const request::Work& aWork) -> std::optional<request::Refusal> {
    const auto answer = shed->Admit(
      aAt, aWork.service_, aWork.class_, admission::CallerId{ aWork.caller_ });
    if (answer.passed_) {
      return std::nullopt;
    }
    return request::Refusal{ ReasonOf(answer.reason_), answer.retryAfter_ };
  };
  auto requests = request::BalancerBuilder()
                    .WithSelf(node_.self_)
                    .WithAdmission(admit)
                    .Build();
  if (!requests.ok()) {
    return requests.status();
  }
  membership::HealthSettings healthSettings;
  healthSettings.self_ = node_.self_;
  healthSettings.seed_ = node_.seed_;
  auto health = membership::HealthWatcher::Builder(healthSettings).Build();
  if (!health.ok()) {
    return health.status();
  }
  auto parts = std::make_unique<Parts>(
    std::move(*node), std::move(*health), std::move(*requests), hooks_);
  parts->shedder_ = std::move(shedder);
  parts->results_ = internal::HostResults(node_.seed_);
  parts->self_ = node_.self_;
  parts->address_ = node_.address_;
  Actions none;
  parts->Feed(aNow, dissemination::SeedsChanged{ seeds_ }, none);
  return std::unique_ptr<Balancer>(new Balancer(std::move(parts)));
}

} // namespace cornelshore::role
