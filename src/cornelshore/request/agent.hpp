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

/** @brief State dump of an agent's request handling. */
struct AgentDump
{
  std::size_t ids_{};            ///< Ids held as home.
  std::size_t inProgress_{};     ///< Ids as home without an outcome.
  std::size_t backupIds_{};      ///< Ids held as backup.
  std::size_t runs_{};           ///< Attempts held as executor.
  std::size_t runsInProgress_{}; ///< Unfinished attempts as executor.
  std::size_t peers_{};          ///< Peers with a fresh stamp.
  std::size_t bodyBytes_{};
  std::size_t answerBytes_{};
  std::uint64_t retries_{};       ///< Attempts after a lost attempt.
  std::uint64_t redispatches_{};  ///< Attempts after a refusal.
  std::uint64_t retriesDenied_{}; ///< Attempts denied by the retry budget.
  std::uint64_t ticketsGiven_{};
  std::uint64_t ticketsRefused_{};
  bool leaving_{};
  OutcomeCounts outcomes_;       ///< As home, one per id.
  OutcomeCounts backupOutcomes_; ///< As backup for a lost home, one per reply.
};

/** @brief Whether requests of a class are configured as idempotent. */
using RepeatableHook = std::function<bool(ClassId)>;

/**
 * @brief Request handling of one agent, as home, backup and executor.
 *
 * The home owns the ids of the tickets that it issued and reports their
 * outcomes. The backup consents to a dispatch once and answers for a lost home.
 * The executor runs attempts of other homes at its own upstream.
 */
class Agent
{
public:
  /** @brief Handles one event, after the timers that are due. */
  [[nodiscard]] std::vector<Action> On(TimePoint aNow, Event aEvent);

  /** @brief Time of the next due `Tick`; nothing if no timer is set. */
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
  /** @brief Without a hook no class is repeatable. */
  AgentBuilder& WithRepeatable(RepeatableHook aHook);

  /** @return The agent, or `InvalidArgument` naming the setting. */
  [[nodiscard]] absl::StatusOr<Agent> Build() const;

private:
  AgentSettings settings_;
  RepeatableHook repeatable_;
};

} // namespace cornelshore::request

#endif
