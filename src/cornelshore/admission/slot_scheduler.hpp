#ifndef CORNELSHORE_ADMISSION_SLOT_SCHEDULER_HPP
#define CORNELSHORE_ADMISSION_SLOT_SCHEDULER_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/status/statusor.h>

#include <cornelshore/admission/apportion.hpp>
#include <cornelshore/admission/concurrency.hpp>
#include <cornelshore/admission/internal/class_state.hpp>
#include <cornelshore/admission/pushback.hpp>
#include <cornelshore/admission/pushback_meter.hpp>
#include <cornelshore/admission/work.hpp>
#include <cornelshore/core/random.hpp>
#include <cornelshore/core/target.hpp>
#include <cornelshore/core/time.hpp>

namespace cornelshore::admission {

/** @brief One class's entry in a scheduler's state dump. */
struct ClassDump
{
  std::string name_;
  ClassId class_;
  std::uint32_t keeps_{};   ///< Slots reserved on this host.
  std::uint32_t most_{};    ///< Slot limit on this host.
  std::uint32_t missing_{}; ///< Shortfall of its floor in the fleet.
  std::uint32_t running_{};
  std::uint32_t longRunning_{};
  std::uint32_t queued_{};
  std::uint64_t started_{};
  std::uint64_t refused_{};
  Duration meanHold_{};     ///< Mean time that its work holds a slot.
  Duration expectedWait_{}; ///< Expected wait of work offered now.
};

/** @brief State dump of a `SlotScheduler`. */
struct SchedulerDump
{
  std::uint32_t slots_{};
  std::uint32_t concurrency_{}; ///< Adaptive limit of slots in use.
  std::uint32_t running_{};
  std::uint32_t open_{};
  std::uint32_t unreserved_{};
  std::vector<ClassDump> classes_;
};

/**
 * @brief Divides one host's slots among the classes of its service.
 *
 * Short work shares slots over time: a class below its floor takes the next
 * free slot; the remaining slot time is divided by urgency, each step of which
 * doubles the weight, using start-time fair queueing (Goyal, Vin and Cheng
 * 1996). Long-lived work takes whole slots only: those reserved for its own
 * class and unreserved ones. Within a class, callers are served round-robin.
 *
 * No function reads a clock; `aNow` must not decrease between calls.
 */
class SlotScheduler
{
public:
  /** @brief Builds a `SlotScheduler`. */
  class Builder
  {
  public:
    /** @brief Sets the seed of the retry-after jitter. */
    Builder& WithSeed(std::uint64_t aSeed);
    /** @brief Sets the agent's incarnation for pushbacks. */
    Builder& WithIncarnation(Incarnation aIncarnation);
    /** @brief Sets the maximum queue length of a class. */
    Builder& WithQueueBound(std::uint32_t aBound);
    /** @brief Sets the longest mean hold of work that borrows slots. */
    Builder& WithLendingBound(Duration aBound);
    /** @brief Sets the longest expected wait of queued short work. */
    Builder& WithWaitBound(Duration aBound);
    /** @return The scheduler, or `InvalidArgument` for a bound of 0. */
    [[nodiscard]] absl::StatusOr<SlotScheduler> Build() const;

  private:
    friend class SlotScheduler;

    std::uint64_t seed_{};
    Incarnation incarnation_;
    std::uint32_t queueBound_{ 32 };
    Duration lendingBound_{ std::chrono::seconds{ 2 } };
    Duration waitBound_{ std::chrono::seconds{ 2 } };
  };

  /**
   * @brief Applies targets and the host's slot range.
   *
   * Running work is never stopped; queued work of a removed class is
   * refused.
   */
  [[nodiscard]] std::vector<QueueRelease> Configure(
    TimePoint aNow,
    const ServiceTarget& aTarget,
    const FleetSlotRange& aSpan);

  /** @brief Starts, queues or refuses new work. */
  [[nodiscard]] OfferResult Offer(TimePoint aNow, const Work& aWork);

  /**
   * @brief Releases the slot of finished work.
   * @return Queued work that now starts or is refused; nothing if no work of
   * this id is running.
   */
  [[nodiscard]] std::vector<QueueRelease> Finish(TimePoint aNow,
                                                 RequestId aId,
                                                 Result aResult);

  /** @brief Removes queued work, or releases the slot of running work. */
  [[nodiscard]] std::vector<QueueRelease> Cancel(TimePoint aNow, RequestId aId);

  /** @brief Handles due timers and expired deadlines. */
  [[nodiscard]] std::vector<QueueRelease> Tick(TimePoint aNow);

  /** @brief Returns the time at which `Tick` is next due, if any. */
  [[nodiscard]] std::optional<TimePoint> NextTimer() const;

