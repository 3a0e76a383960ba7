#ifndef CORNELSHORE_RPC_CLIENT_HPP
#define CORNELSHORE_RPC_CLIENT_HPP

#include <chrono>
#include <string>

#include <cornelshore/rpc/types.hpp>

namespace cornelshore {
namespace rpc {

/**
 * @brief Makes one call and waits for its answer.
 * @param aParamsJson Parameters by name, as a JSON object.
 * @param aTimeout Bound on the whole call.
 * @return The result, or an error that says what to do next.
 */
Reply Call(const Endpoint& aEndpoint,
           const TlsFiles& aTls,
           const std::string& aMethod,
           const std::string& aParamsJson,
           std::chrono::milliseconds aTimeout);

} // namespace rpc
} // namespace cornelshore

#endif
