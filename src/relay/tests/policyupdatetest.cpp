#include "relay/tests/scriptedbackend.h"
#include "relay/tests/testfleet.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace std::chrono_literals;

namespace {

/// Within the platform's bound of 2.5 s, with room for a slow store.
constexpr base::Duration kAdoptionLimit = 1500ms;

/// Four daemons of one data centre.
struct Fixture {
  Fixture() {
    for (int Count = 0; Count < 4; ++Count)
      Fleet.addDaemon("back", Server.url());
    Fleet.publish(policy(1));
    Fleet.waitUntilConnected();
    Fleet.runFor(1s);
  }

  /// A policy with a route that only its version has.
  static config::FleetPolicyContent policy(std::uint64_t Version) {
    config::FleetPolicyContent Result = simplePolicy("back", Version);
    for (config::HostRoute &Each : Result.Routes)
      Each.OpenToAll = true;
    Result.Routes.front().Prefix = pathOf(Version);
    return Result;
  }

  static std::string pathOf(std::uint64_t Version) {
    return "/version-" + std::to_string(Version) + "/";
  }

  bool hasAdopted(std::size_t Index, std::uint64_t Version) {
    return Fleet.sendAndWait(Index, callerRequest("GET", pathOf(Version)))
               .Response.Status == 200;
  }

  /// Publishes a policy and returns how long the daemons that aren't cut off
  /// take to adopt it.
  base::Duration adoptionTime(std::uint64_t Version,
                              const std::vector<std::size_t> &Cut) {
    const eventloop::EventLoop &Loop = Fleet.loop();
    Fleet.put(policy(Version));
    const base::BootTime Published = Loop.clock().now();
    for (std::size_t Index = 0; Index < 4; ++Index)
      if (std::find(Cut.begin(), Cut.end(), Index) == Cut.end())
        Fleet.waitFor([&] { return hasAdopted(Index, Version); });
    return Loop.clock().now() - Published;
  }

  /// The store goes back to its last copy. The operator then writes the newest
  /// policy again.
  void returnToCopy(std::uint64_t Newest) {
    Fleet.store().returnToCopy();
    Fleet.put(policy(Newest));
  }

  ScriptedBackend Server{[](const std::string &Request) {
    return ScriptedBackend::Reaction{successFor(Request)};
  }};
  TestFleet Fleet;
};

} // namespace

// Guards against daemons that stay on an old policy because the one that reads
// for their data centre is cut off from the store.
TEST_CASE_FIXTURE(Fixture,
                  "a new policy is adopted in time whichever daemon is "
                  "cut off from the store") {
  std::uint64_t Version = 1;
  for (std::size_t Cut = 0; Cut < 4; ++Cut) {
    CAPTURE(Cut);
    Fleet.cutStore(Cut, true);
    CHECK(adoptionTime(++Version, {Cut}) < kAdoptionLimit);
    Fleet.runFor(300ms);
    CHECK(adoptionTime(++Version, {Cut}) < kAdoptionLimit);
    Fleet.cutStore(Cut, false);
    Fleet.runFor(1s);
    CHECK(adoptionTime(++Version, {}) < kAdoptionLimit);
  }
}

// Guards against the same where the store turns most daemons away.
TEST_CASE_FIXTURE(Fixture, "a new policy is adopted in time by the only daemon "
                           "that reaches the store") {
  std::uint64_t Version = 1;
  for (std::size_t Left = 0; Left < 4; ++Left) {
    CAPTURE(Left);
    std::vector<std::size_t> Cut;
    for (std::size_t Index = 0; Index < 4; ++Index)
      if (Index != Left)
        Cut.push_back(Index);
    for (const std::size_t Each : Cut)
      Fleet.cutStore(Each, true);
    CHECK(adoptionTime(++Version, Cut) < kAdoptionLimit);
    for (const std::size_t Each : Cut)
      Fleet.cutStore(Each, false);
    Fleet.runFor(1s);
  }
}

// Guards against daemons that keep their position in a stream after the store
// has come back from an older copy, and so pass over the next policies, whose
// offsets they believe to have read.
TEST_CASE_FIXTURE(Fixture, "a policy is adopted in time after the store came "
                           "back from an older copy") {
  Fleet.store().saveCopy();
  Fleet.runFor(100ms);
  std::uint64_t Version = 1;
  for (; Version < 4; ++Version)
    adoptionTime(Version + 1, {});
  returnToCopy(Version);
  SUBCASE("once") {}
  SUBCASE("twice in a row") {
    Fleet.runFor(50ms);
    returnToCopy(Version);
  }
  SUBCASE("twice, with policies in between") {
    Fleet.runFor(2s);
    for (int Count = 0; Count < 6; ++Count)
      adoptionTime(++Version, {});
    returnToCopy(Version);
  }
  SUBCASE("while a daemon is cut off from the store") {
    Fleet.cutStore(0, true);
    returnToCopy(Version);
    Fleet.runFor(2s);
    Fleet.cutStore(0, false);
  }
  Fleet.runFor(2s);
  CHECK(adoptionTime(++Version, {}) < kAdoptionLimit);
  CHECK(adoptionTime(++Version, {}) < kAdoptionLimit);
}

// Guards against daemons that go back to the policy of an older copy of the
// store, which lacks a later one with a withdrawn route.
TEST_CASE_FIXTURE(Fixture, "a daemon keeps its policy while the store has only "
                           "an older one") {
  Fleet.store().saveCopy();
  adoptionTime(2, {});
  Fleet.store().returnToCopy();
  Fleet.runFor(2s);
  for (std::size_t Index = 0; Index < 4; ++Index)
    CHECK(hasAdopted(Index, 2));
}
