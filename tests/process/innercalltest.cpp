#include "process/fleet.h"

#include <doctest/doctest.h>

using namespace process;

namespace {

constexpr int kOrders = 20;

/// Services a, b and c, where a calls b and b calls c.
struct ChainFleet {
  ChainFleet() : Entry(Fleet.addDaemon({.Instance = "entry"})) {
    Files Content{{"fleet.toml", fleetFile()}};
    for (const std::string Service : {"a", "b", "c"}) {
      Fleet.addDaemon({.Instance = "daemon-" + Service, .Service = Service});
      Content[Service + ".toml"] = serviceFile();
    }
    Fleet.configure(Content);
    First = &Fleet.addBackend(*Fleet.daemons()[1], {"--calls", "b/pages"});
    Fleet.addBackend(*Fleet.daemons()[2], {"--calls", "c/pages"});
    Fleet.addBackend(last());
    REQUIRE(waitUntil([this] { return order("warm").Status == 200; }));
  }

  DaemonUnderTest &last() { return *Fleet.daemons()[3]; }

  Response order(const std::string &Order) const {
    return send(Entry.callerUrl(),
                {"POST", "/a/open", "", {{"X-Order", Order}}, ""});
  }

  FleetUnderTest Fleet;
  DaemonUnderTest &Entry;
  BackendUnderTest *First = nullptr;
};

} // namespace

TEST_SUITE_BEGIN("inner calls");

// Guards against a refused inner call that is reported to the caller as
// "not-run" although the outer service was executed.
TEST_CASE_FIXTURE(ChainFleet, "a chain of three services is served, and a "
                              "refused inner call is not reported as "
                              "\"not-run\" if the outer service ran") {
  const Response Complete = order("whole");
  CHECK(Complete.Outcome == "ran");
  CHECK(Complete.Body == "a /open\nb /pages\nc GET /pages \n");

  last().process().kill();
  for (int Number = 0; Number < kOrders; ++Number) {
    const std::string Order = "refused" + std::to_string(Number);
    const Response Refused = order(Order);
    CAPTURE(Refused.Error);
    CHECK(Refused.Status != 200);
    const bool Executed = First->executions().contains(Order);
    CHECK(Executed == (Refused.Outcome != "not-run"));
  }
}

TEST_SUITE_END();
