#ifndef CORNELSHORE_REQUEST_BACKUP_HPP
#define CORNELSHORE_REQUEST_BACKUP_HPP

#include <cstddef>
#include <optional>
#include <string>

#include <absl/container/flat_hash_map.h>

#include <cornelshore/core/time.hpp>
#include <cornelshore/request/event.hpp>
#include <cornelshore/request/expiry.hpp>
#include <cornelshore/request/fence.hpp>
#include <cornelshore/request/message.hpp>
#include <cornelshore/request/outcome.hpp>
#include <cornelshore/request/step.hpp>

namespace cornelshore::request::internal {

/**
 * @brief Consents to dispatches of other homes, and answers for a lost home.
 *
 * An id that is held is consented, finished with its result, or refused.
 * Consent is never given after a refusal, so a `not run` verdict holds even if
 * the home is still alive.
 */
class Backup
{
public:
  void OnIntent(Step& aStep, HostId aFrom, const Intent& aIntent);
  void OnResult(Step& aStep, HostId aFrom, Result aResult);

  /**
   * @brief Reports the outcome in place of a home presumed lost.
   * @param aReasonIfUnknown Reason if the id is unknown here and thereby
   * refused for good.
   */
  void AnswerForHome(Step& aStep,
                     const RequestKey& aKey,
                     const Route& aRoute,
                     Reason aReasonIfUnknown);

  void OnTimers(Step& aStep);
  [[nodiscard]] std::optional<TimePoint> NextTimer() const;

  [[nodiscard]] std::size_t EntryCount() const noexcept
  {
    return entries_.size();
  }
  [[nodiscard]] std::size_t AnswerBytes() const noexcept
  {
    return answerBytes_;
  }
  [[nodiscard]] const OutcomeCounts& Outcomes() const noexcept
  {
    return backupOutcomes_;
  }

private:
  struct Entry
  {
    bool consented_{}; ///< The home may have dispatched it.
    bool final_{};     ///< No more consents; the verdict is final.
    OutcomeInfo outcome_;
    std::string answer_;
    TimePoint expiresAt_;
  };

  Entry& Add(Step& aStep, const RequestKey& aKey, Duration aRetention);
  [[nodiscard]] OutcomeInfo ResolveUnknownId(Step& aStep,
                                             const RequestKey& aKey,
                                             Reason aReason);
  [[nodiscard]] Reason Consent(Step& aStep, const RequestKey& aKey);

  Fence fence_;
  absl::flat_hash_map<RequestKey, Entry> entries_;
  ExpiryQueue<RequestKey> consents_;
  ExpiryQueue<RequestKey> refusals_;
  std::size_t answerBytes_{};
  OutcomeCounts backupOutcomes_;
};

} // namespace cornelshore::request::internal

#endif
