#ifndef CORNELSHORE_MEMBERSHIP_VIEW_HPP
#define CORNELSHORE_MEMBERSHIP_VIEW_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/status/statusor.h>

#include <cornelshore/core/host.hpp>
#include <cornelshore/core/time.hpp>
#include <cornelshore/core/types.hpp>
#include <cornelshore/membership/record.hpp>

namespace cornelshore::membership {

/** @brief What merging a record did. */
enum class MergeOutcome : std::uint8_t
{
  Changed, ///< It was newer and is kept.
  Known,   ///< The same or a newer one is kept already.
  Expired, ///< A tombstone past its life; rejected.
  Full,    ///< A new host, but the view is at its limit.
};

/** @brief Names of `MergeOutcome`. */
inline constexpr std::array<EnumName<MergeOutcome>, 4> kMergeOutcomeNames{ {
  { MergeOutcome::Changed, "changed" },
  { MergeOutcome::Known, "known" },
  { MergeOutcome::Expired, "expired" },
  { MergeOutcome::Full, "full" },
} };

/**
 * @brief The newest record of every host known at one node.
 *
 * Merging is commutative, associative and idempotent, so that nodes that
 * received the same records in any order hold the same view. A `Gone` record
 * is kept as a tombstone for a bounded time, so that an older copy still in
 * flight cannot restore the host.
 */
class View
{
public:
  class Builder;

  /**
   * @brief Stores a record when it is newer than the current one.
   * @param aAge For a `Gone` record: how long ago it was declared.
   */
  MergeOutcome Merge(TimePoint aNow,
                     const HostRecord& aRecord,
                     Duration aAge = Duration::zero());

  /** @brief Drops tombstones past their life; returns them. */
  std::vector<HostRecord> Expire(TimePoint aNow);

  /** @brief Record of a host, tombstones included; null when unknown. */
  [[nodiscard]] const HostRecord* Find(HostId aHost) const noexcept;

  /** @brief Age of a tombstone; zero for a host that is not gone. */
  [[nodiscard]] Duration AgeOf(TimePoint aNow, HostId aHost) const noexcept;

  /** @brief Records of one service's hosts that are not gone, by host id. */
  [[nodiscard]] std::vector<HostRecord> OfService(ServiceId aService) const;

  /** @brief `OfService` with the tombstones. */
  [[nodiscard]] std::vector<HostRecord> OfServiceWithGone(
    ServiceId aService) const;

  /** @brief All records, tombstones included, by host id. */
  [[nodiscard]] std::vector<HostRecord> All() const;

  /** @brief Grows with each change. */
  [[nodiscard]] TableEpoch Epoch() const noexcept { return epoch_; }

  /** @brief Number of records held, tombstones included. */
  [[nodiscard]] std::size_t size() const noexcept { return hosts_.size(); }

private:
  struct Entry
  {
    HostRecord record_;
    TimePoint goneSince_;
  };

  View(std::size_t aMostHosts, Duration aTombstoneLife);

  void Index(const HostRecord& aRecord);
  void Unindex(const HostRecord& aRecord);

  std::size_t mostHosts_;
  Duration tombstoneLife_;
  TableEpoch epoch_;
  std::size_t tombstones_{};
  absl::flat_hash_map<HostId, Entry> hosts_;
  absl::flat_hash_map<ServiceId, std::vector<HostId>> byService_;
};

/** @brief Builds a `View`. */
class View::Builder
{
public:
  /** @brief Most records held, tombstones included. */
  Builder& MostHosts(std::size_t aMostHosts);
  /** @brief How long a `Gone` record is kept. */
  Builder& TombstoneLife(Duration aLife);
  /** @return The view, or `InvalidArgument` naming the bad setting. */
  [[nodiscard]] absl::StatusOr<View> Build() const;

private:
  std::size_t mostHosts_{ 32'768 };
  Duration tombstoneLife_{ std::chrono::hours(6) };
};

} // namespace cornelshore::membership

#endif
