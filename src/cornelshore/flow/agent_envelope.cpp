#include <algorithm>
#include <utility>

#include <cornelshore/flow/agent.hpp>
#include <cornelshore/flow/asked.hpp>

namespace cornelshore::flow {

using internal::AddPendingHost;
using internal::Contains;
using internal::kSettledOwners;
using internal::MarkAsked;

void
Agent::Handle(TimePoint aNow, EnvelopeArrived& aEvent, Actions& aOut)
{
  auto& envelope = aEvent.envelope_;
  if (envelope.service_ != self_.service_) {
    Count(Outcome::WrongService);
    return;
  }
  envelope.bucket_ = routing::BucketOf(envelope.key_);
  if (envelope.phase_ == Phase::Found) {
    OnFound(aNow, envelope);
    return;
  }
  const auto flow = flows_.find(envelope.key_);
  if (flow != flows_.end()) {
    flow->second.lastPacket_ = aNow;
    SendFound(envelope, aOut);
    Count(Outcome::Delivered);
    DeliverTo(std::move(envelope), false, aOut);
    return;
  }
  switch (envelope.phase_) {
    case Phase::Claim:
      OnClaim(aNow, std::move(envelope), aOut);
      break;
    case Phase::Place:
      OnPlace(aNow, std::move(envelope), aOut);
      break;
    case Phase::Declined:
      OnDeclined(aNow, std::move(envelope), aOut);
      break;
    case Phase::Adopt:
      OnAdopt(aNow, std::move(envelope), aOut);
      break;
    case Phase::Lookup:
    case Phase::Found:
      OnLookup(aNow, std::move(envelope), aOut);
      break;
  }
}

void
Agent::OnFound(TimePoint aNow, const Envelope& aEnvelope)
{
  if (flows_.contains(aEnvelope.key_) || aEnvelope.claimant_ == self_.id_) {
    return;
  }
  claims_.erase(aEnvelope.key_);
  const Pointer pointer{ aEnvelope.claimant_,
                         PointerKind::Ceded,
                         aNow + limits_.cededLifetime_ };
  static_cast<void>(found_.Put(aEnvelope.key_, pointer));
}

const Pointer*
Agent::Follow(TimePoint aNow, const Envelope& aEnvelope) const
{
  const auto counts = [&](const Pointer* aPointer) {
    return aPointer != nullptr && aPointer->host_ != self_.id_ &&
           !view_.IsKnownGone(aPointer->host_);
  };
  const auto* pointer = pointers_.Find(aNow, aEnvelope.key_);
  if (counts(pointer)) {
    return pointer;
  }
  pointer = found_.Find(aNow, aEnvelope.key_);
  const bool follows = counts(pointer) && aEnvelope.opening_ != Opening::Yes;
  return follows ? pointer : nullptr;
}

void
Agent::Extend(TimePoint aNow, const FlowKey& aKey)
{
  if (!IsFresh(aNow)) {
    return;
  }
  for (auto* table : { &pointers_, &found_ }) {
    const auto* pointer = table->Find(aNow, aKey);
    if (pointer == nullptr || pointer->kind_ == PointerKind::Placed ||
        pointer->until_ > aNow + limits_.cededLifetime_ / 2) {
      continue;
    }
    auto longer = *pointer;
    longer.until_ = aNow + limits_.cededLifetime_;
    static_cast<void>(table->Put(aKey, longer));
  }
}

void
Agent::OnLookup(TimePoint aNow, Envelope&& aEnvelope, Actions& aOut)
{
  aEnvelope.unsettled_ |=
    !IsFresh(aNow) || !view_.IsSettled(aNow, aEnvelope.bucket_);
  Extend(aNow, aEnvelope.key_);
  const auto* pointer = Follow(aNow, aEnvelope);
  if (pointer != nullptr && pointer->kind_ == PointerKind::Placed &&
      aEnvelope.opening_ != Opening::No) {
    aEnvelope.phase_ = Phase::Place;
    aEnvelope.claimant_ = self_.id_;
    aEnvelope.load_ = Load();
    Send(pointer->host_, std::move(aEnvelope), aOut);
    return;
  }
  if (aEnvelope.opening_ == Opening::No) {
    LookUpKnownOpen(aNow, std::move(aEnvelope), aOut);
    return;
  }
  if (pointer != nullptr && !Contains(aEnvelope.asked_, pointer->host_)) {
    MarkAsked(aEnvelope, self_.id_);
    Send(pointer->host_, std::move(aEnvelope), aOut);
    return;
  }
  LookUpOpening(aNow, std::move(aEnvelope), aOut);
}

void
Agent::LookUpKnownOpen(TimePoint aNow, Envelope&& aEnvelope, Actions& aOut)
{
  const bool allOwners = !view_.IsSettled(aNow, aEnvelope.bucket_);
  Prune(aNow, aEnvelope);
  if (IsFresh(aNow) || aEnvelope.asked_.empty()) {
    aEnvelope.unsettled_ |= !AddCandidates(aNow, aEnvelope, allOwners);
  }
  if (aEnvelope.adopter_ == HostId{} && MayBeRecovered(aNow, aEnvelope)) {
    aEnvelope.adopter_ = self_.id_;
  }
  MarkAsked(aEnvelope, self_.id_);
  const auto* pointer = Follow(aNow, aEnvelope);
  if (pointer != nullptr && !Contains(aEnvelope.asked_, pointer->host_)) {
    Send(pointer->host_, std::move(aEnvelope), aOut);
  } else if (aEnvelope.pendingHosts_.empty()) {
    Conclude(aNow, std::move(aEnvelope), aOut);
  } else {
    const auto next =
      aEnvelope.pendingHosts_[NextTurn(aNow, aEnvelope.pendingHosts_.size())];
    Send(next, std::move(aEnvelope), aOut);
  }
}

/** Index of the next host to ask: in order with a fresh view, round-robin with
 * a stale one, which may name failed hosts. */
std::size_t
Agent::NextTurn(TimePoint aNow, std::size_t aChoices)
{
  return IsFresh(aNow) ? 0 : nextTurn_++ % aChoices;
}

void
Agent::Prune(TimePoint aNow, Envelope& aEnvelope) const
{
  if (!IsFresh(aNow)) {
    return;
  }
  std::erase_if(aEnvelope.pendingHosts_,
                [this](HostId aHost) { return view_.IsKnownGone(aHost); });
}

void
Agent::Conclude(TimePoint aNow, Envelope&& aEnvelope, Actions& aOut)
{
  if (aEnvelope.adopter_ != HostId{}) {
    const auto adopter = aEnvelope.adopter_;
    aEnvelope.phase_ = Phase::Adopt;
    if (adopter == self_.id_) {
      OnAdopt(aNow, std::move(aEnvelope), aOut);
    } else {
      Send(adopter, std::move(aEnvelope), aOut);
    }
    return;
  }
  if (aEnvelope.unsettled_) {
    Count(Outcome::Undecided);
    return;
  }
  SendReset(std::move(aEnvelope), ResetReason::NoOwner, aOut);
}

void
Agent::LookUpOpening(TimePoint aNow, Envelope&& aEnvelope, Actions& aOut)
{
  MarkAsked(aEnvelope, self_.id_);
  std::vector<HostId> unasked;
  for (const auto owner : view_.Routes().Owners(aEnvelope.bucket_)) {
    if (owner == self_.id_ && unasked.empty() && CanClaim(aNow)) {
      StartClaim(aNow, std::move(aEnvelope), aOut);
      return;
    }
    if (!Contains(aEnvelope.asked_, owner)) {
      unasked.push_back(owner);
    }
  }
  if (unasked.empty()) {
    Count(Outcome::Undecided);
    return;
  }
  const auto next = unasked[NextTurn(aNow, unasked.size())];
  Send(next, std::move(aEnvelope), aOut);
}

void
Agent::OnAdopt(TimePoint aNow, Envelope&& aEnvelope, Actions& aOut)
{
  if (!MayBeRecovered(aNow, aEnvelope) || IsFull()) {
    Count(Outcome::Undecided);
    return;
  }
  Insert(aNow, aEnvelope, true);
  Count(Outcome::Adopted);
  DeliverTo(std::move(aEnvelope), false, aOut);
}

void
Agent::Insert(TimePoint aNow, const Envelope& aEnvelope, bool aAdopted)
{
  flows_[aEnvelope.key_] = {
    aEnvelope.class_, aEnvelope.bucket_, aAdopted, aNow
  };
  held_.Opened(aNow, aEnvelope.bucket_);
  pointers_.Erase(aEnvelope.key_);
  found_.Erase(aEnvelope.key_);
}

void
Agent::DeliverTo(Envelope&& aEnvelope, bool aOpens, Actions& aOut) const
{
  Deliver deliver;
  deliver.key_ = aEnvelope.key_;
  deliver.class_ = aEnvelope.class_;
  deliver.kind_ = aEnvelope.kind_;
  deliver.returnPath_ = aEnvelope.returnPath_;
  deliver.opens_ = aOpens;
  deliver.payload_ = std::move(aEnvelope.payload_);
  aOut.emplace_back(std::move(deliver));
}

void
Agent::SendFound(const Envelope& aEnvelope, Actions& aOut) const
{
  const bool far = aEnvelope.hops_ >= 2 || aEnvelope.phase_ == Phase::Claim;
  if (!far || aEnvelope.asked_.empty() || aEnvelope.phase_ == Phase::Place ||
      aEnvelope.asked_.front() == self_.id_) {
    return;
  }
  Forward forward;
  forward.to_ = aEnvelope.asked_.front();
  forward.envelope_.service_ = aEnvelope.service_;
  forward.envelope_.key_ = aEnvelope.key_;
  forward.envelope_.bucket_ = aEnvelope.bucket_;
  forward.envelope_.phase_ = Phase::Found;
  forward.envelope_.claimant_ = self_.id_;
  aOut.emplace_back(std::move(forward));
}

void
Agent::Send(HostId aTo, Envelope&& aEnvelope, Actions& aOut)
{
  if (aEnvelope.hops_ >= kMaxHops) {
    Count(Outcome::TooManyHops);
    return;
  }
  ++aEnvelope.hops_;
  Count(Outcome::Forwarded);
  aOut.emplace_back(Forward{ aTo, std::move(aEnvelope) });
}

void
Agent::SendReset(Envelope&& aEnvelope, ResetReason aReason, Actions& aOut)
{
  Count(Outcome::Reset);
  Reset reset;
  reset.key_ = aEnvelope.key_;
  reset.returnPath_ = aEnvelope.returnPath_;
  reset.kind_ = aEnvelope.kind_;
  reset.reason_ = aReason;
  reset.payload_ = std::move(aEnvelope.payload_);
  aOut.emplace_back(std::move(reset));
}

bool
Agent::AddCandidates(TimePoint aNow, Envelope& aEnvelope, bool aAllOwners) const
{
  bool complete = true;
  const auto add = [&](HostId aHost) {
    if (aHost != self_.id_ && !view_.IsKnownGone(aHost)) {
      complete = AddPendingHost(aEnvelope, aHost) && complete;
    }
  };
  const auto owners = view_.Routes().Owners(aEnvelope.bucket_);
  const auto most = aAllOwners ? owners.size() : kSettledOwners;
  for (std::size_t rank = 0; rank < std::min(most, owners.size()); ++rank) {
    add(owners[rank]);
  }
  for (const auto host : view_.FormerOwners(aNow, aEnvelope.bucket_)) {
    add(host);
  }
  if (view_.IsCold(aNow)) {
    for (const auto host : view_.NotReady()) {
      add(host);
    }
  }
  if (aEnvelope.opening_ != Opening::Yes) {
    for (const auto host : view_.Holders(aEnvelope.bucket_)) {
      add(host);
    }
  }
  return complete;
}

bool
Agent::MayBeRecovered(TimePoint aNow, const Envelope& aEnvelope) const
{
  if (!held_.Recovered()[aEnvelope.bucket_.value_] ||
      refused_.Find(aNow, aEnvelope.key_) != nullptr) {
    return false;
  }
  switch (aEnvelope.opening_) {
    case Opening::No:
      return true;
    case Opening::Maybe:
      return self_.state_ != HostState::Leaving || view_.IsCold(aNow);
    case Opening::Yes:
      return view_.IsCold(aNow);
  }
  return false;
}

bool
Agent::OwnsBucket(const routing::View& aView, BucketId aBucket) const
{
  const auto owners = aView.Routes().Owners(aBucket);
  const auto* const end =
    owners.begin() + std::min(owners.size(), kSettledOwners);
  return std::find(owners.begin(), end, self_.id_) != end;
}

} // namespace cornelshore::flow
