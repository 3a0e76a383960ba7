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
#include <cornelshore/dissemination/outreach.hpp>

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

  /** @param aAnswerTimeout Time after which a peer that has not answered is
   * silent. */
  Partners(NodeId aSelf,
           DataCentreId aDataCentre,
           std::uint64_t aSeed,
           Duration aAnswerTimeout) noexcept
    : self_(aSelf)
    , dataCentre_(aDataCentre)
    , random_(aSeed)
    , answerTimeout_(aAnswerTimeout)
  {
  }

  /** @brief Records a message as a sign of life of its sender. */
  void Heard(TimePoint aNow,
             NodeId aFrom,
             const Address& aAddress,
             const Header& aHeader);

  /** @brief Records a new record of a peer, which the peer has made. */
  void Renewed(NodeId aPeer) { awaitedSince_.erase(aPeer); }

  /** @brief Records that an answer is awaited from a peer. */
  void Asked(TimePoint aNow, NodeId aPeer);

  /** @brief Distinct random peers that answer; when there is none, peers that
   * do not. */
  [[nodiscard]] std::vector<NodeId> Pick(TimePoint aNow,
                                         const Ledger& aLedger,
                                         std::size_t aCount);

  /** @brief Distinct random balancers that answer. */
  [[nodiscard]] std::vector<NodeId> PickBalancers(TimePoint aNow,
                                                  const Ledger& aLedger,
                                                  std::size_t aCount);

  /** @brief Distinct random peers that answer and that the outreach has not
   * asked. */
  [[nodiscard]] std::vector<NodeId> PickFurther(TimePoint aNow,
                                                const Ledger& aLedger,
                                                const Outreach& aOutreach,
                                                std::size_t aCount);

  /** @brief A random peer that does not answer, if there is any. */
  [[nodiscard]] std::optional<NodeId> PickSilent(TimePoint aNow,
                                                 const Ledger& aLedger);

  /**
   * @brief Balancers in an agent's order of preference by rendezvous hashing
   * (Thaler and Ravishankar, 1998): those that answer first, of these the ones
   * of its own data centre.
   */
  [[nodiscard]] std::vector<NodeId> RankForAgent(TimePoint aNow,
                                                 const Ledger& aLedger) const;

  /** @brief An agent's partners: the first few of its order of preference. */
  [[nodiscard]] std::vector<NodeId> PickForAgent(TimePoint aNow,
                                                 const Ledger& aLedger) const;

  /** @brief The next balancers of its order that answer and that the outreach
   * has not asked. */
  [[nodiscard]] std::vector<NodeId> PickFurtherForAgent(
    TimePoint aNow,
    const Ledger& aLedger,
    const Outreach& aOutreach,
    std::size_t aCount) const;

  /** @brief Whether a peer has left a message without an answer for longer than
   * the timeout. */
  [[nodiscard]] bool IsSilent(TimePoint aNow, NodeId aPeer) const;

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
    return awaitedSince_.contains(aPeer);
  }

  [[nodiscard]] Random& Randomness() noexcept { return random_; }

private:
  /** @brief Peers other than this node that do or do not answer. */
  [[nodiscard]] std::vector<NodeId> PeersThat(TimePoint aNow,
                                              bool aAnswer,
                                              const Ledger& aLedger) const;
  /** @brief Reduces a list to a few random entries. */
  void Sample(std::size_t aCount, std::vector<NodeId>& aPeers);

  NodeId self_;
  DataCentreId dataCentre_;
  Random random_;
  Duration answerTimeout_;
  /** Peers whose answer is awaited, and since when. */
  absl::flat_hash_map<NodeId, TimePoint> awaitedSince_;
  absl::flat_hash_map<NodeId, AttachedAgent> attached_;
};

} // namespace cornelshore::dissemination

#endif
