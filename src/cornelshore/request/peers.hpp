#ifndef CORNELSHORE_REQUEST_PEERS_HPP
#define CORNELSHORE_REQUEST_PEERS_HPP

#include <cstddef>
#include <optional>
#include <span>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include <cornelshore/core/host.hpp>
#include <cornelshore/core/time.hpp>
#include <cornelshore/core/types.hpp>
#include <cornelshore/request/event.hpp>
#include <cornelshore/request/settings.hpp>
#include <cornelshore/request/ticket.hpp>

namespace cornelshore::request::internal {

/**
 * @brief An agent's view of the other agents of its service.
 *
 * A few of them, selected by rendezvous hashing, are polled for stamps; only
 * those can be chosen as backup or executor. At-most-once execution does not
 * depend on this view: an incorrect view leads to a refusal or an `unknown`
 * verdict.
 */
class Peers
{
public:
  /** @brief Replaces the service's hosts; hosts not listed have ended. */
  void Update(TimePoint aNow,
              std::span<const HostRecord> aHosts,
              const AgentSettings& aSettings);

  /** @brief Records that a message came from this incarnation. */
  void OnMessage(HostId aHost, Incarnation aIncarnation);

  /** @brief Records a reading of the agent's clock. */
  void OnStamp(TimePoint aNow,
               HostId aHost,
               Incarnation aIncarnation,
               Stamp aStamp);

  /** @brief Excludes the agent from selection until its next stamp. */
  void MarkUnresponsive(HostId aHost);

  /** @brief Whether this incarnation of the agent is known to have ended. */
  [[nodiscard]] bool HasEnded(const Authority& aAuthority) const;

  /** @brief Selects an id's backup, preferably in another data centre. */
  [[nodiscard]] Authority PickBackup(TimePoint aNow,
                                     RequestId aId,
                                     const AgentSettings& aSettings) const;

  /** @brief Selects a host for an attempt, other than those tried. */
  [[nodiscard]] std::optional<Authority> PickExecutor(
    TimePoint aNow,
    RequestId aId,
    std::span<const HostId> aTried,
    const AgentSettings& aSettings) const;

  /** @brief Requests stamps when due. */
  void OnTimers(TimePoint aNow,
                const AgentSettings& aSettings,
                std::vector<Action>& aActions);

  [[nodiscard]] std::optional<TimePoint> NextTimer() const;

  /** @brief Number of usable peers with a recent stamp. */
  [[nodiscard]] std::size_t CountFresh(TimePoint aNow,
                                       const AgentSettings& aSettings) const;

private:
  struct Peer
  {
    Incarnation incarnation_;
    DataCentreId dataCentre_;
    HostState state_{ HostState::Starting };
    Stamp stamp_;
    std::optional<TimePoint> stampedAt_;
  };

  [[nodiscard]] bool IsUsable(TimePoint aNow,
                              const Peer& aPeer,
                              const AgentSettings& aSettings) const;
  void SelectStampPeers(const AgentSettings& aSettings);

  absl::flat_hash_map<HostId, Peer> peers_;
  std::vector<HostId> stampPeers_;
  std::optional<TimePoint> nextRequestAt_;
  bool hasView_{};
};

} // namespace cornelshore::request::internal

#endif
