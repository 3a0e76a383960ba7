#ifndef CORNELSHORE_NET_HTTP_SERVER_HPP
#define CORNELSHORE_NET_HTTP_SERVER_HPP

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include <absl/status/statusor.h>

#include <cornelshore/core/address.hpp>
#include <cornelshore/core/time.hpp>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace cornelshore::net {

/** @brief One call. */
struct HttpRequest
{
  std::string method_;
  std::string target_; ///< Path and query, as sent.
  std::string body_;
};

/** @brief The response to one call; its body is JSON. */
struct HttpResponse
{
  unsigned status_{ 200 };
  std::string body_;
};

/** @brief Bounds on what a peer may send, and how slowly. */
struct HttpLimits
{
  std::size_t headerBytes_{ 8 * 1024 };
  std::size_t bodyBytes_{ 64 * 1024 };
  std::size_t connections_{ 256 };
  /** From the first byte awaited to the last one of a call; a peer that is
   * slower, or silent between calls, is closed. */
  Duration readTimeout_{ std::chrono::seconds{ 15 } };
  /** Unacknowledged bytes or an unanswered close for so long end it. */
  Duration peerTimeout_{ std::chrono::seconds{ 5 } };
};

/** @brief HTTP/1.1 server on the context's threads. */
class HttpServer
{
public:
  /** @brief Gives the response, from any thread; further ones are dropped. A
   * call whose copies of it are all gone unused gets 503. */
  using Reply = std::function<void(HttpResponse)>;
  /** @brief Takes a call, on a thread of the context. */
  using Handle = std::function<void(HttpRequest, Reply)>;

  /**
   * @brief Listens and serves.
   *
   * Malformed calls get 400, larger ones 413; calls after `Finish` none.
   *
   * @return The server, or `Unavailable` with the address and why.
   */
  [[nodiscard]] static absl::StatusOr<std::unique_ptr<HttpServer>> Listen(
    boost::asio::io_context& aContext,
    const Address& aAddress,
    const HttpLimits& aLimits,
    Handle aHandle);

  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /**
   * @brief Answers the calls that have been accepted and ends.
   *
   * Accepts no further connection, closes those that await their next call and
   * waits, while the context's threads run, until the others are answered and
   * closed.
   *
   * @param aLimit Maximum wait.
   */
  void Finish(Duration aLimit);

  /** @brief Address it listens at. */
  [[nodiscard]] Address Local() const;

private:
  class Implementation;

  explicit HttpServer(std::shared_ptr<Implementation> aImplementation);

  std::shared_ptr<Implementation> implementation_;
};

} // namespace cornelshore::net

#endif
