#include <cornelshore/settings/table.hpp>

#include <algorithm>
#include <fstream>
#include <iterator>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

namespace cornelshore::settings::internal {

namespace {

constexpr std::size_t kLargestFileBytes = std::size_t{ 1 } << 20U;
constexpr std::size_t kMaxKeyParts = 16;

/** End of the text in quotes that begins at `aBegin`; the end of all text when
 * it is not closed. */
std::size_t
EndOfQuoted(std::string_view aText, std::size_t aBegin)
{
  const auto quote = aText[aBegin];
  const std::string triple(3, quote);
  const bool isLong = aText.substr(aBegin, 3) == triple;
  auto at = aBegin + (isLong ? 3 : 1);
  while (at < aText.size()) {
    if (quote == '"' && aText[at] == '\\') {
      at += 2;
    } else if (isLong && aText.substr(at, 3) == triple) {
      const auto end = aText.find_first_not_of(quote, at);
      return std::min({ end, at + 5, aText.size() });
    } else if (!isLong && aText[at] == quote) {
      return at + 1;
    } else if (!isLong && aText[at] == '\n') {
      return aText.size();
    } else {
      ++at;
    }
  }
  return aText.size();
}

/**
 * Line of the first key with more than `kMaxKeyParts` parts, 0 if there is
 * none. The parser bounds nested values but not the tables of a dotted key, and
 * visits them by recursion.
 */
std::uint32_t
FindDeepKey(std::string_view aText)
{
  std::uint32_t line = 1;
  std::size_t dots = 0;
  for (std::size_t at = 0; at < aText.size();) {
    const auto character = aText[at];
    if (character == '"' || character == '\'') {
      const auto end = EndOfQuoted(aText, at);
      const auto quoted = aText.substr(at, end - at);
      line += static_cast<std::uint32_t>(
        std::count(quoted.begin(), quoted.end(), '\n'));
      at = end;
      continue;
    }
    if (character == '#') {
      at = std::min(aText.find('\n', at), aText.size());
      continue;
    }
    if (character == '.') {
      if (++dots >= kMaxKeyParts) {
        return line;
      }
    } else if (character == '\n' || std::string_view("=[]{},").find(
                                      character) != std::string_view::npos) {
      dots = 0;
    }
    line += character == '\n' ? 1 : 0;
    ++at;
  }
  return 0;
}

} // namespace

void
Problems::Add(std::uint32_t aLine,
              std::string_view aKey,
              std::string_view aWhat)
{
  const std::string key(aKey);
  const std::string what(aWhat);
  lines_.push_back(aLine == 0
                     ? absl::StrCat(file_, ": ", key, ": ", what)
                     : absl::StrCat(file_, ":", aLine, ": ", key, ": ", what));
}

absl::Status
Problems::ToStatus() const
{
  if (lines_.empty()) {
    return absl::OkStatus();
  }
  return absl::InvalidArgumentError(absl::StrJoin(lines_, "\n"));
}

Table::Table(const toml::table& aTable, std::string aPath, Problems& aProblems)
  : table_(aTable)
  , path_(std::move(aPath))
  , problems_(aProblems)
{
}

const toml::node*
Table::Take(std::string_view aKey)
{
  asked_.emplace(aKey);
  return table_.get(aKey);
}

std::string
Table::Path(std::string_view aKey) const
{
  const std::string key(aKey);
  return path_.empty() ? key : absl::StrCat(path_, ".", key);
}

std::uint32_t
Table::LineOf(std::string_view aKey) const
{
  const auto* node = table_.get(aKey);
  return node != nullptr ? node->source().begin.line
                         : table_.source().begin.line;
}

bool
Table::Has(std::string_view aKey) const
{
  return table_.contains(aKey);
}

void
Table::Problem(std::string_view aKey, std::string_view aWhat)
{
  problems_.Add(LineOf(aKey), Path(aKey), aWhat);
}

std::string
Table::Text(std::string_view aKey)
{
  if (!Has(aKey)) {
    asked_.emplace(aKey);
    Problem(aKey, "is missing; write text in quotes");
    return {};
  }
  auto text = TextOr(aKey, "");
  if (text.empty() && table_.get(aKey)->is_string()) {
    Problem(aKey, "is empty; write text in quotes");
  }
  return text;
}

std::string
Table::TextOr(std::string_view aKey, std::string_view aDefault)
{
  const auto* node = Take(aKey);
  if (node == nullptr) {
    return std::string(aDefault);
  }
  const auto value = node->value_exact<std::string>();
  if (!value) {
    Problem(aKey, "is no text; write text in quotes");
    return std::string(aDefault);
  }
  return *value;
}

std::int64_t
Table::Integer(std::string_view aKey, std::int64_t aLeast, std::int64_t aMost)
{
  if (!Has(aKey)) {
    asked_.emplace(aKey);
    Problem(aKey,
            absl::StrCat(
              "is missing; write an integer from ", aLeast, " to ", aMost));
    return aLeast;
  }
  return IntegerOr(aKey, aLeast, aMost, aLeast);
}

std::int64_t
Table::IntegerOr(std::string_view aKey,
                 std::int64_t aLeast,
                 std::int64_t aMost,
                 std::int64_t aDefault)
{
  const auto* node = Take(aKey);
  if (node == nullptr) {
    return aDefault;
  }
  const auto value = node->value_exact<std::int64_t>();
  if (!value) {
    Problem(aKey,
            absl::StrCat(
              "is no integer; write an integer from ", aLeast, " to ", aMost));
    return aDefault;
  }
  if (*value < aLeast || *value > aMost) {
    Problem(aKey,
            absl::StrCat(
              *value, " is out of range; allowed is ", aLeast, " to ", aMost));
    return aDefault;
  }
  return *value;
}

double
Table::RealOr(std::string_view aKey,
              double aLeast,
              double aMost,
              double aDefault)
{
  const auto* node = Take(aKey);
  if (node == nullptr) {
    return aDefault;
  }
  if (!node->is_number()) {
    Problem(aKey,
            absl::StrCat(
              "is no number; write a number from ", aLeast, " to ", aMost));
    return aDefault;
  }
  const auto value = *node->value<double>();
  if (!(value >= aLeast && value <= aMost)) {
    Problem(aKey,
            absl::StrCat(
              value, " is out of range; allowed is ", aLeast, " to ", aMost));
    return aDefault;
  }
  return value;
}

bool
Table::BoolOr(std::string_view aKey, bool aDefault)
{
  const auto* node = Take(aKey);
  if (node == nullptr) {
    return aDefault;
  }
  const auto value = node->value_exact<bool>();
  if (!value) {
    Problem(aKey, "is neither true nor false");
    return aDefault;
  }
  return *value;
}

Address
Table::AddressAt(std::string_view aKey)
{
  if (!Has(aKey)) {
    asked_.emplace(aKey);
    Problem(aKey, "is missing; write \"192.0.2.1:80\" or \"[2001:db8::1]:80\"");
    return {};
  }
  return AddressOr(aKey);
}

Address
Table::AddressOr(std::string_view aKey)
{
  const auto* node = Take(aKey);
  if (node == nullptr) {
    return {};
  }
  const auto value = node->value_exact<std::string>();
  const auto address = ParseAddress(value.value_or(""));
  if (!address.ok()) {
    Problem(aKey, std::string(address.status().message()));
    return {};
  }
  return *address;
}

std::vector<Address>
Table::Addresses(std::string_view aKey)
{
  const auto* node = Take(aKey);
  const auto* list = node == nullptr ? nullptr : node->as_array();
  if (list == nullptr || list->empty()) {
    Problem(aKey, "must be a list of at least one address: [\"192.0.2.1:80\"]");
    return {};
  }
  std::vector<Address> addresses;
  for (const auto& item : *list) {
    const auto address =
      ParseAddress(item.value_exact<std::string>().value_or(""));
    if (address.ok()) {
      addresses.push_back(*address);
    } else {
      Problem(aKey, std::string(address.status().message()));
    }
  }
  return addresses;
}

std::string
Table::OneOf(std::string_view aKey,
             const std::vector<std::string>& aAllowed,
             std::string_view aDefault)
{
  auto text = TextOr(aKey, aDefault);
  if (std::find(aAllowed.begin(), aAllowed.end(), text) == aAllowed.end()) {
    Problem(aKey,
            absl::StrCat(text.empty() ? "is missing"
                                      : absl::StrCat("'", text, "' is unknown"),
                         "; allowed is ",
                         absl::StrJoin(aAllowed, ", ")));
  }
  return text;
}

bool
Table::Child(std::string_view aKey, const std::function<void(Table&)>& aRead)
{
  const auto* node = Take(aKey);
  if (node == nullptr) {
    return false;
  }
  const auto* table = node->as_table();
  if (table == nullptr) {
    Problem(aKey, absl::StrCat("is no table; write [", Path(aKey), "]"));
    return false;
  }
  Table child(*table, Path(aKey), problems_);
  aRead(child);
  child.Finish();
  return true;
}

std::size_t
Table::Children(std::string_view aKey, const std::function<void(Table&)>& aRead)
{
  const auto* node = Take(aKey);
  if (node == nullptr) {
    return 0;
  }
  const auto* list = node->as_array();
  if (list == nullptr || !list->is_homogeneous(toml::node_type::table)) {
    Problem(aKey,
            absl::StrCat("is no list of tables; write [[", Path(aKey), "]]"));
    return 0;
  }
  std::size_t index = 0;
  for (const auto& item : *list) {
    Table child(
      *item.as_table(), absl::StrCat(Path(aKey), "[", index++, "]"), problems_);
    aRead(child);
    child.Finish();
  }
  return index;
}

void
Table::Finish()
{
  std::vector<std::string> known(asked_.begin(), asked_.end());
  for (const auto& [key, node] : table_) {
    if (asked_.find(key.str()) == asked_.end()) {
      Problem(key.str(),
              absl::StrCat("is unknown; allowed here is ",
                           absl::StrJoin(known, ", ")));
    }
  }
}

absl::StatusOr<std::shared_ptr<const toml::table>>
ParseFile(const std::string& aFile)
{
  std::ifstream stream(aFile, std::ios::binary);
  if (!stream) {
    return absl::NotFoundError(
      absl::StrCat(aFile, ": cannot be read; check the path and permissions"));
  }
  std::string text(kLargestFileBytes + 1, '\0');
  stream.read(text.data(), static_cast<std::streamsize>(text.size()));
  text.resize(static_cast<std::size_t>(stream.gcount()));
  if (text.size() > kLargestFileBytes) {
    return absl::InvalidArgumentError(
      absl::StrCat(aFile, ": is larger than 1 MiB"));
  }
  if (const auto line = FindDeepKey(text); line != 0) {
    return absl::InvalidArgumentError(absl::StrCat(
      aFile, ":", line, ": a key has more than ", kMaxKeyParts, " parts"));
  }
  try {
    return std::make_shared<const toml::table>(toml::parse(text, aFile));
  } catch (const toml::parse_error& error) {
    const std::string what(error.description());
    return absl::InvalidArgumentError(absl::StrCat(
      aFile, ":", error.source().begin.line, ": is no valid TOML: ", what));
  }
}

} // namespace cornelshore::settings::internal
