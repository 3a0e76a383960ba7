#ifndef CORNELSHORE_CORE_DUMP_HPP
#define CORNELSHORE_CORE_DUMP_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace cornelshore {

/** @brief Format-independent tree of state, for dumps. */
class Dump
{
public:
  using Field = std::pair<std::string, Dump>;
  using Fields = std::vector<Field>;
  using Items = std::vector<Dump>;
  using Value = std::variant<Fields,
                             Items,
                             std::uint64_t,
                             std::int64_t,
                             double,
                             bool,
                             std::string>;

  Dump() = default;
  Dump(Items aItems)
    : value_(std::move(aItems))
  {
  }
  Dump(std::uint64_t aValue)
    : value_(aValue)
  {
  }
  Dump(std::uint32_t aValue)
    : value_(std::uint64_t{ aValue })
  {
  }
  Dump(std::int64_t aValue)
    : value_(aValue)
  {
  }
  Dump(double aValue)
    : value_(aValue)
  {
  }
  Dump(bool aValue)
    : value_(aValue)
  {
  }
  Dump(std::string aValue)
    : value_(std::move(aValue))
  {
  }
  Dump(std::string_view aValue)
    : value_(std::string(aValue))
  {
  }
  Dump(const char* aValue)
    : value_(std::string(aValue))
  {
  }

  /** @brief Adds one field. The dump must have been constructed without a
   * value. */
  Dump& With(std::string_view aName, Dump aValue)
  {
    std::get<Fields>(value_).emplace_back(std::string(aName),
                                          std::move(aValue));
    return *this;
  }

  [[nodiscard]] const Value& Get() const noexcept { return value_; }

private:
  Value value_;
};

} // namespace cornelshore

#endif
