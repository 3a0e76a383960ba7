#include <cornelshore/request/balancer.hpp>

#include <algorithm>
#include <cstddef>
#include <functional>
#include <type_traits>
#include <utility>

#include <cornelshore/core/hash.hpp>

namespace cornelshore::request {

namespace {

/**
 * Whether the membership view shows that this incarnation has ended. An
 * unknown host counts as alive, as the view may not include it yet.
 */
bool
HasEnded(const Authority& aAuthority, std::span<const HostRecord> aHosts)
{
  const auto found =
    std::find_if(aHosts.begin(), aHosts.end(), [&](const HostRecord& aHost) {
      return aHost.id_ == aAuthority.host_;
    });
  if (found == aHosts.end()) {
    return false;
  }
  if (found->incarnation_ != aAuthority.incarnation_) {
    return found->incarnation_ > aAuthority.incarnation_;
  }
  return found->state_ == HostState::Gone;
}

} // namespace

HostId
PickHome(RequestId aId,
         ServiceId aService,
         std::span<const HostRecord> aHosts,
         std::uint32_t aChoice)
{
  const auto seed = HashPair(aId.high_, aId.low_);
  std::vector<std::pair<std::uint64_t, HostId>> ranked;
  for (const auto& host : aHosts) {
    if (host.service_ == aService && host.state_ == HostState::Ready) {
      ranked.emplace_back(HashPair(seed, host.id_.value_), host.id_);
    }
  }
  if (ranked.empty()) {
    return {};
  }
  const auto place =
    ranked.begin() + static_cast<std::ptrdiff_t>(aChoice % ranked.size());
  std::nth_element(ranked.begin(), place, ranked.end(), std::greater<>());
  return place->second;
}

std::vector<BalancerAction>
Balancer::FromCaller(TimePoint aNow,
                     const Address& aCaller,
                     Message aMessage,
                     std::span<const HostRecord> aHosts)
{
  std::vector<BalancerAction> actions;
  const Route route{ aCaller, self_ };
  if (auto* request = std::get_if<TicketRequest>(&aMessage)) {
    request->route_ = route;
    actions.push_back(RelayTicketRequest(aNow, *request, aHosts));
  } else if (auto* submit = std::get_if<Submit>(&aMessage)) {
    submit->route_ = route;
    actions.push_back(Relay(std::move(*submit), aHosts));
  } else if (auto* cancel = std::get_if<Cancel>(&aMessage)) {
    cancel->route_ = route;
    actions.push_back(Relay(*cancel, aHosts));
  } else {
    ++dump_.ignored_;
  }
  return actions;
}

BalancerAction
Balancer::RelayTicketRequest(TimePoint aNow,
                             const TicketRequest& aRequest,
                             std::span<const HostRecord> aHosts)
{
  ++dump_.ticketRequests_;
  std::optional<Refusal> refusal;
  if (admission_) {
    refusal = admission_(aNow, aRequest.work_);
  }
  const auto home =
    PickHome(aRequest.id_, aRequest.work_.service_, aHosts, aRequest.choice_);
  if (!refusal && home.value_ == 0) {
    refusal = Refusal{ Reason::NoHost, Duration{} };
  }
  if (!refusal) {
    return SendToHost{ home, aRequest };
  }
  ++dump_.ticketsRefused_;
  TicketReply reply;
  reply.id_ = aRequest.id_;
  reply.reason_ = refusal->reason_;
  reply.retryAfter_ = refusal->retryAfter_;
  reply.route_ = aRequest.route_;
  return SendToCaller{ aRequest.route_.caller_, reply };
}

template<typename Relayed>
BalancerAction
Balancer::Relay(Relayed aMessage, std::span<const HostRecord> aHosts)
{
  const auto& ticket = aMessage.key_.ticket_;
  if (!HasEnded(ticket.home_, aHosts)) {
    ++dump_.toHome_;
    return SendToHost{ ticket.home_.host_, std::move(aMessage) };
  }
  if (ticket.backup_.host_.value_ != 0 && !HasEnded(ticket.backup_, aHosts)) {
    ++dump_.toBackup_;
    return SendToHost{ ticket.backup_.host_, std::move(aMessage) };
  }
  ++dump_.unroutable_;
  Outcome outcome;
  outcome.key_ = aMessage.key_;
  outcome.reason_ = Reason::HomeLost;
  outcome.route_ = aMessage.route_;
  return SendToCaller{ aMessage.route_.caller_, outcome };
}

std::vector<BalancerAction>
Balancer::FromHost(Message aMessage)
{
  std::vector<BalancerAction> actions;
  const auto relay = [&](auto& aReply) {
    using Reply = std::decay_t<decltype(aReply)>;
    if constexpr (std::is_same_v<Reply, TicketReply> ||
                  std::is_same_v<Reply, AnswerPart> ||
                  std::is_same_v<Reply, Outcome>) {
      ++dump_.toCaller_;
      const auto caller = aReply.route_.caller_;
      actions.emplace_back(SendToCaller{ caller, std::move(aReply) });
    } else {
      ++dump_.ignored_;
    }
  };
  std::visit(relay, aMessage);
  return actions;
}

BalancerBuilder&
BalancerBuilder::WithSelf(NodeId aSelf)
{
  self_ = aSelf;
  return *this;
}

BalancerBuilder&
BalancerBuilder::WithAdmission(AdmissionHook aHook)
{
  admission_ = std::move(aHook);
  return *this;
}

absl::StatusOr<Balancer>
BalancerBuilder::Build() const
{
  if (self_.value_ == 0) {
    return absl::InvalidArgumentError("balancer id is 0; it must be above 0");
  }
  Balancer balancer;
  balancer.self_ = self_;
  balancer.admission_ = admission_;
  return balancer;
}

} // namespace cornelshore::request
