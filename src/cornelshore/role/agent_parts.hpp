#ifndef CORNELSHORE_ROLE_AGENT_PARTS_HPP
#define CORNELSHORE_ROLE_AGENT_PARTS_HPP

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include <cornelshore/admission/connection_limiter.hpp>
#include <cornelshore/dissemination/node.hpp>
#include <cornelshore/flow/agent.hpp>
#include <cornelshore/membership/announcer.hpp>
#include <cornelshore/request/agent.hpp>
#include <cornelshore/role/address_book.hpp>
#include <cornelshore/role/agent.hpp>
#include <cornelshore/role/slots.hpp>

namespace cornelshore::role {

/** @brief Components of an agent and the dispatch of events and actions
 * between them. */
struct Agent::Parts
{
  using Actions = std::vector<AgentAction>;

  Parts(dissemination::Node aNode,
        flow::Agent aFlows,
        request::Agent aRequests,
        internal::Slots aSlots,
        membership::Announcer aAnnouncer);

  void Handle(TimePoint aNow, NodeMessage& aEvent, Actions& aOut);
  void Handle(TimePoint aNow, UpstreamReadinessChanged& aEvent, Actions& aOut);
  void Handle(TimePoint aNow, UpstreamFlowEnded& aEvent, Actions& aOut);
  void Handle(TimePoint aNow, UpstreamFlowRefused& aEvent, Actions& aOut);
  void Handle(TimePoint aNow, UpstreamRunEnded& aEvent, Actions& aOut);
  void Handle(TimePoint aNow, StopRequested& aEvent, Actions& aOut);
  void Handle(TimePoint aNow, Tick& aEvent, Actions& aOut);

  void Receive(TimePoint aNow,
               const NodeMessage& aFrom,
               flow::Envelope& aMessage,
               Actions& aOut);
  void Receive(TimePoint aNow,
               const NodeMessage& aFrom,
               request::Message& aMessage,
               Actions& aOut);
  void Receive(TimePoint aNow,
               const NodeMessage& aFrom,
               dissemination::Message& aMessage,
               Actions& aOut);
  void Receive(TimePoint aNow,
               const NodeMessage& aFrom,
               const membership::Message& aMessage,
               Actions& aOut);
  template<typename Other>
  void Receive(TimePoint, const NodeMessage&, const Other&, Actions&)
  {
    ++unexpectedMessages_;
  }

  void FeedNode(TimePoint aNow,
                const dissemination::Event& aEvent,
                Actions& aOut);
  void FeedFlows(TimePoint aNow, flow::Event aEvent, Actions& aOut);
  void FeedRequests(TimePoint aNow, request::Event aEvent, Actions& aOut);
  void FeedRequests(TimePoint aNow,
                    internal::Slots::Events aEvents,
                    Actions& aOut);

  void Execute(TimePoint aNow, dissemination::Send& aAction, Actions& aOut);
  void Execute(TimePoint aNow,
               dissemination::HostsChanged& aAction,
               Actions& aOut);
  void Execute(TimePoint aNow,
               dissemination::PeersChanged& aAction,
               Actions& aOut);
  void Execute(TimePoint aNow,
               dissemination::ConfigChanged& aAction,
               Actions& aOut);
  void Execute(TimePoint aNow, flow::Deliver& aAction, Actions& aOut);
  void Execute(TimePoint aNow, flow::Forward& aAction, Actions& aOut);
  void Execute(TimePoint aNow, flow::Reset& aAction, Actions& aOut);
  void Execute(TimePoint aNow, flow::Announce& aAction, Actions& aOut);
  void Execute(TimePoint aNow, flow::Stopped& aAction, Actions& aOut);
  void Execute(TimePoint aNow, request::SendToHost& aAction, Actions& aOut);
  void Execute(TimePoint aNow, request::SendToBalancer& aAction, Actions& aOut);
  void Execute(TimePoint aNow, request::Offer& aAction, Actions& aOut);
  void Execute(TimePoint aNow, request::ReleaseSlot& aAction, Actions& aOut);
  void Execute(TimePoint aNow, request::StartRun& aAction, Actions& aOut);
  void Execute(TimePoint aNow, request::CancelRun& aAction, Actions& aOut);
  void Execute(TimePoint aNow, request::Drained& aAction, Actions& aOut);

  void Publish(TimePoint aNow,
               const std::optional<HostRecord>& aRecord,
               Actions& aOut);
  /**
   * Publishes the first record. It is delayed until the record of an earlier
   * run has been received or the timeout expires, so that it supersedes that
   * record at every node.
   */
  void PublishFirst(TimePoint aNow, Actions& aOut);
  void PublishChanges(TimePoint aNow, Actions& aOut);
  void ApplyTargets(TimePoint aNow, Actions& aOut);
  /** The host is ready when its upstream is ready and targets are in force. */
  void CheckReady(TimePoint aNow, Actions& aOut);
  void CheckConfirmed(TimePoint aNow, Actions& aOut);
  void CheckStopped(TimePoint aNow, Actions& aOut);
  [[nodiscard]] std::optional<Address> AddressOf(NodeId aNode) const;

  dissemination::Node node_;
  flow::Agent flows_;
  request::Agent requests_;
  internal::Slots slots_;
  membership::Announcer announcer_;
  std::unique_ptr<admission::ConnectionLimiter> connections_;
  std::shared_ptr<absl::flat_hash_map<ClassId, ClassTarget>> classes_;
  Hooks hooks_;
  internal::AddressBook addressBook_;
  HostRecord self_; ///< State and held buckets are to be published.
  Configuration configuration_;
  std::vector<HostRecord> hosts_;
  absl::flat_hash_map<request::RunId, RequestId> runIds_;
  std::optional<TimePoint> confirmedAt_;
  TimePoint publishDeadline_;
  bool upstreamReady_{};
  bool hasTargets_{};
  bool ready_{};
  bool published_{};
  bool stopping_{};
  bool flowsStopped_{};
  bool requestsDrained_{};
  bool ended_{};
  Duration stopLimit_{};
  std::uint64_t flowsLeft_{};
  std::uint64_t unexpectedMessages_{};
  std::uint64_t undeliverableMessages_{};
  std::uint64_t resets_{};
};

} // namespace cornelshore::role

#endif
