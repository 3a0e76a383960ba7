#ifndef CORNELSHORE_WIRE_READER_HPP
#define CORNELSHORE_WIRE_READER_HPP

#include <cstddef>
#include <cstdint>
#include <limits>
#include <string_view>

#include <absl/status/status.h>

#include <cornelshore/core/address.hpp>
#include <cornelshore/core/flow_key.hpp>
#include <cornelshore/core/time.hpp>
#include <cornelshore/core/types.hpp>

namespace cornelshore::wire {

/**
 * @brief Reads MessagePack values written by `Writer`, in the same order.
 *
 * The first value that is missing, of another kind or out of its range makes
 * the reader fail for good; later reads give zero values. Callers check
 * `Finish()` once, at the end. Nothing is allocated for a length that the
 * input merely claims.
 */
class Reader
{
public:
  /** @param aInput Read from; must outlive the reader and its views. */
  explicit Reader(std::string_view aInput) noexcept
    : input_(aInput)
  {
  }

  /** @brief Unsigned integer of at most `aMost`. */
  std::uint64_t Uint(
    std::uint64_t aMost = std::numeric_limits<std::uint64_t>::max());
  std::int64_t Int();
  bool Bool();
  /** @brief View of at most `aMost` bytes of the input. */
  std::string_view Bytes(std::size_t aMost);
  /** @brief Length of a list, at most `aMost`. */
  std::size_t List(std::size_t aMost);

  void Read(Address& aAddress);
  void Read(FlowKey& aKey);
  void Read(RequestId& aId);
  void Read(Duration& aDuration);

  template<typename Tag, typename Value>
  void Read(StrongId<Tag, Value>& aId)
  {
    aId.value_ = static_cast<Value>(Uint(std::numeric_limits<Value>::max()));
  }

  /** @brief Unsigned integer that fits the type. */
  template<typename Value>
  Value Number()
  {
    return static_cast<Value>(Uint(std::numeric_limits<Value>::max()));
  }

  /** @brief Enumeration's value, from 0 to its last one. */
  template<typename Enum>
  Enum Enumerator(Enum aLast)
  {
    return static_cast<Enum>(Uint(static_cast<std::uint64_t>(aLast)));
  }

  /** @brief Makes the reader fail; for a value that means nothing. */
  void Fail() noexcept { failed_ = true; }

  /** @brief Tells whether every read so far succeeded. */
  [[nodiscard]] bool Good() const noexcept { return !failed_; }

  /** @brief Input not yet read. */
  [[nodiscard]] std::string_view Rest() const noexcept { return input_; }

  /**
   * @brief Whether all reads succeeded and nothing is left.
   * @return OK, or `InvalidArgument`.
   */
  [[nodiscard]] absl::Status Finish() const;

private:
  std::string_view input_;
  bool failed_{};
};

} // namespace cornelshore::wire

#endif
