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
 * @brief A balancer's own experience with the homes that it relays to.
 *
 * Times each submission from its first relay to its first reply, and lets a
 * home that does badly against its peers be passed over for new tickets. What
 * is lost when the balancer ends matters to no request.
 */
class HostResults
{
public:
  /** Submissions timed at once; further ones go untimed. */
  static constexpr std::size_t kMostPending = 16 * 1024;
  /** Services with results; hosts of further ones are never passed over. */
  static constexpr std::size_t kMostServices = 4096;

  explicit HostResults(std::uint64_t aSeed) noexcept
    : seed_(aSeed)
  {
  }

  /** @brief Takes note of a service's hosts. */
  void SetHosts(TimePoint aNow,
                ServiceId aService,
                std::span<const HostRecord> aHosts);

  /** @brief Hosts for a ticket, without a first choice that is to be avoided.
   */
  [[nodiscard]] std::vector<HostRecord> Choose(
    TimePoint aNow,
    const request::TicketRequest& aRequest,
    std::vector<HostRecord> aHosts);

  /** @brief A submission is relayed to its home. */
  void Relayed(TimePoint aNow, const request::Submit& aSubmit);

  /** @brief A home replied. */
  void Replied(TimePoint aNow, const request::Message& aReply);

  /** @brief Counts what came by no deadline, and judges the hosts anew. */
  void Tick(TimePoint aNow);

  [[nodiscard]] TimePoint NextTimer() const noexcept { return nextTick_; }

  /** @brief Hosts passed over at present. */
  [[nodiscard]] std::vector<HostId> Avoided() const;

private:
  struct Pending
  {
    HostId home_;
    ServiceId service_;
    ClassId class_;
    TimePoint since_;
    TimePoint deadline_;
  };

  void Settle(TimePoint aNow,
              const Pending& aPending,
              admission::HostResult aResult);

  std::uint64_t seed_;
  absl::flat_hash_map<ServiceId, admission::HostHealth> services_;
  absl::flat_hash_map<RequestId, Pending> pending_;
  TimePoint nextTick_{};
};

} // namespace cornelshore::role::internal

#endif
