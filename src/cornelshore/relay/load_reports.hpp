#ifndef CORNELSHORE_RELAY_LOAD_REPORTS_HPP
#define CORNELSHORE_RELAY_LOAD_REPORTS_HPP

#include <vector>

#include <absl/container/flat_hash_map.h>

#include <cornelshore/core/address.hpp>
#include <cornelshore/core/time.hpp>
#include <cornelshore/relay/message.hpp>

namespace cornelshore::relay {

/** @brief Times of an agent's load reports. */
struct LoadReportsSettings
{
  /** Least time between two reports; a request takes tens of milliseconds. */
  Duration least_{ std::chrono::milliseconds{ 250 } };
  /** Reports that an agent sends at most, to all balancers together: it reports
   * less often where more of them watch. */
  std::uint32_t mostPerSecond_{ 40 };
  /** Most time between two reports; balancers avoid a host that missed two. */
  Duration most_{ std::chrono::seconds{ 1 } };
  /** A balancer renews its watch each second; three may get lost. */
  Duration watchLife_{ std::chrono::milliseconds{ 3500 } };
};

/** @brief Decides when an agent tells which balancers its host's load. */
class LoadReports
{
public:
  explicit LoadReports(LoadReportsSettings aSettings);

  /** @brief A balancer watches; true when it was not known to. */
  bool Watch(TimePoint aNow, const Address& aBalancer);

  /**
   * @brief Balancers to be told the load now.
   * @param aForced Whatever was told before.
   */
  [[nodiscard]] std::vector<Address> Take(TimePoint aNow,
                                          const HostLoad& aLoad,
                                          bool aForced = false);

  /** @brief When `Take` is due. */
  [[nodiscard]] TimePoint Next() const noexcept { return next_; }

  [[nodiscard]] std::size_t Watchers() const noexcept
  {
    return watchers_.size();
  }

private:
  [[nodiscard]] Duration Interval() const noexcept;

  LoadReportsSettings settings_;
  absl::flat_hash_map<Address, TimePoint> watchers_; ///< Last renewal.
  HostLoad told_;
  TimePoint toldAt_{};
  TimePoint next_{};
};

} // namespace cornelshore::relay

#endif
