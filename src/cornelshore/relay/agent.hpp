#ifndef CORNELSHORE_RELAY_AGENT_HPP
#define CORNELSHORE_RELAY_AGENT_HPP

#include <array>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include <cornelshore/core/names.hpp>
#include <cornelshore/core/time.hpp>
#include <cornelshore/relay/decision.hpp>
#include <cornelshore/relay/message.hpp>
#include <cornelshore/relay/route_table.hpp>
#include <cornelshore/relay/segment.hpp>

namespace cornelshore::relay {

/** @brief An upstream's periodic report of its own state. */
struct HostReport
{
  std::string instance_;        ///< Name of this instance of the upstream.
  std::uint64_t startMillis_{}; ///< Wall clock at its start, ms since 1970.
  std::uint64_t sequence_{};    ///< Increases with each report of an instance.
  ServiceId service_;
  std::uint16_t slots_{};
  bool leaving_{};
  Duration warmupRemaining_{}; ///< Remaining time of reduced speed after start.

  bool operator==(const HostReport&) const noexcept = default;
};

/** @brief Pass a packet to the upstream. */
struct ToHost
{
  std::string packet_;
};

/** @brief Send a host's packet to its caller. */
struct FromHost
{
  Address caller_;
  std::string packet_;
};

/** @brief Report the outcome of a packet to a balancer. */
struct ToBalancer
{
  Address balancer_;
  Answer answer_;
};

/** @brief Answer a balancer's query. */
struct AnswerQuery
{
  Address balancer_;
  QueryAnswer answer_;
};

using AgentAction =
  std::variant<ToHost, FromHost, ToBalancer, AnswerQuery, FlowDecision>;

/** @brief Packet counters of an agent, for the metrics. */
enum class AgentCount : std::uint8_t
{
  Opened,    ///< Openings passed to the host.
  Delivered, ///< Other packets passed to the host.
  Answered,  ///< Packets of the host sent to callers.
  Busy,      ///< Openings declined because all slots are in use.
  Refused,   ///< Openings refused: host leaving or unknown, other route.
  Returned,  ///< Packets that the host returned.
  Unknown,   ///< Packets of flows that the host does not hold.
  Malformed, ///< Packets that could not be parsed.
};

/** @brief Names of `AgentCount`. */
inline constexpr std::array<EnumName<AgentCount>, 8> kAgentCountNames{ {
  { AgentCount::Opened, "opened" },
  { AgentCount::Delivered, "delivered" },
  { AgentCount::Answered, "answered" },
  { AgentCount::Busy, "busy" },
  { AgentCount::Refused, "refused" },
  { AgentCount::Returned, "returned" },
  { AgentCount::Unknown, "unknown" },
  { AgentCount::Malformed, "malformed" },
} };

/** @brief Timeouts and limits of an agent. */
struct AgentSettings
{
  ServiceId service_;
  /** Wall clock at the agent's start, ms since 1970; 0: not known. */
  std::uint64_t startMillis_{};
  /** Maximum lifetime of a flow; until then an agent that started after its
   * host may not know all flows of the host. */
  Duration flowTimeout_{ std::chrono::seconds{ 70 } };
  /** Interval of the host's reports. */
  Duration reportInterval_{ std::chrono::milliseconds{ 1200 } };
  /** Longest time from the last message that a balancer received of an agent to
   * the agent's end; load reports come each second. */
  Duration maxLoadReportAge_{ std::chrono::milliseconds{ 1500 } };
  /** Time from the agent's start within which balancers that received messages
   * of an earlier run report it; they renew their watches each second. */
  Duration earlierRunNoticeTime_{ std::chrono::seconds{ 1 } };
  /** A host without a report for this long gets no new flows. */
  Duration hostReportTimeout_{ std::chrono::milliseconds{ 3600 } };
  /** Requests in progress or expected per slot from which openings are
   * declined. */
  double busyPerSlot_{ 1.0 };
  /** The same for forced openings: a queue at the host of one request a slot.
   * Beyond it a request would wait longer than another host or a later offer
   * takes, and the host rejects it once its own queue is full. */
  double forcedBusyPerSlot_{ 2.0 };
  /** How long the first request of a flow that the host has just accepted is
   * expected; several round trips to the caller. */
  Duration firstRequestTimeout_{ std::chrono::milliseconds{ 100 } };
  /** A request in progress for longer does not count as load: its caller or
   * its answer was lost. */
  Duration maxRequestTime_{ std::chrono::seconds{ 10 } };
};

/** @brief Outcome of a host's report. */
enum class ReportOutcome : std::uint8_t
{
  Taken,
  Late,        ///< Older report of this instance, or of an earlier instance.
  Foreign,     ///< Report of a service other than this agent's.
  Implausible, ///< The instance's start lies in the future.
};

/** @brief Names of `ReportOutcome`. */
inline constexpr std::array<EnumName<ReportOutcome>, 4> kReportOutcomeNames{ {
  { ReportOutcome::Taken, "taken" },
  { ReportOutcome::Late, "late" },
  { ReportOutcome::Foreign, "foreign" },
  { ReportOutcome::Implausible, "implausible" },
} };

/** @brief Why an agent knows all flows of its host, or may not. */
enum class Coverage : std::uint8_t
{
  HostIsNewer,      ///< The host started after the agent.
  BothAreNew,       ///< First report; no earlier run passed flows to the host.
  OutlivedFlows,    ///< The agent has run for longer than any flow lives.
  NoReport,         ///< No host has reported to this agent.
  HostIsOlder,      ///< The host started before the agent.
  OlderMayRun,      ///< An earlier instance, older than the agent, may run.
  EarlierRun,       ///< An earlier run of the agent lived after that start.
  AwaitsEarlierRun, ///< Balancers may still tell of an earlier run.
  AwaitsOlderHost,  ///< A host that started before the agent may still report.
};

/** @brief Names of `Coverage`. */
inline constexpr std::array<EnumName<Coverage>, 9> kCoverageNames{ {
  { Coverage::HostIsNewer, "host_is_newer" },
  { Coverage::BothAreNew, "both_are_new" },
  { Coverage::OutlivedFlows, "outlived_flows" },
  { Coverage::NoReport, "no_report" },
  { Coverage::HostIsOlder, "host_is_older" },
  { Coverage::OlderMayRun, "older_may_run" },
  { Coverage::EarlierRun, "earlier_run" },
  { Coverage::AwaitsEarlierRun, "awaits_earlier_run" },
  { Coverage::AwaitsOlderHost, "awaits_older_host" },
} };

/**
 * @brief Owns the flows of the upstream on its host.
 *
 * Draining, service and route are checked at delivery, so that a flow opens
 * only at a permitted host even if a balancer's data is stale.
 */
class Agent
{
public:
  using Actions = std::vector<AgentAction>;

