#ifndef CORNELSHORE_REQUEST_EXECUTOR_HPP
#define CORNELSHORE_REQUEST_EXECUTOR_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include <absl/container/flat_hash_map.h>

#include <cornelshore/core/time.hpp>
#include <cornelshore/request/event.hpp>
#include <cornelshore/request/expiry.hpp>
#include <cornelshore/request/fence.hpp>
#include <cornelshore/request/message.hpp>

namespace cornelshore::request::internal {

struct Step;

/** @brief One attempt of a request. */
struct AttemptKey
{
  RequestKey key_;
  std::uint32_t attempt_{};

  // NOLINTNEXTLINE(modernize-use-nullptr): false alarm of clang-tidy 14
  constexpr auto operator<=>(const AttemptKey&) const noexcept = default;

  template<typename Hash>
  friend Hash AbslHashValue(Hash aHash, const AttemptKey& aKey)
  {
    return Hash::combine(std::move(aHash), aKey.key_, aKey.attempt_);
  }
};

/** @brief Notifies this agent's home of its attempt at the own upstream. */
struct Notice
{
  AttemptKey key_;
  bool started_{}; ///< It holds a slot and awaits `Dispatch`; if not, it ended.
  RunResult result_;
};

/**
 * @brief Runs attempts at the agent's own upstream.
 *
 * Each attempt is accepted at most once: a duplicate `Run` finds its entry, and
 * a duplicate that arrives after the entry has expired is refused by the age
 * of its stamp. A refused attempt never runs later.
 */
class Executor
{
public:
  /** @brief Queues an attempt of this agent's home. */
  void Queue(Step& aStep,
             const AttemptKey& aKey,
             const Work& aWork,
             TimePoint aDeadline);
  /** @brief Starts an attempt of this agent's home that holds a slot. */
  void Dispatch(Step& aStep, const AttemptKey& aKey, const std::string& aBody);
  /** @brief Withdraws an attempt that was not sent to the upstream. */
  void Withdraw(Step& aStep, const AttemptKey& aKey);
  /** @brief Asks the upstream to cancel a running attempt. */
  void Stop(Step& aStep, const AttemptKey& aKey);

  /** @brief Handles a `Run` of another agent's home. */
  void OnRun(Step& aStep, HostId aFrom, Run aRun);
  void OnRunCancel(Step& aStep, HostId aFrom, const RunCancel& aCancel);
  void OnResultAcknowledged(const AttemptKey& aKey);

  [[nodiscard]] std::optional<Notice> OnStarted(Step& aStep, RunId aRun);
  [[nodiscard]] std::optional<Notice> OnEnd(Step& aStep,
                                            RunId aRun,
                                            RunResult aResult,
                                            bool aHoldsSlot);

  /** @brief Refuses queued attempts of other homes, and all later ones. */
  void Leave(Step& aStep);
  void OnTimers(Step& aStep);
  [[nodiscard]] std::optional<TimePoint> NextTimer() const;

  [[nodiscard]] std::size_t EntryCount() const noexcept
  {
    return entries_.size();
  }
  [[nodiscard]] std::size_t InProgress() const noexcept { return runs_.size(); }
  /** @brief Whether no attempt is running and no result is undelivered. */
  [[nodiscard]] bool Idle() const noexcept
  {
    return runs_.empty() && timers_.empty();
  }

private:
  enum class Stage : std::uint8_t
  {
    Queued,
    Ready,
    Running,
    Ended,
  };

  struct Entry
  {
    RunId run_;
    Stage stage_{ Stage::Queued };
    bool own_{};
    bool stopped_{};
    HostId home_;
    TimePoint deadline_;
    Work work_;
    std::string body_;
    RunResult result_;
    TimePoint due_;
    Duration backoff_{};
    std::uint32_t tries_{};
    TimePoint expiresAt_;
  };

  void Add(Step& aStep, const AttemptKey& aKey, Entry aEntry);
  void Start(Step& aStep,
             const AttemptKey& aKey,
             Entry& aEntry,
             std::string aBody);
  void End(Step& aStep,
           const AttemptKey& aKey,
           Entry& aEntry,
           RunResult aResult);
  void Deliver(Step& aStep, const AttemptKey& aKey, Entry& aEntry);
  /** Adds a refused entry for an attempt that was never accepted. */
  void AddTombstone(Step& aStep,
                    HostId aHome,
                    const AttemptKey& aKey,
                    Reason aReason);
  [[nodiscard]] bool AdmitOrRefuse(Step& aStep,
                                   HostId aHome,
                                   const AttemptKey& aKey,
                                   const Authority& aExecutor);

  std::uint64_t lastRun_{};
  std::size_t bodyBytes_{};
  Fence fence_;
  absl::flat_hash_map<AttemptKey, Entry> entries_;
  absl::flat_hash_map<RunId, AttemptKey> runs_;
  std::set<std::pair<TimePoint, AttemptKey>> timers_;
  ExpiryQueue<AttemptKey> expiry_;
};

} // namespace cornelshore::request::internal

#endif
