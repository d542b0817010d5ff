#include "ownership/tests/simulation.h"

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

TEST_CASE("the successor of a dead owner serves again in about 15 s") {
  for (std::uint64_t Seed = 1; Seed <= 3; ++Seed) {
    ownership::ModelWorld World(Seed);
    while (World.validShards() < ownership::kShardsPerDataCentre) {
      World.step(false);
      REQUIRE(World.elapsed() < 60s);
    }
    const base::Duration Started = World.elapsed();
    World.killOwner();
    while (World.validShards() < ownership::kShardsPerDataCentre) {
      World.step(false);
      REQUIRE(World.elapsed() < Started + 20s);
    }
    MESSAGE("seed " << Seed << ": all shards owned after " << Started / 1ms
                    << " ms, again " << (World.elapsed() - Started) / 1ms
                    << " ms after an owner died");
  }
}

TEST_CASE("no schedule of faults gives a shard two valid owners, and all "
          "shards have an owner again after the faults") {
  for (std::uint64_t Seed = 1; Seed <= 12; ++Seed)
    runSchedule(Seed);
  const char *Given = std::getenv("JACKDAW_TEST_SEED");
  runSchedule(Given ? std::strtoull(Given, nullptr, 10)
                    : std::random_device()());
}