  Agent(AgentSettings aSettings, Codec aCodec, TimePoint aStart);

  /** @brief Handles a caller's packet relayed by a balancer. */
  void OnRelayedPacket(TimePoint aNow,
                       const Address& aBalancer,
                       RelayedPacket aPacket,
                       Actions& aOut);

  /** @brief Answers a balancer's query for the flows that the host holds. */
  void OnQuery(TimePoint aNow,
               const Address& aBalancer,
               const Query& aQuery,
               Actions& aOut) const;

  /** @brief Handles a packet that the upstream sent or returned. */
  void OnHostPacket(TimePoint aNow, std::string aPacket, Actions& aOut);

  /** @brief Applies a report of the upstream unless it is late or foreign. */
  ReportOutcome OnReport(TimePoint aNow, const HostReport& aReport);

  /** @brief Handles the end of an upstream instance; false if it is not the
   * current one. */
  bool OnHostEnded(TimePoint aNow, std::string_view aInstance);

  /** @brief Notes that a balancer last heard from an earlier run of this agent
   * that long ago, and whether that run announced that its host leaves. */
  void NoteEarlierRun(TimePoint aNow, Duration aHeardAgo, bool aLeft);

  /** @brief Applies a configuration; an older one is ignored. */
  void UpdateRoutes(const Configuration& aConfiguration);

