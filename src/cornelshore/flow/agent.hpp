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

/** @brief Times and bounds of an agent. */
struct Limits
{
  /** How long a former owner is asked and a bucket counts as unsettled. */
  Duration window_{ std::chrono::seconds(30) };
  /** An agent decides nothing alone once its view is older than this. */
  Duration freshFor_{ std::chrono::seconds(5) };
  /** A claim that took longer than this starts again. */
  Duration claimFor_{ std::chrono::seconds(3) };
  /** How long an agent remembers whom it let have a flow. */
  Duration cedeFor_{ std::chrono::seconds(30) };
  /** Longest time from a bucket's first flow to its announcement. */
  Duration announceAfter_{ std::chrono::seconds(1) };
  /** Shortest time before an empty bucket is withdrawn. */
  Duration withdrawAfter_{ std::chrono::minutes(5) };
  /** How long flows of the run before this one are looked for. */
  Duration adoptFor_{ std::chrono::hours(1) };
  /** A leaving host without flows still passes packets on for this long. */
  Duration linger_{ std::chrono::seconds(30) };
  /** Limit of a planned stop that names none. */
  Duration leaveLimit_{ std::chrono::hours(12) };
  /** Flows without a packet for this long count as ended. */
  Duration tcpIdle_{ std::chrono::hours(24) };
  Duration udpIdle_{ std::chrono::hours(1) };
  /** How long another host's load counts as known. */
  Duration loadFor_{ std::chrono::seconds(1) };
  /** Flows of a host that names no connection limit, or a higher one. */
  std::size_t mostFlows_{ 1U << 20U };
  std::size_t mostPointers_{ 65536 };
  std::size_t mostClaims_{ 16384 };
};

/** @brief What the admission of a new flow decides from. */
struct NewFlow
{
  ClassId class_;
  FlowKey key_;
};

/** @brief Decides whether a new flow may open at this host. */
using Admission = std::function<bool(TimePoint aNow, const NewFlow& aFlow)>;

/** @brief Told of the end of each flow that the admission let open. */
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

  /** @brief Takes in one event and says what is to be done. */
  [[nodiscard]] Actions On(TimePoint aNow, Event&& aEvent);

  /** @brief When the next `Tick` is due. */
  [[nodiscard]] TimePoint NextTimer() const noexcept;

  struct State
  {
    HostState state_{ HostState::Starting };
    TableEpoch epoch_;
    bool fresh_{};      ///< May decide alone.
    bool superseded_{}; ///< A later run of this host was heard of.
    std::size_t flows_{};
    std::uint32_t load_{}; ///< Flows a slot, in 1/1000.
    std::size_t pointers_{};
    std::size_t claims_{};
    std::size_t heldBuckets_{};
    std::size_t recoveredBuckets_{};
    std::optional<TimePoint> leavingSince_;
    std::optional<TimePoint> leaveDeadline_;
    Counters counters_{};
  };

  [[nodiscard]] State Dump(TimePoint aNow) const;

  /** @brief What the agent's next run needs to go on with its flows. */
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
  void TellFound(const Envelope& aEnvelope, Actions& aOut) const;
  void Send(HostId aTo, Envelope&& aEnvelope, Actions& aOut);
  void SendReset(Envelope&& aEnvelope, ResetReason aReason, Actions& aOut);
  void Count(Outcome aOutcome) noexcept;

  void Prune(TimePoint aNow, Envelope& aEnvelope) const;
  [[nodiscard]] std::size_t NextTurn(TimePoint aNow, std::size_t aChoices);
  [[nodiscard]] bool AddCandidates(TimePoint aNow,
                                   Envelope& aEnvelope,
                                   bool aWide) const;
  [[nodiscard]] bool MayBeRecovered(TimePoint aNow,
                                    const Envelope& aEnvelope) const;
  [[nodiscard]] const Pointer* Follow(TimePoint aNow,
                                      const Envelope& aEnvelope) const;
  [[nodiscard]] const Claim* CurrentClaim(TimePoint aNow,
                                          const FlowKey& aKey) const;
  [[nodiscard]] bool KnowsItsPast() const noexcept;
  [[nodiscard]] bool Fresh(TimePoint aNow) const noexcept;
  [[nodiscard]] bool CanClaim(TimePoint aNow) const noexcept;
  [[nodiscard]] bool OwnsBucket(const routing::View& aView,
                                BucketId aBucket) const;
  [[nodiscard]] HostId OtherOwner(BucketId aBucket) const;
  [[nodiscard]] bool ShouldOffer(TimePoint aNow,
                                 const Envelope& aEnvelope) const;
  [[nodiscard]] bool Full() const noexcept;
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
  PointerTable declined_; ///< To who placed a flow that was not taken.
  PointerTable refused_;
  absl::flat_hash_map<HostId, PeerLoad> peerLoads_;
  std::uint64_t claimNumber_{};
  std::size_t turn_{};
  std::uint32_t reportedLoad_{};
  std::optional<TimePoint> confirmedAsOf_;
  std::optional<HostRecord> formerRun_; ///< Newest record of a run before.
  std::optional<TimePoint> recoverUntil_;
  std::optional<TimePoint> leavingSince_;
  std::optional<TimePoint> leaveDeadline_;
  std::optional<TimePoint> emptySince_;
  TimePoint sweepDue_;
  TimePoint idleSweepDue_;
  bool listed_{};
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
   * @brief Sets who the agent is: id, incarnation, service, slots and
   * connection limit; the other fields are not used.
   */
  AgentBuilder& SetSelf(const HostRecord& aSelf);
  AgentBuilder& SetLimits(const Limits& aLimits);
  /** @brief Sets the admission hook; without one every flow is admitted. */
  AgentBuilder& SetAdmission(Admission aAdmission);
  /** @brief Sets what is told of flows that ended; may be left out. */
  AgentBuilder& SetFlowEndedCallback(Closing aClosing);

  /**
   * @return The agent, or `InvalidArgument` for a zero id, zero slots, or
   * limits that do not keep the order which correctness rests on.
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
