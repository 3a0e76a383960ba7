#include <cornelshore/tool/render.hpp>

#include <algorithm>
#include <sstream>

#include <absl/strings/str_cat.h>

namespace cornelshore::tool {

namespace {

std::string
CellOf(const Json::Value& aValue)
{
  return aValue.isConvertibleTo(Json::stringValue) ? aValue.asString()
                                                   : ToJsonLine(aValue);
}

std::string
Padded(const std::string& aText, std::size_t aWidth)
{
  return aText + std::string(aWidth - std::min(aWidth, aText.size()) + 2, ' ');
}

void
AppendOutline(const Json::Value& aValue, std::size_t aDepth, std::string& aOut)
{
  const std::string indent(2 * aDepth, ' ');
  const auto append = [&](const std::string& aName, const Json::Value& aChild) {
    if (aChild.isObject() || aChild.isArray()) {
      absl::StrAppend(&aOut, indent, aName, ":\n");
      AppendOutline(aChild, aDepth + 1, aOut);
      return;
    }
    absl::StrAppend(&aOut, indent, aName, ": ", CellOf(aChild), "\n");
  };
  if (aValue.isArray()) {
    for (Json::ArrayIndex index = 0; index < aValue.size(); ++index) {
      append(absl::StrCat("- ", index), aValue[index]);
    }
    return;
  }
  for (const auto& name : aValue.getMemberNames()) {
    append(name, aValue[name]);
  }
}

} // namespace

std::string
ToJsonLine(const Json::Value& aValue)
{
  Json::StreamWriterBuilder writer;
  writer["indentation"] = "";
  return Json::writeString(writer, aValue);
}

Json::Value
FromJson(const std::string& aText)
{
  Json::Value value;
  std::istringstream stream(aText);
  try {
    if (!Json::parseFromStream(
          Json::CharReaderBuilder(), stream, &value, nullptr)) {
      return {};
    }
  } catch (const Json::Exception&) { // Nested beyond the parser's bound.
    return {};
  }
  return value;
}

const Json::Value&
Member(const Json::Value& aObject, const std::string& aName)
{
  return aObject.isObject() ? aObject[aName] : Json::Value::nullSingleton();
}

std::string
TextOf(const Json::Value& aValue)
{
  return CellOf(aValue);
}

std::string
ToTable(const Json::Value& aRows, const std::vector<std::string>& aColumns)
{
  std::vector<std::size_t> widths;
  for (const auto& column : aColumns) {
    auto width = column.size();
    for (const auto& row : aRows) {
      width = std::max(width, CellOf(Member(row, column)).size());
    }
    widths.push_back(width);
  }
  std::string out;
  for (std::size_t index = 0; index < aColumns.size(); ++index) {
    out += Padded(aColumns[index], widths[index]);
  }
  out += "\n";
  for (const auto& row : aRows) {
    if (!row.isObject()) {
      out += "(no row: " + CellOf(row) + ")\n";
      continue;
    }
    for (std::size_t index = 0; index < aColumns.size(); ++index) {
      out += Padded(CellOf(row[aColumns[index]]), widths[index]);
    }
    out += "\n";
  }
  return out;
}

std::string
ToOutline(const Json::Value& aValue)
{
  std::string out;
  if (aValue.isObject() || aValue.isArray()) {
    AppendOutline(aValue, 0, out);
  } else {
    out = CellOf(aValue) + "\n";
  }
  return out;
}

} // namespace cornelshore::tool
