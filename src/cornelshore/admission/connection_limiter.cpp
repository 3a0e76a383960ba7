#include <cornelshore/admission/connection_limiter.hpp>

#include <algorithm>

#include <cornelshore/core/hash.hpp>

namespace cornelshore::admission {

namespace {

constexpr Duration kRetryBase = std::chrono::seconds{ 1 };
constexpr std::uint32_t kUrgencyReserveDivisor = 10;
constexpr std::uint32_t kNearLimitDivisor = 2;
constexpr std::uint32_t kCallerShareDivisor = 8;
constexpr std::uint32_t kMinFlowsPerCaller = 4;

std::uint32_t
PartOf(std::uint32_t aWhole, std::uint16_t aShare)
{
  return static_cast<std::uint32_t>(std::uint64_t{ aWhole } * aShare /
                                    kFullShare);
}

} // namespace

ConnectionLimiter::ConnectionLimiter(std::uint64_t aSeed)
  : seed_(aSeed)
  , random_(aSeed)
{
}

void
ConnectionLimiter::Configure(const ServiceTarget& aTarget, std::uint32_t aLimit)
{
  limit_ = aLimit;
  unreserved_ = aLimit;
  std::vector<ClassFlows> classes;
  for (const auto& target : aTarget.classes_) {
    auto* old = Find(target.id_);
    classes.push_back(old != nullptr ? *old : ClassFlows{});
    auto& flows = classes.back();
    flows.target_ = target;
    flows.keeps_ = std::min(PartOf(aLimit, target.keeps_), unreserved_);
    flows.most_ = std::max(PartOf(aLimit, target.most_), flows.keeps_);
    unreserved_ -= flows.keeps_;
  }
  classes_ = std::move(classes);
}

ConnectionLimiter::ClassFlows*
ConnectionLimiter::Find(ClassId aClass)
{
  for (auto& flows : classes_) {
    if (flows.target_.id_ == aClass) {
      return &flows;
    }
  }
  return nullptr;
}

std::uint32_t&
ConnectionLimiter::CounterOf(ClassFlows& aFlows, CallerId aCaller)
{
  return aFlows.byCaller_[HashPair(aCaller.value_, seed_) % kCallerCounters];
}

bool
ConnectionLimiter::HasUnreservedCapacity(const ClassFlows& aFlows) const
{
  std::uint32_t inUse = 0;
  for (const auto& flows : classes_) {
    inUse += std::max(flows.open_, flows.keeps_) - flows.keeps_;
  }
  const auto urgencyReserve = unreserved_ / kUrgencyReserveDivisor;
  const auto withheld =
    urgencyReserve * (kMaxUrgency - aFlows.target_.urgency_) / kMaxUrgency;
  return inUse + withheld < unreserved_;
}

Refusal
ConnectionLimiter::CheckLimits(ClassFlows& aFlows, CallerId aCaller)
{
  if (aFlows.open_ >= aFlows.most_) {
    return Refusal::OverLimit;
  }
  const auto own = CounterOf(aFlows, aCaller);
  const bool near = aFlows.open_ >= aFlows.most_ / kNearLimitDivisor;
  if (near &&
      own >= std::max(kMinFlowsPerCaller, aFlows.most_ / kCallerShareDivisor)) {
    return Refusal::CallerOverShare;
  }
  if (aFlows.open_ >= aFlows.keeps_ && !HasUnreservedCapacity(aFlows)) {
    return Refusal::NoCapacity;
  }
  return Refusal::None;
}

FlowAdmission
ConnectionLimiter::Open(TimePoint /*aNow*/, ClassId aClass, CallerId aCaller)
{
  auto* flows = Find(aClass);
  if (flows == nullptr) {
    return { false, Refusal::UnknownClass, {} };
  }
  const auto refusal = CheckLimits(*flows, aCaller);
  if (refusal != Refusal::None) {
    ++flows->refused_;
    const auto jitter = static_cast<Duration::rep>(
      random_.Below(2 * static_cast<std::uint64_t>(kRetryBase.count())));
    return { false, refusal, kRetryBase + Duration{ jitter } };
  }
  ++flows->open_;
  ++CounterOf(*flows, aCaller);
  return { true, Refusal::None, {} };
}

void
ConnectionLimiter::Close(TimePoint /*aNow*/, ClassId aClass, CallerId aCaller)
{
  auto* flows = Find(aClass);
  if (flows == nullptr || flows->open_ == 0) {
    return;
  }
  --flows->open_;
  auto& counter = CounterOf(*flows, aCaller);
  counter -= counter > 0 ? 1 : 0;
}

std::vector<ClassFlowsDump>
ConnectionLimiter::Dump() const
{
  std::vector<ClassFlowsDump> dump;
  for (const auto& flows : classes_) {
    dump.push_back({ flows.target_.name_,
                     flows.keeps_,
                     flows.most_,
                     flows.open_,
                     flows.refused_ });
  }
  return dump;
}

} // namespace cornelshore::admission
