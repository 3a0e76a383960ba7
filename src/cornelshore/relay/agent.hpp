#ifndef CORNELSHORE_RELAY_AGENT_HPP
#define CORNELSHORE_RELAY_AGENT_HPP

#include <array>
#include <cstdint>
#include <optional>
#include <string>
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

/** @brief What an upstream says of itself, again and again. */
struct HostReport
{
  std::string instance_;        ///< Name of this run of the upstream.
  std::uint64_t startMillis_{}; ///< Its wall clock at the start, ms since 1970.
  std::uint64_t sequence_{};    ///< Grows with each report of one run.
  ServiceId service_;
  std::uint16_t slots_{};
  bool leaving_{};
  Duration warmupRemaining_{}; ///< How much longer it is slow after its start.

  bool operator==(const HostReport&) const noexcept = default;
};

/** @brief Hand a packet to the upstream. */
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

/** @brief Tell a balancer what became of a packet. */
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

/** @brief What an agent did with packets, for the metrics. */
enum class AgentCount : std::uint8_t
{
  Opened,    ///< Openings handed to the host.
  Delivered, ///< Other packets handed to the host.
  Answered,  ///< Packets of the host sent to callers.
  Busy,      ///< Openings left to other hosts.
  Refused,   ///< Openings refused: leaving, unknown host, another route.
  Returned,  ///< Packets that the host gave back.
  Unknown,   ///< Packets of flows that the host does not hold.
  Malformed, ///< No packet of a flow.
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

/** @brief Times and bounds of an agent. */
struct AgentSettings
{
  ServiceId service_;
  /** Longest life of a flow: an agent that started later may not know all
   * flows of its host. */
  Duration flowLife_{ std::chrono::seconds{ 70 } };
  /** A host unheard for so long takes no new flows. */
  Duration hostReportTimeout_{ std::chrono::milliseconds{ 3600 } };
  /** Busy requests a slot from which openings are left to other hosts. */
  double busyPerSlot_{ 1.0 };
};

/** @brief What became of a host's report. */
enum class ReportOutcome : std::uint8_t
{
  Taken,
  Late,    ///< An older one of this run, or one of an earlier run.
  Foreign, ///< Of another service than this agent's.
};

/** @brief Names of `ReportOutcome`. */
inline constexpr std::array<EnumName<ReportOutcome>, 3> kReportOutcomeNames{ {
  { ReportOutcome::Taken, "taken" },
  { ReportOutcome::Late, "late" },
  { ReportOutcome::Foreign, "foreign" },
} };

/**
 * @brief Owns the flows of the upstream beside it.
 *
 * Draining, service and route are checked here, at delivery: whatever a
 * balancer believes, a flow opens only where it may.
 */
class Agent
{
public:
  using Actions = std::vector<AgentAction>;

  Agent(AgentSettings aSettings, Codec aCodec, TimePoint aStart);

  /** @brief A balancer handed over a caller's packet. */
  void OnRelayedPacket(TimePoint aNow,
                       const Address& aBalancer,
                       RelayedPacket aCarried,
                       Actions& aOut);

  /** @brief A balancer asks which flows the host holds. */
  void OnQuery(TimePoint aNow,
               const Address& aBalancer,
               const Query& aQuery,
               Actions& aOut) const;

  /** @brief The upstream sent a packet, or gave one back. */
  void OnHostPacket(TimePoint aNow, std::string aPacket, Actions& aOut);

  /** @brief The upstream reported. */
  ReportOutcome OnReport(TimePoint aNow, const HostReport& aReport);

  /** @brief The run of the upstream ended; false when it is another one. */
  bool OnHostEnded(std::string_view aInstance);

  /** @brief A configuration is in force. */
  void UpdateRoutes(const Configuration& aConfiguration);

  /** @brief Forgets old flows. */
  void Tick(TimePoint aNow);

  [[nodiscard]] TimePoint NextTimer() const noexcept { return sweepAt_; }

  /** @brief Load of the host at the present time. */
  [[nodiscard]] HostLoad Load(TimePoint aNow) const;

  /** @brief The upstream as it last reported; nothing before, or once ended. */
  [[nodiscard]] const std::optional<HostReport>& Host() const noexcept
  {
    return host_;
  }

  /** @brief Whether the upstream reported a short while ago. */
  [[nodiscard]] bool HostAlive(TimePoint aNow) const noexcept;

