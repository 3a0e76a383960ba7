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
 * @brief Consents to dispatches of other homes, and speaks for a lost one.
 *
 * An id is in one of three states here: consented, held with its result, or
 * refused. Consent is never given after a refusal, so `not run` is true
 * whether or not the home is really gone.
 */
class Backup
{
public:
  void OnIntent(Step& aStep, HostId aFrom, const Intent& aIntent);
  void OnResult(Step& aStep, HostId aFrom, Result aResult);

  /**
   * @brief Speaks for the home of the key, which is taken to be lost.
   * @param aIfUnseen Why it was not run, when it never will be.
   */
  void Speak(Step& aStep,
             const RequestKey& aKey,
             const Route& aRoute,
             Reason aIfUnseen);

  void OnTimers(Step& aStep);
  [[nodiscard]] std::optional<TimePoint> NextTimer() const;

  [[nodiscard]] std::size_t Held() const noexcept { return entries_.size(); }
  [[nodiscard]] std::size_t AnswerBytes() const noexcept
  {
    return answerBytes_;
  }
  [[nodiscard]] const OutcomeCounts& Spoken() const noexcept
  {
    return backupOutcomes_;
  }

private:
  struct Entry
  {
    bool consented_{}; ///< The home may dispatch, or did.
    bool final_{};     ///< No further consent; the verdict stands.
    Told told_;
    std::string answer_;
    TimePoint expiresAt_;
  };

  Entry& Add(Step& aStep, const RequestKey& aKey, Duration aHeldFor);
  [[nodiscard]] Told ToldOfUnseen(Step& aStep,
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
