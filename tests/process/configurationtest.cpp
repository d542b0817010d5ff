#include "process/fleet.h"

#include <doctest/doctest.h>

#include <thread>

using namespace process;

namespace {

/// Time in which an accepted configuration must be in force everywhere.
constexpr std::chrono::seconds kAdoptionTarget(10);

constexpr int kDaemons = 5;

struct LargerFleet {
  LargerFleet() {
    for (int Number = 0; Number < kDaemons; ++Number)
      All.addDaemon({.Instance = "daemon" + std::to_string(Number)});
    All.configure(
        {{"fleet.toml", fleetFile()}, {"bookings.toml", serviceFile()}});
    REQUIRE(waitUntil([this] { return allSeeAll(); }));
  }

  bool allSeeAll() {
    for (const auto &Each : All.daemons())
      for (const auto &Other : All.daemons())
        if (!Each->sees(Other->Place.Instance))
          return false;
    return true;
  }

  bool allHaveWorkspace(const std::string &Workspace) {
    for (const auto &Each : All.daemons())
      if (page(Each->administrationUrl(), "/configuration")
              .find("workspace " + Workspace) == std::string::npos)
        return false;
    return true;
  }

  int publishWith(const std::string &Workspace) const {
    return All.publish(
        {{"bookings.toml", serviceFile({{Workspace, "key-of-" + Workspace}})}});
  }

  Fleet All;
};

} // namespace

TEST_SUITE_BEGIN("configuration");

// Guards against daemons that learn of configuration only from the log, of
// which just two per data centre read.
TEST_CASE_FIXTURE(LargerFleet,
                  "configuration reaches every daemon within 10 s, and a new "
                  "one from its seeds while the log is down") {
  REQUIRE(publishWith("silver") == 0);
  CHECK(waitUntil([&] { return allHaveWorkspace("silver"); }, kAdoptionTarget));

  All.logFault("outage=1");
  All.addDaemon({.Instance = "late", .SeedsOfFleet = true});
  CHECK(waitUntil([&] { return allHaveWorkspace("silver"); }, kAdoptionTarget));
}

// Guards against versions that go back when operators race while the log is
// slow and loses responses.
TEST_CASE_FIXTURE(LargerFleet, "a configuration version never goes back") {
  std::atomic<bool> Stopping = false;
  std::atomic<int> Reverts = 0;
  std::vector<std::thread> Watchers;
  Watchers.reserve(All.daemons().size());
  for (const auto &Each : All.daemons())
    Watchers.emplace_back([&] {
      long long Highest = 0;
      while (!Stopping) {
        const long long Version = Each->status("configuration");
        if (Version < Highest)
          ++Reverts;
        Highest = std::max(Highest, Version);
      }
    });
  for (const char *Change : {"delay_ms=100", "lose_responses=1",
                             "silence_open=1", "lose_responses=0"}) {
    All.logFault(Change);
    std::thread Other([&] { publishWith("copper"); });
    publishWith("zinc");
    Other.join();
  }
  All.logFault("delay_ms=0");
  const bool Published = waitUntil([&] { return publishWith("iron") == 0; });
  const bool Adopted =
      waitUntil([&] { return allHaveWorkspace("iron"); }, kAdoptionTarget);
  Stopping = true;
  for (std::thread &Each : Watchers)
    Each.join();
  CHECK(Published);
  CHECK(Adopted);
  CHECK(Reverts == 0);
}

TEST_SUITE_END();
