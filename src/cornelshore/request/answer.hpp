#ifndef CORNELSHORE_REQUEST_ANSWER_HPP
#define CORNELSHORE_REQUEST_ANSWER_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <cornelshore/request/message.hpp>

namespace cornelshore::request {

/** @brief What a part did to an assembly. */
enum class PartEffect : std::uint8_t
{
  Kept,     ///< More parts are needed.
  Whole,    ///< The answer is whole and its checksum right.
  Rejected, ///< It belongs to another attempt, or cannot be true.
};

/**
 * @brief Puts the parts of one attempt's answer together.
 *
 * Parts of a later attempt replace those of an earlier one; parts of two
 * attempts are never joined.
 */
class AnswerAssembly
{
public:
  /** @brief Takes a part; `aLimit` bounds the whole answer, in bytes. */
  [[nodiscard]] PartEffect Take(AnswerPart aPart, std::size_t aLimit);

  /** @brief The answer, after `Whole`; the assembly is empty afterwards. */
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
  std::string whole_;
};

} // namespace cornelshore::request

#endif
