#include <cornelshore/request/settings.hpp>

#include <absl/strings/str_cat.h>

namespace cornelshore::request {

namespace {

absl::Status
Positive(Duration aValue, const char* aName)
{
  if (aValue > Duration::zero()) {
    return absl::OkStatus();
  }
  return absl::InvalidArgumentError(absl::StrCat(aName, " must be above 0"));
}

absl::Status
InRange(std::size_t aValue, std::size_t aMost, const char* aName)
{
  if (aValue > 0 && aValue <= aMost) {
    return absl::OkStatus();
  }
  return absl::InvalidArgumentError(
    absl::StrCat(aName, " must be 1 to ", aMost, ", is ", aValue));
}

} // namespace

absl::Status
Check(const AgentSettings& aSettings)
{
  if (aSettings.self_.value_ == 0) {
    return absl::InvalidArgumentError("the agent needs an id above 0");
  }
  if (aSettings.retention_ <= aSettings.window_) {
    return absl::InvalidArgumentError("retention must be above window");
  }
  if (aSettings.stampFresh_ >= aSettings.window_) {
    return absl::InvalidArgumentError("stampFresh must be below window");
  }
  if (aSettings.answerLimit_ > aSettings.partBytes_ * kMostParts) {
    return absl::InvalidArgumentError("an answer must fit its parts");
  }
  absl::Status status;
  status.Update(Positive(aSettings.window_, "window"));
  status.Update(Positive(aSettings.consentWait_, "consentWait"));
  status.Update(Positive(aSettings.resendAfter_, "resendAfter"));
  status.Update(Positive(aSettings.cancelGrace_, "cancelGrace"));
  status.Update(Positive(aSettings.stampEvery_, "stampEvery"));
  status.Update(InRange(aSettings.bodyLimit_, kMostBytes, "bodyLimit"));
  status.Update(InRange(aSettings.answerLimit_, kMostBytes, "answerLimit"));
  status.Update(InRange(aSettings.partBytes_, kMostBytes, "partBytes"));
  status.Update(InRange(aSettings.idLimit_, 1U << 24U, "idLimit"));
  status.Update(InRange(aSettings.backupLimit_, 1U << 24U, "backupLimit"));
  status.Update(InRange(aSettings.runLimit_, 1U << 24U, "runLimit"));
  status.Update(InRange(aSettings.attemptLimit_, 16, "attemptLimit"));
  status.Update(InRange(aSettings.peerLimit_, 64, "peerLimit"));
  return status;
}

} // namespace cornelshore::request
