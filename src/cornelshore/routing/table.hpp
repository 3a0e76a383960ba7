#ifndef CORNELSHORE_ROUTING_TABLE_HPP
#define CORNELSHORE_ROUTING_TABLE_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include <cornelshore/core/flow_key.hpp>
#include <cornelshore/core/host.hpp>
#include <cornelshore/core/types.hpp>

/**
 * @brief Routing tables: which hosts own which buckets of a service.
 *
 * Weighted rendezvous hashing (Thaler and Ravishankar, "Using name-based
 * mappings to increase hit rates", 1998; weights after Schindelhauer and
 * Schomaker, 2005) orders the hosts of each bucket. Every process computes
 * the same order from the membership alone.
 */
namespace cornelshore::routing {

/** @brief Maximum owners that a table keeps per bucket. */
inline constexpr std::size_t kMaxOwners = 8;

/** @brief Owners of one bucket, ordered by rank. */
class OwnerList
{
public:
  [[nodiscard]] const HostId* begin() const noexcept { return hosts_.data(); }
  [[nodiscard]] const HostId* end() const noexcept { return begin() + size_; }
  [[nodiscard]] std::size_t size() const noexcept { return size_; }
  [[nodiscard]] bool empty() const noexcept { return size_ == 0; }
  [[nodiscard]] HostId operator[](std::size_t aRank) const noexcept
  {
    return hosts_[aRank];
  }
  void Append(HostId aHost) noexcept { hosts_[size_++] = aHost; }

private:
  std::array<HostId, kMaxOwners> hosts_{};
  std::size_t size_{};
};

/** @brief A host's weight in a table: its slots; 0 removes the host. */
struct Weight
{
  HostId host_;
  std::uint16_t slots_{};
};

/** @brief Bucket of a flow; the same at every process. */
[[nodiscard]] BucketId BucketOf(const FlowKey& aKey) noexcept;

/**
 * @brief Ordered owners of every bucket of one service.
 *
 * Uses two bytes per owner. A change of one host costs about
 * `kBucketCount * owners` hashes, however many hosts there are.
 */
class Table
{
public:
  /** @param aOwners Owners kept per bucket, 1 to `kMaxOwners`. */
  explicit Table(std::size_t aOwners);

  /**
   * @brief Sets the weights of hosts; other hosts keep theirs.
   *
   * A few changes are applied one by one, many by recomputing all buckets.
   *
   * @return Whether any weight changed.
   */
  bool Apply(std::span<const Weight> aChanges);

  /** @brief First owner, or the zero id when there is no host. */
  [[nodiscard]] HostId First(BucketId aBucket) const noexcept;

  [[nodiscard]] OwnerList Owners(BucketId aBucket) const noexcept;

  /** @brief Number of hosts. */
  [[nodiscard]] std::size_t HostCount() const noexcept { return hosts_; }

  /** @brief Memory used by the table in bytes. */
  [[nodiscard]] std::size_t MemoryBytes() const noexcept;

private:
  using Index = std::uint16_t;

  [[nodiscard]] Index* Row(std::size_t aBucket) noexcept;
  [[nodiscard]] const Index* Row(std::size_t aBucket) const noexcept;
  [[nodiscard]] Index FreeIndex();
  void Insert(std::size_t aBucket, Index aIndex);
  void Erase(std::size_t aBucket, Index aIndex);
  void Fill(std::size_t aBucket);
  [[nodiscard]] Index IndexOf(HostId aHost) const noexcept;
  Index Put(const Weight& aWeight);
  void Drop(Index aIndex);
  [[nodiscard]] std::uint16_t SlotsOf(HostId aHost) const noexcept;
  [[nodiscard]] std::vector<Weight> EffectiveChanges(
    std::span<const Weight> aChanges) const;
  void Change(const Weight& aWeight);

  std::size_t owners_;
  std::size_t hosts_{};
  std::vector<Weight> members_;
  std::vector<Index> rows_;
};

} // namespace cornelshore::routing

#endif
