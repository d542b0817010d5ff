#include "metrics.h"
#include "scenario.h"
#include "simulation.h"

#include <tclap/CmdLine.h>

#include <cstdio>
#include <exception>
#include <vector>

namespace {

using bench::Scenario;
using bench::Variant;

const std::vector<Scenario> kScenarios{
    {"no trigger"},
    {.Name = "deep service 5x slower", .LastServiceSlowdown = 5},
    {.Name = "same, 4 deep calls",
     .LastServiceSlowdown = 5,
     .LastServiceCalls = 4},
    {.Name = "same, half avoid it",
     .LastServiceSlowdown = 5,
     .ShortRouteFraction = 0.5},
    {.Name = "demand 3x", .DemandFactor = 3},
    {.Name = "2x slower, hard retries",
     .LastServiceSlowdown = 2,
     .MaxRetries = 20,
     .RetryAfterMs = 10},
    {.Name = "one workspace 20x", .LastWorkspaceFactor = 20},
    {.Name = "all together",
     .LastServiceSlowdown = 5,
     .DemandFactor = 3,
     .LastWorkspaceFactor = 20,
     .MaxRetries = 20,
     .RetryAfterMs = 10},
};

const std::vector<Variant> kVariants{
    {"without", false, false, false, false},
    {"limit and queue", true, true, false, false},
    {"no adjustment", true, true, true, false},
    {"with", true, true, true, true},
};

void printRow(const Scenario &Case, const Variant &Mechanisms,
              std::uint32_t Seed) {
  bench::Simulation Simulation(Case, Mechanisms, Seed);
  const bench::Figures Row = bench::evaluate(Case, Simulation.run());
  std::printf("| %-23s | %-15s | %5.1f | %5.1f | ", Case.Name.c_str(),
              Mechanisms.Name.c_str(), 100 * Row.RelativeGoodput,
              100 * Row.LowestWorkspaceGoodput);
  if (Row.RecoverySeconds)
    std::printf("%5.1f", *Row.RecoverySeconds);
  else
    std::printf("%5s", "never");
  std::printf(" | %5.1f | %5.1f | %5.1f | %5.1f |\n", 100 * Row.LostWithinShare,
              100 * Row.LostOfClass[0], 100 * Row.LostOfClass[1],
              100 * Row.LostOfClass[2]);
}

} // namespace

int main(int Count, char **Arguments) {
  try {
    TCLAP::CmdLine Line("Overload control benchmark", ' ', "1");
    TCLAP::ValueArg<std::uint32_t> Seed(
        "", "seed", "Seed of the random numbers", false, 1, "number", Line);
    Line.parse(Count, Arguments);
    std::printf("seed %u; all columns in %% except recovery in s\n\n",
                Seed.getValue());
    std::printf("| scenario                | mechanisms      | good  | worst | "
                "recov | wrong | crit  | norm  | backg |\n");
    std::printf("|---|---|---|---|---|---|---|---|---|\n");
    for (const Scenario &Case : kScenarios)
      for (const Variant &Mechanisms : kVariants)
        printRow(Case, Mechanisms, Seed.getValue());
  } catch (const std::exception &Failure) {
    std::fprintf(stderr, "overload_bench: %s\n", Failure.what());
    return 1;
  }
  return 0;
}
