#ifndef CORNELSHORE_RPC_TYPES_HPP
#define CORNELSHORE_RPC_TYPES_HPP

#include <cstdint>
#include <string>

/**
 * @brief JSON-RPC 2.0 between operators and processes.
 *
 * The module is compiled as C++14, which libjsonrpccpp's headers need; its
 * interface therefore uses plain standard types only.
 */
namespace cornelshore {
namespace rpc {

/** @brief Where a server listens or a client connects: IP and TCP port. */
struct Endpoint
{
  std::string ip_;
  std::uint16_t port_;
};

/** @brief PEM files for TLS 1.3 with both sides checked; empty: plain TCP. */
struct TlsFiles
{
  std::string certificate_;
  std::string privateKey_;
  std::string authority_;
};

/** @brief Error codes of `Reply`; JSON-RPC's own are -32768 to -32000. */
enum class ErrorCode : int
{
  None = 0,
  Refused = 1,     ///< The request is understood and refused.
  Unavailable = 2, ///< The process cannot answer now; try another or later.
  Transport = 3,   ///< The peer was not reached or broke off.
  Malformed = 4,   ///< The peer's bytes were no JSON-RPC answer.
};

/** @brief Outcome of one call: a JSON document or an error. */
struct Reply
{
  ErrorCode code_;
  std::string json_;    ///< Result as JSON when the code is `None`.
  std::string message_; ///< What went wrong and what to do, otherwise.
};

} // namespace rpc
} // namespace cornelshore

#endif
