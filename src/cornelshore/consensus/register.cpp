#include <cornelshore/consensus/register.hpp>

#include <algorithm>
#include <utility>

#include <cornelshore/core/hash.hpp>

namespace cornelshore::consensus {

namespace {

std::uint64_t
FingerprintOf(const ClassTarget& aClass) noexcept
{
  const auto numbers = (std::uint64_t{ aClass.urgency_ } << 40U) |
                       (std::uint64_t{ aClass.most_ } << 24U) |
                       (std::uint64_t{ aClass.keeps_ } << 8U) |
                       (aClass.repeatable_ ? 1U : 0U);
  return HashPair(HashText(aClass.name_), numbers);
}

std::uint64_t
FingerprintOf(const ServiceTarget& aService) noexcept
{
  auto hash = HashText(aService.name_);
  for (const auto& target : aService.classes_) {
    hash = HashPair(hash, FingerprintOf(target));
  }
  return hash;
}

std::uint64_t
FingerprintOf(const Route& aRoute) noexcept
{
  auto hash = HashPair(HashText(ToString(aRoute.address_)),
                       static_cast<std::uint64_t>(aRoute.timeout_.count()));
  for (const auto& share : aRoute.to_) {
    hash = HashPair(hash, HashPair(share.service_.value_, share.weight_));
  }
  return hash;
}

/** Outcome of applying the change to the version in force. */
ChangeOutcome
OutcomeOf(const Change& aChange, ConfigVersion aCurrent) noexcept
{
  if (aChange.chosen_.value_ != 0) {
    return aChange.chosen_ > aCurrent ? ChangeOutcome::Accepted
                                      : ChangeOutcome::Superseded;
  }
  return aChange.expected_ == aCurrent ? ChangeOutcome::Accepted
                                       : ChangeOutcome::Conflict;
}

} // namespace

std::uint64_t
FingerprintOf(const Change& aChange) noexcept
{
  auto hash = HashPair(aChange.expected_.value_, HashText(aChange.operator_));
  for (const auto& service : aChange.services_) {
    hash = HashPair(hash, FingerprintOf(service));
  }
  for (const auto& route : aChange.routes_) {
    hash = HashPair(hash, FingerprintOf(route));
  }
  hash = HashPair(hash, aChange.chosen_.value_);
  return HashPair(hash, HashText(aChange.document_));
}

Register::Register(RegisterState aState)
  : state_(std::move(aState))
{
  std::uint64_t position = 0;
  for (const auto& cached : state_.answers_) {
    answerPositions_[cached.change_] = position++;
  }
}

ChangeAnswer
Register::Apply(const Change& aChange)
{
  const auto* cached = FindAnswer(aChange.id_);
  if (cached == nullptr) {
    const auto answer = Evaluate(aChange);
    CacheAnswer(aChange, answer);
    return answer;
  }
  auto answer = cached->answer_;
  if (cached->fingerprint_ != FingerprintOf(aChange)) {
    answer.outcome_ = ChangeOutcome::IdReused;
    answer.version_ = state_.configuration_.version_;
    answer.acceptedChange_ = state_.acceptedChange_;
    return answer;
  }
  answer.replayed_ = true;
  return answer;
}

const CachedAnswer*
Register::FindAnswer(const RequestId& aChange) const
{
  const auto found = answerPositions_.find(aChange);
  if (found == answerPositions_.end()) {
    return nullptr;
  }
  return &state_.answers_[found->second - evictedAnswers_];
}

ChangeAnswer
Register::Evaluate(const Change& aChange)
{
  auto& current = state_.configuration_;
  const auto outcome = OutcomeOf(aChange, current.version_);
  if (outcome != ChangeOutcome::Accepted) {
    return { outcome, current.version_, state_.acceptedChange_ };
  }
  const ConfigVersion next{ current.version_.value_ + 1 };
  current.version_ = std::max(next, aChange.chosen_);
  current.services_ = aChange.services_;
  current.routes_ = aChange.routes_;
  current.flowIdleTimeout_ = aChange.flowIdleTimeout_;
  state_.document_ = aChange.document_;
  state_.acceptedChange_ = aChange.id_;
  state_.history_.push_back(
    { current.version_, aChange.id_, aChange.operator_, aChange.wallMillis_ });
  if (state_.history_.size() > kHistoryLength) {
    state_.history_.pop_front();
  }
  return { ChangeOutcome::Accepted, current.version_, aChange.id_ };
}

void
Register::CacheAnswer(const Change& aChange, const ChangeAnswer& aAnswer)
{
  answerPositions_[aChange.id_] = evictedAnswers_ + state_.answers_.size();
  state_.answers_.push_back({ aChange.id_, FingerprintOf(aChange), aAnswer });
  if (state_.answers_.size() > kMaxCachedAnswers) {
    answerPositions_.erase(state_.answers_.front().change_);
    state_.answers_.pop_front();
    ++evictedAnswers_;
  }
}

} // namespace cornelshore::consensus
