#ifndef CORNELSHORE_MEMBERSHIP_ANNOUNCER_HPP
#define CORNELSHORE_MEMBERSHIP_ANNOUNCER_HPP

#include <cstdint>
#include <optional>

#include <absl/status/statusor.h>

#include <cornelshore/core/host.hpp>
#include <cornelshore/core/time.hpp>

namespace cornelshore::membership {

/**
 * @brief Maintains the record of an agent's own host.
 *
 * Each call returns the record to announce when there is one. State changes
 * are announced at once; held buckets at most once an interval. When the
 * host is declared gone while it runs, the announcer refutes it with a greater
 * sequence; from the second time on after a delay that doubles, so that a
 * flapping host does not load every node.
 */
class Announcer
{
public:
  class Builder;

  /** @brief The current record. */
  [[nodiscard]] const HostRecord& Record() const noexcept { return record_; }

  /**
   * @brief Changes the state; from `Leaving` on, only to a later state.
   * @return The record to announce, or nothing.
   */
  [[nodiscard]] std::optional<HostRecord> Enter(TimePoint aNow,
                                                HostState aState);

  /**
   * @brief Updates the buckets that have open flows.
   * @return The record to announce; nothing when it waits for the interval.
   */
  [[nodiscard]] std::optional<HostRecord> Hold(TimePoint aNow,
                                               const BucketSet& aHeld);

  /**
   * @brief Checks a record of this host received from another node.
   * @return The record that refutes it, or nothing.
   */
  [[nodiscard]] std::optional<HostRecord> Seen(TimePoint aNow,
                                               const HostRecord& aRecord);

  /** @brief Returns a record whose announcement has come due. */
  [[nodiscard]] std::optional<HostRecord> Tick(TimePoint aNow);

  /** @brief When `Tick` is due; nothing when no record is pending. */
  [[nodiscard]] std::optional<TimePoint> NextTimer() const noexcept;

  /** @brief Whether a later run of the same host was seen. */
  [[nodiscard]] bool Superseded() const noexcept { return superseded_; }

private:
  Announcer(HostRecord aRecord, Duration aHeldInterval, Duration aRefuteDelay);

  HostRecord Next(TimePoint aNow, std::uint64_t aAfter);

  HostRecord record_;
  Duration heldInterval_;
  Duration refuteDelay_;
  BucketSet held_;
  std::optional<TimePoint> heldAt_;
  std::optional<TimePoint> heldDue_;
  std::optional<TimePoint> refuteDue_;
  std::uint64_t refuteAfter_{};
  Duration nextRefuteDelay_{};
  TimePoint refuteResetAt_;
  bool superseded_{};
};

/** @brief Builds an `Announcer`. */
class Announcer::Builder
{
public:
  /** @param aRecord The host's first record; its sequence becomes 1. */
  explicit Builder(HostRecord aRecord);

  /** @brief Least time between two announcements of held buckets. */
  Builder& HeldInterval(Duration aInterval);
  /** @brief Delay of the second refutation; it doubles from then on. */
  Builder& RefuteDelay(Duration aDelay);
  /** @return The announcer, or `InvalidArgument` naming the bad setting. */
  [[nodiscard]] absl::StatusOr<Announcer> Build() const;

private:
  HostRecord record_;
  Duration heldInterval_{ std::chrono::seconds(5) };
  Duration refuteDelay_{ std::chrono::seconds(10) };
};

} // namespace cornelshore::membership

#endif
