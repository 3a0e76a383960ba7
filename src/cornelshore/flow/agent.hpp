#ifndef CORNELSHORE_FLOW_AGENT_HPP
#define CORNELSHORE_FLOW_AGENT_HPP

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/status/statusor.h>

#include <cornelshore/core/host.hpp>
#include <cornelshore/core/time.hpp>
#include <cornelshore/flow/envelope.hpp>
#include <cornelshore/flow/event.hpp>
#include <cornelshore/flow/held_buckets.hpp>
#include <cornelshore/flow/pointer_table.hpp>
#include <cornelshore/routing/view.hpp>

namespace cornelshore::flow {

/** @brief Timeouts and limits of an agent. */
struct Limits
{
  /** How long former owners are asked and a bucket stays unsettled after an
   * ownership change. */
  Duration window_{ std::chrono::seconds(30) };
  /** Maximum age of the view for decisions without asking other hosts. */
  Duration maxViewAge_{ std::chrono::seconds(5) };
  /** Timeout after which an unfinished claim is restarted. */
  Duration claimTimeout_{ std::chrono::seconds(3) };
  /** How long an agent remembers the host that it ceded a flow to. */
  Duration cededLifetime_{ std::chrono::seconds(30) };
  /** Maximum time from a bucket's first flow to its announcement. */
  Duration announceDelay_{ std::chrono::seconds(1) };
  /** Minimum time before an empty bucket is withdrawn. */
  Duration withdrawDelay_{ std::chrono::minutes(5) };
  /** How long after a restart flows of the previous run may be adopted. */
  Duration recoveryPeriod_{ std::chrono::hours(1) };
  /** How long a leaving host without flows still forwards packets. */
  Duration drainLinger_{ std::chrono::seconds(30) };
  /** Default time limit of a planned stop. */
  Duration leaveLimit_{ std::chrono::hours(12) };
  /** Idle timeouts: flows without a packet for this long have ended. */
  Duration tcpIdle_{ std::chrono::hours(24) };
  Duration udpIdle_{ std::chrono::hours(1) };
  /** How long another host's reported load is valid. */
  Duration loadLifetime_{ std::chrono::seconds(1) };
  /** Maximum flows, also of a host that sets no or a higher connection limit.
   */
  std::size_t maxFlows_{ 1U << 20U };
  std::size_t maxPointers_{ 65536 };
  std::size_t maxClaims_{ 16384 };
};

/** @brief Input of an admission decision. */
struct NewFlow
{
  ClassId class_;
  FlowKey key_;
};

/** @brief Decides whether a new flow may open at this host. */
using Admission = std::function<bool(TimePoint aNow, const NewFlow& aFlow)>;

/** @brief Called at the end of each admitted flow. */
using Closing = std::function<void(TimePoint aNow, const NewFlow& aFlow)>;

/**
 * @brief Owner of the flows of one upstream host.
 *
 * A deterministic state machine: events in, actions out. Two agents never
 * open the same flow at their upstreams, whatever their views of the
 * membership; the design note `docs/md/flow.md` has the argument.
 */
class Agent
{
public:
  using Actions = std::vector<Action>;
  using Counters =
    std::array<std::uint64_t, kOutcomeNames.size()>; ///< By `Outcome`.

  /** @brief Handles one event and returns the resulting actions. */
  [[nodiscard]] Actions On(TimePoint aNow, Event&& aEvent);

  /** @brief When the next `Tick` event should be delivered. */
  [[nodiscard]] TimePoint NextTimer() const noexcept;

  struct State
  {
    HostState state_{ HostState::Starting };
    TableEpoch epoch_;
    bool fresh_{};      ///< The view is recent enough to decide alone.
    bool superseded_{}; ///< A later run of this host has been seen.
    std::size_t flows_{};
    std::uint32_t load_{}; ///< Flows per slot, in 1/1000.
    std::size_t pointers_{};
    std::size_t claims_{};
    std::size_t heldBuckets_{};
    std::size_t recoveredBuckets_{};
    std::optional<TimePoint> leavingSince_;
    std::optional<TimePoint> leaveDeadline_;
    Counters counters_{};
  };

  [[nodiscard]] State Dump(TimePoint aNow) const;

