#ifndef CORNELSHORE_REQUEST_AGENT_HPP
#define CORNELSHORE_REQUEST_AGENT_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include <absl/status/statusor.h>

#include <cornelshore/core/time.hpp>
#include <cornelshore/request/event.hpp>
#include <cornelshore/request/outcome.hpp>
#include <cornelshore/request/settings.hpp>

namespace cornelshore::request {

/** @brief State of an agent's part in requests, for the state dump. */
struct AgentDump
{
  std::size_t ids_{};            ///< Ids held as home.
  std::size_t inProgress_{};     ///< Ids as home without an outcome.
  std::size_t backupIds_{};      ///< Ids held as backup.
  std::size_t runs_{};           ///< Attempts held as executor.
  std::size_t runsInProgress_{}; ///< Attempts as executor without an end.
  std::size_t peers_{};          ///< Peers with a fresh stamp.
  std::size_t bodyBytes_{};
  std::size_t answerBytes_{};
  std::uint64_t retries_{};       ///< Attempts after a lost one.
  std::uint64_t redispatches_{};  ///< Attempts after a refused one.
  std::uint64_t retriesDenied_{}; ///< Retries beyond the budget.
  std::uint64_t ticketsGiven_{};
  std::uint64_t ticketsRefused_{};
  bool leaving_{};
  OutcomeCounts outcomes_; ///< As home, one for each id.
  OutcomeCounts
    backupOutcomes_; ///< As backup for a lost home, one for each reply.
};

/** @brief Whether the configuration calls a class's requests idempotent. */
using RepeatableHook = std::function<bool(ClassId)>;

/**
 * @brief One agent's part in requests: home, backup and executor.
 *
 * As home it owns the ids of the tickets it gave and tells their outcomes. As
 * backup it consents to a dispatch once and speaks for a lost home. As
 * executor it runs attempts of other homes at its upstream.
 */
class Agent
{
public:
  /** @brief Handles one event; timers that are due are handled first. */
  [[nodiscard]] std::vector<Action> On(TimePoint aNow, Event aEvent);

  /** @brief When `Tick` is due next; nothing when no timer is set. */
  [[nodiscard]] std::optional<TimePoint> NextTimer() const;

  [[nodiscard]] AgentDump Dump(TimePoint aNow) const;

  Agent(const Agent& aOther);
  Agent(Agent&& aOther) noexcept;
  Agent& operator=(const Agent& aOther);
  Agent& operator=(Agent&& aOther) noexcept;
  ~Agent();

private:
  friend class AgentBuilder;
  struct State;

  explicit Agent(std::unique_ptr<State> aState);

  std::unique_ptr<State> state_;
};

/** @brief Builds an `Agent`. */
class AgentBuilder
{
public:
  AgentBuilder& With(AgentSettings aSettings);
  /** @brief Without the hook every class is non-repeatable. */
  AgentBuilder& WithRepeatable(RepeatableHook aHook);

  /** @return The agent, or `InvalidArgument` naming the setting. */
  [[nodiscard]] absl::StatusOr<Agent> Build() const;

private:
  AgentSettings settings_;
  RepeatableHook repeatable_;
};

} // namespace cornelshore::request

#endif
