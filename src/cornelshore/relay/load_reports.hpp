#ifndef CORNELSHORE_RELAY_LOAD_REPORTS_HPP
#define CORNELSHORE_RELAY_LOAD_REPORTS_HPP

#include <vector>

#include <absl/container/flat_hash_map.h>

#include <cornelshore/core/address.hpp>
#include <cornelshore/core/time.hpp>
#include <cornelshore/relay/message.hpp>

namespace cornelshore::relay {

/** @brief Intervals and rate limit of an agent's load reports. */
struct LoadReportsSettings
{
  /** Minimum interval; a request takes tens of milliseconds. */
  Duration minInterval_{ std::chrono::milliseconds{ 250 } };
  /** Maximum reports per second to all balancers together: the interval grows
   * with the number of watching balancers. */
  std::uint32_t maxReportsPerSecond_{ 40 };
  /** Maximum interval; balancers avoid a host that missed two reports. */
  Duration maxInterval_{ std::chrono::seconds{ 1 } };
  /** A watch expires after this time; balancers renew it each second, so three
   * renewals may be lost. */
  Duration watchTimeout_{ std::chrono::milliseconds{ 3500 } };
};

/** @brief Schedules an agent's load reports to the balancers that watch it. */
class LoadReports
{
public:
  explicit LoadReports(LoadReportsSettings aSettings);

  /** @brief Adds or renews a balancer's watch; true when it is new. */
  bool Watch(TimePoint aNow, const Address& aBalancer);

  /**
   * @brief Balancers that a load report is due to, empty when none is due.
   * @param aForced Reports at once, even if the load is unchanged.
   */
  [[nodiscard]] std::vector<Address> Take(TimePoint aNow,
                                          const HostLoad& aLoad,
                                          bool aForced = false);

  /** @brief When `Take` should be called next. */
  [[nodiscard]] TimePoint Next() const noexcept { return next_; }

  [[nodiscard]] std::size_t Watchers() const noexcept
  {
    return watchers_.size();
  }

private:
  [[nodiscard]] Duration Interval() const noexcept;

  LoadReportsSettings settings_;
  absl::flat_hash_map<Address, TimePoint> watchers_; ///< Last renewal.
  HostLoad lastSent_;
  TimePoint lastSentAt_{};
  TimePoint next_{};
};

} // namespace cornelshore::relay

#endif
