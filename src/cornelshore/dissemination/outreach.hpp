#ifndef CORNELSHORE_DISSEMINATION_OUTREACH_HPP
#define CORNELSHORE_DISSEMINATION_OUTREACH_HPP

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>

#include <absl/container/flat_hash_set.h>

#include <cornelshore/core/time.hpp>
#include <cornelshore/core/types.hpp>

namespace cornelshore::dissemination {

/** @brief Time in which a live peer answers. At 1 s a round it exceeds a round
 * trip between regions, which would otherwise be taken for silence each time.
 */
[[nodiscard]] constexpr Duration
AnswerTimeoutOf(Duration aRound) noexcept
{
  return aRound * 3 / 10;
}

/**
 * @brief Decides how many peers to ask until enough of them have answered.
 *
 * The number asked at a time doubles with each timeout: when most of a fleet is
 * lost at once, live peers are found after a few timeouts, and while all live
 * peers answer, no peer more is asked than answers are needed. Once the limit
 * of that number was asked twice, the timeout doubles instead: answers may be
 * missing because links are full, and more messages would keep them full.
 */
class Outreach
{
public:
  /**
   * @param aMaxWidth Most peers asked at a time.
   * @param aTimeout Wait for answers before further peers are asked.
   */
  Outreach(std::size_t aMaxWidth, Duration aTimeout) noexcept
    : maxWidth_(aMaxWidth)
    , timeout_(aTimeout)
  {
  }

  /** @brief Begins anew; peers asked earlier may be asked again. */
  void Start(TimePoint aNow, std::size_t aAnswers)
  {
    missing_ = aAnswers;
    asksPerAnswer_ = 1;
    wait_ = timeout_;
    limitReached_ = false;
    awaited_.clear();
    answered_.clear();
    due_ = aAnswers == 0 ? std::nullopt : std::optional(aNow);
  }

  /** @brief Number of peers to ask now: those missing, times a factor that
   * doubles with each call. */
  [[nodiscard]] std::size_t TakeDue(TimePoint aNow)
  {
    if (!due_ || *due_ > aNow) {
      return 0;
    }
    const auto width = std::min(maxWidth_, missing_ * asksPerAnswer_);
    if (std::exchange(asksPerAnswer_, Doubled()) == maxWidth_ &&
        std::exchange(limitReached_, true)) {
      wait_ = std::min(2 * wait_, kMaxBackoff * timeout_);
    }
    due_ = aNow + wait_;
    return width;
  }

  /** @brief Records that a peer was asked. */
  void Asked(NodeId aPeer) { awaited_.insert(aPeer); }

  /** @brief Counts a peer's answer if one is awaited. */
  void Answered(NodeId aPeer)
  {
    if (missing_ == 0 || awaited_.erase(aPeer) == 0) {
      return;
    }
    answered_.insert(aPeer);
    if (--missing_ == 0) {
      Stop();
    }
  }

  /** @brief Whether the peer has been asked since the start. */
  [[nodiscard]] bool HasAsked(NodeId aPeer) const
  {
    return awaited_.contains(aPeer) || answered_.contains(aPeer);
  }

  /** @brief Asks nobody further: no other peer is known. */
  void Stop() noexcept { due_.reset(); }

  /** @brief When to ask next; nothing: enough have answered, or stopped. */
  [[nodiscard]] std::optional<TimePoint> Due() const noexcept { return due_; }

private:
  /** Longest wait, in timeouts. */
  static constexpr std::int64_t kMaxBackoff = 4;

  [[nodiscard]] std::size_t Doubled() const noexcept
  {
    return std::min(maxWidth_, 2 * asksPerAnswer_);
  }

  std::size_t maxWidth_;
  Duration timeout_;
  Duration wait_{};
  bool limitReached_{};
  std::size_t missing_{}; ///< Answers that are still to come.
  std::size_t asksPerAnswer_{ 1 };
  absl::flat_hash_set<NodeId> awaited_;
  absl::flat_hash_set<NodeId> answered_;
  std::optional<TimePoint> due_;
};

} // namespace cornelshore::dissemination

#endif
