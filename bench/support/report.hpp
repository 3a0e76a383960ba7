#ifndef CORNELSHORE_BENCH_SUPPORT_REPORT_HPP
#define CORNELSHORE_BENCH_SUPPORT_REPORT_HPP

#include <charconv>
#include <cstdint>
#include <cstdio>
#include <string_view>

namespace cornelshore::bench {

/** @brief What `scripts/measure NAME` hands to a measurement. */
struct Options
{
  std::uint64_t seed_{ 20260101 };
  std::uint64_t schedules_{}; ///< 0: the measurement's own default.
  bool valid_{ true };

  /** @brief Number of schedules to run, or the default given. */
  [[nodiscard]] std::uint64_t SchedulesOr(std::uint64_t aDefault) const
  {
    return schedules_ == 0 ? aDefault : schedules_;
  }
};

/** @brief Reads `--seed S` and `--schedules N`. */
inline Options
ParseOptions(int aCount, char** aArguments)
{
  Options options;
  const auto number = [&options](std::string_view aText) {
    std::uint64_t value = 0;
    const auto* end = aText.data() + aText.size();
    const auto parsed = std::from_chars(aText.data(), end, value);
    options.valid_ &= parsed.ec == std::errc{} && parsed.ptr == end;
    return value;
  };
  for (int index = 1; index < aCount; index += 2) {
    const std::string_view name = aArguments[index];
    if (index + 1 < aCount && name == "--seed") {
      options.seed_ = number(aArguments[index + 1]);
    } else if (index + 1 < aCount && name == "--schedules") {
      options.schedules_ = number(aArguments[index + 1]);
    } else {
      options.valid_ = false;
    }
  }
  if (!options.valid_) {
    std::fputs("usage: [--seed S] [--schedules N]\n", stderr);
  }
  return options;
}

/** @brief Prints figures as key=value lines and remembers missed bounds. */
class Report
{
public:
  void Value(std::string_view aKey, double aValue)
  {
    std::printf(
      "%.*s=%.6g\n", static_cast<int>(aKey.size()), aKey.data(), aValue);
  }

  void Text(std::string_view aKey, std::string_view aValue)
  {
    std::printf("%.*s=%.*s\n",
                static_cast<int>(aKey.size()),
                aKey.data(),
                static_cast<int>(aValue.size()),
                aValue.data());
  }

  /** @brief Prints a figure that an issue bounds from above. */
  void AtMost(std::string_view aKey, double aValue, double aBound)
  {
    Value(aKey, aValue);
    Judge(aKey, aValue <= aBound, "at_most", aBound);
  }

  /** @brief Prints a figure that an issue bounds from below. */
  void AtLeast(std::string_view aKey, double aValue, double aBound)
  {
    Value(aKey, aValue);
    Judge(aKey, aValue >= aBound, "at_least", aBound);
  }

  /** @brief 0 when every bound held, else 1; the program's exit code. */
  [[nodiscard]] int ExitCode() const
  {
    std::printf("missed_bounds=%d\n", missed_);
    return missed_ == 0 ? 0 : 1;
  }

private:
  void Judge(std::string_view aKey,
             bool aHolds,
             const char* aSense,
             double aBound)
  {
    if (!aHolds) {
      ++missed_;
    }
    std::printf("%.*s.bound=%s:%.6g:%s\n",
                static_cast<int>(aKey.size()),
                aKey.data(),
                aSense,
                aBound,
                aHolds ? "held" : "missed");
  }

  int missed_{};
};

} // namespace cornelshore::bench

#endif
