#include <chrono>
#include <cmath>
#include <cstdint>
#include <ctime>
#include <functional>
#include <string>
#include <vector>

#include <bench/support/balancer_fleet.hpp>
#include <bench/support/control_dissemination.hpp>
#include <bench/support/counted_memory.hpp>
#include <bench/support/fit.hpp>
#include <bench/support/report.hpp>
#include <cornelshore/consensus/register.hpp>
#include <cornelshore/core/random.hpp>
#include <cornelshore/flow/agent.hpp>
#include <cornelshore/wire/role_hooks.hpp>

/**
 * @brief Measures the slopes that docs/CAPACITY.md works the target's size out
 * from, and prints that page's table.
 */
namespace cornelshore::bench {

namespace {

constexpr double kTargetBalancers = 1900;
constexpr double kTargetHosts = 19'000;
constexpr double kTargetAddresses = 1300;
constexpr double kTargetFlowsAnAgent = 22e6 / 19'000;
constexpr double kTargetChangesADay = 2400;
constexpr double kMostMemoryBytes = 128.0 * 1024 * 1024;
constexpr double kMostCoreShare = 0.014;
constexpr double kMostBytesASecond = 4096;
constexpr double kNanosPerSecond = 1e9;
constexpr TimePoint kStart{ std::chrono::hours{ 1 } };

double
ProcessorSeconds()
{
  return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

/** Nanoseconds of one step of a loop that never changes. */
double
ReferenceNanos()
{
  constexpr std::uint64_t kSteps = 100'000'000;
  Random random(1);
  std::uint64_t sum = 0;
  const auto begin = ProcessorSeconds();
  for (std::uint64_t step = 0; step < kSteps; ++step) {
    sum ^= random.Next();
  }
  const auto seconds = ProcessorSeconds() - begin;
  CheckInvariant(sum != 0, "the loop was left out");
  return kNanosPerSecond * seconds / static_cast<double>(kSteps);
}

/** Prints samples, their line, and what the line gives at the target. */
double
PrintLine(Report& aReport,
          const std::string& aKey,
          const std::vector<Sample>& aSamples,
          double aTarget)
{
  for (const auto& sample : aSamples) {
    aReport.Value(aKey + ".at_" +
                    std::to_string(static_cast<long long>(sample.size_)),
                  sample.cost_);
  }
  const auto line = Fit(aSamples);
  aReport.Value(aKey + ".slope", line.slope_);
  aReport.Value(aKey + ".base", line.base_);
  aReport.Value(aKey + ".residual", line.residual_);
  aReport.Value(aKey + ".at_target", line.At(aTarget));
  return line.At(aTarget);
}

std::vector<Sample>
Sampled(const std::vector<std::size_t>& aSizes,
        const std::function<double(std::size_t)>& aCost)
{
  std::vector<Sample> samples;
  samples.reserve(aSizes.size());
  for (const auto size : aSizes) {
    samples.push_back({ static_cast<double>(size), aCost(size) });
  }
  return samples;
}

const std::vector<std::size_t> kHostSizes{ 2375, 4750, 9500, 19'000 };
const std::vector<std::size_t> kAddressSizes{ 163, 325, 650, 1300 };

void
MeasureBalancer(Report& aReport)
{
  constexpr std::size_t kAddresses = 1300;
  const auto memory =
    PrintLine(aReport,
              "balancer.memory_bytes_by_hosts",
              Sampled(kHostSizes,
                      [](std::size_t aHosts) {
                        const auto before = AllocatedBytes();
                        const auto balancer = FleetBalancer(kAddresses, aHosts);
                        return static_cast<double>(AllocatedBytes() - before);
                      }),
              kTargetHosts);
  aReport.AtMost("balancer.memory_bytes", memory, kMostMemoryBytes);

  const auto balancer = FleetBalancer(kAddresses, 19'000);
  const auto services = FleetServices(kAddresses);
  std::uint64_t flow = 0;
  const auto growth = PrintLine(
    aReport,
    "balancer.memory_growth_bytes_by_flows",
    Sampled({ 25'000, 50'000, 100'000, 200'000 },
            [&](std::size_t aFlows) {
              const auto before = AllocatedBytes();
              for (std::size_t count = 0; count < aFlows; ++count) {
                static_cast<void>(balancer->On(
                  kFleetStart, FleetPacket(++flow, services, "packet")));
              }
              return static_cast<double>(AllocatedBytes()) -
                     static_cast<double>(before);
            }),
    22e6);
  aReport.AtMost("balancer.memory_growth_by_flows", growth, 0);
}

void
MeasureRecordChange(Report& aReport, double aReference)
{
  constexpr std::size_t kChanges = 2000;
  PrintLine(
    aReport,
    "balancer.host_change_ns_by_hosts",
    Sampled(kHostSizes,
            [](std::size_t aHosts) {
              const auto balancer = FleetBalancer(1300, aHosts);
              const auto begin = ProcessorSeconds();
              for (std::size_t change = 0; change < kChanges; ++change) {
                auto record = FleetHost(change * 7 % aHosts, 1300);
                record.sequence_ = 10 + change;
                record.state_ =
                  change % 2 == 0 ? HostState::Leaving : HostState::Ready;
                dissemination::Message news;
                news.header_.incarnation_ = Incarnation{ 1 };
                news.header_.kind_ = dissemination::MessageKind::Push;
                news.hosts_.push_back({ record, Duration{} });
                static_cast<void>(
                  balancer->On(kFleetStart,
                               role::NodeMessage{ NodeId{ 2 },
                                                  Incarnation{ 1 },
                                                  MakeIpv4(0x7F000001U, 7001),
                                                  std::move(news) }));
              }
              return kNanosPerSecond * (ProcessorSeconds() - begin) / kChanges;
            }),
    kTargetHosts);
  aReport.Value("reference_step_ns", aReference);
}

/** Memory of an agent that holds so many flows open. */
double
AgentMemory(std::size_t aFlows)
{
  HostRecord self;
  self.id_ = HostId{ 7 };
  self.incarnation_ = Incarnation{ 1 };
  self.service_ = ServiceId{ 1 };
  self.slots_ = 4;
  self.connectionLimit_ = 4000;
  const auto before = AllocatedBytes();
  auto agent = *flow::AgentBuilder().SetSelf(self).Build();
  auto now = kStart;
  static_cast<void>(agent.On(now, flow::ReadinessChanged{ true }));
  self.sequence_ = 2;
  self.state_ = HostState::Ready;
  static_cast<void>(agent.On(now, flow::MembershipChanged{ { self } }));
  static_cast<void>(agent.On(now, flow::ViewConfirmed{ now }));
  now += std::chrono::minutes(5);
  static_cast<void>(agent.On(now, flow::ViewConfirmed{ now }));
  for (std::size_t index = 0; index < aFlows; ++index) {
    flow::Envelope envelope;
    envelope.service_ = self.service_;
    envelope.key_.caller_ =
      MakeIpv4(0xC0000200U, static_cast<std::uint16_t>(1000 + index));
    envelope.key_.transport_ = Transport::Tcp;
    envelope.bucket_ = routing::BucketOf(envelope.key_);
    envelope.opening_ = flow::Opening::Yes;
    static_cast<void>(
      agent.On(now, flow::EnvelopeArrived{ std::move(envelope) }));
  }
  CheckInvariant(agent.Dump(now).flows_ == aFlows, "a flow did not open");
  return static_cast<double>(AllocatedBytes() - before);
}

void
MeasureAgent(Report& aReport)
{
  const auto memory = PrintLine(aReport,
                                "agent.memory_bytes_by_flows",
                                Sampled({ 290, 580, 1160, 2320 }, AgentMemory),
                                kTargetFlowsAnAgent);
  aReport.AtMost("agent.memory_bytes", memory, kMostMemoryBytes);
}

std::vector<ServiceTarget>
Services(std::size_t aCount)
{
  std::vector<ServiceTarget> services;
  for (std::size_t index = 0; index < aCount; ++index) {
    auto& service = services.emplace_back();
    service.name_ = "service-" + std::to_string(index);
    service.id_ = ServiceIdOf(service.name_);
    for (const auto* name : { "urgent", "usual", "bulk" }) {
      auto& target = service.classes_.emplace_back();
      target.name_ = name;
      target.id_ = ClassIdOf(service.name_, name);
      target.service_ = service.id_;
    }
  }
  return services;
}

void
MeasureControl(Report& aReport)
{
  const auto hooks = wire::RoleHooks();
  PrintLine(aReport,
            "control.configuration_bytes_by_addresses",
            Sampled(kAddressSizes,
                    [&](std::size_t aAddresses) {
                      Configuration configuration;
                      configuration.services_ = Services(aAddresses);
                      return static_cast<double>(
                        hooks.encode_(configuration).size());
                    }),
            kTargetAddresses);
  const auto memory = PrintLine(
    aReport,
    "control.register_bytes_by_addresses",
    Sampled(kAddressSizes,
            [](std::size_t aAddresses) {
              const auto before = AllocatedBytes();
              consensus::Register state;
              for (std::uint64_t change = 0;
                   change < static_cast<std::uint64_t>(kTargetChangesADay);
                   ++change) {
                state.Apply({ RequestId{ 1, change + 1 },
                              ConfigVersion{ change },
                              "operator",
                              0,
                              Services(aAddresses) });
              }
              return static_cast<double>(AllocatedBytes() - before);
            }),
    kTargetAddresses);
  aReport.AtMost("control.register_bytes", memory, kMostMemoryBytes);
}

/** What the dissemination costs a node at the target's rate of changes. */
struct SpreadCost
{
  double balancerBytes_{}; ///< A second, sent and received.
  double agentBytes_{};    ///< A second, sent and received.
  double coreShare_{};     ///< Of one core, all nodes taken as equal.
};

/** Mean bytes a second of the nodes in a range since the last call. */
double
BytesASecond(Regions& aRegions,
             std::size_t aBegin,
             std::size_t aEnd,
             double aSeconds,
             double& aBefore)
{
  double sum = 0;
  const auto& members = aRegions.Fleet().Members();
  for (auto index = aBegin; index < aEnd; ++index) {
    sum += static_cast<double>(members[index].sent_ + members[index].received_);
  }
  const auto bytes = sum - aBefore;
  aBefore = sum;
  return bytes / static_cast<double>(aEnd - aBegin) / aSeconds;
}

SpreadCost
CostOfSpread(std::uint64_t aSeed, std::size_t aBalancers)
{
  constexpr std::size_t kMinutes = 4;
  constexpr double kSeconds = kMinutes * 60.0;
  constexpr std::size_t kAgentsABalancer = 10;
  Regions regions(aSeed, aBalancers, kAgentsABalancer * aBalancers);
  for (std::size_t agent = 0; agent < regions.Agents(); ++agent) {
    regions.Announce(regions.FirstAgent() + agent, HostState::Ready);
  }
  regions.RunFor(std::chrono::minutes(2));
  const auto first = regions.FirstAgent();
  double balancers = 0;
  double agents = 0;
  BytesASecond(regions, 0, first, kSeconds, balancers);
  BytesASecond(regions, first, regions.Nodes(), kSeconds, agents);
  const auto begin = ProcessorSeconds();
  RunMinutes(regions, nullptr, kMinutes);
  const auto share =
    (ProcessorSeconds() - begin) / static_cast<double>(first) / kSeconds;
  return { BytesASecond(regions, 0, first, kSeconds, balancers),
           BytesASecond(regions, first, regions.Nodes(), kSeconds, agents),
           share };
}

/** Costs of a node against the logarithm of the number of balancers. */
void
MeasureSpreadCost(Report& aReport, std::uint64_t aSeed)
{
  std::vector<Sample> balancer;
  std::vector<Sample> agent;
  std::vector<Sample> share;
  for (const std::size_t balancers : { 16U, 32U, 64U, 128U }) {
    const auto cost = CostOfSpread(aSeed, balancers);
    const auto doublings = std::log2(static_cast<double>(balancers));
    balancer.push_back({ doublings, cost.balancerBytes_ });
    agent.push_back({ doublings, cost.agentBytes_ });
    share.push_back({ doublings, cost.coreShare_ });
  }
  const auto target = std::log2(kTargetBalancers);
  const auto print = [&](const std::string& aKey,
                         const std::vector<Sample>& aSamples,
                         double aBound) {
    const auto cost =
      PrintLine(aReport, aKey + "_by_doublings", aSamples, target);
    aReport.AtMost(aKey, cost, aBound);
  };
  print("balancer.control_bytes_a_second", balancer, kMostBytesASecond);
  print("agent.control_bytes_a_second", agent, kMostBytesASecond);
  print("balancer.control_core_share", share, kMostCoreShare);
}

} // namespace

} // namespace cornelshore::bench

int
main(int aCount, char** aArguments)
{
  using namespace cornelshore::bench;
  const auto options = ParseOptions(aCount, aArguments);
  if (!options.valid_) {
    return 2;
  }
  Report report;
  report.Value("seed", static_cast<double>(options.seed_));
  MeasureBalancer(report);
  MeasureRecordChange(report, ReferenceNanos());
  MeasureAgent(report);
  MeasureControl(report);
  MeasureSpreadCost(report, options.seed_);
  return report.ExitCode();
}
