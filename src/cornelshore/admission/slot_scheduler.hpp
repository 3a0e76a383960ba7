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

/** @brief One class's part of a scheduler's state dump. */
struct ClassDump
{
  std::string name_;
  ClassId class_;
  std::uint32_t keeps_{};   ///< Whole slots kept here.
  std::uint32_t most_{};    ///< Whole slots it may hold here.
  std::uint32_t missing_{}; ///< Fleet's slots missing from its floor.
  std::uint32_t running_{};
  std::uint32_t longRunning_{};
  std::uint32_t queued_{};
  std::uint64_t started_{};
  std::uint64_t refused_{};
  Duration meanHold_{};     ///< How long its work tends to hold a slot.
  Duration expectedWait_{}; ///< Wait of work offered now.
};

/** @brief State dump of a `SlotScheduler`. */
struct SchedulerDump
{
  std::uint32_t slots_{};
  std::uint32_t concurrency_{}; ///< Slots in use by the adapted limit.
  std::uint32_t running_{};
  std::uint32_t open_{};
  std::uint32_t unreserved_{};
  std::vector<ClassDump> classes_;
};

/**
 * @brief Shares one host's slots among the classes of its service.
 *
 * Short work shares slots in time: a class below its part of the host takes
 * the next slot that comes free; the rest is divided by urgency (each step
 * doubles the weight) by start-time fair queueing (Goyal, Vin and Cheng 1996).
 * Work that holds its slot for long takes whole slots only: those kept for its
 * own class and unreserved ones. Within a class callers take turns.
 *
 * No function reads a clock; `aNow` must not fall from call to call.
 */
class SlotScheduler
{
public:
  /** @brief Sets up a scheduler. */
  class Builder
  {
  public:
    /** @brief Seed of the jitter of retry-after times. */
    Builder& WithSeed(std::uint64_t aSeed);
    /** @brief Incarnation named in pushbacks. */
    Builder& WithIncarnation(Incarnation aIncarnation);
    /** @brief Most works of a class that wait at this host. */
    Builder& WithQueueBound(std::uint32_t aBound);
    /** @brief Longest mean hold of work that borrows kept slots. */
    Builder& WithLendingBound(Duration aBound);
    /** @brief Longest expected wait of short work that is queued. */
    Builder& WithWaitBound(Duration aBound);
    /** @return The scheduler, or `InvalidArgument` for a bound of nought. */
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
   * @brief Puts targets and the host's place in the fleet in force.
   *
   * Running work is never cut; queued work of a class that is gone is
   * refused.
   */
  [[nodiscard]] std::vector<QueueRelease> Configure(
    TimePoint aNow,
    const ServiceTarget& aTarget,
    const FleetSlotRange& aSpan);

  /** @brief Decides on new work. */
  [[nodiscard]] OfferResult Offer(TimePoint aNow, const Work& aWork);

  /**
   * @brief Takes note of the end of running work.
   * @return Queued works that now start or are refused; none for an id that
   * does not run.
   */
  [[nodiscard]] std::vector<QueueRelease> Finish(TimePoint aNow,
                                                 RequestId aId,
                                                 Result aResult);

  /** @brief Forgets queued work, or frees the slot of running work. */
  [[nodiscard]] std::vector<QueueRelease> Cancel(TimePoint aNow, RequestId aId);

  /** @brief Does what is due. */
  [[nodiscard]] std::vector<QueueRelease> Tick(TimePoint aNow);

  /** @brief When `Tick` is next due, if ever. */
  [[nodiscard]] std::optional<TimePoint> NextTimer() const;

  /**
   * @brief Pushback to add to an answer that leaves now.
   * @return Nothing when there is no load to speak of or the budget of
   * `kPushbackBytesPerSecond` is spent.
   */
  [[nodiscard]] std::optional<Pushback> TakePushback(TimePoint aNow);

  /** @brief State for the dump on request. */
  [[nodiscard]] SchedulerDump Dump(TimePoint aNow) const;

private:
  struct Running
  {
    std::size_t class_{};
    TimePoint startedAt_;
    double charged_{}; ///< Seconds charged to the class at the start.
    bool declared_{};  ///< Its caller said that it is long-lived.
    bool longLived_{}; ///< It holds a whole slot.
    bool overlong_{};  ///< Short work that outlasted the lending bound.
    bool byFloor_{};
  };

  struct Waiting
  {
    std::size_t class_{};
    bool longLived_{};
  };

  /** A class's queue that may take the next free slot. */
  struct Candidate
  {
    std::size_t class_{};
    bool longLived_{};
    bool byFloor_{};
  };

  explicit SlotScheduler(const Builder& aBuilder);

  void Accrue(TimePoint aNow);
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
  [[nodiscard]] bool Unreachable(TimePoint aNow,
                                 const internal::ClassState& aState,
                                 const Work& aWork,
                                 double aWait) const;
  [[nodiscard]] Refusal Judge(TimePoint aNow,
                              const internal::ClassState& aState,
                              const Work& aWork,
                              bool aLong) const;

  [[nodiscard]] bool Waits(const internal::ClassState& aState,
                           bool aLong) const;
  [[nodiscard]] std::optional<Candidate> PickOwed() const;
  [[nodiscard]] std::optional<Candidate> PickStarved(TimePoint aNow) const;
  [[nodiscard]] std::optional<Candidate> PickShared() const;
  [[nodiscard]] std::optional<Candidate> Pick(TimePoint aNow) const;

  [[nodiscard]] Work Dequeue(const Candidate& aCandidate);
  void Charge(internal::ClassState& aState,
              const Candidate& aCandidate,
              double aSeconds);
  void Start(TimePoint aNow, const Work& aWork, const Candidate& aCandidate);
  void Settle(TimePoint aNow, const Running& aRunning, Result aResult);
  void Dispatch(TimePoint aNow, std::vector<QueueRelease>& aReleased);
  void Expire(TimePoint aNow, std::vector<QueueRelease>& aReleased);
  void MarkOverlong(TimePoint aNow);

  [[nodiscard]] OfferResult Refuse(TimePoint aNow,
                                   internal::ClassState& aState,
                                   Refusal aReason);
  [[nodiscard]] QueueRelease Break(TimePoint aNow,
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
  absl::flat_hash_map<RequestId, Running> running_;
  absl::flat_hash_map<RequestId, Waiting> waiting_;
  double virtualTime_{};
  TimePoint accruedAt_{};
  TimePoint nextExpiry_{ TimePoint::max() };
};

} // namespace cornelshore::admission

#endif
