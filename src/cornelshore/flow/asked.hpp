#ifndef CORNELSHORE_FLOW_ASKED_HPP
#define CORNELSHORE_FLOW_ASKED_HPP

#include <algorithm>
#include <vector>

#include <cornelshore/flow/envelope.hpp>

/** @brief The two lists of hosts that an envelope carries. */
namespace cornelshore::flow::internal {

/** @brief Number of owners of a settled bucket that are asked for a flow. */
inline constexpr std::size_t kSettledOwners = 2;

[[nodiscard]] inline bool
Contains(const std::vector<HostId>& aHosts, HostId aHost)
{
  return std::find(aHosts.begin(), aHosts.end(), aHost) != aHosts.end();
}

/** @brief Adds a host to be asked unless listed; false when the lists are full.
 */
[[nodiscard]] inline bool
AddPendingHost(Envelope& aEnvelope, HostId aHost)
{
  if (Contains(aEnvelope.asked_, aHost) ||
      Contains(aEnvelope.pendingHosts_, aHost)) {
    return true;
  }
  if (aEnvelope.asked_.size() + aEnvelope.pendingHosts_.size() >=
      kMaxListedHosts) {
    return false;
  }
  aEnvelope.pendingHosts_.push_back(aHost);
  return true;
}

/** @brief Moves a host from `pendingHosts_` to `asked_`. */
inline void
MarkAsked(Envelope& aEnvelope, HostId aHost)
{
  std::erase(aEnvelope.pendingHosts_, aHost);
  if (!Contains(aEnvelope.asked_, aHost) &&
      aEnvelope.asked_.size() < kMaxListedHosts) {
    aEnvelope.asked_.push_back(aHost);
  }
}

} // namespace cornelshore::flow::internal

#endif
