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

/** @brief Timeouts and limits of a search among all hosts. */
struct FarSearchSettings
{
  /** Flows whose search begins within this time share a query. */
  Duration batchWindow_{ std::chrono::milliseconds{ 10 } };
  /** Maximum concurrent queries: this allows 1,000 flows per second at 40 ms
   * each, and a query to 62 hosts takes 10 ms of a slow link. */
  std::size_t maxOpenQueries_{ 2 };
  /** Token bucket of query messages of up to 400 bytes: its capacity and its
   * refill per second. A query is sent to as many hosts at a time as the bucket
   * allows, because a burst to hundreds of hosts blocks a slow link for
   * seconds. */
  double burst_{ 90 };
  double perSecond_{ 90 };
  /** Retry interval for a host that did not answer; several round trips and
   * the delay of a busy agent. */
  Duration retryInterval_{ std::chrono::milliseconds{ 300 } };
  /** Time after which a query ends unresolved; callers retransmit their
   * packets. */
  Duration queryTimeout_{ std::chrono::milliseconds{ 700 } };
  /** Maximum flows per query: 400 bytes to each host. */
  std::size_t maxQueryFlows_{ 30 };
  /** Maximum flows queued for a query; callers of others retransmit. */
  std::size_t maxQueuedFlows_{ 2048 };
  /** A host without a report for this long is not queried: no flow lives
   * longer. */
  Duration hostTimeout_{ std::chrono::seconds{ 70 } };
};

/**
 * @brief Queries all hosts for flows whose host is not known.
 *
 * Many flows share one query, without their packets, so that the loss of a
 * balancer or a host costs one message per host rather than one per flow and
 * host.
 */
class FarSearch
{
public:
  /** @brief A query to a host's agent. */
  struct Outgoing
  {
    Address agent_;
    Query query_;
  };

  /** @brief A flow that some hosts can tell only by a packet. */
  struct Undecided
  {
    FlowKey key_;
    std::vector<HostId> unsure_;
    bool silentLeft_{}; ///< Silent hosts have not answered.
  };

  /** @brief A flow denied by all hosts except those that did not answer or are
   * unsure. */
  struct Unresolved
  {
    FlowKey key_;
    std::vector<HostId> unresponsive_;
    std::vector<HostId> unsure_;
  };

  /** @brief Queries to send and searches that timed out. */
  struct Due
  {
    std::vector<Outgoing> queries_;
    std::vector<Unresolved> unresolved_; ///< Their search has ended.
  };

  /** @brief Flows by the outcome that an answer gave them. */
  struct Findings
  {
    std::vector<FlowKey> held_;   ///< Held by the host that answered.
    std::vector<FlowKey> denied_; ///< Denied by every host.
    /** All hosts that are not silent have answered, none holds the flow and
     * some are unsure. */
    std::vector<Undecided> undecided_;
  };

  explicit FarSearch(FarSearchSettings aSettings);

  /** @brief Queues a flow for a query; no effect while it is being searched or
   * when the queue is full. */
  void Add(TimePoint aNow, const FlowKey& aKey, std::uint32_t aAcknowledged);

  /** @brief Cancels the search for a flow. */
  void Forget(const FlowKey& aKey);

  /** @brief Adds new hosts to the queries that were sent already. */
  void AddHosts(const std::vector<HostId>& aHosts);

  /** @brief Returns the queries that are due and the unresolved searches. */
  [[nodiscard]] Due Take(TimePoint aNow, const HostTable& aHosts);

  /** @brief When `Take` should be called next. */
  [[nodiscard]] TimePoint Next() const noexcept { return next_; }

  /** @brief Handles a host's answer; late and malformed ones have no effect. */
  [[nodiscard]] Findings OnAnswer(HostId aHost, const QueryAnswer& aAnswer);

private:
  struct Flow
  {
    FlowKey key_;
    std::uint32_t acknowledged_{};
  };

  struct Item
  {
    Flow flow_;
    std::vector<HostId> unsure_; ///< Hosts that need a packet to tell.
    bool resolved_{};
  };

  struct Open
  {
    std::vector<Item> items_;
    std::vector<HostId> unsent_; ///< Hosts that the query goes to next.
    std::vector<HostId> awaited_;
    std::vector<HostId> answered_;
    std::vector<HostId> silent_; ///< Awaited by denials only.
    TimePoint sentAt_;           ///< Last message; not set before the first.
    TimePoint firstRoundAt_;     ///< When the query had been sent to all hosts.
    bool wasSentToAll_{};
  };

  void StartQueries(TimePoint aNow);
  void Refill(TimePoint aNow);
  void ReportUnresolved(Open& aOpen, std::vector<Unresolved>& aOut);
  /** @brief Lists the hosts that have not answered as those to query, each
   * query beginning at another host. */
  void ListHosts(TimePoint aNow,
                 std::uint32_t aId,
                 Open& aOpen,
                 const HostTable& aHosts) const;
  /** @brief Sends the query to the next hosts, within the budget. */
  void SendQuery(TimePoint aNow,
                 std::uint32_t aId,
                 Open& aOpen,
                 const HostTable& aHosts,
                 std::vector<Outgoing>& aOut);
  /** @brief Adds the items that no host holds, once all have answered. */
  static void CollectAnswered(const Open& aOpen, Findings& aOut);
  void Resolve(const FlowKey& aKey);
  void EraseResolved();

  FarSearchSettings settings_;
  std::deque<Flow> queue_;
  TimePoint queueDue_{ TimePoint::max() };
  std::map<std::uint32_t, Open> open_;
  /** Id of the query that includes each flow; 0: still queued. */
  absl::flat_hash_map<FlowKey, std::uint32_t> queryOf_;
  std::uint32_t lastId_{};
  double budget_; ///< In messages; queries start while it is above 0.
  TimePoint refilledAt_{};
  TimePoint next_{ TimePoint::max() };
};

} // namespace cornelshore::relay

#endif
