#include "relay/fleetsecret.h"

#include "relay/peerdiscovery.h"
#include "relay/tests/scriptedbackend.h"
#include "relay/tests/testfleet.h"

#include <doctest/doctest.h>

#include <set>

using namespace std::chrono_literals;

namespace {

const base::SystemClock kSystemClock;

/// Four daemons and a store that has a copy of the time before their start.
struct Fixture {
  Fixture() {
    Fleet.store().saveCopy();
    for (int Count = 0; Count < kDaemons; ++Count)
      Fleet.addDaemon("back", Server.url());
    Fleet.publish(simplePolicy("back"));
    Fleet.waitUntilConnected();
  }

  std::vector<std::string> secrets() const {
    return Fleet.store().valuesOf(relay::kFleetStream, relay::kSecretKey);
  }

  /// The store comes back, and the operator writes the policy again.
  void returnToCopy() {
    Fleet.store().returnToCopy();
    Fleet.put(simplePolicy("back"));
  }

  static constexpr int kDaemons = 4;
  ScriptedBackend Server{[](const std::string &Request) {
    return ScriptedBackend::Reaction{successFor(Request)};
  }};
  mutable TestFleet Fleet;
};

} // namespace

// Guards against two fleets that don't know of each other: the secret is gone
// from the store, and a daemon that starts later creates another one.
TEST_CASE_FIXTURE(Fixture, "a daemon that starts after the store came back "
                           "from an older copy joins the others") {
  const std::string Secret = secrets().front();
  SUBCASE("once") { returnToCopy(); }
  SUBCASE("twice in a row") {
    returnToCopy();
    Fleet.runFor(600ms);
    returnToCopy();
  }
  SUBCASE("before the others have noticed") {
    returnToCopy();
    Fleet.restartDaemon(0);
  }
  Fleet.runFor(2s);
  Fleet.restartDaemon(1);
  Fleet.restartDaemon(2);
  const std::vector<std::string> Stored = secrets();
  CHECK(std::set<std::string>(Stored.begin(), Stored.end()) ==
        std::set<std::string>{Secret});
}

// Guards against a fleet whose announcements are gone: a daemon that starts
// later counts too few others for a majority.
TEST_CASE_FIXTURE(Fixture, "each daemon announces itself again after the store "
                           "came back from an older copy") {
  returnToCopy();
  Fleet.runFor(2s);
  for (int Index = 0; Index < kDaemons; ++Index)
    CHECK(Fleet.store()
              .valuesOf(relay::kFleetStream,
                        relay::announcementKey(base::InstanceId(
                            Fleet.nameOf(static_cast<std::size_t>(Index)))))
              .size() == 1);
}

// Guards against two secrets that stay in use, if a daemon that could not know
// of the first has created a second one.
TEST_CASE_FIXTURE(Fixture, "a secret that was created later gives way") {
  const std::string Secret = secrets().front();
  returnToCopy();
  const std::string Later =
      relay::makeFleetSecret(base::StoreEra(2), kSystemClock.wallNow());
  Fleet.store().put(relay::kFleetStream, relay::kSecretKey, Later);
  Fleet.replaceProcess(0);
  Fleet.waitFor([&] { return secrets().back() == Secret; });
  // The daemon that has read the later secret follows with its next poll.
  Fleet.runFor(4s);
  Fleet.waitFor([&] { return Fleet.daemon(0).reachableDaemons() == kDaemons; });
}

// Guards against daemons that disagree on which of two secrets to use.
TEST_CASE("fleet secrets are ordered by era, then by time of creation") {
  const base::WallTime Now = kSystemClock.wallNow();
  const auto Secret = [&](std::uint64_t Era, std::chrono::microseconds Ago) {
    return relay::makeFleetSecret(base::StoreEra(Era), Now - Ago);
  };
  CHECK(relay::precedesSecret(Secret(9, 0s), Secret(10, 1h)));
  CHECK(relay::precedesSecret(Secret(9, 1s), Secret(9, 0s)));
  CHECK(relay::precedesSecret("without a time", Secret(0, 1h)));
  CHECK_FALSE(relay::precedesSecret(Secret(2, 0s), Secret(2, 1us)));
  const std::string One = Secret(1, 0s);
  const std::string Other = Secret(1, 0s);
  CHECK(relay::precedesSecret(One, Other) != relay::precedesSecret(Other, One));
  CHECK_FALSE(relay::precedesSecret(One, One));
}
