#ifndef CORNELSHORE_REQUEST_EXPIRY_HPP
#define CORNELSHORE_REQUEST_EXPIRY_HPP

#include <cstddef>
#include <deque>
#include <optional>
#include <utility>

#include <cornelshore/core/time.hpp>

namespace cornelshore::request::internal {

/**
 * @brief FIFO queue of keys by expiry time.
 *
 * All keys have the same lifetime, so insertion order is expiry order.
 *
 * @tparam Key Key of the table whose entries expire.
 */
template<typename Key>
class ExpiryQueue
{
public:
  /** @brief Adds a key; `aAt` must not decrease between calls. */
  void Push(TimePoint aAt, Key aKey) { queue_.emplace_back(aAt, aKey); }

  /** @brief Removes and returns the next expired key, if any. */
  [[nodiscard]] std::optional<std::pair<TimePoint, Key>> Pop(TimePoint aNow)
  {
    if (queue_.empty() || queue_.front().first > aNow) {
      return std::nullopt;
    }
    const auto front = queue_.front();
    queue_.pop_front();
    return front;
  }

  [[nodiscard]] std::size_t Size() const noexcept { return queue_.size(); }

  [[nodiscard]] std::optional<TimePoint> Next() const
  {
    if (queue_.empty()) {
      return std::nullopt;
    }
    return queue_.front().first;
  }

private:
  std::deque<std::pair<TimePoint, Key>> queue_;
};

/** @brief Returns the earlier of two optional times. */
[[nodiscard]] inline std::optional<TimePoint>
Earlier(std::optional<TimePoint> aFirst, std::optional<TimePoint> aSecond)
{
  if (!aFirst) {
    return aSecond;
  }
  return aSecond && *aSecond < *aFirst ? aSecond : aFirst;
}

} // namespace cornelshore::request::internal

#endif
