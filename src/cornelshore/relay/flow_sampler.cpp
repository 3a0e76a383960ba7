#include <cornelshore/relay/flow_sampler.hpp>

#include <algorithm>
#include <bit>
#include <utility>

namespace cornelshore::relay {

namespace {

/** A surge within one second may exceed the line rate by this factor. */
constexpr std::uint32_t kBurst = 2;

/** Upper bound of the shift: at least one flow in 2^24 is logged. */
constexpr std::uint32_t kMaxShift = 24;

} // namespace

FlowSampler::FlowSampler(FlowSamplerSettings aSettings)
  : settings_(aSettings)
{
}

bool
FlowSampler::IsFailure(FlowEvent aEvent) noexcept
{
  return aEvent != FlowEvent::Opened && aEvent != FlowEvent::Taken &&
         aEvent != FlowEvent::Closed;
}

void
FlowSampler::StartSecond(TimePoint aNow)
{
  if (aNow - second_ < std::chrono::seconds{ 1 }) {
    return;
  }
  second_ = aNow;
  const auto limit = std::uint64_t{ settings_.routineLinesPerSecond_ };
  const auto excess =
    limit == 0 ? candidates_ : (candidates_ + limit - 1) / limit;
  shift_ =
    excess <= 1 ? 0 : static_cast<std::uint32_t>(std::bit_width(excess - 1));
  shift_ = std::min(shift_, kMaxShift);
  if (suppressed_.routine_ + suppressed_.failures_ > 0) {
    summary_ = suppressed_;
    summary_->sampledOneIn_ = std::uint64_t{ 1 } << shift_;
  }
  suppressed_ = {};
  candidates_ = 0;
  routine_ = failures_ = 0;
}

bool
FlowSampler::AdmitsRoutine(const FlowKey& aKey)
{
  ++candidates_;
  const auto mask = (std::uint64_t{ 1 } << shift_) - 1;
  if ((HashOf(aKey) & mask) != 0 ||
      routine_ >= settings_.routineLinesPerSecond_ * kBurst) {
    return false;
  }
  ++routine_;
  return true;
}

bool
FlowSampler::Admits(TimePoint aNow, const FlowDecision& aDecision)
{
  StartSecond(aNow);
  if (!IsFailure(aDecision.event_)) {
    const auto admitted = AdmitsRoutine(aDecision.key_);
    suppressed_.routine_ += admitted ? 0 : 1;
    return admitted;
  }
  if (failures_ < settings_.failureLinesPerSecond_) {
    ++failures_;
    return true;
  }
  const auto admitted = AdmitsRoutine(aDecision.key_);
  suppressed_.failures_ += admitted ? 0 : 1;
  return admitted;
}

std::optional<SuppressedLines>
FlowSampler::TakeSuppressed(TimePoint aNow)
{
  StartSecond(aNow);
  return std::exchange(summary_, std::nullopt);
}

} // namespace cornelshore::relay
