#include <cornelshore/role/host_dump.hpp>

#include <chrono>
#include <string>

#include <absl/strings/str_format.h>

namespace cornelshore::role::internal {

std::string
HexOf(std::uint64_t aValue)
{
  return absl::StrFormat("%016x", aValue);
}

std::string
MillisOf(Duration aTime)
{
  return std::to_string(
    std::chrono::duration_cast<std::chrono::milliseconds>(aTime).count());
}

Dump
DumpHosts(const dissemination::Node& aNode)
{
  Dump::Items hosts;
  for (const auto& record : aNode.Hosts().All()) {
    hosts.push_back(
      Dump()
        .With("id", HexOf(record.id_.value_))
        .With("service", HexOf(record.service_.value_))
        .With("state", NameIn(kHostStateNames, record.state_))
        .With("slots", std::uint64_t{ record.slots_ })
        .With("connections", record.connectionLimit_)
        .With("held_buckets", std::uint64_t{ record.held_.count() })
        .With("address", ToString(record.agent_))
        .With("incarnation", record.incarnation_.value_)
        .With("sequence", record.sequence_));
  }
  return Dump().With("hosts", std::move(hosts));
}

Dump
DumpNode(const dissemination::Node& aNode, TimePoint aNow)
{
  const auto state = aNode.Dump(aNow);
  return Dump()
    .With("config_version", state.config_.value_)
    .With("confirmed", state.confirmed_)
    .With("in_step_age_ms", state.syncAge_.count() / 1000)
    .With("hosts", std::uint64_t{ state.hosts_ })
    .With("peers", std::uint64_t{ state.peers_ })
    .With("bytes_sent", state.bytesSent_)
    .With("sends_held_back", state.sendsThrottled_)
    .With("records_refused", state.recordsRefused_)
    .With("configs_refused", state.configsRefused_);
}

} // namespace cornelshore::role::internal
