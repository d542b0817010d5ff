#include "ratelimit/tests/simulation.h"

#include <doctest/doctest.h>

#include <cstdlib>

using namespace ratelimit;
using namespace std::chrono_literals;

namespace {

std::vector<double> evenLoad(double Total) {
  return std::vector<double>(Simulation::kDaemons,
                             Total / Simulation::kDaemons);
}

// All load enters at the daemons of one data centre.
std::vector<double> loadInDataCentre(std::size_t DataCentre, double Total) {
  std::vector<double> Rates(Simulation::kDaemons, 0);
  for (std::size_t Index = DataCentre; Index < Rates.size();
       Index += Simulation::kDataCentres)
    Rates[Index] = Total * Simulation::kDataCentres / Simulation::kDaemons;
  return Rates;
}

std::vector<double> loadAtOneDaemon(double Total) {
  std::vector<double> Rates(Simulation::kDaemons, 0);
  Rates[0] = Total;
  return Rates;
}

double percent(std::uint64_t Part, std::uint64_t Total) {
  return 100.0 * static_cast<double>(Part) / static_cast<double>(Total);
}

double report(const std::string &Name, const Limit &Total,
              const Simulation &Test) {
  const SimulationCounts &Counts = Test.counts();
  REQUIRE_MESSAGE(Test.violation().empty(), Test.violation());
  MESSAGE(Name << ", rate " << Total.RatePerSecond << ", burst " << Total.Burst
               << ": offered " << Counts.Offered << ", refused "
               << percent(Counts.Refused, Counts.Offered)
               << " %, by a central bucket "
               << percent(Counts.CentralRefused, Counts.Offered)
               << " %, messages per request "
               << static_cast<double>(Counts.Messages) /
                      static_cast<double>(Counts.Offered));
  return percent(Counts.Refused, Counts.Offered);
}

constexpr double kLoadFactors[] = {0, 0, 1, 8, 30};

// Alternates load spikes and pauses, which bring the uses close to the allowed
// maximum: a pause fills the buckets while pools still hold permits.
void runWithFaults(std::uint64_t Seed) {
  CAPTURE(Seed);
  std::mt19937_64 Random(Seed);
  const Limit Total{
      static_cast<double>(10 + Random() % (Seed % 3 == 0 ? 190 : 20)),
      static_cast<double>(1 + Random() % 150)};
  const SimulatedFaults Faults{Seed % 2 == 1, Seed / 2 % 2 == 1,
                               Seed / 4 % 2 == 1, Seed / 8 % 2 == 1};
  Simulation Test(Seed, Total, Faults);
  for (int Phase = 0; Phase < 200; ++Phase) {
    const double Load = Total.RatePerSecond * kLoadFactors[Random() % 5];
    const base::Duration Span =
        std::chrono::milliseconds(50 + Random() % (Load == 0 ? 1500 : 500));
    Test.run(Span, Random() % 2 == 0 ? evenLoad(Load)
                                     : loadInDataCentre(Random() % 3, Load));
  }
  report("faults", Total, Test);
}

// Percentage of refused requests at 80 % of the rate, without faults.
double refusedAt80Percent(const std::string &Name, const Limit &Total,
                          std::vector<double> (*Spread)(double),
                          base::Duration MaxWait = {}) {
  Simulation Test(7, Total, {});
  Test.setMaxWait(MaxWait);
  Test.run(60s, Spread(Total.RatePerSecond * 0.8));
  return report(Name, Total, Test);
}

// The same while the caller moves to another data centre every 5 s.
double refusedWhileMoving(const Limit &Total) {
  Simulation Test(7, Total, {});
  for (std::size_t Move = 0; Move < 12; ++Move)
    Test.run(5s, loadInDataCentre(Move % 3, Total.RatePerSecond * 0.8));
  return report("moving", Total, Test);
}

constexpr double kMaxRefusedPercent = 1;

} // namespace

TEST_CASE("uses stay within rate and burst in every window under loss, "
          "duplication, delay, pauses, restarts and limit changes") {
  for (std::uint64_t Seed = 1; Seed <= 32; ++Seed)
    runWithFaults(Seed);
  const char *SeedText = std::getenv("JACKDAW_TEST_SEED");
  runWithFaults(SeedText ? std::strtoull(SeedText, nullptr, 10)
                         : std::random_device()());
}

TEST_CASE("at 80 % of the rate without faults at most 1 % is refused") {
  const Limit Total{200, 200};
  CHECK(refusedAt80Percent("one daemon", Total, loadAtOneDaemon) <=
        kMaxRefusedPercent);
  CHECK(refusedAt80Percent("evenly", Total, evenLoad) <= kMaxRefusedPercent);
  CHECK(refusedWhileMoving(Total) <= kMaxRefusedPercent);
}

TEST_CASE("a burst smaller than the number of daemons works") {
  const Limit Total{20, 5};
  refusedAt80Percent("small burst, one daemon", Total, loadAtOneDaemon);
  refusedAt80Percent("small burst, evenly", Total, evenLoad);
  refusedAt80Percent("small burst, one daemon, waits up to 100 ms", Total,
                     loadAtOneDaemon, 100ms);
  refusedAt80Percent("small burst, evenly, waits up to 100 ms", Total, evenLoad,
                     100ms);
  Simulation Test(3, Total, {});
  Test.run(60s, evenLoad(4));
  CHECK(report("small burst, a fifth of the rate", Total, Test) <=
        kMaxRefusedPercent);
}
