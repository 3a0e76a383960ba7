#ifndef CORNELSHORE_REQUEST_BALANCER_HPP
#define CORNELSHORE_REQUEST_BALANCER_HPP

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <variant>
#include <vector>

#include <absl/status/statusor.h>

#include <cornelshore/core/address.hpp>
#include <cornelshore/core/host.hpp>
#include <cornelshore/core/time.hpp>
#include <cornelshore/core/types.hpp>
#include <cornelshore/request/event.hpp>
#include <cornelshore/request/message.hpp>

namespace cornelshore::request {

/** @brief Send to a caller. */
struct SendToCaller
{
  Address to_;
  Message message_;
};

/** @brief What a balancer wants done. */
using BalancerAction = std::variant<SendToHost, SendToCaller>;

/** @brief Why a balancer gives no ticket, and when to ask again. */
struct Refusal
{
  Reason reason_{ Reason::Overloaded };
  Duration retryAfter_{};
};

/** @brief Early admission: a refusal, or nothing to let the request pass. */
using AdmissionHook =
  std::function<std::optional<Refusal>(TimePoint, const Work&)>;

/** @brief State of a balancer's part in requests, for the state dump. */
struct BalancerDump
{
  std::uint64_t ticketRequests_{};
  std::uint64_t ticketsRefused_{}; ///< By admission, or without a host.
  std::uint64_t toHome_{};
  std::uint64_t toBackup_{};   ///< The home was lost.
  std::uint64_t unroutable_{}; ///< Home and backup were lost.
  std::uint64_t toCaller_{};
  std::uint64_t ignored_{}; ///< Messages not meant for a balancer.
};

/**
 * @brief The host whose agent gives the ticket for an id; 0 for none.
 * @param aChoice Place in the id's order of hosts (rendezvous hashing); beyond
 * the last host it starts again with the first.
 */
[[nodiscard]] HostId PickHome(RequestId aId,
                              ServiceId aService,
                              std::span<const HostRecord> aHosts,
                              std::uint32_t aChoice = 0);

/**
 * @brief Relays between callers and agents; keeps nothing but counters.
 *
 * A submission or cancel goes to the home that its ticket names, or to the
 * ticket's backup once the home's run is over. It is never refused here:
 * another copy may pass by another balancer. Only a request for a ticket is.
 */
class Balancer
{
public:
  /**
   * @brief Handles one message from a caller.
   * @param aCaller Where the answer is sent.
   * @param aHosts Hosts that may serve; those of other services are skipped.
   */
  [[nodiscard]] std::vector<BalancerAction> FromCaller(
    TimePoint aNow,
    const Address& aCaller,
    Message aMessage,
    std::span<const HostRecord> aHosts);

  /** @brief Handles one message from an agent. */
  [[nodiscard]] std::vector<BalancerAction> FromHost(Message aMessage);

  [[nodiscard]] const BalancerDump& Dump() const noexcept { return dump_; }

private:
  friend class BalancerBuilder;

  [[nodiscard]] BalancerAction RelayTicketRequest(
    TimePoint aNow,
    const TicketRequest& aRequest,
    std::span<const HostRecord> aHosts);
  template<typename Relayed>
  [[nodiscard]] BalancerAction Relay(Relayed aMessage,
                                     std::span<const HostRecord> aHosts);

  NodeId self_;
  AdmissionHook admission_;
  BalancerDump dump_;
};

/** @brief Builds a `Balancer`. */
class BalancerBuilder
{
public:
  BalancerBuilder& WithSelf(NodeId aSelf);
  /** @brief Without the hook every request for a ticket passes. */
  BalancerBuilder& WithAdmission(AdmissionHook aHook);

  /** @return The balancer, or `InvalidArgument` when it has no id. */
  [[nodiscard]] absl::StatusOr<Balancer> Build() const;

private:
  NodeId self_;
  AdmissionHook admission_;
};

} // namespace cornelshore::request

#endif
