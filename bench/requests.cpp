#include <bench/support/report.hpp>
#include <bench/support/requests_faults.hpp>

int
main(int aCount, char** aArguments)
{
  using namespace cornelshore::bench;
  const auto options = ParseOptions(aCount, aArguments);
  Findings sum;
  const auto ports = ProductPorts();
  const auto n = options.SchedulesOr(200);
  for (std::uint64_t i = 0; i < n; ++i) {
    Shape shape;
    shape.seed_ = options.seed_ + i;
    shape.ticketPool_ = i % 2 * 2;
    const auto f = RunSchedule(shape, ports, 2);
    if (f.Broken())
      std::printf("seed %llu: twice %llu notrun %llu bad %llu missing %llu\n",
                  (unsigned long long)shape.seed_,
                  (unsigned long long)f.ranTwice_,
                  (unsigned long long)f.notRunButRan_,
                  (unsigned long long)f.badAnswers_,
                  (unsigned long long)f.outcomesMissing_);
    sum += f;
  }
  std::printf(
    "req %llu ans %llu notrun %llu unknown %llu runs %llu broken %llu\n",
    (unsigned long long)sum.requests_,
    (unsigned long long)sum.answered_,
    (unsigned long long)sum.notRun_,
    (unsigned long long)sum.unknown_,
    (unsigned long long)sum.runs_,
    (unsigned long long)sum.Broken());
}
