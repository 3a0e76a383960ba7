#ifndef CORNELSHORE_RELAY_HOST_TABLE_HPP
#define CORNELSHORE_RELAY_HOST_TABLE_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include <cornelshore/core/flow_key.hpp>
#include <cornelshore/core/host.hpp>
#include <cornelshore/core/random.hpp>
#include <cornelshore/core/time.hpp>
#include <cornelshore/relay/message.hpp>

namespace cornelshore::relay {

/** @brief Timeouts and weights of host selection. */
struct HostTableSettings
{
  DataCentreId dataCentre_;
  /** Initial backoff after a host did not answer an opening, doubled each time;
   * several times an opening's duration. */
  Duration suspicion_{ std::chrono::milliseconds{ 500 } };
  /** Maximum backoff; a recovered host is tried again within this time. */
  Duration maxSuspicion_{ std::chrono::seconds{ 8 } };
  /** A host without a load report for this long is avoided; reports come each
   * second. */
  Duration loadValidity_{ std::chrono::milliseconds{ 2500 } };
  /** Age from which a load report is expected to be outdated by one request:
   * about a request's time at a host. Waiting openings then try the host. */
  Duration loadReuse_{ std::chrono::milliseconds{ 100 } };
  /** Renewal interval of a watch; agents keep it for several of these. */
  Duration watchInterval_{ std::chrono::seconds{ 1 } };
  /** Retry interval until a host's first load report; several round trips. */
  Duration firstWatchInterval_{ std::chrono::milliseconds{ 200 } };
  /** Searches wait for a host that does not answer until it has been silent for
   * this long: an agent that restarts is back within it. */
  Duration silenceTimeout_{ std::chrono::seconds{ 5 } };
  /** A host that was unsure of a flow is taken to be so of others for this
   * long. */
  Duration unsureTimeout_{ std::chrono::seconds{ 10 } };
  /** A host whose agent has just started is expected to report to it within
   * this time. */
  Duration firstReportTimeout_{ std::chrono::milliseconds{ 1500 } };
  /** Cost added to a host in another data centre, as a share of its slots. */
  double remotePenalty_{ 0.3 };
  /** Load of an open flow without a request, in busy slots. */
  double flowWeight_{ 0.1 };
  /** In services of up to this many hosts a flow is offered to any of them. */
  std::size_t smallServiceHosts_{ 8 };
  /** Hosts of the local data centre, and as many others, that a flow of a
   * larger service is offered to: two choices balance nearly as well as all
   * (Mitzenmacher, 2001), and a search among them is cheap. */
  std::size_t nearbyHosts_{ 3 };
};

/** @brief State that a balancer keeps of a host. */
struct KnownHost
{
  HostRecord record_;
  HostLoad load_;
  std::optional<TimePoint> lastReportAt_;
  /** Last load report of an earlier run of the agent. */
  std::optional<TimePoint> earlierRunHeardAt_;
  bool earlierRunLeaving_{}; ///< It last announced that its host leaves.
  TimePoint firstSeenAt_;
  TimePoint watchedAt_;
  TimePoint suspectUntil_;
  std::optional<TimePoint> unsureAt_; ///< Last answered that it is unsure.
  Duration suspicion_{};
  std::uint32_t offered_{}; ///< Openings sent since the last load report.
};

/** @brief A watch to be sent to an agent. */
struct WatchAgent
{
  Address agent_;
  Watch watch_;
};

/**
 * @brief The hosts known to a balancer, and host selection.
 *
 * Records arrive by dissemination. Loads come from the agents that this
 * balancer watches, so that they do not depend on which balancers an agent
 * knows.
 */
class HostTable
{
public:
  using Hosts = std::map<HostId, KnownHost>;

  HostTable(HostTableSettings aSettings, std::uint64_t aSeed);

  /** @brief Applies new host records; true when a host is new, restarted or has
   * become ready. */
  bool Update(TimePoint aNow, const std::vector<HostRecord>& aRecords);

