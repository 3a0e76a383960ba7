#include <cornelshore/wire/consensus_codec.hpp>

#include <utility>

#include <cornelshore/wire/configuration_codec.hpp>
#include <cornelshore/wire/reader.hpp>
#include <cornelshore/wire/writer.hpp>

namespace cornelshore::wire {

using namespace consensus;

static_assert(kMostServices == consensus::kMaxServicesPerChange);
static_assert(kMaxClassesPerService == consensus::kMaxClassesPerService);
static_assert(kMaxNameBytes == consensus::kMaxNameBytes);

namespace {

void Encode(Writer& aWriter, const Member& aMember);
void Decode(Reader& aReader, Member& aMember);
void Decode(Reader& aReader, Membership& aMembership);
void Encode(Writer& aWriter, const HistoryEntry& aEntry);
void Decode(Reader& aReader, HistoryEntry& aEntry);
void Encode(Writer& aWriter, const CachedAnswer& aAnswer);
void Decode(Reader& aReader, CachedAnswer& aAnswer);

template<typename Items>
void
EncodeList(Writer& aWriter, const Items& aItems)
{
  aWriter.List(aItems.size());
  for (const auto& item : aItems) {
    Encode(aWriter, item);
  }
}

template<typename Items>
void
DecodeList(Reader& aReader, Items& aItems, std::size_t aMost)
{
  aItems.clear();
  const auto count = aReader.List(aMost);
  for (std::size_t index = 0; index < count && aReader.Good(); ++index) {
    Decode(aReader, aItems.emplace_back());
  }
}

template<typename Value>
std::shared_ptr<const Value>
DecodeShared(Reader& aReader)
{
  Value value;
  Decode(aReader, value);
  return std::make_shared<const Value>(std::move(value));
}

void
Encode(Writer& aWriter, const Position& aPosition)
{
  aWriter.Write(aPosition.term_);
  aWriter.Write(aPosition.index_);
}

void
Decode(Reader& aReader, Position& aPosition)
{
  aReader.Read(aPosition.term_);
  aReader.Read(aPosition.index_);
}

void
Encode(Writer& aWriter, const Member& aMember)
{
  Encode(aWriter, aMember.id_);
  aWriter.Uint(static_cast<std::uint8_t>(aMember.role_));
}

void
Decode(Reader& aReader, Member& aMember)
{
  Decode(aReader, aMember.id_);
  aMember.role_ = aReader.Enumerator(MemberRole::Voter);
}

void
Encode(Writer& aWriter, const Membership& aMembership)
{
  aWriter.Write(aMembership.index_);
  EncodeList(aWriter, aMembership.members_);
}

void
Decode(Reader& aReader, Membership& aMembership)
{
  aReader.Read(aMembership.index_);
  DecodeList(aReader, aMembership.members_, kMaxMembers);
  for (std::size_t next = 1; next < aMembership.members_.size(); ++next) {
    if (!(aMembership.members_[next - 1].id_ <
          aMembership.members_[next].id_)) {
      aReader.Fail();
    }
  }
}

void
Encode(Writer& aWriter, const ChangeAnswer& aAnswer)
{
  aWriter.Uint(static_cast<std::uint8_t>(aAnswer.outcome_));
  aWriter.Write(aAnswer.version_);
  aWriter.Write(aAnswer.acceptedChange_);
  aWriter.Bool(aAnswer.replayed_);
}

void
Decode(Reader& aReader, ChangeAnswer& aAnswer)
{
  aAnswer.outcome_ = aReader.Enumerator(ChangeOutcome::Superseded);
  aReader.Read(aAnswer.version_);
  aReader.Read(aAnswer.acceptedChange_);
  aAnswer.replayed_ = aReader.Bool();
}

void
Encode(Writer& aWriter, const HistoryEntry& aEntry)
{
  aWriter.Write(aEntry.version_);
  aWriter.Write(aEntry.change_);
  aWriter.Bytes(aEntry.operator_);
  aWriter.Uint(aEntry.wallMillis_);
}

void
Decode(Reader& aReader, HistoryEntry& aEntry)
{
  aReader.Read(aEntry.version_);
  aReader.Read(aEntry.change_);
  aEntry.operator_ = aReader.Bytes(kMaxOperatorNameBytes);
  aEntry.wallMillis_ = aReader.Uint();
}

void
Encode(Writer& aWriter, const CachedAnswer& aAnswer)
{
  aWriter.Write(aAnswer.change_);
  aWriter.Uint(aAnswer.fingerprint_);
  Encode(aWriter, aAnswer.answer_);
}

void
Decode(Reader& aReader, CachedAnswer& aAnswer)
{
  aReader.Read(aAnswer.change_);
  aAnswer.fingerprint_ = aReader.Uint();
  Decode(aReader, aAnswer.answer_);
}

void
Encode(Writer& aWriter, const RegisterState& aState)
{
  Encode(aWriter, aState.configuration_);
  aWriter.Bytes(aState.document_);
  aWriter.Write(aState.acceptedChange_);
  EncodeList(aWriter, aState.history_);
  EncodeList(aWriter, aState.answers_);
}

void
Decode(Reader& aReader, RegisterState& aState)
{
  Decode(aReader, aState.configuration_);
  aState.document_ = aReader.Bytes(consensus::kMaxChangeBytes);
  aReader.Read(aState.acceptedChange_);
  DecodeList(aReader, aState.history_, kHistoryLength);
  DecodeList(aReader, aState.answers_, kMaxCachedAnswers);
}

template<typename Value, typename Write>
void
EncodeOptional(Writer& aWriter,
               const std::optional<Value>& aValue,
               const Write& aWrite)
{
  aWriter.Bool(aValue.has_value());
  if (aValue) {
    aWrite(*aValue);
  }
}

void
EncodeBody(Writer& aWriter, const VoteRequest& aBody)
{
  aWriter.Uint(static_cast<std::uint8_t>(aBody.ballot_));
  aWriter.Write(aBody.term_);
  Encode(aWriter, aBody.last_);
  aWriter.Write(aBody.membership_);
}

void
DecodeBody(Reader& aReader, VoteRequest& aBody)
{
  aBody.ballot_ = aReader.Enumerator(Ballot::Transfer);
  aReader.Read(aBody.term_);
  Decode(aReader, aBody.last_);
  aReader.Read(aBody.membership_);
}

void
EncodeBody(Writer& aWriter, const VoteReply& aBody)
{
  aWriter.Uint(static_cast<std::uint8_t>(aBody.ballot_));
  aWriter.Write(aBody.term_);
  aWriter.Bool(aBody.granted_);
}

void
DecodeBody(Reader& aReader, VoteReply& aBody)
{
  aBody.ballot_ = aReader.Enumerator(Ballot::Transfer);
  aReader.Read(aBody.term_);
  aBody.granted_ = aReader.Bool();
}

void
EncodeBody(Writer& aWriter, const AppendRequest& aBody)
{
  Encode(aWriter, aBody.previous_);
  EncodeList(aWriter, aBody.entries_);
  aWriter.Write(aBody.commit_);
  aWriter.Write(aBody.sentAt_);
}

void
DecodeBody(Reader& aReader, AppendRequest& aBody)
{
  Decode(aReader, aBody.previous_);
  DecodeList(aReader, aBody.entries_, kMostEntries);
  aReader.Read(aBody.commit_);
  aReader.Read(aBody.sentAt_);
}

void
EncodeBody(Writer& aWriter, const SnapshotRequest& aBody)
{
  Encode(aWriter, *aBody.snapshot_);
  aWriter.Write(aBody.sentAt_);
}

void
DecodeBody(Reader& aReader, SnapshotRequest& aBody)
{
  aBody.snapshot_ = DecodeShared<Snapshot>(aReader);
  aReader.Read(aBody.sentAt_);
}

void
EncodeBody(Writer& aWriter, const AppendReply& aBody)
{
  aWriter.Bool(aBody.accepted_);
  aWriter.Write(aBody.match_);
  aWriter.Write(aBody.last_);
  aWriter.Write(aBody.sentAt_);
}

void
DecodeBody(Reader& aReader, AppendReply& aBody)
{
  aBody.accepted_ = aReader.Bool();
  aReader.Read(aBody.match_);
  aReader.Read(aBody.last_);
  aReader.Read(aBody.sentAt_);
}

void
EncodeBody(Writer& aWriter, const Hello& aBody)
{
  aWriter.Uint(aBody.nonce_);
  Encode(aWriter, aBody.last_);
  aWriter.Write(aBody.membership_);
}

void
DecodeBody(Reader& aReader, Hello& aBody)
{
  aBody.nonce_ = aReader.Uint();
  Decode(aReader, aBody.last_);
  aReader.Read(aBody.membership_);
}

void
EncodeBody(Writer& aWriter, const HelloReply& aBody)
{
  aWriter.Uint(aBody.nonce_);
  Encode(aWriter, aBody.last_);
  aWriter.Write(aBody.observedTerm_);
  aWriter.Write(aBody.acknowledgedIndex_);
  Encode(aWriter, aBody.committed_);
  Encode(aWriter, aBody.newest_);
}

void
DecodeBody(Reader& aReader, HelloReply& aBody)
{
  aBody.nonce_ = aReader.Uint();
  Decode(aReader, aBody.last_);
  aReader.Read(aBody.observedTerm_);
  aReader.Read(aBody.acknowledgedIndex_);
  Decode(aReader, aBody.committed_);
  Decode(aReader, aBody.newest_);
}

void
EncodeBody(Writer& aWriter, const Join& aBody)
{
  Encode(aWriter, aBody.replica_);
}

void
DecodeBody(Reader& aReader, Join& aBody)
{
  Decode(aReader, aBody.replica_);
}

void
EncodeBody(Writer& aWriter, const Forward& aBody)
{
  aWriter.Write(aBody.token_);
  Encode(aWriter, *aBody.change_);
}

void
DecodeBody(Reader& aReader, Forward& aBody)
{
  aReader.Read(aBody.token_);
  aBody.change_ = DecodeShared<Change>(aReader);
}

void
EncodeBody(Writer& aWriter, const ForwardReply& aBody)
{
  aWriter.Write(aBody.token_);
  EncodeOptional(aWriter, aBody.answer_, [&](const ChangeAnswer& aAnswer) {
    Encode(aWriter, aAnswer);
  });
}

void
DecodeBody(Reader& aReader, ForwardReply& aBody)
{
  aReader.Read(aBody.token_);
  if (aReader.Bool()) {
    Decode(aReader, aBody.answer_.emplace());
  }
}

void
EncodeBody(Writer& aWriter, const ReadIndexRequest& aBody)
{
  aWriter.Write(aBody.token_);
}

void
DecodeBody(Reader& aReader, ReadIndexRequest& aBody)
{
  aReader.Read(aBody.token_);
}

void
EncodeBody(Writer& aWriter, const ReadIndexReply& aBody)
{
  aWriter.Write(aBody.token_);
  EncodeOptional(aWriter, aBody.index_, [&](const LogIndex& aIndex) {
    aWriter.Write(aIndex);
  });
}

void
DecodeBody(Reader& aReader, ReadIndexReply& aBody)
{
  aReader.Read(aBody.token_);
  if (aReader.Bool()) {
    aReader.Read(aBody.index_.emplace());
  }
}

void
EncodeBody(Writer& aWriter, const Refusal& aBody)
{
  aWriter.Uint(static_cast<std::uint8_t>(aBody.fault_));
}

void
DecodeBody(Reader& aReader, Refusal& aBody)
{
  aBody.fault_ = aReader.Enumerator(Fault::Removed);
  if (aBody.fault_ < Fault::RolledBack) {
    aReader.Fail();
  }
}

void
EncodeBody(Writer& aWriter, const LeaveRequest& aBody)
{
  Encode(aWriter, aBody.replica_);
  aWriter.Write(aBody.leaderSentAt_);
}

void
DecodeBody(Reader& aReader, LeaveRequest& aBody)
{
  Decode(aReader, aBody.replica_);
  aReader.Read(aBody.leaderSentAt_);
}

void
EncodeBody(Writer& aWriter, const LeaveReply& aBody)
{
  aWriter.Bool(aBody.replaced_);
}

void
DecodeBody(Reader& aReader, LeaveReply& aBody)
{
  aBody.replaced_ = aReader.Bool();
}

void
EncodeBody(Writer& /*aWriter*/, const TimeoutNow& /*aBody*/)
{
}

void
DecodeBody(Reader& /*aReader*/, TimeoutNow& /*aBody*/)
{
}

/** Reads the body that stands at `aKind` in the variant. */
template<std::size_t Kind = 0>
void
DecodeBodyOfKind(Reader& aReader, std::size_t aKind, Body& aBody)
{
  if constexpr (Kind < std::variant_size_v<Body>) {
    if (Kind == aKind) {
      DecodeBody(aReader, aBody.emplace<Kind>());
    } else {
      DecodeBodyOfKind<Kind + 1>(aReader, aKind, aBody);
    }
  } else {
    aReader.Fail();
  }
}

} // namespace

void
Encode(Writer& aWriter, const ReplicaId& aId)
{
  aWriter.Write(aId.node_);
  aWriter.Write(aId.disk_);
}

void
Decode(Reader& aReader, ReplicaId& aId)
{
  aReader.Read(aId.node_);
  aReader.Read(aId.disk_);
}

void
Encode(Writer& aWriter, const Change& aChange)
{
  aWriter.Write(aChange.id_);
  aWriter.Write(aChange.expected_);
  aWriter.Bytes(aChange.operator_);
  aWriter.Uint(aChange.wallMillis_);
  EncodeList(aWriter, aChange.services_);
  EncodeList(aWriter, aChange.routes_);
  aWriter.Write(aChange.flowIdleTimeout_);
  aWriter.Write(aChange.chosen_);
  aWriter.Bytes(aChange.document_);
}

void
Decode(Reader& aReader, Change& aChange)
{
  aReader.Read(aChange.id_);
  aReader.Read(aChange.expected_);
  aChange.operator_ = aReader.Bytes(kMaxOperatorNameBytes);
  aChange.wallMillis_ = aReader.Uint();
  DecodeList(aReader, aChange.services_, kMostServices);
  DecodeList(aReader, aChange.routes_, kMaxRoutes);
  aReader.Read(aChange.flowIdleTimeout_);
  aReader.Read(aChange.chosen_);
  aChange.document_ = aReader.Bytes(consensus::kMaxChangeBytes);
}

void
Encode(Writer& aWriter, const Entry& aEntry)
{
  Encode(aWriter, aEntry.At());
  aWriter.Uint(aEntry.payload_.index());
  if (const auto* change =
        std::get_if<std::shared_ptr<const Change>>(&aEntry.payload_)) {
    Encode(aWriter, **change);
  } else if (const auto* members =
               std::get_if<std::shared_ptr<const Membership>>(
                 &aEntry.payload_)) {
    Encode(aWriter, **members);
  }
}

void
Decode(Reader& aReader, Entry& aEntry)
{
  aReader.Read(aEntry.term_);
  aReader.Read(aEntry.index_);
  const auto kind = aReader.Uint(std::variant_size_v<Payload> - 1);
  if (kind == 1) {
    aEntry.payload_ = DecodeShared<Change>(aReader);
  } else if (kind == 2) {
    aEntry.payload_ = DecodeShared<Membership>(aReader);
  }
}

void
Encode(Writer& aWriter, const HardState& aHard)
{
  aWriter.Write(aHard.term_);
  aWriter.Write(aHard.commit_);
  aWriter.Bool(aHard.durabilityProven_);
  EncodeOptional(
    aWriter, aHard.vote_, [&](const ReplicaId& aId) { Encode(aWriter, aId); });
}

void
Decode(Reader& aReader, HardState& aHard)
{
  aReader.Read(aHard.term_);
  aReader.Read(aHard.commit_);
  aHard.durabilityProven_ = aReader.Bool();
  aHard.vote_.reset();
  if (aReader.Bool()) {
    Decode(aReader, aHard.vote_.emplace());
  }
}

void
Encode(Writer& aWriter, const Snapshot& aSnapshot)
{
  Encode(aWriter, aSnapshot.last_);
  Encode(aWriter, aSnapshot.membership_);
  Encode(aWriter, aSnapshot.register_);
}

void
Decode(Reader& aReader, Snapshot& aSnapshot)
{
  Decode(aReader, aSnapshot.last_);
  Decode(aReader, aSnapshot.membership_);
  Decode(aReader, aSnapshot.register_);
}

void
Encode(Writer& aWriter, const Persist& aPersist)
{
  aWriter.Write(aPersist.id_);
  EncodeOptional(aWriter, aPersist.hard_, [&](const HardState& aHard) {
    Encode(aWriter, aHard);
  });
  aWriter.Bool(aPersist.snapshot_ != nullptr);
  if (aPersist.snapshot_ != nullptr) {
    Encode(aWriter, *aPersist.snapshot_);
  }
  EncodeList(aWriter, aPersist.entries_);
}

void
Decode(Reader& aReader, Persist& aPersist)
{
  aReader.Read(aPersist.id_);
  aPersist.hard_.reset();
  if (aReader.Bool()) {
    Decode(aReader, aPersist.hard_.emplace());
  }
  aPersist.snapshot_.reset();
  if (aReader.Bool()) {
    aPersist.snapshot_ = DecodeShared<Snapshot>(aReader);
  }
  DecodeList(aReader, aPersist.entries_, kMostEntries);
}

void
Encode(Writer& aWriter, const Message& aMessage)
{
  Encode(aWriter, aMessage.from_);
  Encode(aWriter, aMessage.to_);
  aWriter.Write(aMessage.term_);
  aWriter.Uint(aMessage.body_.index());
  std::visit([&](const auto& aBody) { EncodeBody(aWriter, aBody); },
             aMessage.body_);
}

absl::StatusOr<Message>
DecodeConsensusMessage(Reader& aReader)
{
  Message message;
  Decode(aReader, message.from_);
  Decode(aReader, message.to_);
  aReader.Read(message.term_);
  const auto kind = aReader.Uint(std::variant_size_v<Body> - 1);
  if (aReader.Good()) {
    DecodeBodyOfKind(aReader, static_cast<std::size_t>(kind), message.body_);
  }
  if (auto status = aReader.Finish(); !status.ok()) {
    return status;
  }
  return message;
}

} // namespace cornelshore::wire
