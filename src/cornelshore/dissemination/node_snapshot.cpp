#include <cornelshore/dissemination/node_state.hpp>

#include <algorithm>
#include <utility>

namespace cornelshore::dissemination {

namespace {

/** A batch takes 35 ms of a link of 2 Mbit/s. */
constexpr std::size_t kMaxBatchBytes = 8400;

/** Bytes of a whole batch at most: its records and its messages' headers. Part
 * of a batch is of no use to the receiver. */
constexpr std::size_t kMaxBatchTraffic = kMaxBatchBytes + 1'600;

/** Several round trips and the time of a batch on a slow link. */
constexpr Duration kSnapshotRequestTimeout = std::chrono::milliseconds(150);

/** Requests in a row that led no further before the node compares digests
 * instead: all others may have just started as well. */
constexpr std::uint32_t kMaxFailedSnapshotRequests = 8;

/** Share of the burst that a snapshot leaves for other messages. */
constexpr double kSnapshotReserve = 0.1;

/** Age up to which the sender's last synchronisation counts; established
 * nodes synchronise each second. */
constexpr Duration kMaxSenderSyncAge = std::chrono::seconds(3);

} // namespace

bool
Node::State::AwaitsSnapshot() const noexcept
{
  return !IsAgent() && !snapshot_.complete_ && !joined_ &&
         snapshot_.requests_ < kMaxFailedSnapshotRequests;
}

void
Node::State::RequestSnapshot(TimePoint aNow)
{
  const bool awaited = snapshot_.from_.port_ != 0 &&
                       aNow - snapshot_.requestedAt_ < kSnapshotRequestTimeout;
  if (awaited) {
    return;
  }
  for (const auto peer : partners_.Pick(aNow, ledger_, 1)) {
    partners_.Asked(aNow, peer);
    SendSnapshotRequest(aNow, peer, ledger_.LivePeer(peer)->address_);
  }
}

void
Node::State::SendSnapshotRequest(TimePoint aNow,
                                 NodeId aTo,
                                 const Address& aAddress)
{
  snapshot_.from_ = aAddress;
  snapshot_.requestedAt_ = aNow;
  snapshot_.received_ = 0;
  ++snapshot_.requests_;
  Packer packer(HeaderFor(aNow, aTo, MessageKind::Round));
  AddSubject(aNow, settings_.self_, packer);
  packer.AddSnapshotRequest(snapshot_.nextLeaf_);
  SendTo(aNow, aTo, aAddress, std::move(packer).Finish(), Priority::Normal);
}

void
Node::State::TakeSnapshotBatch(TimePoint aNow, const Received& aEvent)
{
  const auto& message = aEvent.message_;
  const auto& batch = message.snapshotBatch_;
  if (!batch || !AwaitsSnapshot() || aEvent.address_ != snapshot_.from_ ||
      batch->first_ != snapshot_.nextLeaf_) {
    return;
  }
  if (batch->next_ <= batch->first_) {
    snapshot_.from_ = {};
    RequestSnapshot(aNow);
    return;
  }
  snapshot_.received_ +=
    static_cast<std::uint32_t>(message.hosts_.size() + message.peers_.size());
  if (snapshot_.received_ < batch->records_) {
    return;
  }
  snapshot_.inStep_ &= message.header_.syncAge_ < kMaxSenderSyncAge;
  snapshot_.nextLeaf_ = batch->next_;
  snapshot_.requests_ = 0;
  if (batch->next_ < DigestTree::kLeaves) {
    SendSnapshotRequest(aNow, aEvent.from_, aEvent.address_);
  } else {
    FinishSnapshot(aNow, aEvent);
  }
}

void
Node::State::FinishSnapshot(TimePoint aNow, const Received& aEvent)
{
  snapshot_.complete_ = true;
  nextRound_ = aNow;
  if (snapshot_.inStep_ &&
      aEvent.message_.header_.receiver_ == settings_.incarnation_) {
    syncTracker_.Note(aEvent.from_, aNow - aEvent.message_.header_.syncAge_);
    joined_ = true;
  }
}

void
Node::State::AnswerSnapshotRequest(TimePoint aNow, const Received& aEvent)
{
  const auto& request = aEvent.message_.snapshotRequest_;
  if (IsAgent() || !request) {
    return;
  }
  SnapshotBatch batch{ *request, *request, 0 };
  Packer packer(HeaderFor(aNow, aEvent.from_, MessageKind::Answer));
  if (budget_.HasShareLeft(aNow, kSnapshotReserve) &&
      budget_.Allows(aNow, kMaxBatchTraffic, Priority::Normal)) {
    std::size_t bytes = 0;
    while (batch.next_ < DigestTree::kLeaves && bytes < kMaxBatchBytes) {
      for (const auto& entry : ledger_.LeafAt(batch.next_).entries_) {
        bytes += AddSubject(aNow, entry.id_, packer);
        ++batch.records_;
      }
      ++batch.next_;
    }
  } else {
    for (const auto peer : partners_.Pick(aNow, ledger_, kReferredPeers)) {
      AddSubject(aNow, peer, packer);
    }
  }
  auto messages = std::move(packer).Finish();
  for (auto& message : messages) {
    message.snapshotBatch_ = batch;
  }
  SendTo(
    aNow, aEvent.from_, aEvent.address_, std::move(messages), Priority::Normal);
}

} // namespace cornelshore::dissemination
