#ifndef CORNELSHORE_RELAY_NEAR_SEARCH_HPP
#define CORNELSHORE_RELAY_NEAR_SEARCH_HPP

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include <cornelshore/core/time.hpp>
#include <cornelshore/dissemination/byte_budget.hpp>
#include <cornelshore/relay/far_search.hpp>
#include <cornelshore/relay/host_table.hpp>
#include <cornelshore/relay/message.hpp>

namespace cornelshore::relay {

/** @brief Timeouts and limits of a search among the hosts near each flow. */
struct NearSearchSettings
{
  /** Flows whose search begins within this time share messages. */
  Duration batchWindow_{ std::chrono::milliseconds{ 10 } };
  /** Byte budget of queries: an eighth of the slowest link in use, of 2 Mbit/s,
   * with a burst of two seconds' worth after a restart. */
  std::uint32_t bytesPerSecond_{ 30'000 };
  std::uint32_t burst_{ 60'000 };
  /** An answer that takes longer is ignored; the flow is asked for again. */
  Duration queryTimeout_{ std::chrono::milliseconds{ 700 } };
  /** Maximum flows that wait for a query; callers of others retransmit. */
  std::size_t maxQueuedFlows_{ 4096 };
};

/**
 * @brief Queries a few hosts for each of many flows whose host is not known.
 *
 * A balancer that has just started gets packets of all flows of its callers at
 * once. The hosts of a flow are few and differ from flow to flow, so that each
 * host is sent one message with the flows that it may hold, rather than a
 * caller's packet for each of them.
 */
class NearSearch
{
public:
  /** @brief Flows by the outcome that an answer gave them. */
  struct Findings
  {
    std::vector<FlowKey> held_;   ///< Held by the host that answered.
    std::vector<FlowKey> unsure_; ///< The host needs a packet to decide.
    std::vector<FlowKey> denied_; ///< Denied by the host that answered.
  };

  explicit NearSearch(NearSearchSettings aSettings);

  /** @brief Queues a flow for queries to these hosts; replaces an earlier
   * entry that was not sent yet. */
  void Add(TimePoint aNow,
           const FlowKey& aKey,
           std::uint32_t aAcknowledged,
           std::vector<HostId> aHosts);

  /** @brief Whether the flow waits for its queries to be sent. */
  [[nodiscard]] bool IsQueued(const FlowKey& aKey) const
  {
    return queued_.contains(aKey);
  }

  /** @brief Removes a flow that was not sent yet. */
  void Forget(const FlowKey& aKey) { queued_.erase(aKey); }

  /** @brief Queries that are due, within the byte budget. */
  [[nodiscard]] std::vector<FarSearch::Outgoing> Take(TimePoint aNow,
                                                      const HostTable& aHosts);

  /** @brief When `Take` should be called next. */
  [[nodiscard]] TimePoint Next() const noexcept { return next_; }

  /** @brief Whether a query of this id is a near one. */
  [[nodiscard]] static bool IsNearQuery(std::uint32_t aId) noexcept
  {
    return (aId & kNearQueryBit) != 0;
  }

  /** @brief Handles an answer; late and malformed ones have no effect. */
  [[nodiscard]] Findings OnAnswer(HostId aHost, const QueryAnswer& aAnswer);

private:
  /** Distinguishes the ids from those of `FarSearch`. */
  static constexpr std::uint32_t kNearQueryBit = 1U << 31U;

  struct Queued
  {
    std::uint32_t acknowledged_{};
    std::vector<HostId> hosts_;
  };

  using Batch = std::vector<std::pair<FlowKey, std::uint32_t>>;

  struct Open
  {
    HostId host_;
    std::vector<FlowKey> keys_;
    TimePoint sentAt_;
  };

  void Send(TimePoint aNow,
            HostId aHost,
            const Address& aAgent,
            const Batch& aFlows,
            std::vector<FarSearch::Outgoing>& aOut);

  NearSearchSettings settings_;
  dissemination::ByteBudget budget_;
  absl::flat_hash_map<FlowKey, Queued> queued_;
  std::map<std::uint32_t, Open> open_; ///< By id, which grows with time.
  std::uint32_t lastId_{};
  TimePoint next_{ TimePoint::max() };
};

} // namespace cornelshore::relay

#endif
