#ifndef CORNELSHORE_RELAY_MESSAGE_HPP
#define CORNELSHORE_RELAY_MESSAGE_HPP

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <cornelshore/core/flow_key.hpp>
#include <cornelshore/core/names.hpp>
#include <cornelshore/core/time.hpp>
#include <cornelshore/core/types.hpp>

namespace cornelshore::relay {

/** @brief Why a balancer relays a packet to an agent. */
enum class Purpose : std::uint8_t
{
  Open,      ///< Accept the flow, or refuse it.
  ForceOpen, ///< As `Open`, even if all slots are busy: other hosts are too.
  Direct,    ///< The balancer believes that the host holds the flow.
  Search, ///< Sent to several hosts; an agent that knows the flow accepts it.
  Probe,  ///< The host may hold the flow: the agent passes it on and reports.
};

/** @brief Names of `Purpose`. */
inline constexpr std::array<EnumName<Purpose>, 5> kPurposeNames{ {
  { Purpose::Open, "open" },
  { Purpose::ForceOpen, "insist" },
  { Purpose::Direct, "direct" },
  { Purpose::Search, "search" },
  { Purpose::Probe, "probe" },
} };

/** @brief Any service: used for open flows whose service is not known. */
inline constexpr ServiceId kAnyService{ 0 };

/** @brief Balancer to agent: a caller's packet. */
struct RelayedPacket
{
  Purpose purpose_{ Purpose::Direct };
  ServiceId service_;     ///< Service that the flow was routed to.
  ConfigVersion version_; ///< Configuration in force at the balancer.
  std::string packet_;

  bool operator==(const RelayedPacket&) const noexcept = default;
};

/** @brief Load of a host, as its agent derives it from the packets. */
struct HostLoad
{
  std::uint32_t flows_{};
  std::uint32_t busy_{};  ///< Requests in progress.
  std::uint16_t slots_{}; ///< Requests that the host can run concurrently.
  bool accepts_{};        ///< Accepts new flows.
  bool warmingUp_{};      ///< Still slow after its start.

  bool operator==(const HostLoad&) const noexcept = default;
};

/** @brief An agent's answer to a relayed packet. */
enum class Verdict : std::uint8_t
{
  Opened,    ///< The host answered the opening packet.
  Holds,     ///< The host holds the flow.
  Busy,      ///< Not accepted: all slots are in use; another host may be free.
  Refused,   ///< Not accepted: host leaving, full, or routed elsewhere.
  Unknown,   ///< The host does not hold the flow.
  Unsure,    ///< The agent must probe its host with a packet to tell.
  OtherFlow, ///< The packet's flow is unknown; the host holds another one of
             ///< its key.
};

/** @brief Names of `Verdict`. */
inline constexpr std::array<EnumName<Verdict>, 7> kVerdictNames{ {
  { Verdict::Opened, "opened" },
  { Verdict::Holds, "holds" },
  { Verdict::Busy, "busy" },
  { Verdict::Refused, "refused" },
  { Verdict::Unknown, "unknown" },
  { Verdict::Unsure, "unsure" },
  { Verdict::OtherFlow, "other_flow" },
} };

/** @brief Agent to balancer: outcome of a relayed packet. */
struct Answer
{
  FlowKey key_;
  Verdict verdict_{ Verdict::Unknown };
  HostLoad load_;
  /** A `Direct` packet returned with `Unknown` or `OtherFlow`, to be sent to
   * another host. */
  std::string packet_;

  bool operator==(const Answer&) const noexcept = default;
};

/** @brief Balancer to agent: subscribe to the host's load reports. */
struct Watch
{
  /** Time since the balancer last heard from an earlier run of the agent;
   * nothing if it never did. */
  std::optional<Duration> earlierRunHeardAgo_;
  bool earlierRunLeaving_{}; ///< That run last announced that its host leaves.

  bool operator==(const Watch&) const noexcept = default;
};

/** @brief Maximum flows per query, so that it fits one datagram. */
inline constexpr std::size_t kMaxQueryItems = 100;

/** @brief Short hash of a flow's key, identical in every process. */
[[nodiscard]] inline std::uint32_t
ShortHashOf(const FlowKey& aKey) noexcept
{
  return static_cast<std::uint32_t>(HashOf(aKey));
}

/** @brief Balancer to agent: which of these flows does the host hold? */
struct Query
{
  struct Item
  {
    /** Short hash of the flow's key: a query goes to many hosts over slow
     * links. Another flow with the same hash is told apart by the host, which
     * denies the packets that follow. */
    std::uint32_t flow_{};
    /** Distinguishes flows of different hosts under the same key. */
    std::uint32_t acknowledged_{};

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
  Unsure, ///< The agent started after its host; it must probe with a packet.
};

/** @brief Names of `Holding`. */
inline constexpr std::array<EnumName<Holding>, 3> kHoldingNames{ {
  { Holding::No, "no" },
  { Holding::Yes, "yes" },
  { Holding::Unsure, "unsure" },
} };

/** @brief Agent to balancer: answers to a query, in the order of its items. */
struct QueryAnswer
{
  std::uint32_t id_{};
  std::vector<Holding> holdings_;

  bool operator==(const QueryAnswer&) const noexcept = default;
};

/** @brief Any message between balancers and agents about segment flows. */
using Message =
  std::variant<RelayedPacket, Answer, HostLoad, Watch, Query, QueryAnswer>;

} // namespace cornelshore::relay

#endif
