#include "relay/peerservertable.h"

#include <doctest/doctest.h>

using namespace std::chrono_literals;

namespace {

const relay::ServerIncarnation kServer{"server", 1};
const relay::ServerIncarnation kRestarted{"server", 2};

struct Fixture {
  void apply(const relay::ServerIncarnation &Server,
             std::optional<base::RequestRate> RateLimit, bool Leaving) {
    Table.apply(Instance, {Server, RateLimit, Leaving, 0});
  }

  const base::InstanceId Instance{"a"};
  base::ManualClock Clock;
  relay::PeerServerTable Table{Clock};
};

} // namespace

TEST_CASE_FIXTURE(Fixture, "a daemon is reminded of the last limit that its "
                           "server stated") {
  CHECK(!Table.reminderFor(Instance));
  apply(kServer, base::RequestRate{10}, false);
  apply(kServer, base::RequestRate{20}, false);
  REQUIRE(Table.reminderFor(Instance));
  CHECK(Table.reminderFor(Instance)->RateLimit == base::RequestRate{20});
  CHECK(Table.reminderFor(Instance)->Server == kServer);
  apply(kServer, std::nullopt, false);
  CHECK(!Table.reminderFor(Instance));
}

// Guards against a restarted daemon whose ignorance makes the others forget
// that its server is leaving.
TEST_CASE_FIXTURE(Fixture, "a server that is leaving stays so until another "
                           "process replaces it") {
  apply(kServer, std::nullopt, true);
  apply(kServer, std::nullopt, false);
  REQUIRE(Table.reminderFor(Instance));
  CHECK(Table.reminderFor(Instance)->Leaving);
  apply(kRestarted, std::nullopt, false);
  CHECK(!Table.reminderFor(Instance));
}

TEST_CASE_FIXTURE(Fixture, "entries of servers that are long gone are "
                           "removed") {
  apply(kServer, std::nullopt, true);
  Clock.advance(2h);
  Table.apply(base::InstanceId("b"), {kServer, base::RequestRate{1}, false, 0});
  CHECK(!Table.reminderFor(Instance));
}
