#ifndef CORNELSHORE_WIRE_WRITER_HPP
#define CORNELSHORE_WIRE_WRITER_HPP

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include <cornelshore/core/address.hpp>
#include <cornelshore/core/flow_key.hpp>
#include <cornelshore/core/time.hpp>
#include <cornelshore/core/types.hpp>

namespace cornelshore::wire {

/** @brief Appends MessagePack values to a buffer, one field after the other. */
class Writer
{
public:
  /** @param aOut Appended to; must outlive the writer. */
  explicit Writer(std::string& aOut) noexcept
    : out_(aOut)
  {
  }

  void Uint(std::uint64_t aValue);
  void Int(std::int64_t aValue);
  void Bool(bool aValue);
  void Bytes(std::string_view aValue);
  /** @brief Starts a list; its `aCount` items follow. */
  void List(std::size_t aCount);

  void Write(const Address& aAddress);
  void Write(const FlowKey& aKey);
  void Write(const RequestId& aId);
  /** @brief Writes a length of time in microseconds. */
  void Write(Duration aDuration);

  template<typename Tag, typename Value>
  void Write(const StrongId<Tag, Value>& aId)
  {
    Uint(aId.value_);
  }

private:
  std::string& out_;
};

} // namespace cornelshore::wire

#endif
