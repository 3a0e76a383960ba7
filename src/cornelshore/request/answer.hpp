#ifndef CORNELSHORE_REQUEST_ANSWER_HPP
#define CORNELSHORE_REQUEST_ANSWER_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <cornelshore/request/message.hpp>

namespace cornelshore::request {

/** @brief Result of adding a part to an assembly. */
enum class PartResult : std::uint8_t
{
  Kept,     ///< More parts are needed.
  Complete, ///< All parts are present and the checksum matches.
  Rejected, ///< Stale attempt, or inconsistent fields.
};

/**
 * @brief Reassembles an answer from the parts of one attempt.
 *
 * Parts of a later attempt replace those of an earlier one; parts of different
 * attempts are never combined.
 */
class AnswerAssembly
{
public:
  /** @brief Adds a part; `aLimit` bounds the whole answer, in bytes. */
  [[nodiscard]] PartResult Take(AnswerPart aPart, std::size_t aLimit);

  /** @brief Moves the answer out, after `Take` returned `Complete`. */
  [[nodiscard]] std::string Release();

private:
  [[nodiscard]] bool Matches(const AnswerPart& aPart) const noexcept;
  void Begin(const AnswerPart& aPart);
  [[nodiscard]] bool Join();

  std::uint32_t attempt_{};
  std::uint32_t length_{};
  std::uint64_t checksum_{};
  std::size_t missing_{};
  std::size_t bytes_{};
  std::vector<std::optional<std::string>> parts_;
  std::string assembled_;
};

} // namespace cornelshore::request

#endif
