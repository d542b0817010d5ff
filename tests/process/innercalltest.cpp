#include "process/fleet.h"

#include <doctest/doctest.h>

using namespace process;

namespace {

constexpr int kOrders = 20;

/// Services a, b and c, each of which calls the next.
struct ChainFleet {
  ChainFleet() : Entry(All.addDaemon({.Instance = "entry"})) {
    Files Content{{"fleet.toml", fleetFile()}};
    for (const std::string Service : {"a", "b", "c"}) {
      All.addDaemon({.Instance = "daemon-" + Service, .Service = Service});
      Content[Service + ".toml"] = serviceFile();
    }
    All.configure(Content);
    First = &All.addBackend(*All.daemons()[1], {"--calls", "b/pages"});
    All.addBackend(*All.daemons()[2], {"--calls", "c/pages"});
    All.addBackend(last());
    REQUIRE(waitUntil([this] { return order("warm").Status == 200; }));
  }

  DaemonUnderTest &last() { return *All.daemons()[3]; }

  Answer order(const std::string &Order) const {
    return send(Entry.callerUrl(),
                {"POST", "/a/open", "", {{"X-Order", Order}}, ""});
  }

  Fleet All;
  DaemonUnderTest &Entry;
  BackendUnderTest *First = nullptr;
};

} // namespace

TEST_SUITE_BEGIN("inner calls");

// Guards against refusals of an inner call that reach the caller as "not run"
// although the outer service has run.
TEST_CASE_FIXTURE(ChainFleet, "a chain of three services is served, and a "
                              "refused inner call makes no \"not run\" a lie") {
  const Answer Whole = order("whole");
  CHECK(Whole.Outcome == "ran");
  CHECK(Whole.Body == "a /open\nb /pages\nc GET /pages \n");

  last().process().kill();
  for (int Number = 0; Number < kOrders; ++Number) {
    const std::string Order = "refused" + std::to_string(Number);
    const Answer Refused = order(Order);
    CAPTURE(Refused.Error);
    CHECK(Refused.Status != 200);
    const bool Executed = First->executions().contains(Order);
    CHECK(Executed == (Refused.Outcome != "not-run"));
  }
}

TEST_SUITE_END();
