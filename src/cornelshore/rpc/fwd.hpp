#ifndef CORNELSHORE_RPC_FWD_HPP
#define CORNELSHORE_RPC_FWD_HPP

namespace cornelshore {
namespace rpc {

struct Endpoint;
struct TlsFiles;
struct Reply;
class Server;

} // namespace rpc
} // namespace cornelshore

#endif