  /** @brief Removes expired flows. */
  void Tick(TimePoint aNow);

  [[nodiscard]] TimePoint NextTimer() const noexcept { return sweepAt_; }

  /** @brief Current load of the host. */
  [[nodiscard]] HostLoad Load(TimePoint aNow) const;

  /** @brief The upstream's last report; nothing before the first one or after
   * the instance ended. */
  [[nodiscard]] const std::optional<HostReport>& Host() const noexcept
  {
    return host_;
  }

  /** @brief Whether the last report is recent enough for new flows. */
  [[nodiscard]] bool HostAlive(TimePoint aNow) const noexcept;

  /** @brief Whether every flow of the host passed through this agent, so that
   * a flow it does not know is not the host's. */
  [[nodiscard]] bool KnowsAllFlows(TimePoint aNow) const noexcept
  {
    return !MayHoldUnseenFlows(aNow) && unassigned_.empty();
  }

  /** @brief Why the agent has seen all flows of the host, or may not have. */
  [[nodiscard]] Coverage CoverageAt(TimePoint aNow) const noexcept;

  [[nodiscard]] std::size_t Flows() const noexcept { return flows_.size(); }
  [[nodiscard]] std::uint32_t Busy() const noexcept { return busy_; }
  [[nodiscard]] std::uint64_t Count(AgentCount aCount) const noexcept
  {
    return counts_[static_cast<std::size_t>(aCount)];
  }

private:
  /** An opening passed to the host on the key of a flow that is open: the host
   * decides whether it begins a new flow. */
  struct Reopening
  {
    Address balancer_; ///< Notified when the host answers.
    std::uint32_t initialSequence_{};
  };

  /** A flow that the host holds or was offered. */
  struct Flow
  {
    Address balancer_;   ///< Notified when the host answers.
    TimePoint openedAt_; ///< Last opening passed, or first packet of the host.
    TimePoint lastPacket_;
    /** Of the caller; nothing if its opening passed before this run. */
    std::optional<std::uint32_t> initialSequence_;
    /** Highest of the caller's packets; nothing until the first one passes. */
    std::optional<std::uint32_t> lastSequence_;
    std::optional<std::uint32_t> hostInitialSequence_;
    /** Highest of the host's packets; nothing until it has answered. */
    std::optional<std::uint32_t> lastHostSequence_;
    std::optional<Reopening> reopening_;
    bool open_{};
    bool confirmed_{}; ///< The caller has sent a packet of it after opening.
    bool busy_{};      ///< A request is in progress.
    TimePoint busySince_;
    bool callerFinished_{};
    bool hostFinished_{};
    bool closed_{}; ///< Both ends have finished, or one reset the flow.
  };

  /** Another instance whose reports arrive beside those of the current one. */
  struct OtherInstance
  {
    std::string instance_;
    TimePoint reportedAt_;
    bool leaving_{};
    bool older_{}; ///< It started before the agent.
  };

  /** A flow that was open when another instance reported: either one may hold
   * it. */
  struct UnassignedFlow
  {
    Address balancer_; ///< Notified when the host answers.
    TimePoint openedAt_;
  };

  /** An unknown flow of which a packet was passed to the host as a probe. */
  struct Probe
  {
    Address balancer_; ///< Notified when the host answers.
    TimePoint since_;
    bool direct_{}; ///< The balancer believes that the host holds the flow.
    /** The host returned the packet. It is sent no further one of the flow: it
     * could hold the flow later only after an opening, which passes here. */
    bool returned_{};
  };

