#ifndef CORNELSHORE_ROLE_SLOTS_HPP
#define CORNELSHORE_ROLE_SLOTS_HPP

#include <cstdint>
#include <optional>
#include <span>
#include <utility>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include <cornelshore/admission/slot_scheduler.hpp>
#include <cornelshore/core/host.hpp>
#include <cornelshore/request/event.hpp>

namespace cornelshore::role::internal {

/**
 * @brief Adapter between the runs of the request module and the slot scheduler.
 *
 * The scheduler identifies a run by a request id made of its number. Its
 * decisions on queued work are returned as events of the request module.
 */
class Slots
{
public:
  using Events = std::vector<request::Event>;

  explicit Slots(admission::SlotScheduler aScheduler);

  /** @brief Applies targets and the host's share of the slots of its service.
   */
  [[nodiscard]] Events Configure(TimePoint aNow,
                                 const ServiceTarget& aTarget,
                                 HostId aSelf,
                                 std::span<const HostRecord> aHosts);

  /** @brief Offers a run; the answer is among the events, unless queued. */
  [[nodiscard]] Events Offer(TimePoint aNow, const request::Offer& aOffer);

  /** @brief Stores the result of a run until its slot is released. */
  void RecordResult(request::RunId aRun, admission::Result aResult);

  /** @brief Releases a run's slot or its place in the queue. */
  [[nodiscard]] Events Release(TimePoint aNow, request::RunId aRun);

  [[nodiscard]] Events Tick(TimePoint aNow);
  [[nodiscard]] std::optional<TimePoint> NextTimer() const;
  [[nodiscard]] std::optional<admission::Pushback> TakePushback(TimePoint aNow);
  [[nodiscard]] admission::SchedulerDump Dump(TimePoint aNow) const;

private:
  [[nodiscard]] Events ToEvents(
    const std::vector<admission::QueueRelease>& aReleased);

  admission::SlotScheduler scheduler_;
  absl::flat_hash_map<request::RunId, admission::Result> results_;
};

/** @brief Maps a refusal of the scheduler to a reason of the request module. */
[[nodiscard]] request::Reason ReasonOf(admission::Refusal aRefusal) noexcept;

} // namespace cornelshore::role::internal

#endif
