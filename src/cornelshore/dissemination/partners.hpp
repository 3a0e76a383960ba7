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

/** @brief An agent that lately chose this node as a partner. */
struct AttachedAgent
{
  Address address_;
  Incarnation incarnation_;
  ServiceId interest_;
  ConfigVersion config_; ///< That it last said to hold.
  TimePoint heardAt_;
  ConfigVersion pushed_;   ///< Last pushed to it.
  std::uint32_t pushes_{}; ///< How often that was.
};

/** @brief Chooses whom a node talks to. */
class Partners
{
public:
  static constexpr std::size_t kMostAttached = 1024;
  static constexpr std::size_t kAgentPartners = 3;

  Partners(NodeId aSelf, DataCentreId aDataCentre, std::uint64_t aSeed) noexcept
    : self_(aSelf)
    , dataCentre_(aDataCentre)
    , random_(aSeed)
  {
  }

  /** @brief Notes a message, as proof that its sender is there. */
  void Heard(TimePoint aNow,
             NodeId aFrom,
             const Address& aAddress,
             const Header& aHeader);

  /** @brief Notes that an answer is awaited. */
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
   * @brief Attached agents that lag behind a configuration and were not yet
   * pushed it twice; each counts as pushed once more.
   * @param aMost Most agents.
   */
  [[nodiscard]] std::vector<NodeId> TakeLaggards(ConfigVersion aVersion,
                                                 std::size_t aMost);

  /** @brief Forgets agents unheard for so long, and peers no longer known. */
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
