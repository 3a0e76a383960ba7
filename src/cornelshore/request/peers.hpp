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
 * @brief What an agent knows of the other agents of its service.
 *
 * A few of them, by rendezvous hashing, are asked for stamps; only those can
 * be named as backup or executor. At most-once execution does not rest on
 * any of it: a view that is wrong costs a refusal or an `unknown`.
 */
class Peers
{
public:
  /** @brief Takes the service's hosts over; those left out are gone. */
  void Update(TimePoint aNow,
              std::span<const HostRecord> aHosts,
              const AgentSettings& aSettings);

  /** @brief A message came from this run of the agent. */
  void Heard(HostId aHost, Incarnation aIncarnation);

  /** @brief The agent gave a reading of its clock. */
  void OnStamp(TimePoint aNow,
               HostId aHost,
               Incarnation aIncarnation,
               Stamp aStamp);

  /** @brief The agent did not answer: it is not named until it does. */
  void Silent(HostId aHost);

  /** @brief Whether this run of the agent is known to be over. */
  [[nodiscard]] bool IsOver(const Authority& aAuthority) const;

  /** @brief Backup for an id, in another data centre if there is one. */
  [[nodiscard]] Authority PickBackup(TimePoint aNow,
                                     RequestId aId,
                                     const AgentSettings& aSettings) const;

  /** @brief A host for an attempt, other than those tried. */
  [[nodiscard]] std::optional<Authority> PickExecutor(
    TimePoint aNow,
    RequestId aId,
    std::span<const HostId> aTried,
    const AgentSettings& aSettings) const;

  /** @brief Asks for stamps when that is due. */
  void OnTimers(TimePoint aNow,
                const AgentSettings& aSettings,
                std::vector<Action>& aActions);

  [[nodiscard]] std::optional<TimePoint> NextTimer() const;

  /** @brief Peers whose stamp is fresh. */
  [[nodiscard]] std::size_t Fresh(TimePoint aNow,
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

  [[nodiscard]] bool Usable(TimePoint aNow,
                            const Peer& aPeer,
                            const AgentSettings& aSettings) const;
  void Choose(const AgentSettings& aSettings);

  absl::flat_hash_map<HostId, Peer> peers_;
  std::vector<HostId> asked_;
  std::optional<TimePoint> askAt_;
  bool known_{};
};

} // namespace cornelshore::request::internal

#endif
