#include <algorithm>
#include <cmath>
#include <string>
#include <vector>

#include <absl/strings/str_cat.h>

#include "bench/support/classes_cost.hpp"
#include "bench/support/classes_sites.hpp"
#include "bench/support/report.hpp"
#include "test/cornelshore/admission/naive_allocator.hpp"

namespace {

using namespace cornelshore;
using namespace cornelshore::bench;

constexpr double kUnderFloor = 0.6;
constexpr double kOverFloor = 1.5;
constexpr double kEach = 3.0;

struct PolicyName
{
  Policy policy_;
  const char* name_;
};
constexpr std::array<PolicyName, 3> kPolicies{ {
  { Policy::Targets, "targets" },
  { Policy::FirstCome, "first_come" },
  { Policy::Priority, "priority" },
} };

/** Least over all floods of one policy. */
struct Least
{
  double promised_{ 1e9 };
  double noFlood_{ 1e9 };
};

double
DonePart(const ClassOutcome& aOutcome)
{
  const auto offered = static_cast<double>(aOutcome.offered_);
  return offered == 0.0 ? 1.0 : static_cast<double>(aOutcome.done_) / offered;
}

/** A site whose classes with a floor demand so many times their floors. */
Scenario
FloorsTimes(const Site& aSite, double aTimes, std::uint64_t aSeed)
{
  auto scenario = Quiet(aSite, aSeed);
  for (std::size_t index = 0; index < aSite.rows_.size(); ++index) {
    Demands(scenario, index, aTimes * aSite.Floor(index));
  }
  scenario.measure_ = 300.0;
  return scenario;
}

class Classes
{
public:
  explicit Classes(const Options& aOptions)
    : options_(aOptions)
  {
  }

  int Run()
  {
    for (const auto& site : TodaysSites()) {
      Floods(site);
      Distance(site);
      GiveBack(site);
      BadHosts(site);
      Reports(site);
    }
    Callers();
    Recovery();
    Cost();
    Totals();
    return report_.ExitCode();
  }

private:
  void Floods(const Site& aSite)
  {
    auto calm = FloorsTimes(aSite, kUnderFloor, options_.seed_);
    auto before = Fleet(calm).Run();
    const std::vector<std::pair<std::size_t, const char*>> floods{
      { aSite.rows_.size() - 1, "least_urgent" }, { 0, "most_urgent" }
    };
    for (const auto& [flooder, name] : floods) {
      for (const double times : { 10.0, 100.0 }) {
        const auto prefix =
          absl::StrCat(aSite.name_, ".flood_", name, "_x", times);
        for (std::size_t policy = 0; policy < kPolicies.size(); ++policy) {
          Under(aSite, flooder, times, policy, prefix, before);
          Over(aSite, flooder, times, policy, prefix);
        }
      }
    }
  }

  /** Others demand less than their floors. */
  void Under(const Site& aSite,
             std::size_t aFlooder,
             double aTimes,
             std::size_t aPolicy,
             const std::string& aPrefix,
             std::vector<ClassOutcome>& aBefore)
  {
    auto scenario = FloorsTimes(aSite, kUnderFloor, options_.seed_);
    scenario.policy_ = kPolicies[aPolicy].policy_;
    Demands(scenario, aFlooder, aTimes * aSite.Slots());
    Fleet fleet(scenario);
    auto& after = fleet.Run();
    if (aPolicy == 0) {
      EarlyRefusals(aPrefix, after[aFlooder]);
    }
    for (std::size_t index = 0; index < after.size(); ++index) {
      if (index == aFlooder || aSite.rows_[index].keeps_ == 0) {
        continue;
      }
      const auto got = DonePart(after[index]);
      const auto ratio = got / DonePart(aBefore[index]);
      auto& least = least_[aPolicy];
      least.promised_ = std::min(least.promised_, got);
      least.noFlood_ = std::min(least.noFlood_, ratio);
      const auto key = absl::StrCat(
        aPrefix, ".", kPolicies[aPolicy].name_, ".", aSite.rows_[index].name_);
      report_.Value(key + ".under.got_over_promised", got);
      report_.Value(key + ".under.got_over_no_flood", ratio);
      report_.Value(key + ".under.wait_p99_s", after[index].WaitAt(0.99));
      report_.Value(key + ".under.wait_p99_no_flood_s",
                    aBefore[index].WaitAt(0.99));
    }
  }

