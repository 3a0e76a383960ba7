#ifndef CORNELSHORE_ROLE_LINK_METER_HPP
#define CORNELSHORE_ROLE_LINK_METER_HPP

#include <array>
#include <cstdint>
#include <optional>

#include <cornelshore/core/time.hpp>
#include <cornelshore/role/event.hpp>
#include <cornelshore/role/message.hpp>

namespace cornelshore::role {

/** @brief Reports what the bytes on a VM's link are spent on while it is busy.
 */
class LinkMeter
{
public:
  /** @brief Bytes by `TrafficPurpose`, counted since the process started. */
  using Totals = std::array<std::uint64_t, kTrafficPurposeNames.size()>;

  /** @param aBytesPerSecond Bandwidth of the link; 0: unknown, never busy. */
  explicit LinkMeter(std::uint64_t aBytesPerSecond) noexcept
    : bytesPerSecond_(aBytesPerSecond)
  {
  }

  /**
   * @brief Compares the totals with those of the previous call.
   * @return A log line when more than half of the link was used since then, in
   * either direction.
   */
  [[nodiscard]] std::optional<Log> Observe(TimePoint aNow,
                                           const Totals& aSent,
                                           const Totals& aReceived);

private:
  std::uint64_t bytesPerSecond_;
  std::optional<TimePoint> observedAt_;
  Totals sent_{};
  Totals received_{};
};

} // namespace cornelshore::role

#endif
