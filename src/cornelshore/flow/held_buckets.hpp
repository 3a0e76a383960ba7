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
 * @brief The buckets that an agent announces as held.
 *
 * A bucket is announced soon after its first flow opened. It is withdrawn
 * with a delay, and never while the host is one of its owners, so that a fleet
 * without membership changes sends no announcements.
 */
class HeldBuckets
{
public:
  HeldBuckets(Duration aAnnounceAfter, Duration aWithdrawAfter)
    : announceDelay_(aAnnounceAfter)
    , withdrawDelay_(aWithdrawAfter)
  {
  }

  void Opened(TimePoint aNow, BucketId aBucket);
  void Closed(TimePoint aNow, BucketId aBucket);

  /** @brief Sets the buckets of the previous run; empty ends the recovery. */
  void SetRecovered(TimePoint aNow, const BucketSet& aRecovered);
  [[nodiscard]] const BucketSet& Recovered() const noexcept
  {
    return recovered_;
  }

  /** @brief When the announcement changes next, if scheduled. */
  [[nodiscard]] std::optional<TimePoint> Due() const noexcept { return due_; }

  /**
   * @brief Updates the announcement.
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

  Duration announceDelay_;
  Duration withdrawDelay_;
  std::array<std::uint32_t, kBucketCount> flows_{};
  BucketSet open_;
  BucketSet recovered_;
  BucketSet announced_;
  std::optional<TimePoint> due_;
  std::optional<TimePoint> withdrawFrom_;
};

} // namespace cornelshore::flow

#endif
