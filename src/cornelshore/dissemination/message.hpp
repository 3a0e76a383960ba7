#ifndef CORNELSHORE_DISSEMINATION_MESSAGE_HPP
#define CORNELSHORE_DISSEMINATION_MESSAGE_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <cornelshore/core/host.hpp>
#include <cornelshore/core/names.hpp>
#include <cornelshore/core/time.hpp>
#include <cornelshore/core/types.hpp>
#include <cornelshore/membership/record.hpp>

namespace cornelshore::dissemination {

/** @brief Most bytes of an encoded message, before it is sealed. */
inline constexpr std::size_t kMaxMessageBytes = 1200;

/** @brief Bytes of a configuration or delta in one chunk. */
inline constexpr std::size_t kChunkBytes = 900;

/** @brief Most bytes of an encoded configuration or delta. */
inline constexpr std::size_t kMaxConfigBytes = 4'194'304;

/** @brief Children of each inner node of the digest tree. */
inline constexpr std::size_t kTreeFanout = 16;

/** @brief Most entries of one leaf. */
inline constexpr std::size_t kMaxLeafEntries = 32;

/** @brief Most items of each list of a message. */
inline constexpr std::size_t kMaxItems = 128;

/**
 * @brief Statement by control that a version was the accepted one.
 *
 * Made by a control VM that holds its lease and forwarded by every process,
 * with its age at the time of sending.
 */
struct Confirmation
{
  ConfigVersion version_;
  std::uint64_t term_{}; ///< Term of the leader that made it.
  Duration age_{};       ///< Time since it was made.

  bool operator==(const Confirmation&) const noexcept = default;
};

/** @brief Why a message is sent. */
enum class MessageKind : std::uint8_t
{
  Round,  ///< A periodic exchange; always answered.
  Answer, ///< Answers another message.
  Push,   ///< Urgent update; expects no answer.
};

/** @brief Names of `MessageKind`. */
inline constexpr std::array<EnumName<MessageKind>, 3> kMessageKindNames{ {
  { MessageKind::Round, "round" },
  { MessageKind::Answer, "answer" },
  { MessageKind::Push, "push" },
} };

/** @brief State of the sender, in every message. */
struct Header
{
  Incarnation incarnation_; ///< The sender's.
  Incarnation receiver_;    ///< The receiver's, 0 when not known.
  membership::NodeRole role_{ membership::NodeRole::Balancer };
  DataCentreId dataCentre_;
  ServiceId scope_; ///< Service the digest is over; 0 for all.
  MessageKind kind_{ MessageKind::Round };
  bool compare_{};         ///< Asks the receiver to compare the digest.
  std::uint64_t digest_{}; ///< Of the records in the scope.
  ConfigVersion config_;   ///< Held by the sender, whole.
  bool inForce_{};         ///< Whether that is in force at the sender.
  Duration syncAge_{};     ///< Time since it last was in step with others.
  std::optional<Confirmation> confirmation_;

  bool operator==(const Header&) const noexcept = default;
};

/** @brief A host's record as it is sent. */
struct HostUpdate
{
  HostRecord record_;
  Duration age_{}; ///< Of a `Gone` record: time since it was declared.

  bool operator==(const HostUpdate&) const noexcept = default;
};

/** @brief A peer's record as it is sent. */
struct PeerUpdate
{
  membership::PeerRecord record_;
  Duration age_{}; ///< Time since the peer made it.

  bool operator==(const PeerUpdate&) const noexcept = default;
};

/** @brief One part of an encoded configuration, or of a delta to it. */
struct ConfigChunk
{
  ConfigVersion base_; ///< Version the delta starts from; 0: no delta.
  ConfigVersion version_;
  std::uint32_t size_{};     ///< Bytes of the configuration or delta.
  std::uint64_t checksum_{}; ///< Of the configuration that results.
  std::uint32_t offset_{};   ///< Position of this part, in bytes.
  std::string bytes_;

  bool operator==(const ConfigChunk&) const noexcept = default;
};

/** @brief Requests the chunks of a newer configuration. */
struct ConfigRequest
{
  ConfigVersion held_;     ///< Held by the sender, whole.
  ConfigVersion base_;     ///< Of what it assembles.
  ConfigVersion version_;  ///< Of what it assembles; 0: nothing.
  std::uint32_t offset_{}; ///< First byte that is missing of it.

  bool operator==(const ConfigRequest&) const noexcept = default;
};

/** @brief Hashes of the children of one node of the digest tree. */
struct TreeChildren
{
  std::uint8_t level_{};  ///< Of the parent; 0 is the root.
  std::uint16_t index_{}; ///< Of the parent.
  std::array<std::uint32_t, kTreeFanout> hashes_{};

  bool operator==(const TreeChildren&) const noexcept = default;
};

/** @brief Version of one record of a leaf of the digest tree. */
struct LeafEntry
{
  NodeId id_;
  membership::RecordVersion version_;

  bool operator==(const LeafEntry&) const noexcept = default;
};

/** @brief All records of one leaf of the digest tree, by version. */
struct Leaf
{
  std::uint16_t index_{};
  std::vector<LeafEntry> entries_;

  bool operator==(const Leaf&) const noexcept = default;
};

/**
 * @brief Batch of a snapshot that a message belongs to.
 *
 * A snapshot has all records of the sender in the order of the digest tree's
 * leaves; the receiver requests one batch after the other.
 */
struct SnapshotBatch
{
  std::uint16_t first_{};   ///< First leaf of the batch.
  std::uint16_t next_{};    ///< First leaf of the next batch; `first_`: denied.
  std::uint16_t records_{}; ///< Records in all messages of the batch.

  bool operator==(const SnapshotBatch&) const noexcept = default;
};

/** @brief A message between two processes; empty lists cost a byte each. */
struct Message
{
  Header header_;
  std::vector<HostUpdate> hosts_;
  std::vector<PeerUpdate> peers_;
  std::vector<ConfigChunk> chunks_;
  std::optional<ConfigRequest> configRequest_;
  std::vector<TreeChildren> hashes_;
  std::vector<Leaf> leaves_;
  std::vector<NodeId> requestedRecords_; ///< Subjects of requested records.
  /** First leaf of the snapshot batch that the sender requests. */
  std::optional<std::uint16_t> snapshotRequest_;
  std::optional<SnapshotBatch> snapshotBatch_;

  bool operator==(const Message&) const noexcept = default;
};

} // namespace cornelshore::dissemination

#endif