  /** @brief Handles a load report; ignored for an unknown host. */
  void OnLoad(TimePoint aNow, HostId aHost, const HostLoad& aLoad);

  /** @brief Backs off from a host that did not answer an opening. */
  void Suspect(TimePoint aNow, HostId aHost);

  /** @brief Ends the backoff of a host that answered an opening. */
  void ClearSuspicion(HostId aHost);

  /** @brief Notes that a host's agent needs a packet to tell whether the host
   * holds a flow. */
  void NoteUnsure(TimePoint aNow, HostId aHost);

  /** @brief Whether it did lately, so that a packet would tell nothing more
   * than a query. */
  [[nodiscard]] bool WasUnsure(TimePoint aNow, HostId aHost) const;

  /** @brief Counts an opening offered to a host towards its load. */
  void NoteOffered(HostId aHost);

  /**
   * @brief Hosts of a service that a flow is offered to first.
   *
   * The result is the same at each balancer of a data centre that knows the
   * same hosts, so a balancer that takes over a flow searches these first.
   * Rendezvous hashing (Thaler and Ravishankar, 1998) keeps the result stable
   * when other hosts are added or removed. Small services yield all hosts.
   *
   * @param aMore Hosts beyond those that an opening is offered to, because
   * hosts may have been added since.
   */
  [[nodiscard]] std::vector<HostId> Near(ServiceId aService,
                                         const FlowKey& aKey,
                                         std::size_t aMore) const;

  /** @brief The host of `aHosts` with the lowest cost, except `aTried`. */
  [[nodiscard]] std::optional<HostId> PickFrom(
    TimePoint aNow,
    const std::vector<HostId>& aHosts,
    const std::vector<HostId>& aTried);

  /** @brief The host of a service with the lowest cost, except `aTried`;
   * hosts from `Near` take precedence. */
  [[nodiscard]] std::optional<HostId> Pick(TimePoint aNow,
                                           ServiceId aService,
                                           const FlowKey& aKey,
                                           const std::vector<HostId>& aTried);

  /** @brief The host of a service with a free slot and the lowest cost, if
   * there is one. A report older than `loadReuse_` counts as one slot less. */
  [[nodiscard]] std::optional<HostId> PickFreeSlot(TimePoint aNow,
                                                   ServiceId aService);

  /** @brief Whether nothing was heard of a host for so long that a search need
   * not wait for it. */
  [[nodiscard]] bool IsSilent(TimePoint aNow, HostId aHost) const;

  /** @brief Whether the agent of a host of the service has just started and the
   * host's first report to it is still expected. */
  [[nodiscard]] bool AwaitsHostOf(TimePoint aNow, ServiceId aService) const;

  /** @brief Watches that are due for renewal; marks them as renewed. */
  [[nodiscard]] std::vector<WatchAgent> TakeDueWatches(TimePoint aNow);

  /** @brief When `TakeDueWatches` should be called next. */
  [[nodiscard]] TimePoint NextWatch() const noexcept { return watchAt_; }

  /** @brief Removes gone hosts that were first seen before the given time. */
  void ForgetGoneBefore(TimePoint aTime);

  [[nodiscard]] const KnownHost* Find(HostId aHost) const;
  [[nodiscard]] const Hosts& All() const noexcept { return hosts_; }

private:
  [[nodiscard]] bool AcceptsFlows(TimePoint aNow, const KnownHost& aHost) const;
  /** @brief Whether the host left when its agent was restarted and its next
   * report is still expected. */
  [[nodiscard]] bool AwaitsReportAfterLeaving(TimePoint aNow,
                                              const KnownHost& aHost) const;
  [[nodiscard]] double Cost(TimePoint aNow, const KnownHost& aHost);
  /** @brief Whether a recently added host has not reported its load yet. */
  [[nodiscard]] bool AwaitsFirstLoad(TimePoint aNow,
                                     const KnownHost& aHost) const;

  HostTableSettings settings_;
  Random random_;
  Hosts hosts_;
  TimePoint watchAt_{ TimePoint::max() };
};

} // namespace cornelshore::relay

#endif
