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

/** @brief Times and weights of the choice of hosts. */
struct HostTableSettings
{
  DataCentreId dataCentre_;
  /** A host that did not answer an opening gets none for so long, doubled
   * each time; some openings' time. */
  Duration suspicion_{ std::chrono::milliseconds{ 500 } };
  /** Bound of that doubling; a host that is back is tried within it. */
  Duration longestSuspicion_{ std::chrono::seconds{ 8 } };
  /** Load reports come each second; a host unheard for so long is avoided. */
  Duration loadLife_{ std::chrono::milliseconds{ 2500 } };
  /** A watch is renewed so often; agents keep it for some of these. */
  Duration watchEvery_{ std::chrono::seconds{ 1 } };
  /** A host that was never heard is asked so often; some round trips. */
  Duration watchAgainAfter_{ std::chrono::milliseconds{ 200 } };
  /** Load that a host in another data centre must be better by, in slots. */
  double farPenalty_{ 0.3 };
  /** What an open flow adds to a host's load, in busy slots. */
  double flowWeight_{ 0.1 };
  /** Services of up to so many hosts offer a flow to any of them. */
  std::size_t smallService_{ 8 };
  /** Hosts of the own data centre, and as many others, that a flow of a larger
   * service is offered to: two choices do nearly as well as all (Mitzenmacher,
   * 2001), and a search among them is cheap. */
  std::size_t nearHosts_{ 3 };
};

/** @brief What is known of a host. */
struct KnownHost
{
  HostRecord record_;
  HostLoad load_;
  std::optional<TimePoint> heardAt_;
  TimePoint knownAt_;
  TimePoint watchedAt_;
  TimePoint suspectUntil_;
  Duration suspicion_{};
  std::uint32_t offered_{}; ///< Since the last load report.
};

/**
 * @brief The hosts that a balancer knows, and the choice among them.
 *
 * Records come by dissemination. Loads come from the agents that this
 * balancer watches, so that they do not depend on which balancers an agent
 * happens to know.
 */
class HostTable
{
public:
  using Hosts = std::map<HostId, KnownHost>;

  HostTable(HostTableSettings aSettings, std::uint64_t aSeed);

  /** @brief Host records that are new; true when a host started anew. */
  bool Update(TimePoint aNow, const std::vector<HostRecord>& aRecords);

  /** @brief A host's agent told its load. */
  void OnLoad(TimePoint aNow, HostId aHost, const HostLoad& aLoad);

  /** @brief A host did not answer an opening. */
  void Suspect(TimePoint aNow, HostId aHost);

  /** @brief A host answered an opening. */
  void Trust(HostId aHost);

  /** @brief An opening was offered to a host. */
  void NoteOffered(HostId aHost);

  /**
   * @brief Hosts of a service that a flow is offered to first.
   *
   * The same at each balancer of a data centre that knows the same hosts: a
   * balancer that takes over a flow asks these first. Rendezvous hashing
   * (Thaler and Ravishankar, 1998) keeps them when others come and go. All
   * hosts of a small service.
   *
   * @param aMore Hosts beyond those that an opening is offered to, since some
   * may have come meanwhile.
   */
  [[nodiscard]] std::vector<HostId> Near(ServiceId aService,
                                         const FlowKey& aKey,
                                         std::size_t aMore) const;

  /** @brief The cheapest host of those that is none of `aTried`. */
  [[nodiscard]] std::optional<HostId> PickOf(TimePoint aNow,
                                             const std::vector<HostId>& aHosts,
                                             const std::vector<HostId>& aTried);

  /** @brief The cheapest host of a service that is none of `aTried`, of those
   * near the flow if one of them is left. */
  [[nodiscard]] std::optional<HostId> Pick(TimePoint aNow,
                                           ServiceId aService,
                                           const FlowKey& aKey,
                                           const std::vector<HostId>& aTried);

  /** @brief Agents whose watch is to be renewed now. */
  [[nodiscard]] std::vector<Address> TakeWatches(TimePoint aNow);

  /** @brief When `TakeWatches` is due. */
  [[nodiscard]] TimePoint NextWatch() const noexcept { return watchAt_; }

  /** @brief Forgets hosts that went away before the given time. */
  void ForgetGoneBefore(TimePoint aTime);

  [[nodiscard]] const KnownHost* Find(HostId aHost) const;
  [[nodiscard]] const Hosts& All() const noexcept { return hosts_; }

private:
  [[nodiscard]] bool Takes(TimePoint aNow, const KnownHost& aHost) const;
  [[nodiscard]] double Cost(TimePoint aNow, const KnownHost& aHost);
  /** @brief Whether no load came yet of a host that was known just now. */
  [[nodiscard]] bool IsFresh(TimePoint aNow, const KnownHost& aHost) const;

  HostTableSettings settings_;
  Random random_;
  Hosts hosts_;
  TimePoint watchAt_{ TimePoint::max() };
};

} // namespace cornelshore::relay

#endif
