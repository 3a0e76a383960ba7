#ifndef CORNELSHORE_DISSEMINATION_PARTNERS_HPP
#define CORNELSHORE_DISSEMINATION_PARTNERS_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include <cornelshore/core/address.hpp>
#include <cornelshore/core/random.hpp>
#include <cornelshore/core/time.hpp>
#include <cornelshore/core/types.hpp>
#include <cornelshore/dissemination/ledger.hpp>
#include <cornelshore/dissemination/message.hpp>

namespace cornelshore::dissemination {

/** @brief An agent that recently chose this node as a partner. */
struct AttachedAgent
{
  Address address_;
  Incarnation incarnation_;
  ServiceId interest_;
  ConfigVersion config_; ///< Version in its last message.
  TimePoint heardAt_;
  ConfigVersion pushed_;   ///< Last pushed to it.
  std::uint32_t pushes_{}; ///< Number of these pushes.
};

/** @brief Selects the peers that a node exchanges messages with. */
class Partners
{
public:
  static constexpr std::size_t kMaxAttached = 1024;
  static constexpr std::size_t kAgentPartners = 3;

  Partners(NodeId aSelf, DataCentreId aDataCentre, std::uint64_t aSeed) noexcept
    : self_(aSelf)
    , dataCentre_(aDataCentre)
    , random_(aSeed)
  {
  }

  /** @brief Records a message as a sign of life of its sender. */
  void Heard(TimePoint aNow,
             NodeId aFrom,
             const Address& aAddress,
             const Header& aHeader);

  /** @brief Records that an answer is awaited from a peer. */
  void Asked(NodeId aPeer);

  /** @brief Distinct random live peers, mostly ones that answer. */
  [[nodiscard]] std::vector<NodeId> Pick(const Ledger& aLedger,
                                         std::size_t aCount);

  /**
   * @brief An agent's partners: a few balancers by rendezvous hashing
   * (Thaler and Ravishankar, 1998), those of its own data centre first.
   */
  [[nodiscard]] std::vector<NodeId> PickForAgent(const Ledger& aLedger) const;

  [[nodiscard]] const absl::flat_hash_map<NodeId, AttachedAgent>& Attached()
    const noexcept
  {
    return attached_;
  }

  /**
   * @brief Attached agents that hold an older configuration and were sent this
   * one less than twice; counts one more push for each.
   * @param aMost Most agents.
   */
  [[nodiscard]] std::vector<NodeId> TakeLaggards(ConfigVersion aVersion,
                                                 std::size_t aMost);

  /** @brief Drops agents silent for `aLife` and peers no longer known. */
  void Expire(TimePoint aNow, Duration aLife, const Ledger& aLedger);

  /** @brief Whether a peer's last answer is still awaited. */
  [[nodiscard]] bool Awaits(NodeId aPeer) const
  {
    return unanswered_.contains(aPeer);
  }

  [[nodiscard]] Random& Randomness() noexcept { return random_; }

private:
  [[nodiscard]] bool Silent(NodeId aPeer) const;

  NodeId self_;
  DataCentreId dataCentre_;
  Random random_;
  absl::flat_hash_map<NodeId, std::uint32_t> unanswered_;
  absl::flat_hash_map<NodeId, AttachedAgent> attached_;
};

} // namespace cornelshore::dissemination

#endif
