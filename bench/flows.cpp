#include <cstdint>
#include <cstdio>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "support/flows_measures.hpp"
#include "support/flows_schedule.hpp"
#include "support/report.hpp"

namespace {

using namespace cornelshore;
using namespace cornelshore::bench;
using flows::Plan;
using flows::Tally;

constexpr std::uint64_t kThreads = 3;
constexpr std::uint64_t kPlannedSchedules = 10000;
constexpr std::uint64_t kDeathSchedules = 1000;
constexpr std::uint64_t kCrashSchedules = 1000;
constexpr std::uint64_t kFullSizeSchedules = 24;
constexpr std::uint64_t kAllDaySchedules = 6;

using MakePlan = std::function<Plan(std::uint64_t aSeed)>;

void
PrintFailure(const char* aKind, std::uint64_t aSeed)
{
  std::printf("failed=%s schedule_seed=%llu\n",
              aKind,
              static_cast<unsigned long long>(aSeed));
}

/** Runs schedules on a few threads; a schedule depends on its seed alone. */
Tally
RunSchedules(const char* aKind,
             std::uint64_t aSeed,
             std::uint64_t aCount,
             const MakePlan& aMakePlan)
{
  std::vector<Tally> tallies(kThreads);
  std::vector<std::thread> threads;
  for (std::uint64_t thread = 0; thread < kThreads; ++thread) {
    threads.emplace_back([&, thread] {
      auto& tally = tallies[thread];
      for (auto index = thread; index < aCount; index += kThreads) {
        const auto seed = HashPair(aSeed, index);
        const auto before = tally.Wrong();
        flows::Schedule(aMakePlan(seed), seed, tally).Run();
        if (tally.Wrong() != before) {
          PrintFailure(aKind, seed);
        }
      }
    });
  }
  Tally sum;
  for (std::uint64_t thread = 0; thread < kThreads; ++thread) {
    threads[thread].join();
    sum.Add(tallies[thread]);
  }
  return sum;
}

double
Seconds(Duration aTime)
{
  return static_cast<double>(aTime.count()) / 1e6;
}

void
ReportTally(Report& aReport, const std::string& aName, const Tally& aTally)
{
  const auto value = [&](const char* aKey, std::uint64_t aValue) {
    aReport.Value(aName + aKey, static_cast<double>(aValue));
  };
  const auto none = [&](const char* aKey, std::uint64_t aValue) {
    aReport.AtMost(aName + aKey, static_cast<double>(aValue), 0);
  };
  value("schedules", aTally.schedules_);
  value("changes", aTally.changes_);
  value("flows", aTally.flows_);
  value("flows_opened", aTally.opened_);
  value("packets", aTally.packets_);
  value("packets_sent_again", aTally.resent_);
  none("broken_flows", aTally.Broken());
  value("broken_by_reset", aTally.brokenByReset_);
  value("broken_by_another_host", aTally.brokenByOtherHost_);
  value("broken_by_stall_over_20s", aTally.brokenByStall_);
  value("naive_hash_table.broken_flows", aTally.naiveBroken_);
  none("to_another_service", aTally.wrongService_);
  none("opened_at_two_upstreams", aTally.twoUpstreams_);
  none("openings_reset", aTally.openingsReset_);
  value("openings_stalled_over_20s", aTally.openingsStalled_);
  aReport.Value(aName + "longest_stall_s", Seconds(aTally.longestStall_));
  value("extra_hops.median", aTally.HopsOf(0.5));
  value("extra_hops.p99_9", aTally.HopsOf(0.999));
}

Plan
FullSize(std::uint64_t aSeed)
{
  auto plan = flows::PlannedChanges(aSeed);
  plan.flows_ = 0;
  for (const auto& service : plan.site_.services_) {
    plan.flows_ += 2000 * service.hosts_;
  }
  plan.packets_ = 3;
  return plan;
}

/** Hundreds of changes while the flows opened at first stay open. */
Plan
AllDay(std::uint64_t aSeed)
{
  auto plan = flows::PlannedChanges(aSeed);
  plan.flows_ = 100;
  plan.opensFor_ = flows::seconds(30);
  plan.packets_ = 100;
  plan.changes_ = 400;
  plan.changesFor_ = flows::seconds(8000);
  plan.end_ = flows::seconds(8100);
  return plan;
}

/** An agent's process that ends without handing its flows over. */
Plan
OneCrash(std::uint64_t aSeed)
{
  auto plan = flows::PlannedChanges(aSeed);
  plan.crashes_ = 1;
  return plan;
}

Plan
OneDeath(std::uint64_t aSeed)
{
  auto plan = flows::PlannedChanges(aSeed);
  plan.deaths_ = 1;
  plan.changes_ = 2;
  return plan;
}

void
ReportDeaths(Report& aReport, const Tally& aTally)
{
  const auto onHost = static_cast<double>(aTally.onDeadHost_);
  const auto told = static_cast<double>(aTally.brokenOnDeadHost_);
  aReport.Value("death.flows_on_the_host", onHost);
  aReport.AtMost("death.broken_over_on_the_host", told / onHost, 1.0);
  aReport.AtLeast("death.told_over_on_the_host", told / onHost, 1.0);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  const auto options = ParseOptions(aCount, aArguments);
  if (!options.valid_) {
    return 2;
  }
  const auto seed = options.seed_;
  Report report;
  const auto planned = RunSchedules("planned",
                                    seed,
                                    options.SchedulesOr(kPlannedSchedules),
                                    flows::PlannedChanges);
  ReportTally(report, "planned.", planned);
  report.AtMost(
    "leaving.last_new_flow_after_s", Seconds(planned.newAfterLeave_), 5);
  report.AtMost("leaving.last_opening_sent_by_a_balancer_after_s",
                Seconds(planned.sentAfterLeave_),
                5);
  ReportTally(
    report,
    "full_size.",
    RunSchedules("full_size", seed + 1, kFullSizeSchedules, FullSize));
  ReportTally(report,
              "all_day.",
              RunSchedules("all_day", seed + 2, kAllDaySchedules, AllDay));
  ReportTally(report,
              "agent_crash.",
              RunSchedules("agent_crash", seed + 4, kCrashSchedules, OneCrash));
  const auto deaths =
    RunSchedules("death", seed + 3, kDeathSchedules, OneDeath);
  ReportTally(report, "death.elsewhere.", deaths);
  ReportDeaths(report, deaths);
  for (const std::size_t hosts : { 7, 70, 700 }) {
    flows::MeasureControlTraffic(report, hosts);
  }
  for (const std::size_t hosts : { 7, 15, 70 }) {
    flows::MeasureImbalance(report, hosts);
  }
  flows::MeasureDecision(report);
  return report.ExitCode();
}
