#include <cornelshore/request/step.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>

#include <cornelshore/core/hash.hpp>

namespace cornelshore::request::internal {

namespace {

void
SendParts(Step& aStep,
          const RequestKey& aKey,
          const Route& aRoute,
          std::uint32_t aAttempt,
          const std::string& aAnswer)
{
  const auto size = aStep.settings_.partBytes_;
  const auto count =
    std::max<std::size_t>(1, (aAnswer.size() + size - 1) / size);
  const auto checksum = HashText(aAnswer);
  for (std::size_t index = 0; index < count; ++index) {
    AnswerPart part;
    part.key_ = aKey;
    part.attempt_ = aAttempt;
    part.index_ = static_cast<std::uint16_t>(index);
    part.count_ = static_cast<std::uint16_t>(count);
    part.length_ = static_cast<std::uint32_t>(aAnswer.size());
    part.checksum_ = checksum;
    part.bytes_ = aAnswer.substr(index * size, size);
    part.route_ = aRoute;
    aStep.ToCaller(std::move(part));
  }
}

} // namespace

void
SendOutcome(Step& aStep,
            const RequestKey& aKey,
            const Route& aRoute,
            const OutcomeInfo& aOutcome,
            const std::string& aAnswer)
{
  if (aOutcome.verdict_ == Verdict::Answered) {
    SendParts(aStep, aKey, aRoute, aOutcome.attempt_, aAnswer);
    return;
  }
  Outcome outcome;
  outcome.key_ = aKey;
  outcome.verdict_ = aOutcome.verdict_;
  outcome.reason_ = aOutcome.reason_;
  outcome.retryAfter_ = aOutcome.retryAfter_;
  outcome.route_ = aRoute;
  aStep.ToCaller(std::move(outcome));
}

} // namespace cornelshore::request::internal
