#include <cstdio>

#include "support/flows_schedule.hpp"
#include "support/report.hpp"

using namespace cornelshore;
using namespace cornelshore::bench;

int
main(int aCount, char** aArguments)
{
  const auto options = ParseOptions(aCount, aArguments);
  if (!options.valid_) {
    return 2;
  }
  flows::Tally tally;
  const auto schedules = options.SchedulesOr(200);
  for (std::uint64_t index = 0; index < schedules; ++index) {
    flows::Plan plan;
    const auto seed = HashPair(options.seed_, index);
    Random random(seed);
    plan.site_ = index % 2 == 0 ? flows::kTartu : flows::kAntioquia;
    plan.changes_ = 3 + random.Below(12);
    plan.firstChange_ = flows::seconds(random.Below(2) == 0 ? 10 : 40);
    plan.disturbance_.spread_ = flows::milliseconds(100 + random.Below(3900));
    const auto before = tally.Broken() + tally.twoUpstreams_ +
                        tally.wrongService_ + tally.openingsReset_;
    flows::Schedule(plan, seed, tally).Run();
    const auto after = tally.Broken() + tally.twoUpstreams_ +
                       tally.wrongService_ + tally.openingsReset_;
    if (after != before) {
      std::printf("bad index=%lu seed=%lu\n", index, seed);
    }
  }
  Report report;
  report.Value("schedules", static_cast<double>(tally.schedules_));
  report.Value("changes", static_cast<double>(tally.changes_));
  report.Value("flows", static_cast<double>(tally.flows_));
  report.Value("opened", static_cast<double>(tally.opened_));
  report.Value("packets", static_cast<double>(tally.packets_));
  report.Value("resent", static_cast<double>(tally.resent_));
  report.AtMost(
    "broken_by_reset", static_cast<double>(tally.brokenByReset_), 0);
  report.AtMost(
    "broken_by_other_host", static_cast<double>(tally.brokenByOtherHost_), 0);
  report.AtMost(
    "broken_by_stall", static_cast<double>(tally.brokenByStall_), 0);
  report.AtMost("two_upstreams", static_cast<double>(tally.twoUpstreams_), 0);
  report.AtMost("wrong_service", static_cast<double>(tally.wrongService_), 0);
  report.AtMost("openings_reset", static_cast<double>(tally.openingsReset_), 0);
  report.Value("naive_broken", static_cast<double>(tally.naiveBroken_));
  report.Value("longest_stall_s",
               static_cast<double>(tally.longestStall_.count()) / 1e6);
  report.Value("new_after_leave_s",
               static_cast<double>(tally.newAfterLeave_.count()) / 1e6);
  report.Value("sent_after_leave_s",
               static_cast<double>(tally.sentAfterLeave_.count()) / 1e6);
  for (int i = 0; i < 20; ++i)
    std::printf("hops%d=%lu\n", i, tally.hops_[i]);
  return report.ExitCode();
}
