#include "process/fleet.h"

#include <doctest/doctest.h>

#include <thread>

using namespace process;

namespace {

/// Time within which every daemon must adopt an accepted configuration.
constexpr std::chrono::seconds kAdoptionTarget(10);

constexpr int kDaemons = 5;

/// A fleet with more daemons than the two per data centre that read the log.
struct LargerFleet {
  LargerFleet() {
    for (int Number = 0; Number < kDaemons; ++Number)
      Fleet.addDaemon({.Instance = "daemon" + std::to_string(Number)});
    Fleet.configure(
        {{"fleet.toml", fleetFile()}, {"bookings.toml", serviceFile()}});
    REQUIRE(waitUntil([this] { return allMembersUsable(); }));
  }

  bool allMembersUsable() {
    for (const auto &Each : Fleet.daemons())
      for (const auto &Other : Fleet.daemons())
        if (!Each->hasUsableMember(Other->Options.Instance))
          return false;
    return true;
  }

  bool allHaveWorkspace(const std::string &Workspace) {
    for (const auto &Each : Fleet.daemons())
      if (fetchPage(Each->administrationUrl(), "/configuration")
              .find("workspace " + Workspace) == std::string::npos)
        return false;
    return true;
  }

  int publishWith(const std::string &Workspace) const {
    return Fleet.publish(
        {{"bookings.toml", serviceFile({{Workspace, "key-of-" + Workspace}})}});
  }

  FleetUnderTest Fleet;
};

} // namespace

TEST_SUITE_BEGIN("configuration");

// Guards against daemons that receive configuration only from the log: just two
// daemons per data centre read it, the others must get it from peers.
TEST_CASE_FIXTURE(LargerFleet,
                  "configuration reaches every daemon within 10 s, and a new "
                  "daemon gets it from its seeds while the log is down") {
  REQUIRE(publishWith("silver") == 0);
  CHECK(waitUntil([&] { return allHaveWorkspace("silver"); }, kAdoptionTarget));

  Fleet.setLogFault("outage=1");
  Fleet.addDaemon({.Instance = "late", .UseFleetAsSeeds = true});
  CHECK(waitUntil([&] { return allHaveWorkspace("silver"); }, kAdoptionTarget));
}

// Guards against daemons that return to an older configuration version when
// operators publish concurrently while the log is slow and loses responses.
TEST_CASE_FIXTURE(LargerFleet,
                  "the configuration version of a daemon never decreases") {
  std::atomic<bool> Stopping = false;
  std::atomic<int> Reverts = 0;
  std::vector<std::thread> Watchers;
  Watchers.reserve(Fleet.daemons().size());
  for (const auto &Each : Fleet.daemons())
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
    Fleet.setLogFault(Change);
    std::thread Other([&] { publishWith("copper"); });
    publishWith("zinc");
    Other.join();
  }
  Fleet.setLogFault("delay_ms=0");
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