  /** @brief State that the agent's next run needs to keep its flows. */
  [[nodiscard]] FlowsListed HandOver() const;

  /** @brief Whether the flow is open at this host. */
  [[nodiscard]] bool Owns(const FlowKey& aKey) const;

private:
  friend class AgentBuilder;

  struct Flow
  {
    ClassId class_;
    BucketId bucket_;
    bool adopted_{};
    TimePoint lastPacket_;
  };

  struct Claim
  {
    std::uint64_t number_{};
    TimePoint since_;
  };

  struct PeerLoad
  {
    std::uint32_t load_{};
    TimePoint until_;
  };

  Agent(const HostRecord& aSelf, const Limits& aLimits, Admission aAdmission);

  void Handle(TimePoint aNow, EnvelopeArrived& aEvent, Actions& aOut);
  void Handle(TimePoint aNow, MembershipChanged& aEvent, Actions& aOut);
  void Handle(TimePoint aNow, ViewConfirmed& aEvent, Actions& aOut);
  void Handle(TimePoint aNow, FlowsListed& aEvent, Actions& aOut);
  void Handle(TimePoint aNow, UpstreamOpened& aEvent, Actions& aOut);
  void Handle(TimePoint aNow, UpstreamClosed& aEvent, Actions& aOut);
  void Handle(TimePoint aNow, UpstreamRefused& aEvent, Actions& aOut);
  void Handle(TimePoint aNow, ReadinessChanged& aEvent, Actions& aOut);
  void Handle(TimePoint aNow, LoadReported& aEvent, Actions& aOut);
  void Handle(TimePoint aNow, LeaveRequested& aEvent, Actions& aOut);
  void Handle(TimePoint aNow, Tick& aEvent, Actions& aOut);

  void Recover(TimePoint aNow);
  void OnOwnRecord(const HostRecord& aRecord, Actions& aOut);
  void ChangeState(TimePoint aNow, HostState aState, Actions& aOut);
  void AnnounceNow(Actions& aOut) const;
  void RefreshHeld(TimePoint aNow, Actions& aOut);
  void CheckLeaving(TimePoint aNow, Actions& aOut);
  void SweepIdle(TimePoint aNow);
  void CloseFlow(TimePoint aNow, const FlowKey& aKey);

  void OnLookup(TimePoint aNow, Envelope&& aEnvelope, Actions& aOut);
  void OnClaim(TimePoint aNow, Envelope&& aEnvelope, Actions& aOut);
  void OnClaimReturned(TimePoint aNow, Envelope&& aEnvelope, Actions& aOut);
  void OnPlace(TimePoint aNow, Envelope&& aEnvelope, Actions& aOut);
  void OnDeclined(TimePoint aNow, Envelope&& aEnvelope, Actions& aOut);
  void ClearPlacement(TimePoint aNow,
                      Envelope&& aEnvelope,
                      Pointer aPointer,
                      Actions& aOut);
  void OnPlacementCleared(TimePoint aNow, Envelope&& aEnvelope, Actions& aOut);
  void SendToAdopter(TimePoint aNow, Envelope&& aEnvelope, Actions& aOut);
  void OnPassedBack(TimePoint aNow, Envelope&& aEnvelope, Actions& aOut);
  void OnAdopt(TimePoint aNow, Envelope&& aEnvelope, Actions& aOut);
  void OnFound(TimePoint aNow, const Envelope& aEnvelope);

  void Extend(TimePoint aNow, const FlowKey& aKey);
  void LookUpKnownOpen(TimePoint aNow, Envelope&& aEnvelope, Actions& aOut);
  void LookUpOpening(TimePoint aNow, Envelope&& aEnvelope, Actions& aOut);
  void Conclude(TimePoint aNow, Envelope&& aEnvelope, Actions& aOut);
  void StartClaim(TimePoint aNow, Envelope&& aEnvelope, Actions& aOut);
  void ContinueClaim(TimePoint aNow, Envelope&& aEnvelope, Actions& aOut);
  void RestartLookup(TimePoint aNow, Envelope&& aEnvelope, Actions& aOut);
  void Decide(TimePoint aNow, Envelope&& aEnvelope, Actions& aOut);
  void OpenHere(TimePoint aNow, Envelope&& aEnvelope, Actions& aOut);
  void Insert(TimePoint aNow, const Envelope& aEnvelope, bool aAdopted);

