#include "ownership/tests/modelworld.h"

#include <doctest/doctest.h>

#include <cstdlib>

using namespace std::chrono_literals;

namespace {

// Runs one schedule: faults, then a quiet time in which all must recover.
void runSchedule(std::uint64_t Seed) {
  CAPTURE(Seed);
  ownership::ModelWorld World(Seed);
  std::size_t ValidSum = 0;
  std::size_t Steps = 0;
  while (World.elapsed() < 300s && World.violation().empty()) {
    World.step(true);
    ValidSum += World.validShards();
    ++Steps;
  }
  while (World.elapsed() < 420s && World.violation().empty())
    World.step(false);
  REQUIRE_MESSAGE(World.violation().empty(), World.violation());
  CHECK(World.validShards() == ownership::kShardsPerDataCentre);
  MESSAGE("seed " << Seed << ": " << World.recordCount() << " records, "
                  << 100 * ValidSum / (Steps * ownership::kShardsPerDataCentre)
                  << " % of shard time with a valid owner under faults");
}

} // namespace

TEST_CASE("no schedule of faults gives a shard two valid owners, and all "
          "shards have an owner again after the faults") {
  for (std::uint64_t Seed = 1; Seed <= 12; ++Seed)
    runSchedule(Seed);
  const char *Given = std::getenv("JACKDAW_TEST_SEED");
  runSchedule(Given ? std::strtoull(Given, nullptr, 10)
                    : std::random_device()());
}
