#ifndef CORNELSHORE_EXAMPLES_STANDIN_ROTATION_HPP
#define CORNELSHORE_EXAMPLES_STANDIN_ROTATION_HPP

#include <array>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio.hpp>

#include <cornelshore/core/address.hpp>
#include <cornelshore/net/asio_address.hpp>

namespace cornelshore::standin {

/**
 * @brief Stand-in for the platform's routers: polls the balancers' readiness
 * and hashes flows over those in rotation, so that only the flows of a
 * balancer that leaves or joins move.
 */
class Rotation
{
public:
  /** @param aReadinessPort At each balancer's own address. */
  Rotation(boost::asio::io_context& aContext,
           const std::vector<Address>& aBalancers,
           std::uint16_t aReadinessPort)
    : context_(aContext)
    , timer_(aContext)
  {
    for (const auto& balancer : aBalancers) {
      auto readiness = balancer;
      readiness.port_ = aReadinessPort;
      nodes_.push_back({ balancer, readiness, kMissesToLeave, {} });
    }
    Poll();
  }

  /** @brief The balancer that gets the flow's packets at present. */
  [[nodiscard]] const Address& PickFor(std::uint64_t aFlow) const
  {
    std::size_t ready = 0;
    for (const auto& node : nodes_) {
      ready += node.misses_ < kMissesToLeave ? 1 : 0;
    }
    const auto useAll = ready * 2 < nodes_.size();
    const Node* best = nullptr;
    std::uint64_t highest = 0;
    for (std::size_t index = 0; index < nodes_.size(); ++index) {
      const auto& node = nodes_[index];
      const auto weight = Mix(aFlow * nodes_.size() + index);
      if ((useAll || node.misses_ < kMissesToLeave) &&
          (best == nullptr || weight > highest)) {
        best = &node;
        highest = weight;
      }
    }
    return best->packets_;
  }

private:
  using Socket = boost::asio::ip::tcp::socket;
  using ErrorValue = boost::system::error_code;

  static constexpr std::chrono::milliseconds kPollInterval{ 500 };
  static constexpr unsigned kMissesToLeave = 2;

  struct Node
  {
    Address packets_;
    Address readiness_;
    unsigned misses_{};
    std::shared_ptr<Socket> pending_;
  };

  /** The finaliser of SplitMix64. */
  static std::uint64_t Mix(std::uint64_t aValue) noexcept
  {
    aValue += 0x9e3779b97f4a7c15U;
    aValue = (aValue ^ (aValue >> 30U)) * 0xbf58476d1ce4e5b9U;
    aValue = (aValue ^ (aValue >> 27U)) * 0x94d049bb133111ebU;
    return aValue ^ (aValue >> 31U);
  }

  void Poll()
  {
    for (auto& node : nodes_) {
      if (node.pending_) {
        ErrorValue ignored;
        node.pending_->close(ignored);
        Finish(node, false);
      }
      Ask(node);
    }
    timer_.expires_after(kPollInterval);
    timer_.async_wait([this](const ErrorValue&) { Poll(); });
  }

  static void Finish(Node& aNode, bool aReady)
  {
    aNode.pending_.reset();
    aNode.misses_ = aReady ? 0 : aNode.misses_ + 1;
  }

  void Ask(Node& aNode)
  {
    struct Call
    {
      std::string request_{ "GET /cornelshore/ready HTTP/1.1\r\nHost: h\r\n"
                            "Connection: close\r\nContent-Length: 0\r\n\r\n" };
      std::array<char, 512> response_{};
    };
    const auto socket = std::make_shared<Socket>(context_);
    const auto call = std::make_shared<Call>();
    aNode.pending_ = socket;
    const auto failed = [&aNode, socket](const ErrorValue& aError) {
      if (aError && aNode.pending_ == socket) {
        Finish(aNode, false);
      }
      return aError || aNode.pending_ != socket;
    };
    socket->async_connect(
      net::ToEndpoint<boost::asio::ip::tcp>(aNode.readiness_),
      [=, &aNode](const ErrorValue& aError) {
        if (failed(aError)) {
          return;
        }
        boost::asio::async_write(
          *socket,
          boost::asio::buffer(call->request_),
          [=, &aNode](const ErrorValue& aWriteError, std::size_t) {
            if (failed(aWriteError)) {
              return;
            }
            socket->async_read_some(
              boost::asio::buffer(call->response_),
              [=, &aNode](const ErrorValue& aReadError, std::size_t aBytes) {
                if (!failed(aReadError)) {
                  const std::string response(call->response_.data(), aBytes);
                  Finish(aNode, response.starts_with("HTTP/1.1 200"));
                }
              });
          });
      });
  }

  boost::asio::io_context& context_;
  boost::asio::steady_timer timer_;
  std::vector<Node> nodes_;
};

} // namespace cornelshore::standin

#endif
