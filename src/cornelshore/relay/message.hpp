#ifndef CORNELSHORE_RELAY_MESSAGE_HPP
#define CORNELSHORE_RELAY_MESSAGE_HPP

#include <array>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include <cornelshore/core/flow_key.hpp>
#include <cornelshore/core/names.hpp>
#include <cornelshore/core/types.hpp>

namespace cornelshore::relay {

/** @brief Why a balancer hands a packet to an agent. */
enum class Purpose : std::uint8_t
{
  Open,   ///< Take the flow, or refuse it.
  Insist, ///< As `Open`, although the host is busy: others are as well.
  Direct, ///< The host is thought to hold the flow.
  Search, ///< All hosts are asked; the one that holds the flow takes it.
};

/** @brief Names of `Purpose`. */
inline constexpr std::array<EnumName<Purpose>, 4> kPurposeNames{ {
  { Purpose::Open, "open" },
  { Purpose::Insist, "insist" },
  { Purpose::Direct, "direct" },
  { Purpose::Search, "search" },
} };

/** @brief The balancer knows no configuration yet; for open flows only. */
inline constexpr ServiceId kAnyService{ 0 };

/** @brief Balancer to agent: a packet of a caller. */
struct RelayedPacket
{
  Purpose purpose_{ Purpose::Direct };
  ServiceId service_;     ///< Where the flow's route led when it opened.
  ConfigVersion version_; ///< In force at the balancer.
  std::string packet_;

  bool operator==(const RelayedPacket&) const noexcept = default;
};

/** @brief How busy a host is, as its agent sees it on the packets. */
struct HostLoad
{
  std::uint32_t flows_{};
  std::uint32_t busy_{};  ///< Requests without an answer.
  std::uint16_t slots_{}; ///< Requests that it runs at once.
  bool accepts_{};        ///< Takes new flows.
  bool warmingUp_{};      ///< Slow since it has just started.

  bool operator==(const HostLoad&) const noexcept = default;
};

/** @brief What an agent says of a packet or its flow. */
enum class Verdict : std::uint8_t
{
  Opened,  ///< The host answered the opening packet.
  Holds,   ///< The host holds the flow.
  Busy,    ///< Not taken: all slots are in use; another host may be free.
  Refused, ///< Not taken: leaving, full, or the route leads elsewhere.
  Unknown, ///< The host does not hold the flow.
};

/** @brief Names of `Verdict`. */
inline constexpr std::array<EnumName<Verdict>, 5> kVerdictNames{ {
  { Verdict::Opened, "opened" },
  { Verdict::Holds, "holds" },
  { Verdict::Busy, "busy" },
  { Verdict::Refused, "refused" },
  { Verdict::Unknown, "unknown" },
} };

/** @brief Agent to balancer: what became of a packet. */
struct Answer
{
  FlowKey key_;
  Verdict verdict_{ Verdict::Unknown };
  HostLoad load_;
  std::string packet_; ///< `Unknown` of a `Direct` packet: for another host.

  bool operator==(const Answer&) const noexcept = default;
};

/** @brief Balancer to agent: tell the host's load from now on. */
struct Watch
{
  bool operator==(const Watch&) const noexcept = default;
};

/** @brief Most flows that one query asks for; it fits one datagram. */
inline constexpr std::size_t kMaxQueryItems = 20;

/** @brief Balancer to agent: which of these flows does the host hold? */
struct Query
{
  struct Item
  {
    FlowKey key_;
    std::uint32_t acknowledged_{}; ///< Tells a host's flow from another's.

    bool operator==(const Item&) const noexcept = default;
  };

  std::uint32_t id_{};
  std::vector<Item> items_;

  bool operator==(const Query&) const noexcept = default;
};

/** @brief Whether a host holds a flow. */
enum class Holding : std::uint8_t
{
  No,
  Yes,
  Unsure, ///< The agent started after its host: a packet would tell.
};

/** @brief Names of `Holding`. */
inline constexpr std::array<EnumName<Holding>, 3> kHoldingNames{ {
  { Holding::No, "no" },
  { Holding::Yes, "yes" },
  { Holding::Unsure, "unsure" },
} };

/** @brief Agent to balancer: answers a query, item by item. */
struct QueryAnswer
{
  std::uint32_t id_{};
  std::vector<Holding> holdings_;

  bool operator==(const QueryAnswer&) const noexcept = default;
};

/** @brief Everything that balancers and agents say about flows of segments. */
using Message =
  std::variant<RelayedPacket, Answer, HostLoad, Watch, Query, QueryAnswer>;

} // namespace cornelshore::relay

#endif
