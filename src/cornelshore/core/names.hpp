#ifndef CORNELSHORE_CORE_NAMES_HPP
#define CORNELSHORE_CORE_NAMES_HPP

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace cornelshore {

/** @brief One row of the name table of an enumeration. */
template<typename Enum>
struct EnumName
{
  Enum value_;
  std::string_view name_;
};

/**
 * @brief Returns the name of an enumerator.
 * @param aTable Name table of the enumeration.
 * @return The name, or `unknown` for a value outside the table.
 */
template<typename Enum, std::size_t Size>
[[nodiscard]] constexpr std::string_view
NameIn(const std::array<EnumName<Enum>, Size>& aTable, Enum aValue) noexcept
{
  for (const auto& row : aTable) {
    if (row.value_ == aValue) {
      return row.name_;
    }
  }
  return "unknown";
}

/** @brief Returns the enumerator of a name, or nothing if the table lacks the
 * name. */
template<typename Enum, std::size_t Size>
[[nodiscard]] constexpr std::optional<Enum>
ValueIn(const std::array<EnumName<Enum>, Size>& aTable,
        std::string_view aName) noexcept
{
  for (const auto& row : aTable) {
    if (row.name_ == aName) {
      return row.value_;
    }
  }
  return std::nullopt;
}

} // namespace cornelshore

#endif