  /** Part of the flood's refusals that cost no host anything. */
  void EarlyRefusals(const std::string& aPrefix, const ClassOutcome& aFlood)
  {
    const auto shed = static_cast<double>(aFlood.shed_);
    const auto part = shed / (shed + static_cast<double>(aFlood.refused_));
    refusedEarly_ = std::min(refusedEarly_, part);
    report_.Value(aPrefix + ".refused_at_balancer_part", part);
  }

  /** Others demand more than their floors. */
  void Over(const Site& aSite,
            std::size_t aFlooder,
            double aTimes,
            std::size_t aPolicy,
            const std::string& aPrefix)
  {
    auto scenario = FloorsTimes(aSite, kOverFloor, options_.seed_);
    scenario.policy_ = kPolicies[aPolicy].policy_;
    Demands(scenario, aFlooder, aTimes * aSite.Slots());
    Fleet fleet(scenario);
    const auto& after = fleet.Run();
    const auto prefix = absl::StrCat(aPrefix, ".", kPolicies[aPolicy].name_);
    for (std::size_t index = 0; index < after.size(); ++index) {
      const auto& row = aSite.rows_[index];
      const auto slots = after[index].slotSeconds_ / scenario.measure_;
      const auto key = absl::StrCat(prefix, ".", row.name_);
      if (index == aFlooder) {
        const auto most = aSite.Slots() * row.most_ / kFullShare;
        report_.Value(key + ".over.flooder_over_most", slots / most);
        flooderOverMost_ = aPolicy == 0
                             ? std::max(flooderOverMost_, slots / most)
                             : flooderOverMost_;
      } else if (row.keeps_ > 0) {
        const auto got = slots / aSite.Floor(index);
        least_[aPolicy].promised_ = std::min(least_[aPolicy].promised_, got);
        report_.Value(key + ".over.got_over_promised", got);
      } else {
        report_.Value(key + ".over.done_part_without_floor",
                      DonePart(after[index]));
      }
    }
  }

  /** All classes demand far more than the fleet has. */
  void Distance(const Site& aSite)
  {
    auto scenario = Quiet(aSite, options_.seed_);
    std::vector<double> demand;
    for (std::size_t index = 0; index < aSite.rows_.size(); ++index) {
      demand.push_back(kEach * aSite.Slots());
      Demands(scenario, index, demand.back());
    }
    scenario.warmUp_ = 60.0;
    scenario.measure_ = 600.0;
    const auto ideal =
      admission::AllocateCentrally(scenario.target_, demand, aSite.Slots());
    Fleet fleet(scenario);
    const auto& outcomes = fleet.Run();
    double used = 0.0;
    for (std::size_t index = 0; index < outcomes.size(); ++index) {
      const auto slots = outcomes[index].slotSeconds_ / scenario.measure_;
      used += slots;
      const auto distance = std::abs(slots - ideal[index]) / aSite.Slots();
      distance_ = std::max(distance_, distance);
      const auto key =
        absl::StrCat(aSite.name_, ".full.", aSite.rows_[index].name_);
      report_.Value(key + ".slots", slots);
      report_.Value(key + ".central_slots", ideal[index]);
      report_.Value(key + ".relative_distance", slots / ideal[index] - 1.0);
    }
    const auto utilisation = used / aSite.Slots();
    utilisation_ = std::min(utilisation_, utilisation);
    report_.Value(aSite.name_ + ".full.utilisation", utilisation);
  }

  /** The least urgent fill the fleet; then the most urgent come. */
  void GiveBack(const Site& aSite)
  {
    for (const bool isLong : { false, true }) {
      auto scenario = Quiet(aSite, options_.seed_);
      const auto borrower = aSite.rows_.size() - 2;
      for (auto& target : scenario.target_.classes_) {
        target.most_ = kFullShare;
      }
      auto& lent = scenario.demands_[borrower];
      lent.longLived_ = isLong;
      lent.hold_ = isLong ? 3600.0 : aSite.rows_[borrower].hold_;
      lent.deadline_ = isLong ? 1e5 : lent.deadline_;
      Demands(scenario, borrower, 10.0 * aSite.Slots());
      lent.rate_ = std::max(lent.rate_, 5.0);
      scenario.demands_[0].from_ = 40.0;
      Demands(scenario, 0, 10.0 * aSite.Slots());
      Fleet fleet(scenario);
      const auto& outcomes = fleet.Run();
      const auto& running = outcomes[0].running_;
      const auto floor = std::ceil(aSite.Floor(0));
      auto sample = static_cast<std::size_t>(40.0 / kSampleSeconds);
      const auto start = sample;
      while (sample < running.size() && running[sample] < floor) {
        ++sample;
      }
      const bool reached = sample < running.size();
      const auto seconds =
        reached ? static_cast<double>(sample - start) * kSampleSeconds : 1e9;
      const auto key = absl::StrCat(
        aSite.name_, isLong ? ".give_back_long" : ".give_back_short");
      report_.Value(key + "_s", seconds);
      report_.Value(key + "_lent_slots", outcomes[borrower].running_[start]);
    }
  }

