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
#include <cornelshore/relay/near_search.hpp>
#include <cornelshore/relay/route_table.hpp>
#include <cornelshore/relay/segment.hpp>
#include <cornelshore/request/retry_budget.hpp>

namespace cornelshore::relay {

/** @brief Relay a caller's packet to a host's agent. */
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
  NoHost,  ///< An opening while no host of the service accepts flows.
  Lost,    ///< Every host denies the flow.
};

/** @brief Names of `ResetReason`. */
inline constexpr std::array<EnumName<ResetReason>, 3> kResetReasonNames{ {
  { ResetReason::NoRoute, "no_route" },
  { ResetReason::NoHost, "no_host" },
  { ResetReason::Lost, "lost" },
} };

/** @brief What a balancer knew when it gave a search up, for the log. */
struct SearchSummary
{
  Duration searched_{}; ///< Since the search began.
  Duration syncAge_{};  ///< Since the host records matched a peer's.
  Duration uptime_{};   ///< Since the balancer's first tick.
};

/** @brief Send a reset to a flow's caller, from the shared service port. */
struct ToCaller
{
  FlowKey key_;
  ResetReason reason_{ ResetReason::NoRoute };
  std::string packet_;
  std::optional<SearchSummary> search_{}; ///< Of a lost flow.
};

/** @brief Query a host's agent for the flows that its host holds. */
using QueryAgent = FarSearch::Outgoing;

using BalancerAction =
  std::variant<ToAgent, ToCaller, WatchAgent, QueryAgent, FlowDecision>;

/** @brief Packet counters of a balancer, for the metrics. */
enum class BalancerCount : std::uint8_t
{
  Direct,       ///< Sent to the host namedByBalancer to hold the flow.
  Opened,       ///< New flows.
  Retried,      ///< Openings offered to another host.
  Searched,     ///< Searches begun for flows without a known host.
  Lost,         ///< Flows reset: every host denies them.
  NoRoute,      ///< Dropped or reset: the address has no route.
  NoHost,       ///< Openings reset or held for lack of a host, or dropped
                ///< because the table of held openings is full.
  Malformed,    ///< Packets that could not be parsed.
  Shed,         ///< Dropped: queued too long for the deciding thread.
  RetryDenied,  ///< Unanswered openings left to the callers' retransmissions.
  SearchDenied, ///< Searches not sent as packets: byte budget exhausted.
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
  { BalancerCount::RetryDenied, "unretried" },
  { BalancerCount::SearchDenied, "unasked" },
} };

