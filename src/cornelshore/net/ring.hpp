#ifndef CORNELSHORE_NET_RING_HPP
#define CORNELSHORE_NET_RING_HPP

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <semaphore>
#include <utility>

#include <boost/lockfree/spsc_queue.hpp>

namespace cornelshore::net {

/** @brief Wakes the one thread that consumes from one or more rings. */
class Signal
{
public:
  /** @brief Wakes the consumer if it sleeps or is about to. */
  void Wake() noexcept
  {
    std::atomic_thread_fence(std::memory_order_seq_cst);
    if (sleeping_.load(std::memory_order_relaxed) &&
        sleeping_.exchange(false)) {
      semaphore_.release();
    }
  }

  /**
   * @brief Sleeps until woken or until the time is over.
   * @param aHasWork Checked once more before sleeping, so that no wake is lost.
   * @param aLongest Longest sleep.
   */
  template<typename HasWork>
  void Sleep(const HasWork& aHasWork, std::chrono::microseconds aLongest)
  {
    sleeping_.store(true);
    std::atomic_thread_fence(std::memory_order_seq_cst);
    if (aHasWork()) {
      Settle();
      return;
    }
    if (!semaphore_.try_acquire_for(aLongest)) {
      Settle();
    }
  }

private:
  void Settle()
  {
    if (!sleeping_.exchange(false)) {
      semaphore_.acquire();
    }
  }

  std::atomic<bool> sleeping_{ false };
  std::binary_semaphore semaphore_{ 0 };
};

/**
 * @brief Bounded ring from one producer thread to one consumer thread.
 *
 * A full ring never blocks its producer: the value is dropped and counted.
 */
template<typename Value>
class Ring
{
public:
  /**
   * @param aCapacity Most values held.
   * @param aConsumer Woken after each push; must outlive the ring.
   */
  Ring(std::size_t aCapacity, Signal& aConsumer)
    : queue_(aCapacity)
    , consumer_(aConsumer)
  {
  }

  /** @brief Hands over a value; false when the ring is full. */
  bool Push(Value aValue)
  {
    if (!queue_.push(std::move(aValue))) {
      dropped_.fetch_add(1, std::memory_order_relaxed);
      return false;
    }
    consumer_.Wake();
    return true;
  }

  /** @brief Takes a value; false when the ring is empty. */
  bool Pop(Value& aValue) { return queue_.pop(aValue); }

  /** @brief Consumes what is there, at most `aMost` values. */
  template<typename Consumer>
  std::size_t Drain(std::size_t aMost, const Consumer& aConsume)
  {
    std::size_t count = 0;
    while (count < aMost && queue_.consume_one(aConsume) != 0) {
      ++count;
    }
    return count;
  }

  /** @brief Whether a value waits; exact for the consumer only. */
  [[nodiscard]] bool HasWork() const { return queue_.read_available() > 0; }

  /** @brief Values dropped because the ring was full. */
  [[nodiscard]] std::uint64_t Dropped() const noexcept
  {
    return dropped_.load(std::memory_order_relaxed);
  }

private:
  boost::lockfree::spsc_queue<Value> queue_;
  Signal& consumer_;
  std::atomic<std::uint64_t> dropped_{ 0 };
};

} // namespace cornelshore::net

#endif
