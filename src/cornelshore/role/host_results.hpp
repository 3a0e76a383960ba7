#ifndef CORNELSHORE_ROLE_HOST_RESULTS_HPP
#define CORNELSHORE_ROLE_HOST_RESULTS_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include <cornelshore/admission/host_health.hpp>
#include <cornelshore/core/host.hpp>
#include <cornelshore/core/time.hpp>
#include <cornelshore/request/message.hpp>

namespace cornelshore::role::internal {

/**
 * @brief Results and latencies of the home hosts that a balancer relays to.
 *
 * Measures the time of each submission from its first relay to its first
 * reply. New tickets avoid a home that performs badly against its peers. The
 * state is lost when the balancer ends; no request depends on it.
 */
class HostResults
{
public:
  /** Maximum number of submissions timed at once; others are not timed. */
  static constexpr std::size_t kMaxPending = 16 * 1024;
  /** Maximum number of services with results; hosts of others are never
   * avoided. */
  static constexpr std::size_t kMaxServices = 4096;

  explicit HostResults(std::uint64_t aSeed) noexcept
    : seed_(aSeed)
  {
  }

  /** @brief Sets the hosts of a service; only ready ones are tracked. */
  void SetHosts(TimePoint aNow,
                ServiceId aService,
                std::span<const HostRecord> aHosts);

  /** @brief Returns the candidate hosts for a ticket, without avoided hosts
   * that would be picked as its home; at least one host remains.
   */
  [[nodiscard]] std::vector<HostRecord> SelectHosts(
    TimePoint aNow,
    const request::TicketRequest& aRequest,
    std::vector<HostRecord> aHosts);

  /** @brief Starts the timer of a submission that is relayed to its home. */
  void OnRelayed(TimePoint aNow, const request::Submit& aSubmit);

  /** @brief Records the result of a submission at its first reply. */
  void OnReply(TimePoint aNow, const request::Message& aReply);

  /** @brief Records submissions past their deadline as late and re-evaluates
   * the hosts. */
  void Tick(TimePoint aNow);

  [[nodiscard]] TimePoint NextTimer() const noexcept { return nextTick_; }

  /** @brief Hosts avoided at present, in order of their ids. */
  [[nodiscard]] std::vector<HostId> Avoided() const;

private:
  struct Pending
  {
    HostId home_;
    ServiceId service_;
    ClassId class_;
    TimePoint relayedAt_;
    TimePoint deadline_;
  };

  void RecordResult(TimePoint aNow,
                    const Pending& aPending,
                    admission::HostResult aResult);

  std::uint64_t seed_;
  absl::flat_hash_map<ServiceId, admission::HostHealth> services_;
  absl::flat_hash_map<RequestId, Pending> pending_;
  TimePoint nextTick_{};
};

} // namespace cornelshore::role::internal

#endif
