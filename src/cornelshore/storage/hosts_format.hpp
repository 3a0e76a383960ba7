#ifndef CORNELSHORE_STORAGE_HOSTS_FORMAT_HPP
#define CORNELSHORE_STORAGE_HOSTS_FORMAT_HPP

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cornelshore/core/host.hpp>
#include <cornelshore/core/time.hpp>
#include <cornelshore/dissemination/message.hpp>
#include <cornelshore/storage/frame.hpp>
#include <cornelshore/wire/membership_codec.hpp>
#include <cornelshore/wire/reader.hpp>
#include <cornelshore/wire/writer.hpp>

namespace cornelshore::storage {

/** @brief Maximum size of the encoded host records, in bytes. */
inline constexpr std::uint64_t kMaxHostsBytes = 16U << 20U;

/** @brief Maximum number of host records that are stored. */
inline constexpr std::size_t kMaxStoredHosts = 65'536;

/** @brief A moment by the clock of one boot of the VM and by the wall clock. */
struct StoredAt
{
  std::uint64_t bootId_{}; ///< 0 when unknown.
  TimePoint now_;          ///< By a clock that runs steadily during one boot.
  std::uint64_t wallMillis_{}; ///< Since 1970.

  bool operator==(const StoredAt&) const noexcept = default;
};

/** @brief Host records, tombstones included, as they are stored. */
struct StoredHosts
{
  std::vector<dissemination::HostUpdate> hosts_;
  StoredAt at_;
  std::size_t refused_{}; ///< Entries that were read and make no sense.
};

/** @brief Time from one moment to a later one. The wall clock, which may be
 * set, counts only across a reboot. */
inline Duration
TimeBetween(const StoredAt& aFrom, const StoredAt& aTo)
{
  if (aFrom.bootId_ != 0 && aFrom.bootId_ == aTo.bootId_) {
    return std::max(aTo.now_ - aFrom.now_, Duration::zero());
  }
  const auto from = std::min(aFrom.wallMillis_, aTo.wallMillis_);
  return std::chrono::milliseconds{ static_cast<std::int64_t>(aTo.wallMillis_ -
                                                              from) };
}

namespace internal {

inline constexpr std::uint64_t kHostsSeed = 0x686F7374U;
inline constexpr std::uint64_t kHostsVersion = 1;
/** An entry has a bitmap of `kBucketCount` bits at most, and small fields. */
inline constexpr std::size_t kMaxHostEntryBytes = 512;
inline constexpr std::uint64_t kMaxWallMillis = 1ULL << 50U;
inline constexpr Duration kMaxTombstoneAge = std::chrono::hours{ 24 * 365 };

inline std::string
EncodeHostEntry(const dissemination::HostUpdate& aHost)
{
  std::string entry;
  wire::Writer writer(entry);
  wire::Encode(writer, aHost.record_);
  writer.Write(std::clamp(aHost.age_, Duration::zero(), kMaxTombstoneAge));
  return entry;
}

/** Whether an entry is a host's record. */
inline bool
DecodeHostEntry(std::string_view aEntry, dissemination::HostUpdate& aHost)
{
  wire::Reader reader(aEntry);
  wire::Decode(reader, aHost.record_);
  reader.Read(aHost.age_);
  const auto& record = aHost.record_;
  return reader.Finish().ok() && record.id_ != HostId{} &&
         record.incarnation_ != Incarnation{} &&
         record.service_ != ServiceId{} && record.agent_.port_ != 0 &&
         aHost.age_ >= Duration::zero() && aHost.age_ <= kMaxTombstoneAge;
}

} // namespace internal

/** @brief Encodes host records as one frame.
 * @return The bytes, or `OutOfRange` when there are too many records. */
inline absl::StatusOr<std::string>
EncodeHosts(const StoredHosts& aHosts)
{
  if (aHosts.hosts_.size() > kMaxStoredHosts) {
    return absl::OutOfRangeError("too many host records to store");
  }
  std::string payload;
  wire::Writer writer(payload);
  writer.Uint(internal::kHostsVersion);
  writer.Uint(aHosts.at_.bootId_);
  writer.Write(aHosts.at_.now_.time_since_epoch());
  writer.Uint(aHosts.at_.wallMillis_);
  writer.List(aHosts.hosts_.size());
  for (const auto& host : aHosts.hosts_) {
    writer.Bytes(internal::EncodeHostEntry(host));
  }
  if (payload.size() + kFrameHeaderBytes > kMaxHostsBytes) {
    return absl::OutOfRangeError("host records exceed the size limit");
  }
  return MakeFrame(internal::kHostsSeed, 0, { FrameKind::Header, 0, payload });
}

/**
 * @brief Decodes host records; entries that make no sense are left out and
 * counted. Bytes after the frame are ignored: a file system may add zeros at a
 * power loss.
 * @return The records, `DataLoss` when the bytes are torn or damaged, or
 * `Unimplemented` when a newer program wrote them.
 */
inline absl::StatusOr<StoredHosts>
DecodeHosts(std::string_view aBytes)
{
  const auto frame = DecodeFrame(aBytes, 0, internal::kHostsSeed);
  if (!frame || frame->kind_ != FrameKind::Header) {
    return absl::DataLossError("host records are torn or damaged");
  }
  wire::Reader reader(frame->payload_);
  const auto version = reader.Uint();
  if (reader.Good() && version > internal::kHostsVersion) {
    return absl::UnimplementedError("host records of a newer version");
  }
  StoredHosts stored;
  Duration now{};
  stored.at_.bootId_ = reader.Uint();
  reader.Read(now);
  stored.at_.now_ = TimePoint{ std::max(now, Duration::zero()) };
  stored.at_.wallMillis_ = reader.Uint(internal::kMaxWallMillis);
  const auto count = reader.List(kMaxStoredHosts);
  for (std::size_t entry = 0; entry < count && reader.Good(); ++entry) {
    dissemination::HostUpdate host;
    const auto bytes = reader.Bytes(internal::kMaxHostEntryBytes);
    if (reader.Good() && internal::DecodeHostEntry(bytes, host)) {
      stored.hosts_.push_back(host);
    } else {
      ++stored.refused_;
    }
  }
  if (!reader.Finish().ok()) {
    return absl::DataLossError("host records cannot be decoded");
  }
  return stored;
}

} // namespace cornelshore::storage

#endif
