#include <cornelshore/role/link_meter.hpp>

#include <algorithm>
#include <chrono>
#include <numeric>
#include <string>
#include <utility>

namespace cornelshore::role {

namespace {

constexpr double kBusyShare = 0.5;

LinkMeter::Totals
Since(const LinkMeter::Totals& aEarlier, const LinkMeter::Totals& aNow)
{
  LinkMeter::Totals bytes{};
  for (std::size_t index = 0; index < bytes.size(); ++index) {
    bytes.at(index) = aNow.at(index) - aEarlier.at(index);
  }
  return bytes;
}

std::uint64_t
Sum(const LinkMeter::Totals& aBytes)
{
  return std::accumulate(aBytes.begin(), aBytes.end(), std::uint64_t{ 0 });
}

void
AddByPurpose(const std::string& aDirection,
             const LinkMeter::Totals& aBytes,
             Log& aLine)
{
  aLine.fields_.emplace_back(aDirection, std::to_string(Sum(aBytes)));
  for (const auto& purpose : kTrafficPurposeNames) {
    const auto bytes = aBytes.at(static_cast<std::size_t>(purpose.value_));
    if (bytes > 0) {
      aLine.fields_.emplace_back(aDirection + "_" + std::string(purpose.name_),
                                 std::to_string(bytes));
    }
  }
}

} // namespace

std::optional<Log>
LinkMeter::Observe(TimePoint aNow, const Totals& aSent, const Totals& aReceived)
{
  const auto since = std::exchange(observedAt_, aNow);
  const auto sent = Since(std::exchange(sent_, aSent), aSent);
  const auto received = Since(std::exchange(received_, aReceived), aReceived);
  if (!since || *since >= aNow || bytesPerSecond_ == 0) {
    return std::nullopt;
  }
  const std::chrono::duration<double> passed = aNow - *since;
  const auto capacity = passed.count() * static_cast<double>(bytesPerSecond_);
  const auto busiest = std::max(Sum(sent), Sum(received));
  if (static_cast<double>(busiest) <= capacity * kBusyShare) {
    return std::nullopt;
  }
  Log line{ Severity::Warning,
            "link_busy",
            { { "capacity",
                std::to_string(static_cast<std::uint64_t>(capacity)) } } };
  AddByPurpose("sent", sent, line);
  AddByPurpose("received", received, line);
  return line;
}

} // namespace cornelshore::role
