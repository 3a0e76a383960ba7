#ifndef CORNELSHORE_FLOW_POINTER_TABLE_HPP
#define CORNELSHORE_FLOW_POINTER_TABLE_HPP

#include <cstddef>
#include <deque>
#include <utility>

#include <absl/container/flat_hash_map.h>

#include <cornelshore/core/flow_key.hpp>
#include <cornelshore/core/time.hpp>
#include <cornelshore/core/types.hpp>

namespace cornelshore::flow {

/** @brief Why an agent redirects a flow to another host. */
enum class PointerKind : std::uint8_t
{
  Ceded,  ///< The host claimed the flow, and this agent ceded it.
  Placed, ///< The host was asked to open the flow and may decline.
};

/** @brief Redirection of a flow to the host that may own it. */
struct Pointer
{
  HostId host_;
  PointerKind kind_{ PointerKind::Ceded };
  TimePoint until_;
};

/** @brief Pointers by flow, bounded in number, each with an expiry time. */
class PointerTable
{
public:
  explicit PointerTable(std::size_t aMost)
    : capacity_(aMost)
  {
  }

  /** @brief Sets a flow's pointer; false when the table is full. */
  [[nodiscard]] bool Put(const FlowKey& aKey, const Pointer& aPointer)
  {
    const auto found = pointers_.find(aKey);
    if (found == pointers_.end() && order_.size() >= capacity_) {
      return false;
    }
    const bool queued =
      found != pointers_.end() && found->second.until_ >= aPointer.until_;
    pointers_[aKey] = aPointer;
    if (!queued) {
      order_.emplace_back(aPointer.until_, aKey);
    }
    return true;
  }

  /** @brief A flow's pointer, or null when there is none or it has expired. */
  [[nodiscard]] const Pointer* Find(TimePoint aNow, const FlowKey& aKey) const
  {
    const auto found = pointers_.find(aKey);
    const bool counts = found != pointers_.end() && found->second.until_ > aNow;
    return counts ? &found->second : nullptr;
  }

  void Erase(const FlowKey& aKey) { pointers_.erase(aKey); }

  /** @brief Removes expired pointers. */
  void Expire(TimePoint aNow)
  {
    while (!order_.empty() && order_.front().first <= aNow) {
      const auto found = pointers_.find(order_.front().second);
      if (found != pointers_.end() && found->second.until_ <= aNow) {
        pointers_.erase(found);
      }
      order_.pop_front();
    }
  }

  [[nodiscard]] std::size_t size() const noexcept { return pointers_.size(); }

private:
  std::size_t capacity_;
  absl::flat_hash_map<FlowKey, Pointer> pointers_;
  std::deque<std::pair<TimePoint, FlowKey>> order_;
};

} // namespace cornelshore::flow

#endif