  void Open(TimePoint aNow,
            const FlowKey& aKey,
            const Segment& aSegment,
            const Address& aBalancer,
            RelayedPacket aPacket,
            Actions& aOut);
  /** @brief Whether the opening is a copy of the one that began the flow. A
   * balancer sends a copy to the flow's host alone. */
  [[nodiscard]] static bool IsCopy(const Flow& aFlow,
                                   const Segment& aSegment,
                                   Purpose aPurpose) noexcept;
  /** @brief Passes a copy of an opening to the host, which answers it again. */
  void Repeat(TimePoint aNow,
              const Address& aBalancer,
              RelayedPacket aPacket,
              Flow& aFlow,
              Actions& aOut);
  /** @brief Adds the flow of an opening that was passed to the host, or notes
   * the opening at the flow that still has its key. */
  void AddOpening(TimePoint aNow,
                  const FlowKey& aKey,
                  const Segment& aSegment,
                  const Address& aBalancer);
  void Deliver(TimePoint aNow,
               const FlowKey& aKey,
               const Segment& aSegment,
               const Address& aBalancer,
               RelayedPacket aPacket,
               Actions& aOut);
  /** @brief Whether the acknowledgement belongs to a flow of another host. */
  [[nodiscard]] static bool IsAtOtherHost(const Flow& aFlow,
                                          std::uint32_t aAcknowledged) noexcept;
  /** @brief Whether a sequence number of the caller continues the flow. All
   * packets to the host pass the agent. */
  [[nodiscard]] static bool IsInSequence(const Flow& aFlow,
                                         std::uint32_t aSequence) noexcept;
  /** @brief Whether a caller's packet belongs to another flow of the key: one
   * at another host, or one that ended before. */
  [[nodiscard]] static bool IsOfOtherFlow(const Flow& aFlow,
                                          const Segment& aSegment) noexcept;
  /** @brief Answers that the host does not hold the packet's flow; for a packet
   * sent to this host alone also whether it holds another one of the key. */
  void Deny(TimePoint aNow,
            const FlowKey& aKey,
            const Address& aBalancer,
            RelayedPacket aPacket,
            Actions& aOut);
  void OnReturned(TimePoint aNow,
                  const Segment& aSegment,
                  std::string aPacket,
                  Actions& aOut);
  void OnProbeReturned(TimePoint aNow,
                       const FlowKey& aKey,
                       std::string aPacket,
                       Actions& aOut);
  void SendAnswer(TimePoint aNow,
                  const Address& aBalancer,
                  const FlowKey& aKey,
                  Verdict aVerdict,
                  Actions& aOut,
                  std::string aPacket = {}) const;
  void SetBusy(TimePoint aNow, Flow& aFlow, bool aBusy) noexcept;
  /** @brief Requests in progress and first requests expected. */
  [[nodiscard]] std::uint32_t Occupancy(TimePoint aNow);
  void CloseIfFinished(TimePoint aNow,
                       const FlowKey& aKey,
                       Flow& aFlow,
                       bool aReset,
                       Actions& aOut);
  void Forget(const FlowKey& aKey);
  void StartRun(TimePoint aNow, const HostReport& aReport);
  /**
   * @brief Earliest start of the host by its report: the earlier one of its own
   * wall clock and of its count of reports, as the wall clock may step.
   * @return The start; the least time point if the wall clocks contradict.
   */
  [[nodiscard]] TimePoint EarliestStartOf(TimePoint aNow,
                                          const HostReport& aReport) const;
  /** @brief Whether the host has not reported before. Hosts count from 0 or
   * from 1, so the second report of the former is the one that the latter
   * send within half an interval of their start. */
  [[nodiscard]] bool IsFirstReport(TimePoint aNow,
                                   const HostReport& aReport) const;
  /** @brief Wall clock, as far as the agent's start told it; 0: not known. */
  [[nodiscard]] std::uint64_t WallMillis(TimePoint aNow) const;
  [[nodiscard]] bool StartsInTheFuture(TimePoint aNow,
                                       const HostReport& aReport) const;
  /**
   * @brief Whether a report is older than the last one. An instance with an
   * earlier start follows once the last one is silent, as the wall clock may
   * have stepped back; an instance that ended without leaving continues with
   * its next report, as the notice of its end was one of an earlier run.
   */
  [[nodiscard]] bool IsLate(TimePoint aNow,
                            const HostReport& aReport,
                            const HostReport& aLast) const;
  /** @brief Forgets the flows of the former instance but keeps their keys: a
   * report shows neither that the former one has ended nor when the new one
   * began to open flows. */
  void UnassignFlows();
  /** @brief Notes a late report of an instance that may be the true one. */
  void NoteOtherInstance(TimePoint aNow, const HostReport& aReport);
  /** @brief Whether an instance that started before the agent may run beside
   * the current one: a report does not show that another one has ended. */
  [[nodiscard]] bool MayOlderInstanceRun(TimePoint aNow) const noexcept;
  /** @brief Whether an older host that has not left would have reported to
   * this run of the agent. */
  [[nodiscard]] bool AwaitsOlderReport(TimePoint aNow) const noexcept;
  /** @brief Whether the host is leaving by the reports of any instance, or left
   * before this run of the agent and has not reported since. */
  [[nodiscard]] bool IsLeaving(TimePoint aNow) const noexcept;
  /** @brief Adds a flow of which the host sent a packet, or nothing if that
   * does not show that the host holds it. */
  Flow* Learn(TimePoint aNow,
              const FlowKey& aKey,
              const Segment& aSegment,
              Actions& aOut);
  /** @brief Why the host must not open the flow; `None`: it may. */
  [[nodiscard]] FlowReason ReasonToRefuse(TimePoint aNow,
                                          const FlowKey& aKey,
                                          const RelayedPacket& aPacket) const;
  /** @brief Emits a decision about a flow, for the log. */
  void EmitDecision(TimePoint aNow,
                    FlowEvent aEvent,
                    FlowReason aReason,
                    const FlowKey& aKey,
                    Actions& aOut) const;
  /** @brief Whether the host may hold flows that this agent never saw. */
  [[nodiscard]] bool MayHoldUnseenFlows(TimePoint aNow) const noexcept;
  /** @brief Whether the host may hold the flow, which is not in `flows_`. A
   * balancer that names the host contradicts the agent; the host decides. */
  [[nodiscard]] bool MayHold(TimePoint aNow,
                             const FlowKey& aKey,
                             Purpose aPurpose) const;
  void Increment(AgentCount aCount) noexcept
  {
    ++counts_[static_cast<std::size_t>(aCount)];
  }

