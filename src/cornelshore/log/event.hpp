#ifndef CORNELSHORE_LOG_EVENT_HPP
#define CORNELSHORE_LOG_EVENT_HPP

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

#include <cornelshore/core/names.hpp>

namespace cornelshore::log {

/** @brief How much an event matters to who reads the log. */
enum class Level : std::uint8_t
{
  Debug,
  Info,
  Warning,
  Error,
};

/** @brief Names of `Level`, as the settings write them. */
inline constexpr std::array<EnumName<Level>, 4> kLevelNames{ {
  { Level::Debug, "debug" },
  { Level::Info, "info" },
  { Level::Warning, "warning" },
  { Level::Error, "error" },
} };

/**
 * @brief One event as a line of `key=value` pairs.
 *
 * Values with spaces, quotes or control characters are quoted and escaped, so
 * that no input can forge a second line or pair.
 */
class Event
{
public:
  /** @param aName Value of the leading `event` key. */
  explicit Event(std::string_view aName);

  Event& With(std::string_view aKey, std::string_view aValue);
  Event& With(std::string_view aKey, std::uint64_t aValue);

  /** @brief The line, without a line end. */
  [[nodiscard]] const std::string& Line() const noexcept { return line_; }

private:
  std::string line_;
};

/**
 * @brief Sets up the process's log on standard output.
 *
 * A thread of its own writes the lines, from a bounded ring. Lines are dropped
 * and counted when the ring is full or standard output takes nothing; the
 * count follows as `event=log_lines_dropped` as soon as it takes lines again.
 *
 * @param aOutput Descriptor to write to; standard output unless tests say
 * otherwise.
 */
void Start(Level aLeast, std::string_view aProcess, int aOutput = 1);

/** @brief Writes the event as one line when its level is enabled; never waits.
 */
void Write(Level aLevel, const Event& aEvent);

/** @brief Writes what the ring holds, as far as the output takes it, and ends
 * the thread. */
void Stop();

} // namespace cornelshore::log

#endif
