#include <cornelshore/settings/settings.hpp>

#include <algorithm>
#include <set>

#include <absl/strings/str_cat.h>

#include <cornelshore/settings/table.hpp>

namespace cornelshore::settings {

namespace {

using internal::Problems;
using internal::Table;

constexpr std::int64_t kMostSlots = 4096;
constexpr std::int64_t kMostConnections = 1'000'000;
constexpr std::int64_t kLongestStopSeconds = 7 * 24 * 3600;
constexpr std::int64_t kUsualStopSeconds = 3600;
constexpr std::size_t kMaxMembers = 7;
/** The average process receives what it sends: 2,000 B/s keep a node of a
 * fleet of 1,900 within its 4 KB/s. */
constexpr std::int64_t kUsualControlBytes = 2000;
constexpr std::int64_t kUsualControlBurst = 98'304;
constexpr double kMostLinkMegabits = 1'000'000;
constexpr std::int64_t kUsualRoundMillis = 1000;
constexpr std::int64_t kLeastRoundMillis = 100;
constexpr std::int64_t kMostRoundMillis = 10'000;
constexpr std::int64_t kLeastControlBytes = 1000;
constexpr std::int64_t kLeastControlBurst = 8192;
constexpr std::int64_t kMostControlBytes = 100'000'000;
constexpr std::int64_t kMostToleratedLosses = 3;
constexpr std::int64_t kLongestRelayStopMillis = 3600 * 1000;
constexpr std::int64_t kUsualRelayStopMillis = 5000;
constexpr std::int64_t kLongestReportMillis = 60 * 1000;

template<std::size_t Size, typename Enum>
std::vector<std::string>
NamesOf(const std::array<EnumName<Enum>, Size>& aTable)
{
  std::vector<std::string> names;
  names.reserve(Size);
  for (const auto& row : aTable) {
    names.emplace_back(row.name_);
  }
  return names;
}

bool
IsLoopback(const Address& aAddress)
{
  constexpr std::size_t kFirstIpv4Byte = 12;
  constexpr std::uint8_t kLoopbackNet = 127;
  if (IsIpv4(aAddress)) {
    return aAddress.ip_[kFirstIpv4Byte] == kLoopbackNet;
  }
  return std::all_of(aAddress.ip_.begin(),
                     aAddress.ip_.end() - 1,
                     [](std::uint8_t aByte) { return aByte == 0; }) &&
         aAddress.ip_.back() == 1;
}

void
ReadTls(Table& aTable, Settings& aSettings)
{
  aSettings.tls_.certificate_ = aTable.Text("certificate");
  aSettings.tls_.privateKey_ = aTable.Text("private_key");
  aSettings.tls_.authority_ = aTable.Text("authority");
}

void
ReadNode(Table& aTable, Settings& aSettings)
{
  aSettings.node_ = aTable.AddressAt("address");
  aSettings.seeds_ = aTable.Addresses("seeds");
  aSettings.seedsShareOwnPort_ = aTable.BoolOr("seeds_share_own_port", false);
  aSettings.linkMegabits_ =
    aTable.RealOr("link_mbps", 0.0, kMostLinkMegabits, 0.0);
  aSettings.controlBytesPerSecond_ =
    static_cast<std::uint32_t>(aTable.IntegerOr("control_bytes_per_second",
                                                kLeastControlBytes,
                                                kMostControlBytes,
                                                kUsualControlBytes));
  aSettings.controlBurstBytes_ =
    static_cast<std::uint32_t>(aTable.IntegerOr("control_burst_bytes",
                                                kLeastControlBurst,
                                                kMostControlBytes,
                                                kUsualControlBurst));
  aSettings.controlRound_ =
    std::chrono::milliseconds(aTable.IntegerOr("control_round_ms",
                                               kLeastRoundMillis,
                                               kMostRoundMillis,
                                               kUsualRoundMillis));
  const auto authentication =
    aTable.OneOf("authentication", NamesOf(kAuthenticationNames), "keys");
  aSettings.authentication_ = ValueIn(kAuthenticationNames, authentication)
                                .value_or(Authentication::Keys);
  if (aSettings.authentication_ == Authentication::Keys) {
    aSettings.keyFile_ = aTable.Text("key_file");
  }
}

/**
 * The first members of a group that forms itself are the seeds, each named by
 * its address as the settings write it.
 */
void
TakeSeedsAsMembers(Settings& aSettings)
{
  for (const auto& seed : aSettings.seeds_) {
    aSettings.control_.members_.push_back({ ToString(seed), seed });
  }
}

/** Seeds may be known by the port of another interface of theirs. */
void
TakeOwnPort(Settings& aSettings)
{
  for (auto& seed : aSettings.seeds_) {
    seed.port_ = aSettings.node_.port_;
  }
  for (auto& member : aSettings.control_.members_) {
    member.address_.port_ = aSettings.node_.port_;
  }
}

void
ReadRelay(Table& aTable, Settings& aSettings)
{
  auto& relay = aSettings.relay_;
  relay.enabled_ = true;
  relay.packets_ = aTable.AddressAt("packet_address");
  relay.readiness_ = aTable.AddressAt("readiness_address");
  if (aSettings.role_ == Role::Balancer) {
    relay.stopLimit_ = std::chrono::milliseconds(aTable.IntegerOr(
      "stop_limit_ms", 1, kLongestRelayStopMillis, kUsualRelayStopMillis));
    return;
  }
  relay.outbound_ = aTable.AddressAt("outbound_address");
  relay.upstream_ = aTable.AddressAt("upstream_address");
  relay.reports_ = aTable.AddressAt("report_address");
  relay.service_ = aTable.Text("service");
  relay.reportInterval_ = std::chrono::milliseconds(
    aTable.Integer("report_interval_ms", 1, kLongestReportMillis));
}

void
ReadOperator(Table& aTable, Settings& aSettings)
{
  aSettings.operator_ = aTable.AddressAt("address");
  const auto tls =
    aTable.Child("tls", [&](Table& aChild) { ReadTls(aChild, aSettings); });
  if (!tls && !IsLoopback(aSettings.operator_)) {
    aTable.Problem("address",
                   "is not on loopback and has no [operator.tls]; set "
                   "certificate, private_key and authority there");
  }
}

void
ReadListener(Table& aTable, BalancerSettings& aBalancer)
{
  FlowListener listener;
  listener.service_ = aTable.Text("service");
  listener.class_ = aTable.Text("class");
  listener.address_ = aTable.AddressAt("address");
  listener.listen_ = aTable.AddressOr("listen");
  const auto same = [&](const FlowListener& aOther) {
    return aOther.address_ == listener.address_;
  };
  if (std::any_of(
        aBalancer.listeners_.begin(), aBalancer.listeners_.end(), same)) {
    aTable.Problem("address",
                   "stands twice; each address belongs to one service");
  }
  aBalancer.listeners_.push_back(std::move(listener));
}

void
ReadBalancer(Table& aTable, Settings& aSettings)
{
  auto& balancer = aSettings.balancer_;
  balancer.gue_ = aTable.AddressOr("gue_address");
  balancer.requests_ = aTable.AddressOr("request_address");
  aTable.Children("listener",
                  [&](Table& aChild) { ReadListener(aChild, balancer); });
  if (balancer.requests_.port_ == 0 && balancer.listeners_.empty()) {
    aTable.Problem("listener",
                   "nothing to serve; set request_address or at least one "
                   "[[balancer.listener]]");
  }
  for (const auto& listener : balancer.listeners_) {
    if (listener.listen_.port_ == 0 && balancer.gue_.port_ == 0) {
      aTable.Problem("listener",
                     "one has no listen address and there is no gue_address; "
                     "set one of the two");
    }
  }
}

void
ReadAgent(Table& aTable, Settings& aSettings)
{
  auto& agent = aSettings.agent_;
  agent.service_ = aTable.Text("service");
  agent.slots_ =
    static_cast<std::uint16_t>(aTable.Integer("slots", 1, kMostSlots));
  agent.connections_ = static_cast<std::uint32_t>(
    aTable.Integer("connections", 0, kMostConnections));
  agent.upstreamRequests_ = aTable.AddressOr("upstream_request_address");
  agent.upstreamFlows_ = aTable.AddressOr("upstream_flow_address");
  agent.upstreamGue_ = aTable.AddressOr("upstream_gue_address");
  agent.stopLimit_ = std::chrono::seconds(aTable.IntegerOr(
    "stop_limit_seconds", 1, kLongestStopSeconds, kUsualStopSeconds));
  if (agent.upstreamRequests_.port_ == 0 && agent.upstreamFlows_.port_ == 0 &&
      agent.upstreamGue_.port_ == 0) {
    aTable.Problem("upstream_request_address",
                   "no upstream is named; set upstream_request_address, "
                   "upstream_flow_address or upstream_gue_address");
  }
}

void
ReadMember(Table& aTable, ControlSettings& aControl)
{
  ControlMember member;
  member.name_ = aTable.Text("name");
  member.address_ = aTable.AddressAt("address");
  aControl.members_.push_back(std::move(member));
}

void
ReadControl(Table& aTable, Settings& aSettings)
{
  auto& control = aSettings.control_;
  control.dataFolder_ = aTable.Text("data_folder");
  control.bootstrap_ = aTable.BoolOr("bootstrap", false);
  control.api_ = aTable.AddressOr("api_address");
  control.syncedWritesLast_ = aTable.BoolOr("synced_writes_last", false);
  control.formsItself_ = aTable.Has("tolerated_losses");
  if (control.formsItself_) {
    control.toleratedLosses_ = static_cast<std::uint32_t>(
      aTable.Integer("tolerated_losses", 0, kMostToleratedLosses));
    return;
  }
  const auto count = aTable.Children(
    "member", [&](Table& aChild) { ReadMember(aChild, control); });
  if (count == 0 || count > kMaxMembers || count % 2 == 0) {
    aTable.Problem("member",
                   absl::StrCat(count, " members; allowed is 1, 3, 5 or 7"));
  }
  std::set<std::string> names;
  for (const auto& member : control.members_) {
    if (!names.insert(member.name_).second) {
      aTable.Problem("member",
                     absl::StrCat("'", member.name_, "' stands twice"));
    }
  }
  if (count > 0 && names.count(aSettings.name_) == 0) {
    aTable.Problem("member",
                   absl::StrCat("none is named '",
                                aSettings.name_,
                                "', this process's own name"));
  }
}

void
ReadRole(Table& aRoot, Settings& aSettings)
{
  const auto name = aRoot.OneOf("role", NamesOf(kRoleNames), "");
  const auto role = ValueIn(kRoleNames, name);
  if (!role) {
    return;
  }
  aSettings.role_ = *role;
  const auto relays =
    *role != Role::Control &&
    aRoot.Child("relay", [&](Table& aTable) { ReadRelay(aTable, aSettings); });
  if (relays) {
    return;
  }
  const auto section = std::string(NameIn(kRoleNames, *role));
  const auto read = [&](Table& aTable) {
    switch (*role) {
      case Role::Balancer:
        return ReadBalancer(aTable, aSettings);
      case Role::Agent:
        return ReadAgent(aTable, aSettings);
      case Role::Control:
        return ReadControl(aTable, aSettings);
    }
  };
  if (!aRoot.Child(section, read)) {
    aRoot.Problem(section, "is missing; the role needs this table");
  }
}

void
ReadRoot(Table& aRoot, Settings& aSettings)
{
  aSettings.name_ = aRoot.Text("name");
  aSettings.dataCentre_ = aRoot.Text("data_centre");
  if (!aRoot.Child("node",
                   [&](Table& aTable) { ReadNode(aTable, aSettings); })) {
    aRoot.Problem("node", "is missing; set address, seeds and key_file there");
  }
  if (!aRoot.Child("operator",
                   [&](Table& aTable) { ReadOperator(aTable, aSettings); })) {
    aRoot.Problem("operator", "is missing; set address there");
  }
  aRoot.Child("metrics", [&](Table& aTable) {
    aSettings.metrics_ = aTable.AddressAt("address");
  });
  aRoot.Child("log", [&](Table& aTable) {
    const auto level = aTable.OneOf("level", NamesOf(log::kLevelNames), "info");
    aSettings.logLevel_ =
      ValueIn(log::kLevelNames, level).value_or(log::Level::Info);
  });
  ReadRole(aRoot, aSettings);
  if (aSettings.control_.formsItself_) {
    TakeSeedsAsMembers(aSettings);
  }
  if (aSettings.seedsShareOwnPort_) {
    TakeOwnPort(aSettings);
  }
}

} // namespace

absl::StatusOr<Settings>
Load(const std::string& aFile)
{
  const auto parsed = internal::ParseFile(aFile);
  if (!parsed.ok()) {
    return parsed.status();
  }
  Problems problems(aFile);
  Settings settings;
  Table root(**parsed, "", problems);
  ReadRoot(root, settings);
  root.Finish();
  const auto status = problems.ToStatus();
  if (!status.ok()) {
    return status;
  }
  return settings;
}

} // namespace cornelshore::settings
