#ifndef CORNELSHORE_STORAGE_HOSTS_KEEPER_HPP
#define CORNELSHORE_STORAGE_HOSTS_KEEPER_HPP

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>

#include <absl/status/status.h>

#include <cornelshore/storage/file_hooks.hpp>
#include <cornelshore/storage/hosts_format.hpp>

namespace cornelshore::storage {

/**
 * @brief Thread that writes the latest host records to the file `hosts`.
 *
 * No call waits for the disk: records that are handed over while a write is
 * under way replace those that wait. A failed write is repeated.
 */
class HostsKeeper
{
public:
  /** Receives the first failure after a success; on the writing thread. */
  using Report = std::function<void(const absl::Status&)>;

  HostsKeeper(std::string aFolder,
              Report aReport,
              FileHooks aHooks = SystemFiles(),
              std::chrono::milliseconds aRetryInterval = std::chrono::seconds{
                5 });
  ~HostsKeeper();
  HostsKeeper(const HostsKeeper&) = delete;
  HostsKeeper& operator=(const HostsKeeper&) = delete;

  /** @brief Hands over records to write. */
  void Keep(StoredHosts aHosts);

  /** @brief Writes what waits and ends the thread; one whose write hangs is
   * left behind. */
  void Stop();

private:
  struct State;

  std::shared_ptr<State> state_;
  std::thread thread_;
};

} // namespace cornelshore::storage

#endif
