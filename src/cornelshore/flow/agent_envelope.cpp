#include <algorithm>
#include <utility>

#include <cornelshore/flow/agent.hpp>

namespace cornelshore::flow {

namespace {

constexpr std::size_t kNarrowOwners = 2;
constexpr std::uint32_t kOfferMarginPart = 16;

bool
Contains(const std::vector<HostId>& aHosts, HostId aHost)
{
  return std::find(aHosts.begin(), aHosts.end(), aHost) != aHosts.end();
}

bool
Listed(const Envelope& aEnvelope, HostId aHost)
{
  return Contains(aEnvelope.asked_, aHost) || Contains(aEnvelope.toAsk_, aHost);
}

bool
ListToAsk(Envelope& aEnvelope, HostId aHost)
{
  if (Listed(aEnvelope, aHost)) {
    return true;
  }
  if (aEnvelope.asked_.size() + aEnvelope.toAsk_.size() >= kMostListed) {
    return false;
  }
  aEnvelope.toAsk_.push_back(aHost);
  return true;
}

void
MarkAsked(Envelope& aEnvelope, HostId aHost)
{
  std::erase(aEnvelope.toAsk_, aHost);
  if (!Contains(aEnvelope.asked_, aHost) &&
      aEnvelope.asked_.size() < kMostListed) {
    aEnvelope.asked_.push_back(aHost);
  }
}

/** Of two that claim one flow at once, the one that both let have it. */
bool
Outranks(HostId aOne, HostId aOther)
{
  return aOne < aOther;
}

} // namespace

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
    TellFound(envelope, aOut);
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
                         aNow + limits_.cedeFor_ };
  static_cast<void>(found_.Put(aEnvelope.key_, pointer));
}

