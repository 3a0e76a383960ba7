#include <bench/support/control_consensus.hpp>
#include <bench/support/report.hpp>

#include <bench/support/control_dissemination.hpp>

/**
 * @brief Measures control: the log under faults, the cost of a change,
 * recovery, and the spread of what was accepted.
 */
int
main(int aCount, char** aArguments)
{
  const auto options = cornelshore::bench::ParseOptions(aCount, aArguments);
  if (!options.valid_) {
    return 2;
  }
  cornelshore::bench::Report report;
  cornelshore::bench::MeasureConsensus(options, report);
  cornelshore::bench::MeasureDissemination(report, options);
  return report.ExitCode();
}
