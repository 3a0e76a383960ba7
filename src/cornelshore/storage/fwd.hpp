#ifndef CORNELSHORE_STORAGE_FWD_HPP
#define CORNELSHORE_STORAGE_FWD_HPP

namespace cornelshore::storage {

struct FileHooks;
struct Recovered;
struct StoredHosts;
class Log;

} // namespace cornelshore::storage

#endif
