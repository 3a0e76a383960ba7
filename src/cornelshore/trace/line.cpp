#include <cornelshore/trace/line.hpp>

#include <algorithm>
#include <chrono>

#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

namespace cornelshore::trace {

namespace {

/** Takes one `key=value` off the front; nothing when there is none. */
std::optional<std::pair<std::string, std::string>>
TakePair(std::string_view& aText)
{
  const auto start = aText.find_first_not_of(' ');
  const auto equals = aText.find('=');
  if (start == std::string_view::npos || equals == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string key(aText.substr(start, equals - start));
  aText.remove_prefix(equals + 1);
  if (aText.empty() || aText.front() != '"') {
    const auto end = std::min(aText.find(' '), aText.size());
    std::string value(aText.substr(0, end));
    aText.remove_prefix(end);
    return std::pair(key, std::move(value));
  }
  std::size_t end = 1;
  while (end < aText.size() && aText[end] != '"') {
    end += aText[end] == '\\' ? 2 : 1;
  }
  std::string value;
  const auto quoted = aText.substr(1, std::min(end, aText.size()) - 1);
  if (!absl::CUnescape({ quoted.data(), quoted.size() }, &value)) {
    return std::nullopt;
  }
  aText.remove_prefix(std::min(end + 1, aText.size()));
  return std::pair(key, std::move(value));
}

/** Microseconds since 1970 of `2026-12-04T11:10:56.123456`. */
std::optional<std::int64_t>
ParseTime(std::string_view aText)
{
  const std::vector<std::string> parts =
    absl::StrSplit(std::string(aText), absl::ByAnyChar("-T:."));
  std::vector<int> numbers;
  for (const auto& part : parts) {
    int number = 0;
    if (!absl::SimpleAtoi(part, &number)) {
      return std::nullopt;
    }
    numbers.push_back(number);
  }
  constexpr std::size_t kParts = 7;
  constexpr std::size_t kFraction = 6;
  if (numbers.size() != kParts || parts[kFraction].size() != kFraction) {
    return std::nullopt;
  }
  using namespace std::chrono;
  const year_month_day date{ year{ numbers[0] },
                             month{ static_cast<unsigned>(numbers[1]) },
                             day{ static_cast<unsigned>(numbers[2]) } };
  if (!date.ok()) {
    return std::nullopt;
  }
  const auto time = sys_days{ date }.time_since_epoch() + hours{ numbers[3] } +
                    minutes{ numbers[4] } + seconds{ numbers[5] } +
                    microseconds{ numbers[kFraction] };
  return duration_cast<microseconds>(time).count();
}

} // namespace

std::string_view
Line::Field(std::string_view aKey) const
{
  const auto found =
    std::find_if(fields_.begin(), fields_.end(), [&](const auto& aField) {
      return aField.first == aKey;
    });
  return found == fields_.end() ? std::string_view() : found->second;
}

std::int64_t
Line::Number(std::string_view aKey) const
{
  std::int64_t number = 0;
  const auto text = Field(aKey);
  return absl::SimpleAtoi(std::string(text), &number) ? number : 0;
}

std::optional<Line>
ParseLine(std::string_view aText)
{
  const auto start = aText.find("time=");
  if (start == std::string_view::npos) {
    return std::nullopt;
  }
  aText.remove_prefix(start);
  Line line;
  std::optional<std::int64_t> time;
  while (auto pair = TakePair(aText)) {
    auto& [key, value] = *pair;
    if (key == "time" && !time) {
      time = ParseTime(value);
    } else if (key == "process" && line.process_.empty()) {
      line.process_ = std::move(value);
    } else if (key == "event" && line.event_.empty()) {
      line.event_ = std::move(value);
    } else {
      line.fields_.push_back(std::move(*pair));
    }
  }
  if (!time || line.process_.empty() || line.event_.empty()) {
    return std::nullopt;
  }
  line.micros_ = *time;
  return line;
}

} // namespace cornelshore::trace