  /** One slow host, and one that reports zero load. */
  void BadHosts(const Site& aSite)
  {
    struct Guard
    {
      const char* name_;
      bool health_;
      Choice choice_;
      Policy policy_;
    };
    for (const auto& guard :
         { Guard{ "with", true, Choice::OwnInFlight, Policy::Targets },
           Guard{
             "without_health", false, Choice::OwnInFlight, Policy::Targets },
           Guard{
             "without", false, Choice::ReportedLoad, Policy::FirstCome } }) {
      auto scenario = Quiet(aSite, options_.seed_);
      for (std::size_t index = 0; index < aSite.rows_.size(); ++index) {
        Demands(scenario, index, 0.4 * aSite.Slots() / kEach);
        auto& demand = scenario.demands_[index];
        demand.deadline_ = 10.0 * demand.hold_;
      }
      scenario.slowHosts_ = 1;
      scenario.liars_ = 1;
      scenario.health_ = guard.health_;
      scenario.choice_ = guard.choice_;
      scenario.policy_ = guard.policy_;
      scenario.measure_ = 200.0;
      Fleet fleet(scenario);
      double late = 0.0;
      double refused = 0.0;
      double offered = 0.0;
      for (const auto& outcome : fleet.Run()) {
        late += static_cast<double>(outcome.late_);
        refused += static_cast<double>(outcome.refused_ + outcome.shed_);
        offered += static_cast<double>(outcome.offered_);
      }
      const auto key = absl::StrCat(aSite.name_, ".bad_hosts.", guard.name_);
      report_.Value(key + ".late_part", late / offered);
      report_.Value(key + ".late_or_refused_part", (late + refused) / offered);
    }
  }

  /** A flood while pushbacks are lost, late or lies. */
  void Reports(const Site& aSite)
  {
    struct Fault
    {
      const char* name_;
      double lost_;
      double late_;
      std::uint32_t liars_;
    };
    for (const auto& fault : { Fault{ "half_lost", 0.5, 0.0, 0 },
                               Fault{ "all_lost", 1.0, 0.0, 0 },
                               Fault{ "late_3s", 0.0, 3.0, 0 },
                               Fault{ "one_lies", 0.0, 0.0, 1 } }) {
      auto scenario = FloorsTimes(aSite, kUnderFloor, options_.seed_);
      const auto flooder = aSite.rows_.size() - 1;
      Demands(scenario, flooder, 10.0 * aSite.Slots());
      scenario.lostReports_ = fault.lost_;
      scenario.lateReports_ = fault.late_;
      scenario.liars_ = fault.liars_;
      Fleet fleet(scenario);
      const auto& outcomes = fleet.Run();
      double least = 1.0;
      for (std::size_t index = 0; index < flooder; ++index) {
        least = std::min(least, DonePart(outcomes[index]));
      }
      const auto& flood = outcomes[flooder];
      const auto turned = static_cast<double>(flood.shed_ + flood.refused_);
      const auto key = absl::StrCat(aSite.name_, ".reports_", fault.name_);
      report_.Value(key + ".others_got_over_promised", least);
      report_.Value(key + ".refused_at_balancer_part",
                    static_cast<double>(flood.shed_) / turned);
      reportsLeast_ = std::min(reportsLeast_, least);
    }
  }

