#ifndef CORNELSHORE_TRACE_LINE_HPP
#define CORNELSHORE_TRACE_LINE_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cornelshore::trace {

/** @brief One line of a process's log, read back. */
struct Line
{
  std::int64_t micros_{}; ///< By the process's clock, since 1970.
  std::string process_;
  std::string event_;
  std::vector<std::pair<std::string, std::string>> fields_; ///< The others.

  /** @brief Value of a field, or empty. */
  [[nodiscard]] std::string_view Field(std::string_view aKey) const;

  /** @brief Value of a field as a whole number, or 0. */
  [[nodiscard]] std::int64_t Number(std::string_view aKey) const;
};

/**
 * @brief Reads a line; what stands before `time=` is passed over.
 * @return Nothing for a line that no process of the system wrote.
 */
[[nodiscard]] std::optional<Line> ParseLine(std::string_view aText);

} // namespace cornelshore::trace

#endif