const Pointer*
Agent::Follow(TimePoint aNow, const Envelope& aEnvelope) const
{
  const auto counts = [&](const Pointer* aPointer) {
    return aPointer != nullptr && aPointer->host_ != self_.id_ &&
           !view_.KnownGone(aPointer->host_);
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
  for (auto* table : { &pointers_, &found_ }) {
    const auto* pointer = table->Find(aNow, aKey);
    if (pointer == nullptr || pointer->kind_ == PointerKind::Placed ||
        pointer->until_ > aNow + limits_.cedeFor_ / 2) {
      continue;
    }
    auto longer = *pointer;
    longer.until_ = aNow + limits_.cedeFor_;
    static_cast<void>(table->Put(aKey, longer));
  }
}

void
Agent::OnLookup(TimePoint aNow, Envelope&& aEnvelope, Actions& aOut)
{
  aEnvelope.unsettled_ |=
    !Fresh(aNow) || !view_.Settled(aNow, aEnvelope.bucket_);
  Extend(aNow, aEnvelope.key_);
  const auto* pointer = Follow(aNow, aEnvelope);
  if (pointer != nullptr && pointer->kind_ == PointerKind::Placed &&
      aEnvelope.opening_ != Opening::No) {
    if (Contains(aEnvelope.asked_, pointer->host_)) {
      OnPassedBack(aNow, std::move(aEnvelope), aOut);
      return;
    }
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
  const bool wide = !view_.Settled(aNow, aEnvelope.bucket_);
  aEnvelope.unsettled_ |= !AddCandidates(aNow, aEnvelope, wide);
  if (aEnvelope.adopter_ == HostId{} && MayBeRecovered(aNow, aEnvelope)) {
    aEnvelope.adopter_ = self_.id_;
  }
  MarkAsked(aEnvelope, self_.id_);
  const auto* pointer = Follow(aNow, aEnvelope);
  if (pointer != nullptr && !Contains(aEnvelope.asked_, pointer->host_)) {
    Send(pointer->host_, std::move(aEnvelope), aOut);
  } else if (aEnvelope.toAsk_.empty()) {
    Conclude(aNow, std::move(aEnvelope), aOut);
  } else {
    const auto next = aEnvelope.toAsk_.front();
    Send(next, std::move(aEnvelope), aOut);
  }
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
  const auto owners = view_.Routes().Owners(aEnvelope.bucket_);
  for (const auto owner : owners) {
    if (owner == self_.id_ && CanClaim(aNow)) {
      StartClaim(aNow, std::move(aEnvelope), aOut);
      return;
    }
    if (!Contains(aEnvelope.asked_, owner)) {
      Send(owner, std::move(aEnvelope), aOut);
      return;
    }
  }
  Count(Outcome::Undecided);
}

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
    if (claims_.size() >= limits_.mostClaims_) {
      Count(Outcome::TableFull);
      return;
    }
    claims_[aEnvelope.key_] = { ++claimNumber_, aNow };
  }
  std::vector<HostId> others{ std::move(aEnvelope.toAsk_) };
  if (pointer != nullptr) {
    others.push_back(pointer->host_);
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
  aEnvelope.toAsk_ = std::move(others);
  const bool wide = !first || !view_.Settled(aNow, bucket);
  if (!AddCandidates(aNow, aEnvelope, wide)) {
    Count(Outcome::ListFull);
    return;
  }
  MarkAsked(aEnvelope, self_.id_);
  ContinueClaim(aNow, std::move(aEnvelope), aOut);
}

void
Agent::ContinueClaim(TimePoint aNow, Envelope&& aEnvelope, Actions& aOut)
{
  if (!aEnvelope.toAsk_.empty()) {
    const auto next = aEnvelope.toAsk_.front();
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
  if (aEnvelope.claimant_ == self_.id_) {
    OnClaimReturned(aNow, std::move(aEnvelope), aOut);
    return;
  }
  if (!KnowsItsPast()) {
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
    if (CanClaim(aNow) && Outranks(self_.id_, claimant)) {
      for (const auto host : std::exchange(aEnvelope.asked_, {})) {
        static_cast<void>(ListToAsk(aEnvelope, host));
      }
      static_cast<void>(ListToAsk(aEnvelope, claimant));
      StartClaim(aNow, std::move(aEnvelope), aOut);
      return;
    }
    claims_.erase(aEnvelope.key_);
  }
  if (!AddCandidates(
        aNow, aEnvelope, !view_.Settled(aNow, aEnvelope.bucket_))) {
    Count(Outcome::ListFull);
    return;
  }
  MarkAsked(aEnvelope, self_.id_);
  std::erase(aEnvelope.toAsk_, claimant);
  if (pointer != nullptr && pointer->host_ != claimant &&
      !Contains(aEnvelope.asked_, pointer->host_)) {
    Send(pointer->host_, std::move(aEnvelope), aOut);
    return;
  }
  const Pointer ceded{ claimant, PointerKind::Ceded, aNow + limits_.cedeFor_ };
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
                     aEnvelope.toAsk_.empty() && CanClaim(aNow);
  if (!valid) {
    RestartLookup(aNow, std::move(aEnvelope), aOut);
    return;
  }
  const auto other = OtherOwner(aEnvelope.bucket_);
  if (aEnvelope.load_ != 0 && other != HostId{}) {
    peerLoads_[other] = { aEnvelope.load_ - 1, aNow + limits_.loadFor_ };
  }
  const auto adopter = aEnvelope.adopter_;
  if (adopter == HostId{} || MayBeRecovered(aNow, aEnvelope)) {
    Decide(aNow, std::move(aEnvelope), aOut);
    return;
  }
  const Pointer pointer{ adopter, PointerKind::Ceded, aNow + limits_.cedeFor_ };
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
  aEnvelope.toAsk_.clear();
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
  const Pointer placed{ other, PointerKind::Placed, aNow + limits_.cedeFor_ };
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
  const auto claimant = aEnvelope.claimant_;
  const auto* pointer = Follow(aNow, aEnvelope);
  if (pointer != nullptr && pointer->host_ != claimant) {
    auto longer = *pointer;
    longer.until_ = aNow + limits_.cedeFor_;
    static_cast<void>(pointers_.Put(aEnvelope.key_, longer));
    RestartLookup(aNow, std::move(aEnvelope), aOut);
    return;
  }
  const bool takes = pointer == nullptr && self_.state_ == HostState::Ready &&
                     !declaredGone_ && !superseded_ && !Full() &&
                     Load() < aEnvelope.load_;
  if (takes) {
    OpenHere(aNow, std::move(aEnvelope), aOut);
    return;
  }
  const Pointer ceded{ claimant, PointerKind::Ceded, aNow + limits_.cedeFor_ };
  if (!pointers_.Put(aEnvelope.key_, ceded)) {
    Count(Outcome::TableFull);
    return;
  }
  claims_.erase(aEnvelope.key_);
  aEnvelope.phase_ = Phase::Declined;
  aEnvelope.adopter_ = self_.id_;
  aEnvelope.load_ = Load();
  Send(claimant, std::move(aEnvelope), aOut);
}

void
Agent::OnDeclined(TimePoint aNow, Envelope&& aEnvelope, Actions& aOut)
{
  const auto decliner = std::exchange(aEnvelope.adopter_, {});
  peerLoads_[decliner] = { aEnvelope.load_, aNow + limits_.loadFor_ };
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
Agent::OnAdopt(TimePoint aNow, Envelope&& aEnvelope, Actions& aOut)
{
  if (!MayBeRecovered(aNow, aEnvelope) || Full()) {
    Count(Outcome::Undecided);
    return;
  }
  Insert(aNow, aEnvelope, true);
  Count(Outcome::Adopted);
  DeliverTo(std::move(aEnvelope), false, aOut);
}

void
Agent::OpenHere(TimePoint aNow, Envelope&& aEnvelope, Actions& aOut)
{
  claims_.erase(aEnvelope.key_);
  if (Full()) {
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
Agent::TellFound(const Envelope& aEnvelope, Actions& aOut) const
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
  if (aEnvelope.hops_ >= kMostHops) {
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
Agent::AddCandidates(TimePoint aNow, Envelope& aEnvelope, bool aWide) const
{
  bool complete = true;
  const auto add = [&](HostId aHost) {
    if (aHost != self_.id_ && !view_.KnownGone(aHost)) {
      complete = ListToAsk(aEnvelope, aHost) && complete;
    }
  };
  const auto owners = view_.Routes().Owners(aEnvelope.bucket_);
  const auto most = aWide ? owners.size() : kNarrowOwners;
  for (std::size_t rank = 0; rank < std::min(most, owners.size()); ++rank) {
    add(owners[rank]);
  }
  for (const auto host : view_.FormerOwners(aNow, aEnvelope.bucket_)) {
    add(host);
  }
  if (view_.Cold(aNow)) {
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
      return self_.state_ != HostState::Leaving || view_.Cold(aNow);
    case Opening::Yes:
      return view_.Cold(aNow);
  }
  return false;
}

const Agent::Claim*
Agent::CurrentClaim(TimePoint aNow, const FlowKey& aKey) const
{
  const auto found = claims_.find(aKey);
  const bool current =
    found != claims_.end() && found->second.since_ + limits_.claimFor_ >= aNow;
  return current ? &found->second : nullptr;
}

bool
Agent::OwnsBucket(const routing::View& aView, BucketId aBucket) const
{
  const auto owners = aView.Routes().Owners(aBucket);
  const auto* const end =
    owners.begin() + std::min(owners.size(), kNarrowOwners);
  return std::find(owners.begin(), end, self_.id_) != end;
}

HostId
Agent::OtherOwner(BucketId aBucket) const
{
  const auto owners = view_.Routes().Owners(aBucket);
  if (owners.size() < kNarrowOwners) {
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
  if (Full()) {
    return true;
  }
  const auto found = peerLoads_.find(other);
  const bool known = found != peerLoads_.end() && found->second.until_ > aNow;
  const auto theirs = known ? found->second.load_ : 0;
  return Load() > theirs + theirs / kOfferMarginPart;
}

} // namespace cornelshore::flow
