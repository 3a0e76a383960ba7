#include <cornelshore/request/settings.hpp>

#include <absl/strings/str_cat.h>

namespace cornelshore::request {

namespace {

absl::Status
CheckPositive(Duration aValue, const char* aName)
{
  if (aValue > Duration::zero()) {
    return absl::OkStatus();
  }
  return absl::InvalidArgumentError(absl::StrCat(aName, " must be above 0"));
}

absl::Status
CheckRange(std::size_t aValue, std::size_t aMax, const char* aName)
{
  if (aValue > 0 && aValue <= aMax) {
    return absl::OkStatus();
  }
  return absl::InvalidArgumentError(
    absl::StrCat(aName, " must be 1 to ", aMax, ", is ", aValue));
}

} // namespace

absl::Status
Check(const AgentSettings& aSettings)
{
  if (aSettings.self_.value_ == 0) {
    return absl::InvalidArgumentError("agent id is 0; it must be above 0");
  }
  if (aSettings.retention_ <= aSettings.window_) {
    return absl::InvalidArgumentError("retention must be above window");
  }
  if (aSettings.maxStampAge_ >= aSettings.window_) {
    return absl::InvalidArgumentError("maxStampAge must be below window");
  }
  if (aSettings.answerLimit_ > aSettings.partBytes_ * kMaxAnswerParts) {
    return absl::InvalidArgumentError(
      "answerLimit must be at most partBytes times the part limit");
  }
  absl::Status status;
  status.Update(CheckPositive(aSettings.window_, "window"));
  status.Update(CheckPositive(aSettings.consentWait_, "consentWait"));
  status.Update(CheckPositive(aSettings.resendAfter_, "resendAfter"));
  status.Update(CheckPositive(aSettings.cancelGrace_, "cancelGrace"));
  status.Update(CheckPositive(aSettings.stampEvery_, "stampEvery"));
  status.Update(CheckRange(aSettings.bodyLimit_, kMostBytes, "bodyLimit"));
  status.Update(CheckRange(aSettings.answerLimit_, kMostBytes, "answerLimit"));
  status.Update(CheckRange(aSettings.partBytes_, kMostBytes, "partBytes"));
  status.Update(CheckRange(aSettings.idLimit_, 1U << 24U, "idLimit"));
  status.Update(CheckRange(aSettings.backupLimit_, 1U << 24U, "backupLimit"));
  status.Update(CheckRange(aSettings.runLimit_, 1U << 24U, "runLimit"));
  status.Update(CheckRange(aSettings.attemptLimit_, 16, "attemptLimit"));
  status.Update(CheckRange(aSettings.peerLimit_, 64, "peerLimit"));
  return status;
}

} // namespace cornelshore::request
