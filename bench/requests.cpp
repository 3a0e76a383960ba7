#include <string>

#include <bench/support/report.hpp>
#include <bench/support/requests_cost.hpp>
#include <bench/support/requests_death.hpp>
#include <bench/support/requests_faults.hpp>
#include <bench/support/requests_naive.hpp>

namespace {

using namespace cornelshore::bench;

/** Hosts, slots and distances of the two services that take requests. */
Shape
ShapeOf(std::uint64_t aSchedule)
{
  Shape shape;
  if (aSchedule % 2 == 1) {
    shape.slots_ = 4;
    shape.dataCentres_ = 4;
    shape.between_ = std::chrono::microseconds{ 500 };
  }
  shape.ticketPool_ = aSchedule % 4 < 2 ? 0 : 2;
  return shape;
}

void
Print(Report& aReport, const std::string& aName, const Findings& aFindings)
{
  const auto print = [&](const char* aKey, std::uint64_t aValue) {
    aReport.Value(aName + "." + aKey, static_cast<double>(aValue));
  };
  print("requests", aFindings.requests_);
  print("runs", aFindings.runs_);
  print("answered", aFindings.answered_);
  print("not_run", aFindings.notRun_);
  print("unknown", aFindings.unknown_);
}

void
MeasureFaults(Report& aReport, const Options& aOptions)
{
  const auto schedules = aOptions.SchedulesOr(12'000);
  const auto product = ProductPorts();
  const auto naive = NaivePorts();
  Findings ours;
  Findings theirs;
  for (std::uint64_t schedule = 0; schedule < schedules; ++schedule) {
    auto shape = ShapeOf(schedule);
    shape.seed_ = aOptions.seed_ + schedule;
    const auto findings = RunSchedule(shape, product, 2);
    if (findings.Broken() != 0) {
      aReport.Value("broken_at_seed", static_cast<double>(shape.seed_));
    }
    ours += findings;
    theirs += RunSchedule(shape, naive, 2);
  }
  aReport.Value("schedules", static_cast<double>(schedules));
  aReport.Value("faults_a_schedule", 2);
  Print(aReport, "product", ours);
  const auto zero =
    [&](const char* aKey, std::uint64_t aOurs, std::uint64_t aTheirs) {
      aReport.AtMost(
        std::string("product.") + aKey, static_cast<double>(aOurs), 0);
      aReport.Value(std::string("naive.") + aKey, static_cast<double>(aTheirs));
    };
  zero("non_repeatable_run_twice", ours.ranTwice_, theirs.ranTwice_);
  zero("told_not_run_but_run", ours.notRunButRan_, theirs.notRunButRan_);
  zero("mixed_or_truncated", ours.badAnswers_, theirs.badAnswers_);
  zero("without_one_outcome", ours.outcomesMissing_, theirs.outcomesMissing_);
  Print(aReport, "naive", theirs);
}

void
MeasureDeath(Report& aReport, const Options& aOptions)
{
  constexpr std::uint64_t kDeaths = 200;
  DeathCount sum;
  for (std::uint64_t schedule = 0; schedule < kDeaths; ++schedule) {
    auto shape = ShapeOf(schedule);
    shape.seed_ = aOptions.seed_ + 1'000'000 + schedule;
    const auto count = RunDeath(shape);
    sum.findings_ += count.findings_;
    sum.inProgress_ += count.inProgress_;
    sum.ofItsIds_ += count.ofItsIds_;
    sum.allowed_ += count.allowed_;
  }
  const auto requests = static_cast<double>(sum.findings_.requests_);
  const auto share = [requests](std::uint64_t aCount) {
    return static_cast<double>(aCount) / requests;
  };
  aReport.Value("one_death.deaths", kDeaths);
  Print(aReport, "one_death", sum.findings_);
  aReport.Value("one_death.in_progress_there_share", share(sum.inProgress_));
  aReport.Value("one_death.of_its_ids_share", share(sum.ofItsIds_));
  aReport.AtMost("one_death.unknown_share",
                 share(sum.findings_.unknown_),
                 share(sum.allowed_));
  aReport.AtMost(
    "one_death.broken", static_cast<double>(sum.findings_.Broken()), 0);
}

void
MeasureCosts(Report& aReport)
{
  const auto print = [&](const std::string& aName, const Cost& aCost) {
    aReport.Value(aName + ".messages_a_request", aCost.messages_);
    aReport.Value(aName + ".bytes_a_request", aCost.bytes_);
    aReport.Value(aName + ".time_ms", aCost.time_);
    return aCost;
  };
  for (std::uint64_t site = 0; site < 2; ++site) {
    const std::string name = site == 0 ? "tartu" : "antioquia";
    auto shape = ShapeOf(site);
    shape.ticketPool_ = 0;
    shape.repeatable_ = 0;
    const auto naive = print(name + ".naive", MeasureCost(shape, NaivePorts()));
    const auto added = [&](const std::string& aName, const Cost& aCost) {
      aReport.Value(aName + ".added_ms", aCost.time_ - naive.time_);
    };
    const auto asked =
      print(name + ".non_repeatable", MeasureCost(shape, ProductPorts()));
    added(name + ".non_repeatable", asked);
    aReport.Value(name + ".stamp_bytes_a_second_a_host", asked.stampBytes_);
    shape.ticketPool_ = 4;
    added(name + ".non_repeatable_ticket_ahead",
          print(name + ".non_repeatable_ticket_ahead",
                MeasureCost(shape, ProductPorts())));
    shape.repeatable_ = 1'000;
    added(name + ".repeatable_ticket_ahead",
          print(name + ".repeatable_ticket_ahead",
                MeasureCost(shape, ProductPorts())));
  }
  for (const std::size_t ids : { 1'000U, 10'000U, 100'000U }) {
    Holding(ids).Measure(aReport);
  }
}

} // namespace

int
main(int aCount, char** aArguments)
{
  const auto options = ParseOptions(aCount, aArguments);
  if (!options.valid_) {
    return 2;
  }
  Report report;
  MeasureFaults(report, options);
  MeasureDeath(report, options);
  MeasureCosts(report);
  return report.ExitCode();
}
