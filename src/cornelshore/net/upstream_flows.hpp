#ifndef CORNELSHORE_NET_UPSTREAM_FLOWS_HPP
#define CORNELSHORE_NET_UPSTREAM_FLOWS_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <absl/status/status.h>

#include <cornelshore/core/address.hpp>
#include <cornelshore/core/flow_key.hpp>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace cornelshore::net {

/** @brief Most plain datagram flows, each with a socket of its own. */
inline constexpr std::size_t kMostDatagramFlows = 16 * 1024;

/**
 * @brief Packets of flows between an agent and its upstream.
 *
 * Plain datagrams go by one socket a flow, so that the upstream tells flows
 * apart. IP packets go in UDP (GUE variant 1) by one socket; the upstream's
 * answers go straight to the flow's return path. Methods must be called on
 * the context's one thread.
 */
class UpstreamFlows
{
public:
  /** @brief What the adapter tells. */
  struct Hooks
  {
    /** An answer of a plain datagram flow, to be sent by its balancer. */
    std::function<
      void(const FlowKey&, const Address& aReturnPath, std::string_view)>
      answer_;
    /** The flow ended by its caller or upstream. */
    std::function<void(const FlowKey&)> ended_;
    /** The upstream could not take a new flow. */
    std::function<void(const FlowKey&, const Address& aReturnPath)> refused_;
  };

  /**
   * @param aFlows Upstream's address for plain datagrams; zero port: none.
   * @param aGue Upstream's address for IP packets; zero port: none.
   */
  UpstreamFlows(boost::asio::io_context& aContext,
                const Address& aFlows,
                const Address& aGue,
                Hooks aHooks);
  ~UpstreamFlows();
  UpstreamFlows(const UpstreamFlows&) = delete;
  UpstreamFlows& operator=(const UpstreamFlows&) = delete;

  /** @return OK, or `Unavailable` with the address and why. */
  [[nodiscard]] absl::Status Open();

  /** @brief Hands a plain datagram to the upstream. */
  void DeliverDatagram(const FlowKey& aKey,
                       const Address& aReturnPath,
                       std::string_view aPayload);

  /** @brief Hands an IP packet to the upstream. */
  void DeliverIpPacket(const FlowKey& aKey,
                       const Address& aReturnPath,
                       std::string_view aPacket);

  /** @brief Answers a caller's IP packet with a TCP reset. */
  void ResetIpPacket(const FlowKey& aKey, const Address& aReturnPath);

  /** @brief Forgets a flow that was reset or refused. */
  void Forget(const FlowKey& aKey);

private:
  class Implementation;
  std::shared_ptr<Implementation> implementation_;
};

} // namespace cornelshore::net

#endif
