#ifndef CORNELSHORE_RELAY_FAR_SEARCH_HPP
#define CORNELSHORE_RELAY_FAR_SEARCH_HPP

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include <cornelshore/core/time.hpp>
#include <cornelshore/relay/host_table.hpp>
#include <cornelshore/relay/message.hpp>

namespace cornelshore::relay {

/** @brief Times of a search among all hosts. */
struct FarSearchSettings
{
  /** Flows that are looked for within this time share a query. */
  Duration gather_{ std::chrono::milliseconds{ 10 } };
  /** Queries under way at once: 1,000 flows a second at 40 ms each, while a
   * query to 62 hosts takes a hundredth of a second of a thin link. */
  std::size_t mostOpen_{ 2 };
  /** Messages that may be saved up, and that come to them in a second: 100
   * flows that are lost at once are settled at once among 62 hosts, and no
   * storm of queries takes more than 90 kB/s of a link. */
  double burst_{ 400 };
  double perSecond_{ 100 };
  /** A host that did not answer is asked again; some round trips and a busy
   * agent's delay. */
  Duration again_{ std::chrono::milliseconds{ 300 } };
  /** A query ends without an outcome; callers repeat their packets. */
  Duration giveUp_{ std::chrono::milliseconds{ 700 } };
  /** Flows that wait for a query at most; the others' callers repeat. */
  std::size_t mostQueued_{ 2048 };
  /** A host unheard for so long holds no flow any more: none lives longer. */
  Duration hostLife_{ std::chrono::seconds{ 70 } };
};

/**
 * @brief Asks all hosts at once who holds flows that nobody is known for.
 *
 * Many flows share one query without their packets, so that the loss of a
 * balancer or of a host costs a message a host and not one a flow and host.
 */
class FarSearch
{
public:
  /** @brief A query for a host's agent. */
  struct Outgoing
  {
    Address agent_;
    Query query_;
  };

  /** @brief A flow that all hosts denied but those that did not answer. */
  struct Unresolved
  {
    FlowKey key_;
    std::vector<HostId> silent_;
  };

  /** @brief What is due. */
  struct Due
  {
    std::vector<Outgoing> queries_;
    std::vector<Unresolved> unresolved_; ///< Their search has ended.
  };

  /** @brief What an answer settled. */
  struct Findings
  {
    std::vector<FlowKey> held_;   ///< By the host that answered.
    std::vector<FlowKey> unsure_; ///< It must see a packet to tell.
    std::vector<FlowKey> denied_; ///< By every host.
  };

  explicit FarSearch(FarSearchSettings aSettings);

  /** @brief Looks for a flow, unless it is being looked for. */
  void Add(TimePoint aNow, const FlowKey& aKey, std::uint32_t aAcknowledged);

  /** @brief Ends the search for a flow. */
  void Forget(const FlowKey& aKey);

  /** @brief Queries that are due, and searches that end without an outcome. */
  [[nodiscard]] Due Take(TimePoint aNow, const HostTable& aHosts);

  /** @brief When `Take` is due. */
  [[nodiscard]] TimePoint Next() const noexcept { return next_; }

  /** @brief A host answered a query. */
  [[nodiscard]] Findings OnAnswer(HostId aHost, const QueryAnswer& aAnswer);

  /** @brief An unsure host denied; true when every host has now. */
  bool OnDenied(HostId aHost, const FlowKey& aKey);

private:
  struct Item
  {
    Query::Item query_;
    std::vector<HostId> unsure_; ///< Hosts that look at a packet of it.
    bool settled_{};
  };

  struct Open
  {
    std::vector<Item> items_;
    std::vector<HostId> awaited_;
    std::vector<HostId> answered_;
    TimePoint since_;
    TimePoint sentAt_;
  };

  void StartQueries(TimePoint aNow);
  void Refill(TimePoint aNow);
  void GiveUp(Open& aOpen, std::vector<Unresolved>& aOut);
  void AskAll(TimePoint aNow,
              std::uint32_t aId,
              Open& aOpen,
              const HostTable& aHosts,
              std::vector<Outgoing>& aOut);
  /** @brief Settles the items that every host denied. */
  static void Conclude(Open& aOpen, std::vector<FlowKey>& aDenied);
  void Settle(const FlowKey& aKey);
  void EraseSettled();

  FarSearchSettings settings_;
  std::deque<Query::Item> queue_;
  TimePoint queueDue_{ TimePoint::max() };
  std::map<std::uint32_t, Open> open_;
  /** Query that each flow is part of; 0: in the queue. */
  absl::flat_hash_map<FlowKey, std::uint32_t> where_;
  std::uint32_t lastId_{};
  double budget_; ///< Messages; a query is begun while it is above 0.
  TimePoint refilledAt_{};
  TimePoint next_{ TimePoint::max() };
};

} // namespace cornelshore::relay

#endif