/** @brief Timeouts and limits of a balancer. */
struct BalancerSettings
{
  HostTableSettings hosts_;
  NearSearchSettings nearSearch_;
  FarSearchSettings farSearch_;
  std::uint64_t seed_{};
  /** An opening without an answer is offered to another host after this time,
   * doubled at each further host; several round trips between data centres and
   * the delay of a busy agent. */
  Duration openTimeout_{ std::chrono::milliseconds{ 100 } };
  /** Retry budget of unanswered openings, in 1/1000 of all openings, and its
   * burst for the failure of a host; the rest wait for the callers'
   * retransmissions. Unbounded retries would amplify an overload. */
  std::uint32_t retryShare_{ 200 };
  std::uint32_t retryBurst_{ 50 };
  /** A packet that was queued for the deciding thread for longer is dropped: an
   * opening before its first retransmission arrives, others before their
   * second. A packet served late costs as much as one served in time. */
  Duration maxOpeningWait_{ std::chrono::milliseconds{ 150 } };
  Duration maxPacketWait_{ std::chrono::milliseconds{ 400 } };
  /** Maximum offers of one opening; callers give up after 1.4 s. */
  std::uint32_t maxOffers_{ 12 };
  /** Declined offers after which an opening waits for a host with a free slot:
   * all hosts nearby are overloaded, and more offers would only add load. */
  std::uint32_t maxDeclinedOffers_{ 4 };
  /** Interval at which waiting openings are offered, about half of a request's
   * time at a host. */
  Duration waitingInterval_{ std::chrono::milliseconds{ 20 } };
  /** Minimum search time before a flow that every host denies is reset: a host
   * that has just joined may not be known here yet. */
  Duration minSearchTime_{ std::chrono::milliseconds{ 100 } };
  /** Time after which the records of all hosts have followed the first
   * configuration; both come from control, in joining rounds of 100 ms. */
  Duration hostRecordsDelay_{ std::chrono::milliseconds{ 200 } };
  /** Time from its first one within which packets of a flow are sent to unsure
   * hosts. Packets that reach other hosts for longer, and none its own, break
   * the flow; a search that has not ended by then goes on without packets. */
  Duration maxProbeTime_{ std::chrono::milliseconds{ 1500 } };
  /** Maximum fleet size in which all hosts are queried for a flow that no
   * nearby host holds: two queries to this many hosts take 1 s of a link of
   * 20 Mbit/s. In larger fleets such a flow stalls until its caller gives up.
   */
  std::size_t maxSearchedHosts_{ 2048 };
  /** Byte budget of callers' packets sent to hosts that may hold their flows:
   * an eighth of the slowest link in use, of 2 Mbit/s, with a burst of two
   * seconds' worth after a restart. An unbounded search fills the link, loses
   * its own answers and continues. */
  std::uint32_t searchBytesPerSecond_{ 30'000 };
  std::uint32_t searchBurst_{ 60'000 };
  /** Share of that burst left for hosts that need a packet to decide. Searches
   * query the hosts near their flows by key below it. */
  double searchReserve_{ 0.5 };
  /** Maximum packets buffered of a flow during its search; a caller has at most
   * 16 in flight and retransmits the others. */
  std::size_t maxBufferedPackets_{ 4 };
  /** A flow that all known hosts deny is reset only if the host records were
   * synchronised with a peer within this time; rounds come each second. */
  Duration maxSyncAge_{ std::chrono::milliseconds{ 1500 } };
  /** Maximum openings held until a balancer that has just started can offer
   * them; one second's worth. */
  std::size_t maxHeldOpenings_{ 4096 };
  /** Callers give up an opening after this time. */
  Duration openingLifetime_{ std::chrono::milliseconds{ 1400 } };
  /** Flows without a packet for this long are removed. */
  Duration flowTimeout_{ std::chrono::seconds{ 70 } };
};

/**
 * @brief Sets the budgets of searches to shares of a link: an eighth each for
 * packets and for queries to nearby hosts, about a sixth for queries to all.
 * @param aLinkBytesPerSecond Bandwidth; above 10 Mbit/s it is taken as that.
 */
void ScaleSearchTo(std::uint64_t aLinkBytesPerSecond,
                   BalancerSettings& aSettings);

/**
 * @brief Chooses a host for each new flow and searches for the hosts of open
 * flows that it does not know.
 */
class Balancer
{
public:
  using Actions = std::vector<BalancerAction>;

  Balancer(BalancerSettings aSettings, Codec aCodec);

  /** @brief Handles a caller's packet. */
  void OnPacket(TimePoint aNow, std::string aPacket, Actions& aOut);

  /** @brief Whether to drop a packet queued since `aReceivedAt`; counts it. */
  [[nodiscard]] bool Sheds(TimePoint aNow,
                           TimePoint aReceivedAt,
                           std::string_view aPacket);

  /** @brief Handles an agent's answer to a relayed packet. */
  void OnAnswer(TimePoint aNow, HostId aHost, Answer aAnswer, Actions& aOut);

  /** @brief Handles an agent's answer to a query. */
  void OnAnswer(TimePoint aNow,
                HostId aHost,
                const QueryAnswer& aAnswer,
                Actions& aOut);

  /** @brief Handles an agent's load report. */
  void OnLoad(TimePoint aNow, HostId aHost, const HostLoad& aLoad);

  /** @brief Applies new host records. */
  void UpdateHosts(TimePoint aNow, const std::vector<HostRecord>& aRecords);

  /** @brief Records that the host records matched a peer's at that time. */
  void NoteSynced(TimePoint aAt);

  /** @brief Applies a configuration; an older one is ignored. */
  void UpdateRoutes(TimePoint aNow, const Configuration& aConfiguration);

  /** @brief Retries unanswered openings and searches, sends due queries and
   * removes expired flows. */
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
  /** @brief When the last packet of a caller arrived. */
  [[nodiscard]] TimePoint LastPacket() const noexcept { return lastPacket_; }

private:
  enum class Phase : std::uint8_t
  {
    Opening,
    Held,
    Searching,
  };

  /** Another flow of the same key that a host holds or held: a caller used the
   * port again, and late packets of the earlier flow still arrive. */
  struct OtherFlow
  {
    ServiceId service_;
    HostId host_;
    std::optional<std::uint32_t> initialSequence_;
  };

  /** Non-authoritative state of a flow. */
  struct Flow
  {
    Phase phase_{ Phase::Opening };
    ServiceId service_;
    HostId host_;
    /** Of the caller; nothing if its opening did not pass here. */
    std::optional<std::uint32_t> initialSequence_;
    TimePoint openedAt_; ///< First packet of the opening.
    std::optional<OtherFlow> other_;
    TimePoint since_; ///< First packet of the opening or the search.
    TimePoint lastPacket_;
    /** The opening to offer, or packets buffered by a search, oldest first. */
    std::vector<std::string> packets_;
    std::vector<HostId> tried_;
    std::uint32_t offers_{};
    std::uint32_t unanswered_{}; ///< Offers without an answer.
    TimePoint due_;
    TimePoint searchingSince_;
    /** Nearby hosts that have not answered, or unresponsive hosts. */
    std::vector<HostId> asked_;
    std::vector<HostId> unsure_;  ///< Hosts that need a packet to tell.
    std::vector<HostId> probed_;  ///< Sent one, and have not denied the flow.
    std::size_t probes_{};        ///< Hosts sent a packet since `since_`.
    std::size_t paidProbes_{};    ///< Hosts that the byte budget allowed.
    std::size_t awaitedProbes_{}; ///< Of the last batch.
    TimePoint firstProbeAt_;
    TimePoint probeDue_; ///< Until then the last batch may answer.
    bool allAnswered_{}; ///< Every known host denied it or is unsure.
    bool silentLeft_{};  ///< Except silent ones: it cannot be denied.
    bool askedTwice_{};  ///< The nearby hosts were asked a second time.
    bool waitsForUnresponsive_{}; ///< All responsive hosts denied it.
    bool searchesAllHosts_{};     ///< All hosts are queried.
    bool denied_{};               ///< All hosts denied it.
    bool unsent_{};               ///< A packet was not sent to any host.
    std::uint32_t declined_{};    ///< Offers declined since it waited last.
    bool waits_{};                ///< In `waiting_`.
  };

  /** An opening that arrived before it could be offered. */
  struct HeldOpening
  {
    std::string packet_;
    std::uint32_t initialSequence_{};
    TimePoint since_;
  };

  void Hold(TimePoint aNow,
            const FlowKey& aKey,
            const Segment& aSegment,
            std::string aPacket,
            Actions& aOut);
  /** @brief Resumes openings and searches that waited for routes or hosts. */
  void Resume(TimePoint aNow, Actions& aOut);
  void ScheduleResume();

  /**
   * Whether a packet may be relayed; resets an opening without a route. Before
   * any configuration is known, packets of open flows are relayed: their hosts
   * were chosen under a configuration that was in force.
   */
  [[nodiscard]] bool MayRelay(const FlowKey& aKey,
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
  /** @brief Opens a new flow on the key of another one. Ports are used again
   * while rows remain, and balancers do not see all packets of a close. */
  void Reopen(TimePoint aNow,
              const FlowKey& aKey,
              const Segment& aSegment,
              const Flow& aFlow,
              std::string aPacket,
              Actions& aOut);
  /** @brief Whether the opening is a copy of the one that began the flow; those
   * must reach the same host. */
  [[nodiscard]] bool IsCopy(TimePoint aNow,
                            const Flow& aFlow,
                            const Segment& aSegment) const;
  /** @brief Whether a packet belongs to the other flow of the key. */
  [[nodiscard]] static bool IsOfOther(const Flow& aFlow,
                                      const Segment& aSegment) noexcept;
  /** @brief Handles a packet of neither flow of the key. */
  void OnForeignPacket(TimePoint aNow,
                       const FlowKey& aKey,
                       Flow& aFlow,
                       std::string aPacket,
                       Actions& aOut);
  /** @brief Searches for the host of a packet and keeps the flow that the row
   * is of as the other one. */
  void SearchBeside(TimePoint aNow,
                    const FlowKey& aKey,
                    Flow& aFlow,
                    std::string aPacket,
                    std::optional<HostId> aExcept,
                    Actions& aOut);
  /** @brief Handles the answer of a host that holds another flow of the key
   * than that of the packet. */
  void OnOtherFlow(TimePoint aNow,
                   HostId aHost,
                   Answer& aAnswer,
                   Flow& aFlow,
                   Actions& aOut);
  /** @brief Ends the search for a packet whose flow no host holds: the row is
   * of the other flow again. */
  void RestoreOther(const FlowKey& aKey, Flow& aFlow);
  void Offer(TimePoint aNow, const FlowKey& aKey, Flow& aFlow, Actions& aOut);
  void OfferTo(TimePoint aNow,
               HostId aHost,
               const FlowKey& aKey,
               Flow& aFlow,
               Actions& aOut);
  /** @brief Hosts that a search asks first. */
  [[nodiscard]] std::vector<HostId> NearbyHosts(const FlowKey& aKey,
                                                const Flow& aFlow) const;
  /** @brief Starts a search among the nearby hosts, except `aExcept`. */
  void StartSearch(TimePoint aNow,
                   const FlowKey& aKey,
                   Flow& aFlow,
                   std::optional<HostId> aExcept,
                   Actions& aOut);
  /** @brief Continues the search with a further packet of the flow. */
  void ContinueSearch(TimePoint aNow,
                      const FlowKey& aKey,
                      Flow& aFlow,
                      std::string aPacket,
                      Actions& aOut);
  /** @brief Sends the flow's packet to the hosts asked, or queries them by key
   * when the byte budget is short. */
  void AskNearbyHosts(TimePoint aNow,
                      const FlowKey& aKey,
                      Flow& aFlow,
                      Actions& aOut);
  void OnNearAnswer(TimePoint aNow,
                    HostId aHost,
                    const QueryAnswer& aAnswer,
                    Actions& aOut);
  /** @brief Removes the flow from all queries that were not sent yet. */
  void StopSearch(const FlowKey& aKey);
  /** @brief Extends the search to all hosts; no effect in large fleets. */
  void SearchAllHosts(TimePoint aNow, const FlowKey& aKey, Flow& aFlow);
  /** @brief What the caller's last packet acknowledges. */
  [[nodiscard]] std::uint32_t AcknowledgedBy(const Flow& aFlow) const;
  void QueueQuery(TimePoint aNow, const FlowKey& aKey, const Flow& aFlow);
  /** @brief Asks nearby hosts that did not answer again, then all hosts. */
  void RetryNearbyHosts(TimePoint aNow,
                        const FlowKey& aKey,
                        Flow& aFlow,
                        Actions& aOut);
  /** @brief Limits the search to the hosts that did not answer or are unsure.
   */
  void WaitForUnresponsive(TimePoint aNow,
                           const FarSearch::Unresolved& aUnresolved,
                           Actions& aOut);
  /** @brief Extends a search to hosts added since the last one was. */
  void ResumeSearch(TimePoint aNow,
                    const FlowKey& aKey,
                    Flow& aFlow,
                    const std::vector<HostId>& aNewHosts,
                    Actions& aOut);
  /** @brief Hosts added since searches were last extended to new ones. */
  [[nodiscard]] std::vector<HostId> TakeNewHosts(TimePoint aNow);
  /** @brief Handles the answer of a host that needs a packet to tell. */
  void OnUnsure(TimePoint aNow,
                HostId aHost,
                const FlowKey& aKey,
                Flow& aFlow,
                Actions& aOut);
  /**
   * @brief Takes the next step of a search once hosts have answered.
   *
   * A packet passed on by an unsure agent reaches a host that may not hold the
   * flow. More than one of them is therefore sent packets only once every other
   * host that was heard of lately has denied the flow, few at first, and only
   * for a short time.
   */
  void Decide(TimePoint aNow, const FlowKey& aKey, Flow& aFlow, Actions& aOut);
  /** @brief The last packet that its host answers: one with data or an end.
   * Nothing when there is none, as an acknowledgement alone has no answer. */
  [[nodiscard]] const std::string* ProbePacketOf(const Flow& aFlow) const;
  /** @brief Whether control has had time to name all hosts. */
  [[nodiscard]] bool KnowsAllHosts(TimePoint aNow) const;
  /** @brief Whether a further packet may go to the hosts that stayed silent. */
  [[nodiscard]] bool MayProbeAgain(TimePoint aNow, const Flow& aFlow) const;
  /** @brief Whether packets were sent to unsure hosts for too long. */
  [[nodiscard]] bool HasProbedTooLong(TimePoint aNow, const Flow& aFlow) const;
  /** @brief Sends the flow's last packet to the next unsure hosts, nearby ones
   * first: one host, then another, then twice as many each time. The byte
   * budget is charged for all of them before the first, so that none is left
   * out. */
  void Probe(TimePoint aNow, const FlowKey& aKey, Flow& aFlow, Actions& aOut);
  /** @brief Sends the flow's last packet to the hosts; false: byte budget
   * exhausted. */
  bool SendSearch(TimePoint aNow,
                  Purpose aPurpose,
                  const std::vector<HostId>& aHosts,
                  Flow& aFlow,
                  Actions& aOut);
  /** @brief Removes hosts that are gone from the search. */
  void DropGoneHosts(Flow& aFlow) const;
  void NoteDenied(TimePoint aNow, const FlowKey& aKey, Flow& aFlow);
  void SendWaiting(Flow& aFlow, Actions& aOut);
  void ResetLost(TimePoint aNow, const FlowKey& aKey, Actions& aOut);
  void ScheduleAt(TimePoint aDue, const FlowKey& aKey, Flow& aFlow);
  /** @brief Whether no host that could hold the flow does. */
  [[nodiscard]] bool IsLost(TimePoint aNow, const Flow& aFlow) const;
  /** @brief Lets an opening that several hosts declined wait. */
  void WaitForSlot(TimePoint aNow, const FlowKey& aKey, Flow& aFlow);
  /** @brief Offers waiting openings, the newest first, as far as hosts have
   * free slots. */
  void OfferWaiting(TimePoint aNow, Actions& aOut);
  void SendDirect(const Flow& aFlow, std::string aPacket, Actions& aOut);
  void Send(HostId aHost,
            Purpose aPurpose,
            ServiceId aService,
            std::string aPacket,
            Actions& aOut);
  void OnDeclined(TimePoint aNow,
                  const Answer& aAnswer,
                  Flow& aFlow,
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
  /** @brief Emits a decision about a flow, for the log. */
  void EmitDecision(TimePoint aNow,
                    FlowEvent aEvent,
                    const FlowKey& aKey,
                    const Flow& aFlow,
                    Actions& aOut) const;
  void Increment(BalancerCount aCount) noexcept
  {
    ++counts_[static_cast<std::size_t>(aCount)];
  }

  BalancerSettings settings_;
  Codec codec_;
  RouteTable routes_;
  HostTable hosts_;
  NearSearch near_;
  FarSearch far_;
  request::RetryBudget retryBudget_;
  dissemination::ByteBudget searchBudget_;
  absl::flat_hash_map<FlowKey, Flow> flows_;
  absl::flat_hash_map<FlowKey, HeldOpening> held_;
  std::vector<FlowKey> waiting_; ///< Openings that wait for a free slot.
  TimePoint waitingDue_{ TimePoint::max() };
  /** Hosts, routes or records have changed: earlier denials may be outdated
   * until the next tick. */
  bool resumePending_{};
  TimePoint resumeAgainAt_{ TimePoint::max() }; ///< All hosts are known then.
  TimePoint newHostsSince_{}; ///< Searches go on to hosts added since then.
  std::vector<std::pair<TimePoint, FlowKey>> due_; ///< Timers of flows.
  TimePoint nextTimer_{ TimePoint::max() };
  TimePoint sweepAt_{};
  TimePoint lastPacket_{};
  std::optional<TimePoint> startedAt_;    ///< First tick.
  std::optional<TimePoint> configuredAt_; ///< First configuration.
  std::optional<TimePoint> lastSyncedAt_;
  std::array<std::uint64_t, kBalancerCountNames.size()> counts_{};
};

} // namespace cornelshore::relay

#endif
