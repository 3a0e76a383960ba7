#ifndef CORNELSHORE_ADMISSION_APPORTION_HPP
#define CORNELSHORE_ADMISSION_APPORTION_HPP

#include <cstdint>
#include <vector>

#include <cornelshore/core/target.hpp>

namespace cornelshore::admission {

/**
 * @brief Where one host's slots lie among all slots of its service.
 *
 * Every process sorts the service's ready hosts by `HostId` and counts their
 * slots; from equal memberships follow equal spans.
 */
struct FleetSlotRange
{
  std::uint32_t before_{}; ///< Slots of the hosts sorted before this one.
  std::uint16_t slots_{};  ///< Slots of this host.
  std::uint32_t total_{};  ///< Slots of all hosts of the service.

  bool operator==(const FleetSlotRange&) const noexcept = default;
};

/** @brief Whole slots of one class, of the fleet or of one host. */
struct WholeShare
{
  ClassId class_;
  std::uint32_t keeps_{};   ///< Slots kept for the class.
  std::uint32_t most_{};    ///< Slots the class may hold at once.
  std::uint32_t missing_{}; ///< Slots by which `keeps_` misses the target.

  bool operator==(const WholeShare&) const noexcept = default;
};

/** @brief Whole slots of all classes, and what is left over. */
struct Apportionment
{
  std::vector<WholeShare> classes_; ///< In the order of the target's classes.
  std::uint32_t open_{};       ///< Unreserved, and never lent to long work.
  std::uint32_t unreserved_{}; ///< Neither kept nor open.
};

/**
 * @brief Rounds the classes' shares of a fleet to whole slots.
 *
 * A floor is rounded up. Where the rounded floors exceed the fleet, the least
 * urgent classes lose first the rounding, then their last slot; `missing_`
 * says how much. A limit is rounded down, to at least one slot and at least
 * the floor. One slot in a hundred, at least one if the floors leave it, is
 * open: long work never takes it, so that a class without a floor always
 * finds a slot that comes free.
 */
[[nodiscard]] Apportionment ApportionFleet(const ServiceTarget& aTarget,
                                           std::uint32_t aTotal);

/**
 * @brief One host's part of `ApportionFleet`.
 *
 * Over spans that tile the fleet, the parts of each class add up to exactly
 * the fleet's whole slots. Slots are dealt to classes by a stride near the
 * golden section of the fleet, so that a class's slots lie evenly over the
 * hosts (three-distance theorem, Sos 1958). Costs O(classes + host's slots)
 * however large the fleet is.
 */
[[nodiscard]] Apportionment ApportionHost(const ServiceTarget& aTarget,
                                          const FleetSlotRange& aSpan);

} // namespace cornelshore::admission

#endif
