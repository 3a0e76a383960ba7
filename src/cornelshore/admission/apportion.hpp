#ifndef CORNELSHORE_ADMISSION_APPORTION_HPP
#define CORNELSHORE_ADMISSION_APPORTION_HPP

#include <cstdint>
#include <vector>

#include <cornelshore/core/target.hpp>

namespace cornelshore::admission {

/**
 * @brief One host's range in the sequence of all slots of its service.
 *
 * Every process orders the service's ready hosts by `HostId` and sums their
 * slots, so processes with equal membership views compute equal ranges.
 */
struct FleetSlotRange
{
  std::uint32_t before_{}; ///< Slots of the hosts sorted before this one.
  std::uint16_t slots_{};  ///< Slots of this host.
  std::uint32_t total_{};  ///< Slots of all hosts of the service.

  bool operator==(const FleetSlotRange&) const noexcept = default;
};

/** @brief Integer slot counts of one class, for the fleet or one host. */
struct ClassSlots
{
  ClassId class_;
  std::uint32_t keeps_{};   ///< Slots reserved for the class.
  std::uint32_t most_{};    ///< Slots the class may hold at once.
  std::uint32_t missing_{}; ///< Shortfall of `keeps_` against the target.

  bool operator==(const ClassSlots&) const noexcept = default;
};

/** @brief Integer slot counts of all classes, and the remainder. */
struct Apportionment
{
  std::vector<ClassSlots> classes_; ///< In the order of the target's classes.
  std::uint32_t open_{};       ///< Unreserved; never used by long-lived work.
  std::uint32_t unreserved_{}; ///< Neither reserved nor open.
};

/**
 * @brief Rounds the classes' shares of a fleet to whole slots.
 *
 * Floors are rounded up. If the rounded floors exceed the fleet, the least
 * urgent classes first lose the rounding, then their last slot; `missing_`
 * holds the shortfall. Limits are rounded down, but to no less than one slot
 * and no less than the floor. One slot in a hundred, and at least one if the
 * floors leave any, is open: long-lived work never occupies it, so a class
 * without a floor always has a slot that becomes free.
 */
[[nodiscard]] Apportionment ApportionFleet(const ServiceTarget& aTarget,
                                           std::uint32_t aTotal);

/**
 * @brief Computes one host's part of `ApportionFleet`.
 *
 * Over ranges that tile the fleet, each class's parts sum to exactly its slots
 * in the fleet. Slots are assigned to classes with a stride near the golden
 * section of the fleet size, which spreads each class evenly over the hosts
 * (three-distance theorem, Sos 1958). Takes O(classes + host's slots) time,
 * independent of the fleet size.
 */
[[nodiscard]] Apportionment ApportionHost(const ServiceTarget& aTarget,
                                          const FleetSlotRange& aSpan);

} // namespace cornelshore::admission

#endif
