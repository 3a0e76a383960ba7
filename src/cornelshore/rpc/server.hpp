#ifndef CORNELSHORE_RPC_SERVER_HPP
#define CORNELSHORE_RPC_SERVER_HPP

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <cornelshore/rpc/types.hpp>

namespace cornelshore {
namespace rpc {

/** @brief Counts of what a server met. */
struct ServerCounters
{
  std::uint64_t calls_;     ///< Lines handed to JSON-RPC.
  std::uint64_t refused_;   ///< Connections over the bound or failed TLS.
  std::uint64_t oversized_; ///< Lines over the bound.
  std::uint64_t stalled_;   ///< Connections closed for silence.
};

/**
 * @brief JSON-RPC server over TCP or TLS, one request a line.
 *
 * Connections, line length and silence are bounded.
 */
class Server
{
public:
  /** @brief Answers one call; runs on one of the server's threads. */
  using Handler = std::function<Reply(const std::string& aMethod,
                                      const std::string& aParamsJson)>;

  /**
   * @param aEndpoint Address to listen on; port 0 picks a free one.
   * @param aTls Files for TLS; empty for plain TCP.
   * @param aMethods Names of the methods that are served.
   */
  Server(Endpoint aEndpoint,
         TlsFiles aTls,
         std::vector<std::string> aMethods,
         Handler aHandler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /** @brief Starts to listen; on failure gives false and why. */
  bool Start(std::string& aError);
  /** @brief Ends all connections and joins the threads. */
  void Stop();
  /** @brief Port it listens on. */
  std::uint16_t Port() const;
  ServerCounters Counters() const;

private:
  class Implementation;
  std::unique_ptr<Implementation> implementation_;
};

} // namespace rpc
} // namespace cornelshore

#endif
