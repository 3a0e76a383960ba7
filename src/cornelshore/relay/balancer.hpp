#ifndef CORNELSHORE_RELAY_BALANCER_HPP
#define CORNELSHORE_RELAY_BALANCER_HPP

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include <cornelshore/core/host.hpp>
#include <cornelshore/core/time.hpp>
#include <cornelshore/dissemination/byte_budget.hpp>
#include <cornelshore/relay/decision.hpp>
#include <cornelshore/relay/far_search.hpp>
#include <cornelshore/relay/host_table.hpp>
#include <cornelshore/relay/message.hpp>
#include <cornelshore/relay/route_table.hpp>
#include <cornelshore/relay/segment.hpp>
#include <cornelshore/request/retry_budget.hpp>

namespace cornelshore::relay {

/** @brief Hand a caller's packet to a host's agent. */
struct ToAgent
{
  HostId host_;
  Address agent_;
  RelayedPacket relayedPacket_;
};

/** @brief Why a balancer resets a flow. */
enum class ResetReason : std::uint8_t
{
  NoRoute, ///< An opening to an address without a route.
  NoHost,  ///< An opening while no host of the service takes flows.
  Lost,    ///< Every host denies the flow.
};

/** @brief Names of `ResetReason`. */
inline constexpr std::array<EnumName<ResetReason>, 3> kResetReasonNames{ {
  { ResetReason::NoRoute, "no_route" },
  { ResetReason::NoHost, "no_host" },
  { ResetReason::Lost, "lost" },
} };

/** @brief Send a reset to a flow's caller, at the port that callers share. */
struct ToCaller
{
  FlowKey key_;
  ResetReason reason_{ ResetReason::NoRoute };
  std::string packet_;
};

/** @brief Ask a host's agent to tell its load from now on. */
struct WatchAgent
{
  Address agent_;
};

/** @brief Ask a host's agent which flows its host holds. */
using QueryAgent = FarSearch::Outgoing;

using BalancerAction =
  std::variant<ToAgent, ToCaller, WatchAgent, QueryAgent, FlowDecision>;

/** @brief What a balancer did with callers' packets, for the metrics. */
enum class BalancerCount : std::uint8_t
{
  Direct,    ///< Sent to the host that is thought to hold the flow.
  Opened,    ///< New flows offered.
  Retried,   ///< Openings offered to a further host.
  Searched,  ///< Packets of flows that no host is known for.
  Lost,      ///< Flows reset: every host denies them.
  NoRoute,   ///< Dropped or reset: the address has no route.
  NoHost,    ///< Openings reset, or dropped while not in step: no host.
  Malformed, ///< No packet of a flow.
  Shed,      ///< Dropped: waited too long for the deciding thread.
  Unretried, ///< Unanswered openings left to their callers' copies.
  Unasked,   ///< Searches left to queries or callers' copies: no bytes left.
};

/** @brief Names of `BalancerCount`. */
inline constexpr std::array<EnumName<BalancerCount>, 11> kBalancerCountNames{ {
  { BalancerCount::Direct, "direct" },
  { BalancerCount::Opened, "opened" },
  { BalancerCount::Retried, "retried" },
  { BalancerCount::Searched, "searched" },
  { BalancerCount::Lost, "lost" },
  { BalancerCount::NoRoute, "no_route" },
  { BalancerCount::NoHost, "no_host" },
  { BalancerCount::Malformed, "malformed" },
  { BalancerCount::Shed, "shed" },
  { BalancerCount::Unretried, "unretried" },
  { BalancerCount::Unasked, "unasked" },
} };

/** @brief Times and weights of a balancer. */
struct BalancerSettings
{
  HostTableSettings hosts_;
  FarSearchSettings farSearch_;
  std::uint64_t seed_{};
  /** An opening without an answer goes on to another host, after twice the time
   * at each further one; some round trips between data centres and a busy
   * agent's delay. */
  Duration openTimeout_{ std::chrono::milliseconds{ 100 } };
  /** Openings that go on unanswered, in 1/1000 of all, and how many more of
   * them may be saved up for a host's death; the rest wait for the callers'
   * copies. Without a bound an overload feeds itself. */
  std::uint32_t retryShare_{ 200 };
  std::uint32_t retryBurst_{ 50 };
  /** A packet that waited longer for the deciding thread is dropped: an opening
   * before its first copy comes, others before their second. What is served
   * late costs as much as what is served in time. */
  Duration openingPatience_{ std::chrono::milliseconds{ 150 } };
  Duration packetPatience_{ std::chrono::milliseconds{ 400 } };
  /** Offers of one opening; callers give up after 1.4 s. */
  std::uint32_t mostOffers_{ 12 };
  /** A flow that every host denies is reset when it was looked for so long: a
   * host that has just joined may not be known here yet. */
  Duration searchLeast_{ std::chrono::milliseconds{ 100 } };
  /** Most hosts of which all are asked for a flow that none near it holds: two
   * queries to so many take a second of a link of 20 Mbit/s. In larger fleets
   * such a flow stays silent until its caller gives up. */
  std::size_t mostSearched_{ 2048 };
  /** Bytes of callers' packets sent to hosts that may hold their flows: a
   * quarter of the thinnest link in use, of 4.6 Mbit/s, and two seconds' worth
   * at once after a restart. A search that is not bounded fills the link, loses
   * its own answers and goes on. */
  std::uint32_t searchBytesPerSecond_{ 150'000 };
  std::uint32_t searchBurst_{ 300'000 };
  /** Packets kept of a flow that is being looked for; a caller has 16 under
   * way at most and repeats the others. */
  std::size_t mostWaiting_{ 4 };
  /** Host records must have been in step with others' so lately before a flow
   * that all known hosts deny is reset; rounds come each second. */
  Duration maxSyncAge_{ std::chrono::milliseconds{ 1500 } };
  /** Openings kept until a balancer that has just started can offer them; a
   * second's worth. */
  std::size_t mostHeld_{ 4096 };
  /** Callers give up an opening after so long. */
  Duration openingLife_{ std::chrono::milliseconds{ 1400 } };
  /** Flows unheard for so long are forgotten. */
  Duration flowLife_{ std::chrono::seconds{ 70 } };
};

/**
 * @brief Chooses a host for each new flow and finds the hosts of others.
 */
class Balancer
{
public:
  using Actions = std::vector<BalancerAction>;

  Balancer(BalancerSettings aSettings, Codec aCodec);

  /** @brief A caller's packet came in. */
  void OnPacket(TimePoint aNow, std::string aPacket, Actions& aOut);

  /** @brief Whether to drop a packet that waited since `aReceivedAt`. */
  [[nodiscard]] bool Sheds(TimePoint aNow,
                           TimePoint aReceivedAt,
                           std::string_view aPacket);

  /** @brief A host's agent answered. */
  void OnAnswer(TimePoint aNow, HostId aHost, Answer aAnswer, Actions& aOut);

  /** @brief A host's agent answered a query. */
  void OnAnswer(TimePoint aNow,
                HostId aHost,
                const QueryAnswer& aAnswer,
                Actions& aOut);

  /** @brief A host's agent told its load. */
  void OnLoad(TimePoint aNow, HostId aHost, const HostLoad& aLoad);

  /** @brief Host records that are new. */
  void UpdateHosts(TimePoint aNow, const std::vector<HostRecord>& aRecords);

  /** @brief The host records were in step with others' at that time. */
  void NoteSynced(TimePoint aAt);

  /** @brief A configuration is in force. */
  void UpdateRoutes(const Configuration& aConfiguration);

  /** @brief Offers openings again that were not answered; forgets old flows. */
  void Tick(TimePoint aNow, Actions& aOut);

  [[nodiscard]] TimePoint NextTimer() const noexcept { return nextTimer_; }

  [[nodiscard]] const RouteTable& Routes() const noexcept { return routes_; }
  [[nodiscard]] std::size_t Flows() const noexcept { return flows_.size(); }
  [[nodiscard]] std::size_t Hosts() const noexcept
  {
    return hosts_.All().size();
  }
  [[nodiscard]] std::uint64_t Count(BalancerCount aCount) const noexcept
  {
    return counts_[static_cast<std::size_t>(aCount)];
  }
  /** @brief When a caller's packet last came in. */
  [[nodiscard]] TimePoint LastPacket() const noexcept { return lastPacket_; }

private:
  enum class Phase : std::uint8_t
  {
    Opening,
    Held,
    Searching,
  };

  /** Hint about a flow. */
  struct Flow
  {
    Phase phase_{ Phase::Opening };
    ServiceId service_;
    HostId host_;
    TimePoint since_; ///< First packet of the opening or the search.
    TimePoint lastPacket_;
    /** To offer, or of a flow that is looked for, the oldest first. */
    std::vector<std::string> packets_;
    std::vector<HostId> tried_;
    std::uint32_t offers_{};
    std::uint32_t unanswered_{}; ///< Offers without an answer.
    TimePoint due_;
    TimePoint searchingSince_;
    TimePoint searchedAt_; ///< Hosts known since then were not asked.
    /** Hosts near it that have not denied it, or silent ones of all. */
    std::vector<HostId> asked_;
    bool askedTwice_{};     ///< The hosts near it.
    bool waitsForSilent_{}; ///< All but silent hosts denied it.
    bool everywhere_{};     ///< All hosts are asked.
    bool denied_{};         ///< All hosts denied it.
    bool unsent_{};         ///< A packet was sent to nobody yet.
  };

  /** An opening that came before it could be offered. */
  struct HeldOpening
  {
    std::string packet_;
    TimePoint since_;
  };

  void Hold(TimePoint aNow,
            const FlowKey& aKey,
            std::string aPacket,
            Actions& aOut);
  /** @brief Goes on with what waited for routes, hosts or their records. */
  void Resume(TimePoint aNow, Actions& aOut);
  void ResumeAtOnce();

  /**
   * Before any configuration is known, open flows are carried on: their hosts
   * were chosen by one that was in force.
   */
  [[nodiscard]] bool MayCarry(const FlowKey& aKey,
                              const Segment& aSegment,
                              Actions& aOut) const;
  void OnKnownFlow(TimePoint aNow,
                   const FlowKey& aKey,
                   const Segment& aSegment,
                   Flow& aFlow,
                   std::string aPacket,
                   Actions& aOut);
  void Open(TimePoint aNow,
            const FlowKey& aKey,
            const Segment& aSegment,
            std::string aPacket,
            Actions& aOut);
  void Offer(TimePoint aNow, const FlowKey& aKey, Flow& aFlow, Actions& aOut);
  /** @brief Asks the hosts near the flow who holds it, but for `aExcept`. */
  void StartSearch(TimePoint aNow,
                   const FlowKey& aKey,
                   Flow& aFlow,
                   std::optional<HostId> aExcept,
                   Actions& aOut);
  /** @brief Goes on with the search as a further packet came. */
  void GoOnSearching(TimePoint aNow,
                     const FlowKey& aKey,
                     Flow& aFlow,
                     std::string aPacket,
                     Actions& aOut);
  /** @brief Asks all hosts, once those near the flow denied it. */
  void SearchEverywhere(TimePoint aNow, const FlowKey& aKey, Flow& aFlow);
  void AskEverywhere(TimePoint aNow, const FlowKey& aKey, const Flow& aFlow);
  /** @brief A host near the flow is silent. */
  void GoOnNearby(TimePoint aNow,
                  const FlowKey& aKey,
                  Flow& aFlow,
                  Actions& aOut);
  /** @brief Goes on asking the hosts alone that did not answer. */
  void WaitForSilent(const FarSearch::Unresolved& aUnresolved);
  void ResumeSearch(TimePoint aNow,
                    const FlowKey& aKey,
                    Flow& aFlow,
                    Actions& aOut);
  /** @brief Sends the flow's last packet to them all; false: no bytes left. */
  bool SendSearch(TimePoint aNow,
                  const std::vector<HostId>& aHosts,
                  Flow& aFlow,
                  Actions& aOut);
  void NoteDenied(TimePoint aNow, const FlowKey& aKey, Flow& aFlow);
  void SendWaiting(Flow& aFlow, Actions& aOut);
  void ResetLost(const FlowKey& aKey, Actions& aOut);
  void WakeAt(TimePoint aDue, const FlowKey& aKey, Flow& aFlow);
  /** @brief Whether the flow is lost: no host that could hold it does. */
  [[nodiscard]] bool IsLost(TimePoint aNow, const Flow& aFlow) const;
  void SendDirect(const Flow& aFlow, std::string aPacket, Actions& aOut);
  void Send(HostId aHost,
            Purpose aPurpose,
            ServiceId aService,
            std::string aPacket,
            Actions& aOut);
  void OnDenied(TimePoint aNow,
                HostId aHost,
                Answer& aAnswer,
                Flow& aFlow,
                Actions& aOut);
  void OnDue(TimePoint aNow, const FlowKey& aKey, Flow& aFlow, Actions& aOut);
  void OnTaken(TimePoint aNow,
               const Answer& aAnswer,
               HostId aHost,
               Flow& aFlow,
               Actions& aOut);
  /** @brief Tells what was decided about a flow, for the log. */
  void Tell(TimePoint aNow,
            FlowEvent aEvent,
            const FlowKey& aKey,
            const Flow& aFlow,
            Actions& aOut) const;
  void Note(BalancerCount aCount) noexcept
  {
    ++counts_[static_cast<std::size_t>(aCount)];
  }

  BalancerSettings settings_;
  Codec codec_;
  RouteTable routes_;
  HostTable hosts_;
  FarSearch far_;
  request::RetryBudget retries_;
  dissemination::ByteBudget searches_;
  absl::flat_hash_map<FlowKey, Flow> flows_;
  absl::flat_hash_map<FlowKey, HeldOpening> held_;
  /** Hosts, routes or records are new: until the next tick what was denied
   * before may hold no more. */
  bool resumes_{};
  std::vector<std::pair<TimePoint, FlowKey>> due_; ///< Flows to look at.
  TimePoint nextTimer_{ TimePoint::max() };
  TimePoint sweepAt_{};
  TimePoint lastPacket_{};
  std::optional<TimePoint> lastSyncedAt_;
  std::array<std::uint64_t, kBalancerCountNames.size()> counts_{};
};

} // namespace cornelshore::relay

#endif
