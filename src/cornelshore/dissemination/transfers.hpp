#ifndef CORNELSHORE_DISSEMINATION_TRANSFERS_HPP
#define CORNELSHORE_DISSEMINATION_TRANSFERS_HPP

#include <cstddef>
#include <vector>

#include <cornelshore/core/time.hpp>
#include <cornelshore/core/types.hpp>

namespace cornelshore::dissemination {

/**
 * @brief Limits to how many processes a long configuration is sent at once.
 *
 * A few at a time finish and serve others in turn; all at once would each get
 * a part and none the whole within the byte budget.
 */
class Transfers
{
public:
  static constexpr std::size_t kMostReplicas = 2;
  static constexpr std::size_t kMostAgents = 1;
  static constexpr Duration kIdle = std::chrono::seconds(1);

  /** @brief Whether this process is served now; it then holds a place. */
  [[nodiscard]] bool Admit(TimePoint aNow, NodeId aPeer, bool aAgent)
  {
    auto& places = aAgent ? agents_ : replicas_;
    std::erase_if(places, [aNow, aPeer](const Place& aPlace) {
      return aPlace.peer_ == aPeer || aNow - aPlace.askedAt_ >= kIdle;
    });
    if (places.size() >= (aAgent ? kMostAgents : kMostReplicas)) {
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