  void DeliverTo(Envelope&& aEnvelope, bool aOpens, Actions& aOut) const;
  void SendFound(const Envelope& aEnvelope, Actions& aOut) const;
  void Send(HostId aTo, Envelope&& aEnvelope, Actions& aOut);
  void SendReset(Envelope&& aEnvelope, ResetReason aReason, Actions& aOut);
  void Count(Outcome aOutcome) noexcept;

  void Prune(TimePoint aNow, Envelope& aEnvelope) const;
  [[nodiscard]] std::size_t NextTurn(TimePoint aNow, std::size_t aChoices);
  [[nodiscard]] bool AddCandidates(TimePoint aNow,
                                   Envelope& aEnvelope,
                                   bool aAllOwners) const;
  [[nodiscard]] bool MayBeRecovered(TimePoint aNow,
                                    const Envelope& aEnvelope) const;
  [[nodiscard]] const Pointer* Follow(TimePoint aNow,
                                      const Envelope& aEnvelope) const;
  [[nodiscard]] const Claim* CurrentClaim(TimePoint aNow,
                                          const FlowKey& aKey) const;
  [[nodiscard]] bool KnowsPreviousFlows() const noexcept;
  [[nodiscard]] bool IsFresh(TimePoint aNow) const noexcept;
  [[nodiscard]] bool CanClaim(TimePoint aNow) const noexcept;
  [[nodiscard]] bool OwnsBucket(const routing::View& aView,
                                BucketId aBucket) const;
  [[nodiscard]] HostId OtherOwner(BucketId aBucket) const;
  [[nodiscard]] bool ShouldOffer(TimePoint aNow,
                                 const Envelope& aEnvelope) const;
  [[nodiscard]] bool IsFull() const noexcept;
  [[nodiscard]] std::uint32_t Load() const noexcept;

  HostRecord self_;
  Limits limits_;
  Admission admission_;
  Closing closing_;
  routing::View view_;
  HeldBuckets held_;
  absl::flat_hash_map<FlowKey, Flow> flows_;
  absl::flat_hash_map<FlowKey, Claim> claims_;
  PointerTable pointers_;
  PointerTable found_;
  PointerTable declined_; ///< Hosts whose placement of a flow was declined.
  PointerTable refused_;
  absl::flat_hash_map<HostId, PeerLoad> peerLoads_;
  std::uint64_t claimNumber_{};
  std::size_t nextTurn_{};
  std::uint32_t reportedLoad_{};
  std::optional<TimePoint> confirmedAsOf_;
  /** Newest record of the previous run. */
  std::optional<HostRecord> previousRecord_;
  std::optional<TimePoint> recoverUntil_;
  std::optional<TimePoint> leavingSince_;
  std::optional<TimePoint> leaveDeadline_;
  std::optional<TimePoint> emptySince_;
  TimePoint sweepDue_;
  TimePoint idleSweepDue_;
  bool flowsListed_{};
  bool declaredGone_{};
  bool superseded_{};
  bool stopped_{};
  Counters counters_{};
};

/** @brief Builds an agent. */
class AgentBuilder
{
public:
  /**
   * @brief Sets the agent's identity: id, incarnation, service, slots and
   * connection limit; other fields are ignored.
   */
  AgentBuilder& SetSelf(const HostRecord& aSelf);
  AgentBuilder& SetLimits(const Limits& aLimits);
  /** @brief Sets the admission hook; without one every flow is admitted. */
  AgentBuilder& SetAdmission(Admission aAdmission);
  /** @brief Sets the callback for ended flows; optional. */
  AgentBuilder& SetFlowEndedCallback(Closing aClosing);

  /**
   * @return The agent, or `InvalidArgument` for a zero id, zero slots, or
   * limits that violate the ordering that correctness depends on.
   */
  [[nodiscard]] absl::StatusOr<Agent> Build() const;

private:
  HostRecord self_;
  Limits limits_;
  Admission admission_;
  Closing closing_;
};

} // namespace cornelshore::flow

#endif
