#ifndef CORNELSHORE_MEMBERSHIP_OBSERVERS_HPP
#define CORNELSHORE_MEMBERSHIP_OBSERVERS_HPP

#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include <cornelshore/core/types.hpp>

namespace cornelshore::membership {

/**
 * @brief Assigns observers to each host: the top balancers by rendezvous
 * hashing (Thaler and Ravishankar, 1998).
 *
 * Kept up to date as hosts and balancers come and go: a new balancer is
 * compared once with each host, and only hosts that lose an observer are
 * assigned again.
 */
class Observers
{
public:
  /** @param aPerHost Observers of one host. */
  explicit Observers(std::size_t aPerHost)
    : perHost_(aPerHost)
  {
  }

  void AddHost(HostId aHost);
  void RemoveHost(HostId aHost);

  /** @brief Replaces the balancers; true when any host's observers changed. */
  bool SetBalancers(std::vector<NodeId> aBalancers);

  /** @brief Observers of a host, the first ranked first. */
  [[nodiscard]] std::vector<NodeId> Of(HostId aHost) const;

  /** @brief Hosts that a balancer observes, by id. */
  [[nodiscard]] std::vector<HostId> ObservedBy(NodeId aBalancer) const;

  /** @brief Whether a balancer observes a host. */
  [[nodiscard]] bool Observes(NodeId aBalancer, HostId aHost) const;

private:
  using Ranked = std::vector<std::pair<std::uint64_t, NodeId>>;

  [[nodiscard]] Ranked Choose(HostId aHost) const;

  std::size_t perHost_;
  std::vector<NodeId> balancers_; ///< Sorted.
  absl::flat_hash_map<HostId, Ranked> chosen_;
};

} // namespace cornelshore::membership

#endif
