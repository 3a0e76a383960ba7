#ifndef CORNELSHORE_TOOL_RENDER_HPP
#define CORNELSHORE_TOOL_RENDER_HPP

#include <string>
#include <vector>

#include <json/json.h>

namespace cornelshore::tool {

/** @brief JSON text in one line. */
[[nodiscard]] std::string ToJsonLine(const Json::Value& aValue);

/** @brief Parses JSON text; null when it is none. */
[[nodiscard]] Json::Value FromJson(const std::string& aText);

/** @brief Member of a JSON object; null where there is none, or no object. */
[[nodiscard]] const Json::Value& Member(const Json::Value& aObject,
                                        const std::string& aName);

/** @brief A JSON value as text: a scalar plainly, all others as JSON. */
[[nodiscard]] std::string TextOf(const Json::Value& aValue);

/**
 * @brief List of JSON objects as a table for people; rows that are none are
 * shown as they are.
 * @param aColumns Keys to show, in order.
 */
[[nodiscard]] std::string ToTable(const Json::Value& aRows,
                                  const std::vector<std::string>& aColumns);

/** @brief JSON document as indented `key: value` lines for people. */
[[nodiscard]] std::string ToOutline(const Json::Value& aValue);

} // namespace cornelshore::tool

#endif
