#ifndef CORNELSHORE_DAEMON_OPERATOR_PORT_HPP
#define CORNELSHORE_DAEMON_OPERATOR_PORT_HPP

#include <atomic>
#include <chrono>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <string>

#include <absl/status/status.h>
#include <json/json.h>

#include <cornelshore/core/dump.hpp>
#include <cornelshore/rpc/server.hpp>
#include <cornelshore/settings/settings.hpp>

namespace cornelshore::daemon {

/** @brief Longest time that an operator's call waits for its outcome. */
inline constexpr std::chrono::seconds kLongestCall{ 8 };

/** @brief A state dump as JSON text. */
[[nodiscard]] std::string ToJson(const Dump& aDump);

/** @brief JSON text as a value; null when it is none. */
[[nodiscard]] Json::Value ParseJson(const std::string& aText);

/** @brief An answer that refuses or cannot be given. */
[[nodiscard]] rpc::Reply Refused(std::string aWhy);
[[nodiscard]] rpc::Reply Unavailable(std::string aWhy);

/** @brief Answer that one thread gives and another waits for; that it is
 * unavailable if the last copy of the promise goes without one. */
class PromisedReply
{
public:
  explicit PromisedReply(std::promise<rpc::Reply> aPromise)
    : promise_(std::move(aPromise))
  {
  }
  ~PromisedReply() { Give(Unavailable("the process stops; ask another one")); }
  PromisedReply(const PromisedReply&) = delete;
  PromisedReply& operator=(const PromisedReply&) = delete;

  /** @brief Gives the answer; further ones are dropped. */
  void Give(rpc::Reply aReply)
  {
    if (!given_.exchange(true)) {
      promise_.set_value(std::move(aReply));
    }
  }

private:
  std::promise<rpc::Reply> promise_;
  std::atomic<bool> given_{ false };
};

/**
 * @brief Asks the deciding thread and waits for its answer.
 * @param aDecider Has `Post`.
 * @param aAsk `(aNow, role) -> Dump`.
 */
template<typename Decider, typename Ask>
rpc::Reply
AskDecider(Decider& aDecider, Ask aAsk)
{
  std::promise<rpc::Reply> promise;
  auto future = promise.get_future();
  const auto posted =
    aDecider.Post([reply = std::make_shared<PromisedReply>(std::move(promise)),
                   aAsk](auto aNow, auto& aRole) {
      reply->Give({ rpc::ErrorCode::None, ToJson(aAsk(aNow, aRole)), "" });
    });
  if (!posted || future.wait_for(kLongestCall) != std::future_status::ready) {
    return Unavailable("the process is too busy; retry");
  }
  return future.get();
}

/** @brief Methods of one process by name. */
using Methods =
  std::map<std::string, std::function<rpc::Reply(const Json::Value&)>>;

/** @brief Methods that every role has: its state dump and the hosts it knows.
 */
template<typename Decider>
[[nodiscard]] Methods
CommonMethods(Decider& aDecider)
{
  const auto state = [&](const Json::Value&) {
    return AskDecider(aDecider,
                      [](auto aNow, auto& aRole) { return aRole.State(aNow); });
  };
  const auto hosts = [&](const Json::Value&) {
    return AskDecider(aDecider,
                      [](auto, auto& aRole) { return aRole.Hosts(); });
  };
  return { { "state", state }, { "hosts", hosts } };
}

/** @brief Serves a process's methods to operators. */
class OperatorPort
{
public:
  OperatorPort(const settings::Settings& aSettings, Methods aMethods);

  /** @return OK, or `Unavailable` with the address and why. */
  [[nodiscard]] absl::Status Start();
  void Stop();

private:
  Methods methods_;
  Address address_;
  std::unique_ptr<rpc::Server> server_;
};

} // namespace cornelshore::daemon

#endif
