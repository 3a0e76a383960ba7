#ifndef CORNELSHORE_REQUEST_EXPIRY_HPP
#define CORNELSHORE_REQUEST_EXPIRY_HPP

#include <cstddef>
#include <deque>
#include <optional>
#include <utility>

#include <cornelshore/core/time.hpp>

namespace cornelshore::request::internal {

/**
 * @brief Keys in the order in which they expire.
 *
 * Every key is held for the same time, so the order is that of arrival.
 *
 * @tparam Key Key of the table that the queue serves.
 */
template<typename Key>
class ExpiryQueue
{
public:
  /** @brief Adds a key; `aAt` never falls from one call to the next. */
  void Push(TimePoint aAt, Key aKey) { queue_.emplace_back(aAt, aKey); }

  /** @brief Takes the next key that is due, or nothing. */
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

/** @brief The earlier of two times, where either may be missing. */
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
