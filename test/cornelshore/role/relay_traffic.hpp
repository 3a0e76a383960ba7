#ifndef CORNELSHORE_TEST_ROLE_RELAY_TRAFFIC_HPP
#define CORNELSHORE_TEST_ROLE_RELAY_TRAFFIC_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <numeric>
#include <ostream>

#include <cornelshore/role/message.hpp>

namespace cornelshore::role {

/** @brief Counts of one second of a `RelayFleet`. */
struct RelaySecond
{
  /** Bytes that balancers sent to other processes, by purpose. */
  std::array<std::uint64_t, kTrafficPurposeNames.size()> sent_{};
  std::uint64_t lostOnLinks_{}; ///< Packets and messages at full links.
  std::uint64_t requested_{};   ///< Requests that callers began.
  std::uint64_t answered_{};    ///< Requests.
  /** Of the requests that callers began, those answered within 400 ms. */
  std::uint64_t answeredInTime_{};

  void AddSent(TrafficPurpose aPurpose, std::size_t aBytes)
  {
    sent_.at(static_cast<std::size_t>(aPurpose)) += aBytes;
  }

  [[nodiscard]] std::uint64_t Sent(TrafficPurpose aPurpose) const
  {
    return sent_.at(static_cast<std::size_t>(aPurpose));
  }

  [[nodiscard]] std::uint64_t SentBytes() const
  {
    return std::accumulate(sent_.begin(), sent_.end(), std::uint64_t{ 0 });
  }
};

/** @brief Prints a second's counts, bytes as the mean of a balancer. */
inline void
Print(std::ostream& aOut,
      std::size_t aSecond,
      const RelaySecond& aCounts,
      std::size_t aBalancers)
{
  aOut << "second=" << aSecond << " requested=" << aCounts.requested_
       << " in_time=" << aCounts.answeredInTime_
       << " answered=" << aCounts.answered_ << " lost=" << aCounts.lostOnLinks_
       << " sent=" << aCounts.SentBytes() / aBalancers;
  for (const auto& purpose : kTrafficPurposeNames) {
    if (const auto bytes = aCounts.Sent(purpose.value_); bytes > 0) {
      aOut << " " << purpose.name_ << "=" << bytes / aBalancers;
    }
  }
  aOut << "\n";
}

} // namespace cornelshore::role

#endif
