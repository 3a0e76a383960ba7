#ifndef CORNELSHORE_DISSEMINATION_LEDGER_HPP
#define CORNELSHORE_DISSEMINATION_LEDGER_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include <cornelshore/core/time.hpp>
#include <cornelshore/core/types.hpp>
#include <cornelshore/dissemination/digest_tree.hpp>
#include <cornelshore/dissemination/message.hpp>
#include <cornelshore/membership/view.hpp>

namespace cornelshore::dissemination {

/** @brief Id of the agent beside a host, as a subject of records. */
[[nodiscard]] constexpr NodeId
SubjectOf(HostId aHost) noexcept
{
  return NodeId{ aHost.value_ };
}

/**
 * @brief All records that one node holds, with the digest tree over them.
 *
 * Records expire at the same time on every node: the age of a tombstone or
 * peer record is sent with it, and expired records are dropped and rejected.
 */
class Ledger
{
public:
  struct Bounds
  {
    std::size_t maxPeers_{};
    Duration peerLife_{}; ///< Age at which a peer record expires.
  };

  Ledger(membership::View aHosts, Bounds aBounds);

  /** @brief Merges a host's record. */
  membership::MergeOutcome Merge(TimePoint aNow, const HostUpdate& aUpdate);

  /** @brief Merges a peer's record. */
  membership::MergeOutcome Merge(TimePoint aNow, const PeerUpdate& aUpdate);

  /** @brief Drops a peer's record, which may be merged again. */
  void Forget(NodeId aPeer);

  /** @brief Drops expired tombstones and peer records. */
  void Expire(TimePoint aNow);

  [[nodiscard]] const membership::View& Hosts() const noexcept
  {
    return hosts_;
  }

  [[nodiscard]] const DigestTree& Tree() const noexcept { return tree_; }

  /** @brief Digest over one service's records, tombstones included. */
  [[nodiscard]] std::uint64_t DigestOf(ServiceId aService) const;

  /** @brief Digest over one subject's record; 0 without one. */
  [[nodiscard]] std::uint64_t DigestOf(NodeId aSubject) const;

  /** @brief Versions of all records of a leaf. */
  [[nodiscard]] Leaf LeafAt(std::uint16_t aIndex) const;

  /** @brief Version of a subject's record, if there is one. */
  [[nodiscard]] std::optional<membership::RecordVersion> VersionOf(
    NodeId aSubject) const;

  [[nodiscard]] std::optional<HostUpdate> HostOf(TimePoint aNow,
                                                 NodeId aSubject) const;
  [[nodiscard]] std::optional<PeerUpdate> PeerOf(TimePoint aNow,
                                                 NodeId aSubject) const;

  /** @brief A peer that is not gone; null when unknown. */
  [[nodiscard]] const membership::PeerRecord* LivePeer(NodeId aPeer) const;

  /** @brief Ids of the peers that are not gone, unordered. */
  [[nodiscard]] const std::vector<NodeId>& LivePeers() const noexcept
  {
    return live_;
  }

  /** @brief Number of peer records held. */
  [[nodiscard]] std::size_t PeerCount() const noexcept { return peers_.size(); }

private:
  struct PeerEntry
  {
    membership::PeerRecord record_;
    TimePoint madeAt_;
  };

  void Replace(NodeId aSubject,
               std::optional<membership::RecordVersion> aOld,
               const membership::RecordVersion& aNew);
  void Remove(NodeId aSubject, const membership::RecordVersion& aOld);
  void SetLive(NodeId aPeer, bool aLive);

  Bounds bounds_;
  membership::View hosts_;
  absl::flat_hash_map<NodeId, PeerEntry> peers_;
  std::vector<NodeId> live_;
  DigestTree tree_;
  std::vector<std::vector<NodeId>> leaves_;
};

} // namespace cornelshore::dissemination

#endif
