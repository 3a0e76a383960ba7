#ifndef CORNELSHORE_NET_CONTEXT_RING_HPP
#define CORNELSHORE_NET_CONTEXT_RING_HPP

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/lockfree/spsc_queue.hpp>

namespace cornelshore::net {

/**
 * @brief Bounded ring from one producer thread to the one thread of a context.
 *
 * A full ring never blocks its producer: the value is dropped and counted.
 */
template<typename Value>
class ContextRing
{
public:
  using Consume = std::function<void(Value&)>;

  /**
   * @param aCapacity Most values held.
   * @param aContext Its thread consumes; it must outlive the ring.
   */
  ContextRing(std::size_t aCapacity,
              boost::asio::io_context& aContext,
              Consume aConsume)
    : queue_(aCapacity)
    , context_(aContext)
    , consume_(std::move(aConsume))
  {
  }

  /** @brief Hands over a value; false when the ring is full. */
  bool Push(Value aValue)
  {
    if (!queue_.push(std::move(aValue))) {
      dropped_.fetch_add(1, std::memory_order_relaxed);
      return false;
    }
    if (!scheduled_.exchange(true)) {
      boost::asio::post(context_, [this] { Drain(); });
    }
    return true;
  }

  /** @brief Values dropped because the ring was full. */
  [[nodiscard]] std::uint64_t Dropped() const noexcept
  {
    return dropped_.load(std::memory_order_relaxed);
  }

private:
  void Drain()
  {
    scheduled_ = false;
    queue_.consume_all(consume_);
  }

  boost::lockfree::spsc_queue<Value> queue_;
  boost::asio::io_context& context_;
  Consume consume_;
  std::atomic<bool> scheduled_{ false };
  std::atomic<std::uint64_t> dropped_{ 0 };
};

} // namespace cornelshore::net

#endif