  [[nodiscard]] std::size_t Flows() const noexcept { return flows_.size(); }
  [[nodiscard]] std::uint32_t Busy() const noexcept { return busy_; }
  [[nodiscard]] std::uint64_t Count(AgentCount aCount) const noexcept
  {
    return counts_[static_cast<std::size_t>(aCount)];
  }

private:
  /** A flow that the host holds or was offered. */
  struct Flow
  {
    Address balancer_; ///< Told when the host answers.
    TimePoint lastPacket_;
    std::optional<std::uint32_t> hostStart_; ///< The host's first sequence.
    bool open_{};
    bool busy_{}; ///< A request waits for its answer.
    bool callerDone_{};
    bool hostDone_{};
    bool closed_{}; ///< Both ends are done, or one reset the flow.
  };

  /** An unknown flow of which the host was shown a packet. */
  struct Guess
  {
    Address balancer_; ///< Told when the host answers.
    TimePoint since_;
    bool direct_{};   ///< The balancer thinks that the host holds the flow.
    bool returned_{}; ///< The host does not hold it.
  };

  void Open(TimePoint aNow,
            const FlowKey& aKey,
            const Address& aBalancer,
            RelayedPacket aCarried,
            Actions& aOut);
  void Deliver(TimePoint aNow,
               const FlowKey& aKey,
               const Segment& aSegment,
               const Address& aBalancer,
               RelayedPacket aCarried,
               Actions& aOut);
  [[nodiscard]] Holding HoldingOf(TimePoint aNow,
                                  const Query::Item& aItem) const;
  /** @brief Whether the flow that the caller means is at another host. */
  [[nodiscard]] static bool IsOther(const Flow& aFlow,
                                    std::uint32_t aAcknowledged) noexcept;
  /** @brief Says that the host does not hold the packet's flow. */
  void Deny(TimePoint aNow,
            const FlowKey& aKey,
            const Address& aBalancer,
            RelayedPacket aCarried,
            Actions& aOut);
  void OnReturned(TimePoint aNow,
                  const Segment& aSegment,
                  std::string aPacket,
                  Actions& aOut);
  void Tell(TimePoint aNow,
            const Address& aBalancer,
            const FlowKey& aKey,
            Verdict aVerdict,
            Actions& aOut,
            std::string aPacket = {}) const;
  void SetBusy(Flow& aFlow, bool aBusy) noexcept;
  void CloseWhenDone(TimePoint aNow,
                     const FlowKey& aKey,
                     Flow& aFlow,
                     bool aReset,
                     Actions& aOut);
  void Forget(const FlowKey& aKey);
  void StartRun(const HostReport& aReport);
  /** @brief Why the host may not open the flow; `None`: it may. */
  [[nodiscard]] FlowReason ObstacleTo(TimePoint aNow,
                                      const FlowKey& aKey,
                                      const RelayedPacket& aCarried) const;
  /** @brief Notes what was decided about a flow, for the log. */
  void Note(TimePoint aNow,
            FlowEvent aEvent,
            FlowReason aReason,
            const FlowKey& aKey,
            Actions& aOut) const;
  /** @brief Whether the host may hold flows that this agent never saw. */
  /** @brief Whether the host may hold flows that this agent never saw. */
  [[nodiscard]] bool MayHoldOthers(TimePoint aNow) const noexcept;
  /** @brief Whether the host may hold this one, which is none of `flows_`. */
  [[nodiscard]] bool MayHold(TimePoint aNow, const FlowKey& aKey) const;
  void Note(AgentCount aCount) noexcept
  {
    ++counts_[static_cast<std::size_t>(aCount)];
  }

  AgentSettings settings_;
  Codec codec_;
  TimePoint start_;
  RouteTable routes_;
  std::optional<HostReport> host_;
  std::optional<HostReport> ended_; ///< The last run that ended.
  TimePoint heardAt_{};
  bool runBeganHere_{}; ///< The run's first report came to this agent.
  absl::flat_hash_map<FlowKey, Flow> flows_;
  absl::flat_hash_map<FlowKey, Guess> guesses_;
  std::uint32_t busy_{};
  std::uint32_t closed_{}; ///< Flows kept only for late packets.
  TimePoint sweepAt_{};
  std::array<std::uint64_t, kAgentCountNames.size()> counts_{};
};

} // namespace cornelshore::relay

#endif
