#ifndef CORNELSHORE_FLOW_BALANCER_HPP
#define CORNELSHORE_FLOW_BALANCER_HPP

#include <array>
#include <cstdint>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include <cornelshore/core/host.hpp>
#include <cornelshore/core/names.hpp>
#include <cornelshore/core/time.hpp>
#include <cornelshore/flow/envelope.hpp>
#include <cornelshore/membership/record.hpp>
#include <cornelshore/routing/table.hpp>

namespace cornelshore::flow {

/** @brief One packet that the fabric delivered to a balancer. */
struct Packet
{
  ServiceId service_;
  FlowKey key_;
  Opening opening_{ Opening::No };
  ClassId class_;
  Address returnPath_;
  PayloadKind kind_{ PayloadKind::Datagram };
  std::string payload_;
};

/** @brief Send the envelope to this host's agent. */
struct Send
{
  HostId to_;
  Envelope envelope_;
};

/**
 * @brief Why a balancer drops a packet.
 *
 * No reason implies that the flow does not exist, so the packet is never
 * answered with a reset.
 */
enum class Refusal : std::uint8_t
{
  UnknownService, ///< No host of the service has ever been known.
  NoReadyHost,    ///< No host accepts new flows and none holds the bucket.
};

/** @brief Names of `Refusal`. */
inline constexpr std::array<EnumName<Refusal>, 2> kRefusalNames{ {
  { Refusal::UnknownService, "unknown_service" },
  { Refusal::NoReadyHost, "no_ready_host" },
} };

/**
 * @brief Chooses the agent that receives a packet first.
 *
 * Keeps the tables of all services and no flow state, so that any balancer can
 * fail or be replaced at any time.
 */
class Balancer
{
public:
  using Decision = std::variant<Send, Refusal>;

  /** @brief Maximum number of services; records of others are ignored. */
  static constexpr std::size_t kMaxServices = 8192;

  /**
   * @brief Maximum number of hosts of all services. Gone hosts are evicted to
   * make room; records beyond the limit are ignored.
   */
  static constexpr std::size_t kMaxHosts = 65536;

  /** @brief Applies membership records: all of them, or the changed ones. */
  void Update(TimePoint aNow, std::span<const HostRecord> aRecords);

  /** @brief Decides where a packet goes. */
  [[nodiscard]] Decision OnPacket(TimePoint aNow, Packet&& aPacket) const;

  /** @brief Increases with each update that changed a record. */
  [[nodiscard]] TableEpoch Epoch() const noexcept { return epoch_; }

  struct State
  {
    TableEpoch epoch_;
    std::size_t services_{};
    std::size_t hosts_{};
    std::size_t tableBytes_{};
    TimePoint lastChange_;
  };

  [[nodiscard]] State Dump() const;

private:
  static constexpr std::size_t kOwners = 2;

  struct Service
  {
    routing::Table table_{ kOwners };
    absl::flat_hash_map<HostId, BucketSet> draining_;
  };

  struct Host
  {
    membership::RecordVersion version_;
    ServiceId service_;
  };

  using Changes = absl::flat_hash_map<ServiceId, std::vector<routing::Weight>>;

  [[nodiscard]] bool MakeRoom();
  bool Take(const HostRecord& aRecord, Changes& aChanges);
  [[nodiscard]] static HostId Target(const Service& aService, BucketId aBucket);

  TableEpoch epoch_;
  TimePoint lastChange_;
  absl::flat_hash_map<ServiceId, Service> services_;
  absl::flat_hash_map<HostId, Host> hosts_;
};

} // namespace cornelshore::flow

#endif
