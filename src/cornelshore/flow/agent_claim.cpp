#include <algorithm>
#include <utility>

#include <cornelshore/flow/agent.hpp>
#include <cornelshore/flow/asked.hpp>

namespace cornelshore::flow {

using internal::AddPendingHost;
using internal::Contains;
using internal::kSettledOwners;
using internal::MarkAsked;

namespace {

constexpr std::uint32_t kOfferMarginDivisor = 16;

/** Claim number that clears a placement; other claims start from 1. */
constexpr std::uint64_t kClearPlacementClaim = 0;

/** Tie-break between two hosts that claim a flow concurrently: both cede it to
 * the lower id. */
bool
Outranks(HostId aOne, HostId aOther)
{
  return aOne < aOther;
}

} // namespace

void
Agent::StartClaim(TimePoint aNow, Envelope&& aEnvelope, Actions& aOut)
{
  const auto bucket = aEnvelope.bucket_;
  const bool first = view_.Routes().First(bucket) == self_.id_;
  const bool stayed = view_.FirstSince(bucket) + limits_.window_ <= aNow;
  const auto* pointer = Follow(aNow, aEnvelope);
  if (first && stayed && pointer == nullptr &&
      aEnvelope.opening_ == Opening::Yes) {
    Decide(aNow, std::move(aEnvelope), aOut);
    return;
  }
  if (CurrentClaim(aNow, aEnvelope.key_) == nullptr) {
    if (claims_.size() >= limits_.maxClaims_) {
      Count(Outcome::TableFull);
      return;
    }
    claims_[aEnvelope.key_] = { ++claimNumber_, aNow };
  }
  std::vector<HostId> others{ std::move(aEnvelope.pendingHosts_) };
  if (pointer != nullptr) {
    others.push_back(pointer->host_);
  }
  const auto* placer = declined_.Find(aNow, aEnvelope.key_);
  if (placer != nullptr && !Contains(others, placer->host_)) {
    others.push_back(placer->host_);
  }
  std::erase(others, self_.id_);
  pointers_.Erase(aEnvelope.key_);
  found_.Erase(aEnvelope.key_);
  aEnvelope.phase_ = Phase::Claim;
  aEnvelope.claimant_ = self_.id_;
  aEnvelope.claim_ = claims_[aEnvelope.key_].number_;
  aEnvelope.adopter_ = {};
  aEnvelope.load_ = 0;
  aEnvelope.asked_.clear();
  aEnvelope.pendingHosts_ = std::move(others);
  const bool allOwners = !first || !view_.IsSettled(aNow, bucket);
  if (!AddCandidates(aNow, aEnvelope, allOwners)) {
    Count(Outcome::ListFull);
    return;
  }
  MarkAsked(aEnvelope, self_.id_);
  ContinueClaim(aNow, std::move(aEnvelope), aOut);
}

void
Agent::ContinueClaim(TimePoint aNow, Envelope&& aEnvelope, Actions& aOut)
{
  if (!aEnvelope.pendingHosts_.empty()) {
    const auto next = aEnvelope.pendingHosts_.front();
    Send(next, std::move(aEnvelope), aOut);
  } else if (aEnvelope.claimant_ == self_.id_) {
    OnClaimReturned(aNow, std::move(aEnvelope), aOut);
  } else {
    const auto claimant = aEnvelope.claimant_;
    Send(claimant, std::move(aEnvelope), aOut);
  }
}

void
Agent::OnClaim(TimePoint aNow, Envelope&& aEnvelope, Actions& aOut)
{
  const bool clears = aEnvelope.claim_ == kClearPlacementClaim;
  if (aEnvelope.claimant_ == self_.id_) {
    if (clears) {
      OnPlacementCleared(aNow, std::move(aEnvelope), aOut);
    } else {
      OnClaimReturned(aNow, std::move(aEnvelope), aOut);
    }
    return;
  }
  if (!KnowsPreviousFlows()) {
    Count(Outcome::Undecided);
    return;
  }
  if (aEnvelope.adopter_ == HostId{} && MayBeRecovered(aNow, aEnvelope)) {
    aEnvelope.adopter_ = self_.id_;
  }
  const auto* pointer = Follow(aNow, aEnvelope);
  if (pointer != nullptr && pointer->kind_ == PointerKind::Placed) {
    aEnvelope.phase_ = Phase::Place;
    aEnvelope.claimant_ = self_.id_;
    aEnvelope.load_ = Load();
    Send(pointer->host_, std::move(aEnvelope), aOut);
    return;
  }
  const auto claimant = aEnvelope.claimant_;
  if (CurrentClaim(aNow, aEnvelope.key_) != nullptr) {
    if (!clears && CanClaim(aNow) && Outranks(self_.id_, claimant)) {
      for (const auto host : std::exchange(aEnvelope.asked_, {})) {
        static_cast<void>(AddPendingHost(aEnvelope, host));
      }
      static_cast<void>(AddPendingHost(aEnvelope, claimant));
      StartClaim(aNow, std::move(aEnvelope), aOut);
      return;
    }
    claims_.erase(aEnvelope.key_);
  }
  Prune(aNow, aEnvelope);
  const bool allOwners = !view_.IsSettled(aNow, aEnvelope.bucket_);
  if (!clears && IsFresh(aNow) && !AddCandidates(aNow, aEnvelope, allOwners)) {
    Count(Outcome::ListFull);
    return;
  }
  MarkAsked(aEnvelope, self_.id_);
  std::erase(aEnvelope.pendingHosts_, claimant);
  if (pointer != nullptr && pointer->host_ != claimant &&
      !Contains(aEnvelope.asked_, pointer->host_)) {
    Send(pointer->host_, std::move(aEnvelope), aOut);
    return;
  }
  const Pointer ceded{ claimant,
                       PointerKind::Ceded,
                       aNow + limits_.cededLifetime_ };
  if (!pointers_.Put(aEnvelope.key_, ceded)) {
    Count(Outcome::TableFull);
    return;
  }
  found_.Erase(aEnvelope.key_);
  if (OwnsBucket(view_, aEnvelope.bucket_) &&
      self_.state_ == HostState::Ready) {
    aEnvelope.load_ = Load() + 1;
  }
  ContinueClaim(aNow, std::move(aEnvelope), aOut);
}

void
Agent::OnClaimReturned(TimePoint aNow, Envelope&& aEnvelope, Actions& aOut)
{
  const auto* claim = CurrentClaim(aNow, aEnvelope.key_);
  const bool valid = claim != nullptr && claim->number_ == aEnvelope.claim_ &&
                     aEnvelope.pendingHosts_.empty() && CanClaim(aNow);
  if (!valid) {
    RestartLookup(aNow, std::move(aEnvelope), aOut);
    return;
  }
  const auto other = OtherOwner(aEnvelope.bucket_);
  if (aEnvelope.load_ != 0 && other != HostId{}) {
    peerLoads_[other] = { aEnvelope.load_ - 1, aNow + limits_.loadLifetime_ };
  }
  if (aEnvelope.adopter_ == HostId{} || MayBeRecovered(aNow, aEnvelope)) {
    Decide(aNow, std::move(aEnvelope), aOut);
  } else {
    SendToAdopter(aNow, std::move(aEnvelope), aOut);
  }
}

void
Agent::SendToAdopter(TimePoint aNow, Envelope&& aEnvelope, Actions& aOut)
{
  const auto adopter = aEnvelope.adopter_;
  const Pointer pointer{ adopter,
                         PointerKind::Ceded,
                         aNow + limits_.cededLifetime_ };
  if (!pointers_.Put(aEnvelope.key_, pointer)) {
    Count(Outcome::TableFull);
    return;
  }
  claims_.erase(aEnvelope.key_);
  aEnvelope.phase_ = Phase::Adopt;
  Send(adopter, std::move(aEnvelope), aOut);
}

void
Agent::RestartLookup(TimePoint aNow, Envelope&& aEnvelope, Actions& aOut)
{
  aEnvelope.phase_ = Phase::Lookup;
  aEnvelope.claimant_ = {};
  aEnvelope.adopter_ = {};
  aEnvelope.asked_.clear();
  aEnvelope.pendingHosts_.clear();
  OnLookup(aNow, std::move(aEnvelope), aOut);
}

void
Agent::Decide(TimePoint aNow, Envelope&& aEnvelope, Actions& aOut)
{
  if (!ShouldOffer(aNow, aEnvelope)) {
    OpenHere(aNow, std::move(aEnvelope), aOut);
    return;
  }
  const auto other = OtherOwner(aEnvelope.bucket_);
  const Pointer placed{ other,
                        PointerKind::Placed,
                        aNow + limits_.cededLifetime_ };
  if (!pointers_.Put(aEnvelope.key_, placed)) {
    OpenHere(aNow, std::move(aEnvelope), aOut);
    return;
  }
  claims_.erase(aEnvelope.key_);
  aEnvelope.phase_ = Phase::Place;
  aEnvelope.claimant_ = self_.id_;
  aEnvelope.load_ = Load();
  Send(other, std::move(aEnvelope), aOut);
}

void
Agent::OnPlace(TimePoint aNow, Envelope&& aEnvelope, Actions& aOut)
{
  if (!KnowsPreviousFlows()) {
    Count(Outcome::Undecided);
    return;
  }
  if (MayBeRecovered(aNow, aEnvelope)) {
    OnAdopt(aNow, std::move(aEnvelope), aOut);
    return;
  }
  const auto claimant = aEnvelope.claimant_;
  const auto* pointer = Follow(aNow, aEnvelope);
  if (pointer != nullptr && pointer->host_ != claimant) {
    ClearPlacement(aNow, std::move(aEnvelope), *pointer, aOut);
    return;
  }
  const bool declinedBefore = declined_.Find(aNow, aEnvelope.key_) != nullptr;
  const bool takes = pointer == nullptr && !declinedBefore &&
                     self_.state_ == HostState::Ready && !declaredGone_ &&
                     !superseded_ && !IsFull() && Load() < aEnvelope.load_;
  if (takes) {
    OpenHere(aNow, std::move(aEnvelope), aOut);
    return;
  }
  const Pointer ceded{ claimant,
                       PointerKind::Ceded,
                       aNow + limits_.cededLifetime_ };
  if (!pointers_.Put(aEnvelope.key_, ceded) ||
      !declined_.Put(aEnvelope.key_, ceded)) {
    Count(Outcome::TableFull);
    return;
  }
  claims_.erase(aEnvelope.key_);
  aEnvelope.phase_ = Phase::Declined;
  aEnvelope.adopter_ = self_.id_;
  aEnvelope.load_ = Load();
  Send(claimant, std::move(aEnvelope), aOut);
}

/** Asks the host that this one ceded the flow to, on behalf of the claimant. */
void
Agent::ClearPlacement(TimePoint aNow,
                      Envelope&& aEnvelope,
                      Pointer aPointer,
                      Actions& aOut)
{
  aPointer.until_ = aNow + limits_.cededLifetime_;
  const Pointer placer{ aEnvelope.claimant_,
                        PointerKind::Ceded,
                        aPointer.until_ };
  if (!pointers_.Put(aEnvelope.key_, aPointer) ||
      !declined_.Put(aEnvelope.key_, placer)) {
    Count(Outcome::TableFull);
    return;
  }
  claims_.erase(aEnvelope.key_);
  aEnvelope.phase_ = Phase::Claim;
  aEnvelope.claim_ = kClearPlacementClaim;
  aEnvelope.adopter_ = {};
  aEnvelope.asked_.assign(1, self_.id_);
  aEnvelope.pendingHosts_.clear();
  Send(aPointer.host_, std::move(aEnvelope), aOut);
}

void
Agent::OnPlacementCleared(TimePoint aNow, Envelope&& aEnvelope, Actions& aOut)
{
  const auto* pointer = pointers_.Find(aNow, aEnvelope.key_);
  const bool mine = pointer != nullptr &&
                    pointer->kind_ == PointerKind::Placed &&
                    Contains(aEnvelope.asked_, pointer->host_);
  if (!mine) {
    RestartLookup(aNow, std::move(aEnvelope), aOut);
  } else if (aEnvelope.adopter_ != HostId{}) {
    SendToAdopter(aNow, std::move(aEnvelope), aOut);
  } else {
    OnPassedBack(aNow, std::move(aEnvelope), aOut);
  }
}

void
Agent::OnDeclined(TimePoint aNow, Envelope&& aEnvelope, Actions& aOut)
{
  const auto decliner = std::exchange(aEnvelope.adopter_, {});
  if (decliner == OtherOwner(aEnvelope.bucket_)) {
    peerLoads_[decliner] = { aEnvelope.load_, aNow + limits_.loadLifetime_ };
  }
  const auto* pointer = pointers_.Find(aNow, aEnvelope.key_);
  const bool mine = pointer != nullptr && pointer->host_ == decliner &&
                    pointer->kind_ == PointerKind::Placed;
  if (mine) {
    OnPassedBack(aNow, std::move(aEnvelope), aOut);
  } else {
    RestartLookup(aNow, std::move(aEnvelope), aOut);
  }
}

void
Agent::OnPassedBack(TimePoint aNow, Envelope&& aEnvelope, Actions& aOut)
{
  pointers_.Erase(aEnvelope.key_);
  if (CanClaim(aNow)) {
    OpenHere(aNow, std::move(aEnvelope), aOut);
  } else {
    RestartLookup(aNow, std::move(aEnvelope), aOut);
  }
}

void
Agent::OpenHere(TimePoint aNow, Envelope&& aEnvelope, Actions& aOut)
{
  claims_.erase(aEnvelope.key_);
  if (IsFull()) {
    SendReset(std::move(aEnvelope), ResetReason::FlowLimit, aOut);
    return;
  }
  const NewFlow flow{ aEnvelope.class_, aEnvelope.key_ };
  if (admission_ && !admission_(aNow, flow)) {
    SendReset(std::move(aEnvelope), ResetReason::NotAdmitted, aOut);
    return;
  }
  Insert(aNow, aEnvelope, false);
  Count(Outcome::Opened);
  DeliverTo(std::move(aEnvelope), true, aOut);
}

const Agent::Claim*
Agent::CurrentClaim(TimePoint aNow, const FlowKey& aKey) const
{
  const auto found = claims_.find(aKey);
  const bool current = found != claims_.end() &&
                       found->second.since_ + limits_.claimTimeout_ >= aNow;
  return current ? &found->second : nullptr;
}

HostId
Agent::OtherOwner(BucketId aBucket) const
{
  const auto owners = view_.Routes().Owners(aBucket);
  if (owners.size() < kSettledOwners) {
    return {};
  }
  return owners[0] == self_.id_ ? owners[1] : owners[0];
}

bool
Agent::ShouldOffer(TimePoint aNow, const Envelope& aEnvelope) const
{
  const auto other = OtherOwner(aEnvelope.bucket_);
  if (other == HostId{} || MayBeRecovered(aNow, aEnvelope)) {
    return false;
  }
  if (IsFull()) {
    return true;
  }
  const auto found = peerLoads_.find(other);
  const bool known = found != peerLoads_.end() && found->second.until_ > aNow;
  const auto theirs = known ? found->second.load_ : 0;
  return Load() > theirs + theirs / kOfferMarginDivisor;
}

} // namespace cornelshore::flow
