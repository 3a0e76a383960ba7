#ifndef CORNELSHORE_ROUTING_VIEW_HPP
#define CORNELSHORE_ROUTING_VIEW_HPP

#include <array>
#include <cstddef>
#include <optional>
#include <span>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include <cornelshore/core/host.hpp>
#include <cornelshore/core/time.hpp>
#include <cornelshore/core/types.hpp>
#include <cornelshore/routing/table.hpp>

namespace cornelshore::routing {

/**
 * @brief Maximum hosts of one service. Gone hosts are evicted to make room;
 * records beyond the limit are ignored.
 */
inline constexpr std::size_t kMaxHosts = 4096;

/**
 * @brief One process's view of a service: hosts, table, and recent owners.
 *
 * Records of a host are ordered by `membership::VersionOf`; an older
 * one has no effect. A host whose newer record names another service is treated
 * as gone.
 */
class View
{
public:
  /**
   * @param aService Service whose hosts are tracked.
   * @param aWindow How long a former owner is remembered, and how long a
   * bucket's owners must be unchanged before the bucket is settled.
   */
  View(ServiceId aService, Duration aWindow);

  /**
   * @brief Applies records, of all hosts or of the changed ones.
   * @return Whether any record was newer than the stored one.
   */
  bool Apply(TimePoint aNow, std::span<const HostRecord> aRecords);

  [[nodiscard]] const Table& Routes() const noexcept { return table_; }

  /** @brief Increases with each change of the table. */
  [[nodiscard]] TableEpoch Epoch() const noexcept { return epoch_; }

  /** @brief Whether the process has had records for less than the window. */
  [[nodiscard]] bool IsCold(TimePoint aNow) const noexcept;

  /** @brief Hosts that are neither ready nor gone. */
  [[nodiscard]] std::vector<HostId> NotReady() const;

  /** @brief When the bucket's first owner last changed. */
  [[nodiscard]] TimePoint FirstSince(BucketId aBucket) const noexcept;

  /** @brief Whether the first two owners were unchanged for the window. */
  [[nodiscard]] bool IsSettled(TimePoint aNow, BucketId aBucket) const noexcept;

  /** @brief Hosts that ceased to be one of the first two owners within the
   * window. */
  [[nodiscard]] std::vector<HostId> FormerOwners(TimePoint aNow,
                                                 BucketId aBucket) const;

  /** @brief Hosts that announced flows in the bucket. */
  [[nodiscard]] std::vector<HostId> Holders(BucketId aBucket) const;

  /** @brief Newest record of a host, or null when unknown. */
  [[nodiscard]] const HostRecord* Find(HostId aHost) const;

  /** @brief Whether the host is known to have ended or changed service. */
  [[nodiscard]] bool IsKnownGone(HostId aHost) const;

private:
  struct Former
  {
    BucketId bucket_;
    HostId host_;
    TimePoint until_;
  };

  struct Pair
  {
    HostId first_;
    HostId second_;

    bool operator==(const Pair&) const noexcept = default;
  };

  [[nodiscard]] bool MakeRoom();
  bool Take(const HostRecord& aRecord, std::vector<Weight>& aChanges);
  void RecordOwnerChanges(TimePoint aNow);
  void AddFormerOwners(std::vector<Former> aLeft);

  ServiceId service_;
  Duration window_;
  TableEpoch epoch_;
  std::optional<TimePoint> since_;
  Table table_{ kMaxOwners };
  absl::flat_hash_map<HostId, HostRecord> hosts_;
  std::array<Pair, kBucketCount> top_{};
  std::array<TimePoint, kBucketCount> firstSince_{};
  std::array<TimePoint, kBucketCount> topSince_{};
  std::vector<Former> former_;
};

} // namespace cornelshore::routing

#endif
