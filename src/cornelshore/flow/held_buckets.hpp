#ifndef CORNELSHORE_FLOW_HELD_BUCKETS_HPP
#define CORNELSHORE_FLOW_HELD_BUCKETS_HPP

#include <array>
#include <cstdint>
#include <functional>
#include <optional>

#include <cornelshore/core/host.hpp>
#include <cornelshore/core/time.hpp>

namespace cornelshore::flow {

/**
 * @brief Which buckets an agent announces as held.
 *
 * A bucket is announced soon after its first flow opened. It is withdrawn
 * late, and never while the host is one of its owners, so that a fleet
 * without changes of membership announces nothing.
 */
class HeldBuckets
{
public:
  HeldBuckets(Duration aAnnounceAfter, Duration aWithdrawAfter)
    : announceAfter_(aAnnounceAfter)
    , withdrawAfter_(aWithdrawAfter)
  {
  }

  void Opened(TimePoint aNow, BucketId aBucket);
  void Closed(TimePoint aNow, BucketId aBucket);

  /** @brief Buckets of the run before this one; empty when given up. */
  void SetRecovered(TimePoint aNow, const BucketSet& aRecovered);
  [[nodiscard]] const BucketSet& Recovered() const noexcept
  {
    return recovered_;
  }

  /** @brief When the announcement changes, or nothing. */
  [[nodiscard]] std::optional<TimePoint> Due() const noexcept { return due_; }

  /**
   * @brief Brings the announcement up to date.
   * @param aOwns Whether the host is one of the bucket's first two owners.
   * @return Whether it changed.
   */
  bool Refresh(TimePoint aNow, const std::function<bool(BucketId)>& aOwns);

  [[nodiscard]] const BucketSet& Announced() const noexcept
  {
    return announced_;
  }

private:
  void DueAt(TimePoint aTime);

  Duration announceAfter_;
  Duration withdrawAfter_;
  std::array<std::uint32_t, kBucketCount> flows_{};
  BucketSet open_;
  BucketSet recovered_;
  BucketSet announced_;
  std::optional<TimePoint> due_;
  std::optional<TimePoint> withdrawFrom_;
};

} // namespace cornelshore::flow

#endif
