#ifndef CORNELSHORE_REQUEST_HOME_HPP
#define CORNELSHORE_REQUEST_HOME_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include <cornelshore/core/time.hpp>
#include <cornelshore/request/agent.hpp>
#include <cornelshore/request/event.hpp>
#include <cornelshore/request/executor.hpp>
#include <cornelshore/request/expiry.hpp>
#include <cornelshore/request/fence.hpp>
#include <cornelshore/request/message.hpp>
#include <cornelshore/request/retry_budget.hpp>
#include <cornelshore/request/step.hpp>

namespace cornelshore::request::internal {

/**
 * @brief Owns the ids of the tickets issued by this agent's incarnation.
 *
 * Only the home dispatches them, one attempt at a time: another attempt is
 * made only if the last one was refused permanently or the class is
 * repeatable.
 */
class Home
{
public:
  Home(const AgentSettings& aSettings, RepeatableHook aRepeatable);

  void OnTicketRequest(Step& aStep, const TicketRequest& aRequest);
  void OnSubmit(Step& aStep, Executor& aExecutor, Submit aSubmit);
  void OnCancel(Step& aStep, Executor& aExecutor, const Cancel& aCancel);
  void OnIntentReply(Step& aStep,
                     Executor& aExecutor,
                     const IntentReply& aReply);
  void OnResultAck(const ResultAck& aAck);
  /** @brief Handles a slot or the end of an attempt at the own upstream. */
  void OnNotice(Step& aStep, Executor& aExecutor, Notice aNotice);
  /** @brief Handles the end of an attempt at another agent. */
  void OnRunResult(Step& aStep,
                   Executor& aExecutor,
                   HostId aFrom,
                   RunResult aResult);
  /** @brief Treats attempts as lost whose executor's incarnation ended. */
  void OnMembership(Step& aStep, Executor& aExecutor);
  void Leave(Step& aStep, Executor& aExecutor);

  void OnTimers(Step& aStep, Executor& aExecutor);
  [[nodiscard]] std::optional<TimePoint> NextTimer() const;

  /** @brief Whether no id is open and no result awaits a backup's ack. */
  [[nodiscard]] bool Idle() const noexcept
  {
    return open_.empty() && deliveries_.empty();
  }
  void FillDump(AgentDump& aDump) const;

private:
  enum class Stage : std::uint8_t
  {
    Queued,     ///< In this agent's slot queue.
    Consenting, ///< Awaiting the backup's consent.
    Dispatched, ///< Sent to its executor.
  };

  /** State of an id, held until its retention ends. */
  struct Record
  {
    Ticket ticket_;
    std::uint64_t fingerprint_{}; ///< Hash of work and body; 0 for a tombstone.
    bool open_{ true };
    bool repeatable_{};
    bool mayHaveRunBefore_{}; ///< Under an earlier ticket.
    OutcomeInfo outcome_;
    std::string answer_;
    TimePoint expiresAt_;
  };

  /** Additional state of an id without an outcome. */
  struct Progress
  {
    Work work_;
    Route route_;
    TimePoint deadline_;
    std::string body_;
    Stage stage_{ Stage::Queued };
    bool consentRequested_{}; ///< The backup may have consented.
    bool mayHaveRun_{};       ///< An earlier attempt was lost.
    bool cancelled_{};
    std::uint32_t attempt_{ 1 };
    Authority executor_;
    std::vector<HostId> tried_;
    TimePoint due_;
    TimePoint giveUpAt_;
    Duration backoff_{};
  };

  /** A result that the backup has not acknowledged. */
  struct Delivery
  {
    Result result_;
    TimePoint due_;
    Duration backoff_{};
    std::uint32_t tries_{};
  };

  [[nodiscard]] bool IsRepeatable(ClassId aClass) const;
  [[nodiscard]] static bool IsReplaceable(const Record& aRecord);
  /** Checks an id that is not held; if refused, reports its outcome. */
  [[nodiscard]] bool AdmitOrRefuse(Step& aStep,
                                   const RequestKey& aKey,
                                   const Route& aRoute);
  [[nodiscard]] bool IsFull(const Step& aStep) const;
  Record& Add(const RequestKey& aKey);
  void Accept(Step& aStep, Executor& aExecutor, Submit aSubmit);
  [[nodiscard]] std::optional<Reason> FindRejection(
    const Step& aStep,
    const Submit& aSubmit) const;

  [[nodiscard]] Run RunOf(const Step& aStep,
                          RequestId aId,
                          const Progress& aProgress) const;
  void RequestConsent(Step& aStep, RequestId aId, Progress& aProgress);
  void Dispatch(Step& aStep,
                Executor& aExecutor,
                RequestId aId,
                Progress& aProgress);
  void OnEnd(Step& aStep,
             Executor& aExecutor,
             RequestId aId,
             Progress& aProgress,
             RunResult aResult);
  void OnRefused(Step& aStep,
                 Executor& aExecutor,
                 RequestId aId,
                 Progress& aProgress,
                 const RunResult& aResult);
  /** Starts an attempt at another host; false if none is possible. */
  [[nodiscard]] bool TryAnotherHost(Step& aStep,
                                    Executor& aExecutor,
                                    RequestId aId,
                                    Progress& aProgress);
  void OnLost(Step& aStep,
              Executor& aExecutor,
              RequestId aId,
              Progress& aProgress,
              Reason aReason);
  void OnDue(Step& aStep, Executor& aExecutor, RequestId aId);
  void OnDueDispatched(Step& aStep,
                       Executor& aExecutor,
                       RequestId aId,
                       Progress& aProgress);
  void StopRun(Step& aStep,
               Executor& aExecutor,
               RequestId aId,
               const Progress& aProgress);
  /** Closes an id that has no running attempt. */
  void CloseIdle(Step& aStep,
                 Executor& aExecutor,
                 RequestId aId,
                 Reason aReason,
                 Duration aRetryAfter = {});
  void Close(Step& aStep,
             RequestId aId,
             OutcomeInfo aOutcome,
             std::string aAnswer);
  void Retain(Step& aStep, RequestId aId, Record& aRecord);
  void Deliver(Step& aStep, RequestId aId, Delivery& aDelivery);
  void OnDeliveryDue(Step& aStep, RequestId aId);
  void Schedule(RequestId aId, Progress& aProgress, TimePoint aAt);
  void Expire(Step& aStep);

  [[nodiscard]] RequestKey KeyOf(RequestId aId) const;
  [[nodiscard]] AttemptKey AttemptOf(RequestId aId,
                                     const Progress& aProgress) const;

  RepeatableHook repeatable_;
  RetryBudget budget_;
  Fence fence_;
  Stamp lastStamp_;
  bool leaving_{};
  absl::flat_hash_map<RequestId, Record> records_;
  absl::flat_hash_map<RequestId, Progress> open_;
  absl::flat_hash_map<RequestId, Delivery> deliveries_;
  std::set<std::pair<TimePoint, RequestId>> timers_;
  std::set<std::pair<TimePoint, RequestId>> deliveryTimers_;
  ExpiryQueue<RequestId> retained_;
  ExpiryQueue<RequestId> tombstones_;
  std::size_t bodyBytes_{};
  std::size_t answerBytes_{};
  AgentDump counts_;
};

} // namespace cornelshore::request::internal

#endif
