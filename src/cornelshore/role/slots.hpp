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
 * @brief Joins the runs of the request module to the slot scheduler.
 *
 * The scheduler knows a run by an id made of its number; what it says of
 * queued work comes back as events of the request module.
 */
class Slots
{
public:
  using Events = std::vector<request::Event>;

  explicit Slots(admission::SlotScheduler aScheduler);

  /** @brief Puts targets and the host's place among its service in force. */
  [[nodiscard]] Events Configure(TimePoint aNow,
                                 const ServiceTarget& aTarget,
                                 HostId aSelf,
                                 std::span<const HostRecord> aHosts);

  /** @brief Offers a run; the answer is among the events, unless queued. */
  [[nodiscard]] Events Offer(TimePoint aNow, const request::Offer& aOffer);

  /** @brief Keeps how a run ended until its slot is released. */
  void Ended(request::RunId aRun, admission::Result aResult);

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

/** @brief Why a run did not start, in the request module's words. */
[[nodiscard]] request::Reason ReasonOf(admission::Refusal aRefusal) noexcept;

} // namespace cornelshore::role::internal

#endif
