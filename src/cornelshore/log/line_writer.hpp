#ifndef CORNELSHORE_LOG_LINE_WRITER_HPP
#define CORNELSHORE_LOG_LINE_WRITER_HPP

#include <cstdint>
#include <string_view>

namespace cornelshore::log {

/**
 * @brief Writes lines to a descriptor that may stop taking them.
 *
 * Waits for a descriptor that takes nothing only once and shortly; until it
 * takes lines again they are dropped and counted.
 */
class LineWriter
{
public:
  explicit LineWriter(int aOutput) noexcept;

  /**
   * @brief Writes one line, without its end, or drops it.
   * @param aDropped Lines that were dropped elsewhere, in all.
   */
  void Write(std::string_view aLine, std::uint64_t aDropped);

  /** @brief Lines dropped here so far. */
  [[nodiscard]] std::uint64_t Dropped() const noexcept { return dropped_; }

private:
  [[nodiscard]] bool TakesLines() const noexcept;
  [[nodiscard]] bool Put(std::string_view aLine);

  int output_;
  bool blocked_{};
  std::uint64_t dropped_{};
  std::uint64_t reported_{};
};

} // namespace cornelshore::log

#endif