  /** One caller floods the class of fifty others. */
  void Callers()
  {
    const auto site = TodaysSites()[2];
    auto scenario = Quiet(site, options_.seed_);
    const std::size_t flooded = 1;
    const auto share = site.Slots() * site.rows_[flooded].most_ / kFullShare;
    Demands(scenario, flooded, 10.0 * site.Slots());
    auto& demand = scenario.demands_[flooded];
    demand.callers_ = 50;
    demand.heavyPart_ = 1.0 - 0.5 * share / (10.0 * site.Slots());
    scenario.measure_ = 100.0;
    Fleet fleet(scenario);
    const auto& outcome = fleet.Run()[flooded];
    const auto offered =
      static_cast<double>(outcome.offered_ - outcome.heavyOffered_);
    const auto done = static_cast<double>(outcome.done_ - outcome.heavyDone_);
    report_.Value("callers.light_done_over_offered", done / offered);
    report_.Value("callers.heavy_done_over_offered",
                  static_cast<double>(outcome.heavyDone_) /
                    static_cast<double>(outcome.heavyOffered_));
  }

  /** Refused callers come back after a flood has ended. */
  void Recovery()
  {
    constexpr std::size_t kEnd = 23;
    constexpr std::size_t kLook = 60;
    const auto site = TodaysSites()[2];
    for (const bool jittered : { true, false }) {
      auto scenario = FloorsTimes(site, kUnderFloor, options_.seed_);
      auto& demand = scenario.demands_[0];
      Demands(scenario, 0, 10.0 * site.Slots());
      demand.from_ = 20.0;
      demand.until_ = static_cast<double>(kEnd);
      scenario.retry_ = jittered ? Retry::Jittered : Retry::Fixed;
      Fleet fleet(scenario);
      const auto& arrivals = fleet.Run()[0].arrivals_;
      double sum = 0.0;
      double peak = 0.0;
      for (std::size_t bin = kEnd + 2; bin < kEnd + kLook; ++bin) {
        const auto count = bin < arrivals.size() ? arrivals[bin] : 0;
        sum += count;
        peak = std::max<double>(peak, count);
      }
      double steps = 0.0;
      for (std::size_t bin = kEnd + 3; bin < kEnd + kLook; ++bin) {
        steps =
          std::max(steps, double{ 1.0 } * arrivals[bin] - arrivals[bin - 1]);
      }
      const auto key =
        absl::StrCat("recovery.", jittered ? "jittered" : "fixed");
      report_.Value(key + ".peak_over_mean",
                    peak / (sum / static_cast<double>(kLook - 2)));
      report_.Value(key + ".largest_rise_per_s", steps);
    }
  }

  void Cost()
  {
    CostMeter meter(TodaysSites()[2], options_.seed_);
    const auto costs = meter.Run();
    report_.Value("cost.refusal_ns", costs.refusal_);
    report_.Value("cost.admission_ns", costs.admission_);
    report_.Value("cost.refused_part_of_refusal_loop", meter.RefusedPart());
    report_.AtMost(
      "cost.refusal_over_admission", costs.refusal_ / costs.admission_, 0.1);
  }

  void Totals()
  {
    for (std::size_t policy = 1; policy < kPolicies.size(); ++policy) {
      const auto key = absl::StrCat("floods.", kPolicies[policy].name_);
      report_.Value(key + ".got_over_promised_least", least_[policy].promised_);
      report_.Value(key + ".got_over_no_flood_least", least_[policy].noFlood_);
    }
    report_.AtLeast(
      "floods.targets.got_over_promised_least", least_[0].promised_, 0.99);
    report_.AtLeast(
      "floods.targets.got_over_no_flood_least", least_[0].noFlood_, 0.95);
    report_.Value("floods.targets.flooder_over_most_largest", flooderOverMost_);
    report_.Value("floods.targets.refused_at_balancer_part_least",
                  refusedEarly_);
    report_.AtLeast(
      "reports.others_got_over_promised_least", reportsLeast_, 0.99);
    report_.AtMost("full.distance_to_central_largest", distance_, 0.02);
    report_.AtLeast("full.utilisation_least", utilisation_, 0.97);
  }

  Options options_;
  Report report_;
  std::array<Least, kPolicies.size()> least_{};
  double flooderOverMost_{};
  double distance_{};
  double utilisation_{ 1.0 };
  double reportsLeast_{ 1.0 };
  double refusedEarly_{ 1.0 };
};

} // namespace

int
main(int aCount, char** aArguments)
{
  const auto options = ParseOptions(aCount, aArguments);
  if (!options.valid_) {
    return 2;
  }
  return Classes(options).Run();
}
