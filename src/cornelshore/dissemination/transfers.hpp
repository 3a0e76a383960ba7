#ifndef CORNELSHORE_DISSEMINATION_TRANSFERS_HPP
#define CORNELSHORE_DISSEMINATION_TRANSFERS_HPP

#include <cstddef>
#include <vector>

#include <cornelshore/core/time.hpp>
#include <cornelshore/core/types.hpp>

namespace cornelshore::dissemination {

/**
 * @brief Limits the number of concurrent transfers of a long configuration.
 *
 * While bytes are short, a few receivers at a time complete it and then serve
 * others; serving all at once would complete none.
 */
class Transfers
{
public:
  static constexpr std::size_t kMaxReplicas = 2;
  static constexpr std::size_t kMaxAgents = 1;
  /** Places while the byte budget has room. */
  static constexpr std::size_t kMaxReplicasWithRoom = 256;
  static constexpr std::size_t kMaxAgentsWithRoom = 8;
  static constexpr Duration kIdleTimeout = std::chrono::seconds(1);

  /**
   * @brief Whether the process is admitted; it then occupies a place.
   * @param aHasRoom Whether the byte budget bears further transfers.
   */
  [[nodiscard]] bool Admit(TimePoint aNow,
                           NodeId aPeer,
                           bool aAgent,
                           bool aHasRoom)
  {
    auto& places = aAgent ? agents_ : replicas_;
    std::erase_if(places, [aNow, aPeer](const Place& aPlace) {
      return aPlace.peer_ == aPeer || aNow - aPlace.askedAt_ >= kIdleTimeout;
    });
    const auto agents = aHasRoom ? kMaxAgentsWithRoom : kMaxAgents;
    const auto replicas = aHasRoom ? kMaxReplicasWithRoom : kMaxReplicas;
    if (places.size() >= (aAgent ? agents : replicas)) {
      return false;
    }
    places.push_back({ aPeer, aNow });
    return true;
  }

  /** @brief Frees the place of a process that was sent the last part. */
  void Release(NodeId aPeer)
  {
    const auto same = [aPeer](const Place& aPlace) {
      return aPlace.peer_ == aPeer;
    };
    std::erase_if(replicas_, same);
    std::erase_if(agents_, same);
  }

private:
  struct Place
  {
    NodeId peer_;
    TimePoint askedAt_;
  };

  std::vector<Place> replicas_;
  std::vector<Place> agents_;
};

} // namespace cornelshore::dissemination

#endif
