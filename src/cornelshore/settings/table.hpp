#ifndef CORNELSHORE_SETTINGS_TABLE_HPP
#define CORNELSHORE_SETTINGS_TABLE_HPP

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <toml++/toml.h>

#include <cornelshore/core/address.hpp>

namespace cornelshore::settings::internal {

/** @brief Problems found in one file, each with its line and key. */
class Problems
{
public:
  explicit Problems(std::string aFile)
    : file_(std::move(aFile))
  {
  }

  /**
   * @brief Adds one problem.
   * @param aLine Line of the file; 0 when the key is missing.
   * @param aKey Full key, such as `agent.slots`.
   * @param aWhat What is wrong and what is allowed.
   */
  void Add(std::uint32_t aLine, std::string_view aKey, std::string_view aWhat);

  /** @brief OK, or `InvalidArgument` with one line a problem. */
  [[nodiscard]] absl::Status ToStatus() const;

private:
  std::string file_;
  std::vector<std::string> lines_;
};

/**
 * @brief Checked view of one TOML table.
 *
 * Each accessor checks type and range, and records a problem instead of
 * failing, so that one run reports everything that is wrong. `Finish()`
 * reports the keys that no accessor asked for.
 */
class Table
{
public:
  Table(const toml::table& aTable, std::string aPath, Problems& aProblems);

  /** @brief Text that must be there and not be empty. */
  std::string Text(std::string_view aKey);
  /** @brief Text, or `aDefault` when the key is missing. */
  std::string TextOr(std::string_view aKey, std::string_view aDefault);
  /** @brief Integer in [`aLeast`, `aMost`] that must be there. */
  std::int64_t Integer(std::string_view aKey,
                       std::int64_t aLeast,
                       std::int64_t aMost);
  /** @brief Integer in [`aLeast`, `aMost`], or `aDefault`. */
  std::int64_t IntegerOr(std::string_view aKey,
                         std::int64_t aLeast,
                         std::int64_t aMost,
                         std::int64_t aDefault);
  /** @brief Real number in [`aLeast`, `aMost`], or `aDefault`. */
  double RealOr(std::string_view aKey,
                double aLeast,
                double aMost,
                double aDefault);
  bool BoolOr(std::string_view aKey, bool aDefault);
  /** @brief Address that must be there. */
  Address AddressAt(std::string_view aKey);
  /** @brief Address, or the zero address when the key is missing. */
  Address AddressOr(std::string_view aKey);
  /** @brief List of at least one address. */
  std::vector<Address> Addresses(std::string_view aKey);
  /** @brief One of the names allowed, or `aDefault`; must be there if empty. */
  std::string OneOf(std::string_view aKey,
                    const std::vector<std::string>& aAllowed,
                    std::string_view aDefault);

  /** @brief Calls `aRead` with the table of that key, if it is there. */
  bool Child(std::string_view aKey, const std::function<void(Table&)>& aRead);
  /** @brief Calls `aRead` with each table of a list of tables. */
  std::size_t Children(std::string_view aKey,
                       const std::function<void(Table&)>& aRead);

  /** @brief Records a problem with one key of this table. */
  void Problem(std::string_view aKey, std::string_view aWhat);
  /** @brief Whether the key is there. */
  [[nodiscard]] bool Has(std::string_view aKey) const;
  /** @brief Reports the keys that nobody asked for. */
  void Finish();

private:
  const toml::node* Take(std::string_view aKey);
  std::string Path(std::string_view aKey) const;
  std::uint32_t LineOf(std::string_view aKey) const;

  const toml::table& table_;
  std::string path_;
  Problems& problems_;
  std::set<std::string, std::less<>> asked_;
};

/**
 * @brief Reads and parses a TOML file of at most 1 MiB.
 * @return The table, `NotFound`, or `InvalidArgument` with file and line.
 */
[[nodiscard]] absl::StatusOr<std::shared_ptr<const toml::table>> ParseFile(
  const std::string& aFile);

} // namespace cornelshore::settings::internal

#endif