  AgentSettings settings_;
  Codec codec_;
  TimePoint start_;
  RouteTable routes_;
  std::optional<HostReport> host_;
  /** Last report of the last instance that ended. */
  std::optional<HostReport> endedInstance_;
  std::optional<OtherInstance> otherInstance_;
  TimePoint lastReportAt_{};
  TimePoint hostStartedAt_{}; ///< At the earliest.
  bool sawFirstReport_{};     ///< Of the current instance.
  /** When another instance followed one of which the agent did not know all
   * flows, and whose end nothing has shown yet. */
  std::optional<TimePoint> olderInstanceReplacedAt_;
  /** When a balancer last heard from an earlier run of this agent. */
  std::optional<TimePoint> earlierRunHeardAt_;
  bool earlierRunLeaving_{}; ///< It last announced that its host leaves.
  absl::flat_hash_map<FlowKey, Flow> flows_;
  absl::flat_hash_map<FlowKey, UnassignedFlow> unassigned_;
  absl::flat_hash_map<FlowKey, Probe> probes_;
  std::uint32_t busy_{};
  /** Flows accepted lately whose first request has not arrived, oldest first.
   */
  std::deque<std::pair<TimePoint, FlowKey>> expectedRequests_;
  std::uint32_t closed_{}; ///< Closed flows, kept only for late packets.
  TimePoint sweepAt_{};
  std::array<std::uint64_t, kAgentCountNames.size()> counts_{};
};

} // namespace cornelshore::relay

#endif
