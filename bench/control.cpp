#include <bench/support/control_consensus.hpp>
#include <bench/support/report.hpp>

#if __has_include(<bench/support/control_dissemination.hpp>)
#include <bench/support/control_dissemination.hpp>
#endif

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
#if __has_include(<bench/support/control_dissemination.hpp>)
  cornelshore::bench::MeasureDissemination(options, report);
#endif
  return report.ExitCode();
}
