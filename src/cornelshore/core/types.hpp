#ifndef CORNELSHORE_CORE_TYPES_HPP
#define CORNELSHORE_CORE_TYPES_HPP

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <utility>

namespace cornelshore {

/**
 * @brief Strongly typed integer identifier.
 * @tparam Tag Distinguishes the kinds of identifiers.
 * @tparam Value Underlying unsigned integer.
 */
template<typename Tag, typename Value>
struct StrongId
{
  Value value_{};

  constexpr auto operator<=>(const StrongId&) const noexcept = default;

  template<typename Hash>
  friend Hash AbslHashValue(Hash aHash, const StrongId& aId)
  {
    return Hash::combine(std::move(aHash), aId.value_);
  }
};

/** @brief A process of the system: a balancer, an agent or control. */
using NodeId = StrongId<struct NodeIdTag, std::uint64_t>;

/** @brief An upstream host; equal in value to the `NodeId` of its agent. */
using HostId = StrongId<struct HostIdTag, std::uint64_t>;

/** @brief A service; an id is never reused for another service. */
using ServiceId = StrongId<struct ServiceIdTag, std::uint32_t>;

/** @brief A class of work. */
using ClassId = StrongId<struct ClassIdTag, std::uint32_t>;

/** @brief A data centre. */
using DataCentreId = StrongId<struct DataCentreIdTag, std::uint32_t>;

/** @brief One run of a process; later runs have greater values. */
using Incarnation = StrongId<struct IncarnationTag, std::uint64_t>;

/** @brief Epoch of one node's view of the membership; increases monotonically
 * at that node. */
using TableEpoch = StrongId<struct TableEpochTag, std::uint64_t>;

/** @brief Version of the accepted configuration; never decreases at any node.
 */
using ConfigVersion = StrongId<struct ConfigVersionTag, std::uint64_t>;

/** @brief Bucket of an address's routing table. */
using BucketId = StrongId<struct BucketIdTag, std::uint16_t>;

/** @brief Id of one request, chosen by its caller and unchanged on a retry. */
struct RequestId
{
  std::uint64_t high_{};
  std::uint64_t low_{};

  constexpr auto operator<=>(const RequestId&) const noexcept = default;

  template<typename Hash>
  friend Hash AbslHashValue(Hash aHash, const RequestId& aId)
  {
    return Hash::combine(std::move(aHash), aId.high_, aId.low_);
  }
};

} // namespace cornelshore

template<typename Tag, typename Value>
struct std::hash<cornelshore::StrongId<Tag, Value>>
{
  std::size_t operator()(
    const cornelshore::StrongId<Tag, Value>& aId) const noexcept
  {
    return std::hash<Value>{}(aId.value_);
  }
};

#endif
