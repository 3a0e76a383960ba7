#ifndef CORNELSHORE_RPC_TLS_HPP
#define CORNELSHORE_RPC_TLS_HPP

#include <utility>

#include <boost/asio/ssl/context.hpp>

#include <cornelshore/rpc/types.hpp>

namespace cornelshore {
namespace rpc {
namespace internal {

/** @brief TLS 1.3 context that checks the other side's certificate. */
inline void
Configure(boost::asio::ssl::context& aContext, const TlsFiles& aTls)
{
  namespace ssl = boost::asio::ssl;
  SSL_CTX_set_min_proto_version(aContext.native_handle(), TLS1_3_VERSION);
  aContext.set_verify_mode(ssl::verify_peer | ssl::verify_fail_if_no_peer_cert);
  aContext.load_verify_file(aTls.authority_);
  aContext.use_certificate_chain_file(aTls.certificate_);
  aContext.use_private_key_file(aTls.privateKey_, ssl::context::pem);
}

} // namespace internal
} // namespace rpc
} // namespace cornelshore

#endif
