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

/** @brief Sends a message to a caller. */
struct SendToCaller
{
  Address to_;
  Message message_;
};

/** @brief Action requested by a balancer. */
using BalancerAction = std::variant<SendToHost, SendToCaller>;

/** @brief Why a ticket request is refused, and when to retry. */
struct Refusal
{
  Reason reason_{ Reason::Overloaded };
  Duration retryAfter_{};
};

/** @brief Early admission: returns a refusal, or nothing to admit. */
using AdmissionHook =
  std::function<std::optional<Refusal>(TimePoint, const Work&)>;

/** @brief State dump of a balancer's request relaying. */
struct BalancerDump
{
  std::uint64_t ticketRequests_{};
  std::uint64_t ticketsRefused_{}; ///< By admission, or as no host is ready.
  std::uint64_t toHome_{};
  std::uint64_t toBackup_{};   ///< Sent to the backup, as the home was lost.
  std::uint64_t unroutable_{}; ///< Home and backup were lost.
  std::uint64_t toCaller_{};
  std::uint64_t ignored_{}; ///< Messages that balancers do not handle.
};

/**
 * @brief Selects the host whose agent issues the ticket of an id.
 * @param aChoice Rank in the id's order of hosts (rendezvous hashing), modulo
 * the number of hosts.
 * @return The host, or 0 if no host of the service is ready.
 */
[[nodiscard]] HostId PickHome(RequestId aId,
                              ServiceId aService,
                              std::span<const HostRecord> aHosts,
                              std::uint32_t aChoice = 0);

/**
 * @brief Relays messages between callers and agents; stateless but counters.
 *
 * A submission or cancel goes to the home named in its ticket, or to the
 * ticket's backup once the home's incarnation has ended. It is never refused
 * by a balancer, as another copy may be relayed by another balancer; only
 * ticket requests are refused.
 */
class Balancer
{
public:
  /**
   * @brief Handles one message from a caller.
   * @param aCaller Address for the reply.
   * @param aHosts Known hosts; those of other services are skipped.
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
  /** @brief Without a hook every ticket request is admitted. */
  BalancerBuilder& WithAdmission(AdmissionHook aHook);

  /** @return The balancer, or `InvalidArgument` if its id is 0. */
  [[nodiscard]] absl::StatusOr<Balancer> Build() const;

private:
  NodeId self_;
  AdmissionHook admission_;
};

} // namespace cornelshore::request

#endif
