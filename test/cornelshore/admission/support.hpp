#ifndef CORNELSHORE_TEST_ADMISSION_SUPPORT_HPP
#define CORNELSHORE_TEST_ADMISSION_SUPPORT_HPP

#include <cstdint>
#include <string>
#include <vector>

#include <cornelshore/admission/work.hpp>
#include <cornelshore/core/target.hpp>

namespace cornelshore::admission {

/** @brief Compact description of a class target. */
struct Row
{
  std::string name_;
  std::uint8_t urgency_{};
  std::uint16_t most_{ kFullShare };
  std::uint16_t keeps_{};
};

/** @brief Builds service `s` with the given classes. */
inline ServiceTarget
MakeService(const std::vector<Row>& aRows)
{
  ServiceTarget service{ ServiceIdOf("s"), "s", {} };
  for (const auto& row : aRows) {
    service.classes_.push_back({ ClassIdOf("s", row.name_),
                                 row.name_,
                                 service.id_,
                                 row.urgency_,
                                 row.most_,
                                 row.keeps_,
                                 false });
  }
  return service;
}

/** @brief Time `aMicroseconds` after the start of a test. */
inline TimePoint
At(std::int64_t aMicroseconds)
{
  return TimePoint{ Duration{ aMicroseconds } };
}

inline constexpr std::int64_t kMillisecond = 1000;
inline constexpr std::int64_t kSecond = 1000 * kMillisecond;

} // namespace cornelshore::admission

#endif
