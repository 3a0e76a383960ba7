#ifndef CORNELSHORE_NET_UPSTREAM_CLIENT_HPP
#define CORNELSHORE_NET_UPSTREAM_CLIENT_HPP

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <cornelshore/core/address.hpp>
#include <cornelshore/core/names.hpp>
#include <cornelshore/core/time.hpp>
#include <cornelshore/core/types.hpp>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace cornelshore::net {

/** @brief One request for the upstream to run. */
struct UpstreamRun
{
  RequestId id_;
  std::uint64_t attempt_{};
  std::string class_;
  Duration timeLeft_{};
  std::string body_;
};

/** @brief How a run at the upstream ended, as far as the agent can know. */
enum class UpstreamOutcome : std::uint8_t
{
  Finished, ///< Ran; the answer is there.
  Shed,     ///< Refused before it ran, or never handed over.
  Lost,     ///< The connection broke after it was handed over.
};

/** @brief Names of `UpstreamOutcome`. */
inline constexpr std::array<EnumName<UpstreamOutcome>, 3> kUpstreamOutcomeNames{
  { { UpstreamOutcome::Finished, "finished" },
    { UpstreamOutcome::Shed, "shed" },
    { UpstreamOutcome::Lost, "lost" } }
};

/** @brief End of one run. */
struct UpstreamResult
{
  RequestId id_;
  std::uint64_t attempt_{};
  UpstreamOutcome outcome_{};
  std::string body_;
};

/**
 * @brief Connection to the upstream beside an agent.
 *
 * JSON-RPC 2.0 over TCP, one message a line: `run {id, attempt, class,
 * deadline_ms, body}` (body in base64) answers `{body}` or error -32001 when
 * it sheds; `cancel {id}`; `health` answers `{ready}`. Connects again when the
 * connection breaks. Methods may be called from any thread.
 */
class UpstreamClient
{
public:
  using OnResult = std::function<void(UpstreamResult)>;
  /** @brief Called when the upstream becomes ready or stops being so. */
  using OnReady = std::function<void(bool)>;

  UpstreamClient(boost::asio::io_context& aContext,
                 const Address& aUpstream,
                 OnResult aOnResult,
                 OnReady aOnReady);
  ~UpstreamClient();
  UpstreamClient(const UpstreamClient&) = delete;
  UpstreamClient& operator=(const UpstreamClient&) = delete;

  void Start();
  void Stop();
  /** @brief Hands a request over; its end comes by `OnResult`, once. */
  void Run(UpstreamRun aRun);
  /** @brief Asks the upstream to give a run up; it may still finish. */
  void Cancel(const RequestId& aId);

private:
  class Implementation;
  std::shared_ptr<Implementation> implementation_;
};

} // namespace cornelshore::net

#endif