  /**
   * @brief Returns the pushback to attach to an answer sent now.
   * @return Nothing if no class had recent offers, none is due yet, or the
   * budget of `kPushbackBytesPerSecond` is exhausted.
   */
  [[nodiscard]] std::optional<Pushback> TakePushback(TimePoint aNow);

  /** @brief Returns the state dump. */
  [[nodiscard]] SchedulerDump Dump(TimePoint aNow) const;

private:
  struct RunningWork
  {
    std::size_t class_{};
    TimePoint startedAt_;
    double charged_{};    ///< Seconds charged to the class at the start.
    bool declaredLong_{}; ///< Declared long-lived by its caller.
    bool longLived_{};    ///< Holds a whole slot.
    bool overlong_{};     ///< Short work running beyond the lending bound.
    bool byFloor_{};
  };

  struct QueuedWork
  {
    std::size_t class_{};
    bool longLived_{};
  };

  /** Class queue that is eligible for the next free slot. */
  struct Candidate
  {
    std::size_t class_{};
    bool longLived_{};
    bool byFloor_{};
  };

  explicit SlotScheduler(const Builder& aBuilder);

  void AccrueCredits(TimePoint aNow);
  void ApplyShares(const ServiceTarget& aTarget);
  void ReplaceClasses(const ServiceTarget& aTarget,
                      std::vector<QueueRelease>& aReleased);
  void RefuseAll(internal::ClassState& aState,
                 Refusal aReason,
                 std::vector<QueueRelease>& aReleased);

  [[nodiscard]] bool IsLong(TimePoint aNow,
                            const internal::ClassState& aState,
                            const Work& aWork) const;
  [[nodiscard]] bool MayStart(const internal::ClassState& aState,
                              bool aLong) const;
  [[nodiscard]] bool LongMayStart(const internal::ClassState& aState) const;
  [[nodiscard]] bool CanEverStart(const internal::ClassState& aState,
                                  bool aLong) const;
  [[nodiscard]] double ExpectedWait(const internal::ClassState& aState,
                                    CallerId aCaller) const;
  [[nodiscard]] bool IsDeadlineUnreachable(TimePoint aNow,
                                           const internal::ClassState& aState,
                                           const Work& aWork,
                                           double aWait) const;
  [[nodiscard]] Refusal CheckAdmission(TimePoint aNow,
                                       const internal::ClassState& aState,
                                       const Work& aWork,
                                       bool aLong) const;

  [[nodiscard]] bool HasStartable(const internal::ClassState& aState,
                                  bool aLong) const;
  [[nodiscard]] std::optional<Candidate> PickBelowFloor() const;
  [[nodiscard]] std::optional<Candidate> PickStarved(TimePoint aNow) const;
  [[nodiscard]] std::optional<Candidate> PickShared() const;
  [[nodiscard]] std::optional<Candidate> Pick(TimePoint aNow) const;

  [[nodiscard]] Work Dequeue(const Candidate& aCandidate);
  void Charge(internal::ClassState& aState,
              const Candidate& aCandidate,
              double aSeconds);
  void Start(TimePoint aNow, const Work& aWork, const Candidate& aCandidate);
  void AccountFinished(TimePoint aNow,
                       const RunningWork& aRunning,
                       Result aResult);
  void Dispatch(TimePoint aNow, std::vector<QueueRelease>& aReleased);
  void Expire(TimePoint aNow, std::vector<QueueRelease>& aReleased);
  void MarkOverlong(TimePoint aNow);

  [[nodiscard]] OfferResult Refuse(TimePoint aNow,
                                   internal::ClassState& aState,
                                   Refusal aReason);
  [[nodiscard]] QueueRelease RefuseQueued(TimePoint aNow,
                                          internal::ClassState& aState,
                                          const Work& aWork,
                                          Refusal aReason);
  [[nodiscard]] OfferResult Enqueue(TimePoint aNow,
                                    std::size_t aClass,
                                    const Work& aWork,
                                    bool aLong);
  [[nodiscard]] Duration RetryAfter(const internal::ClassState& aState);

  Random random_;
  std::uint32_t queueBound_;
  Duration lendingBound_;
  Duration waitBound_;
  PushbackMeter meter_;
  Concurrency concurrency_;
  FleetSlotRange span_;
  Apportionment host_;
  std::vector<internal::ClassState> classes_;
  absl::flat_hash_map<ClassId, std::size_t> index_;
  absl::flat_hash_map<RequestId, RunningWork> running_;
  absl::flat_hash_map<RequestId, QueuedWork> waiting_;
  double virtualTime_{};
  TimePoint accruedAt_{};
  TimePoint nextExpiry_{ TimePoint::max() };
};

} // namespace cornelshore::admission

#endif
