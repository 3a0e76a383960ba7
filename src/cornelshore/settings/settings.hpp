#ifndef CORNELSHORE_SETTINGS_SETTINGS_HPP
#define CORNELSHORE_SETTINGS_SETTINGS_HPP

#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include <cornelshore/core/address.hpp>
#include <cornelshore/core/names.hpp>
#include <cornelshore/core/time.hpp>
#include <cornelshore/core/types.hpp>
#include <cornelshore/log/event.hpp>

namespace cornelshore::settings {

/** @brief What one process of the system does. */
enum class Role : std::uint8_t
{
  Balancer, ///< On an entry VM, behind the fabric.
  Agent,    ///< Beside an upstream.
  Control,  ///< On a VM with a disk.
};

/** @brief Names of `Role`, as the settings write them. */
inline constexpr std::array<EnumName<Role>, 3> kRoleNames{ {
  { Role::Balancer, "balancer" },
  { Role::Agent, "agent" },
  { Role::Control, "control" },
} };

/** @brief Files for TLS 1.3 with both sides checked; all empty: no TLS. */
struct Tls
{
  std::string certificate_; ///< PEM file of the process's own certificate.
  std::string privateKey_;  ///< PEM file of its key.
  std::string authority_;   ///< PEM file of the authority of both sides.

  [[nodiscard]] bool Enabled() const noexcept { return !authority_.empty(); }
};

/** @brief One address at which callers reach a service's class of flows. */
struct FlowListener
{
  std::string service_;
  std::string class_;
  Address address_; ///< Address callers use; part of the flow's key.
  Address listen_;  ///< Socket for plain datagrams; zero port: none.
};

/** @brief Settings of a balancer. */
struct BalancerSettings
{
  Address gue_;      ///< Socket for IP packets in UDP; zero port: none.
  Address requests_; ///< Socket for callers' requests; zero port: none.
  std::vector<FlowListener> listeners_;
};

/** @brief Settings of an agent and the upstream beside it. */
struct AgentSettings
{
  std::string service_;
  std::uint16_t slots_{};
  std::uint32_t connections_{};
  Address upstreamRequests_; ///< JSON-RPC 2.0 over TCP; zero port: none.
  Address upstreamFlows_;    ///< Plain datagrams; zero port: none.
  Address upstreamGue_;      ///< IP packets in UDP; zero port: none.
  Duration stopLimit_{};     ///< Longest graceful stop.
};

/** @brief One control VM of the quorum. */
struct ControlMember
{
  std::string name_;
  Address address_;
};

/** @brief Settings of a control process. */
struct ControlSettings
{
  std::string dataFolder_;
  std::vector<ControlMember> members_;
  /** Sets up a new group on an empty folder; else an empty folder joins. */
  bool bootstrap_{};
  /** Members form the group by themselves, the seeds first. */
  bool formsItself_{};
  std::uint32_t toleratedLosses_{}; ///< Of a group that forms itself.
  /**
   * Whether the disk never loses or rolls back a synced write: it is whole or
   * empty. Otherwise a restarted member proves itself to the others first.
   */
  bool syncedWritesLast_{};
  Address api_; ///< HTTP for configurations; zero port: none.
};

/** @brief Settings of flows of segments; at a balancer or an agent. */
struct RelaySettings
{
  bool enabled_{};
  Address packets_;     ///< Callers' packets; its port is the callers' as well.
  Address readiness_;   ///< HTTP: whether packets should be sent here.
  Address outbound_;    ///< At an agent: packets of the upstream.
  Address upstream_;    ///< At an agent: where the upstream takes packets.
  Address reports_;     ///< At an agent: HTTP, the upstream's reports.
  std::string service_; ///< At an agent: the upstream's.
  Duration reportInterval_{}; ///< At an agent: time between two reports.
  Duration stopLimit_{};      ///< At a balancer: longest graceful stop.
};

/** @brief Whether messages between processes prove who sent them. */
enum class Authentication : std::uint8_t
{
  Keys, ///< By the key file.
  Off,  ///< The network admits the system's own VMs only.
};

/** @brief Names of `Authentication`, as the settings write them. */
inline constexpr std::array<EnumName<Authentication>, 2> kAuthenticationNames{ {
  { Authentication::Keys, "keys" },
  { Authentication::Off, "off" },
} };

/** @brief Everything one process learns from its settings file. */
struct Settings
{
  Role role_{};
  std::string name_;
  std::string dataCentre_;
  Address node_;               ///< Datagrams between processes.
  std::vector<Address> seeds_; ///< Control VMs and balancers to begin with.
  /** Seeds listen for other processes at the port that this one has. */
  bool seedsShareOwnPort_{};
  /** Bandwidth of the VM's link in Mbit/s; 0: unknown. */
  double linkMegabits_{};
  /** Interval of rounds with other processes. */
  std::chrono::milliseconds controlRound_{};
  /** Most bytes of control messages sent a second, on average, and at once. */
  std::uint32_t controlBytesPerSecond_{};
  std::uint32_t controlBurstBytes_{};
  std::string keyFile_;
  Authentication authentication_{ Authentication::Keys };
  Address operator_; ///< JSON-RPC for operators.
  Tls tls_;
  Address metrics_; ///< Zero port: no metrics are served.
  log::Level logLevel_{ log::Level::Info };
  BalancerSettings balancer_;
  AgentSettings agent_;
  ControlSettings control_;
  RelaySettings relay_;

  /** @brief Bandwidth of the VM's link; 0: unknown. */
  [[nodiscard]] std::uint64_t LinkBytesPerSecond() const noexcept
  {
    constexpr double kBytesPerMegabit = 125'000;
    return static_cast<std::uint64_t>(linkMegabits_ * kBytesPerMegabit);
  }
};

/**
 * @brief Reads and checks a settings file as a whole.
 * @return The settings, or `NotFound` / `InvalidArgument` with one line a
 * problem: file, line, key, what is allowed.
 */
[[nodiscard]] absl::StatusOr<Settings> Load(const std::string& aFile);

} // namespace cornelshore::settings

#endif
