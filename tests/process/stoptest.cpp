#include "process/matrixarena.h"

#include <doctest/doctest.h>

using namespace process;

namespace {

using namespace std::chrono_literals;

/// Time after which a leaving backend server must get no new work.
constexpr auto kDrainTarget = 3s;
/// Longer than ownership stays valid without the log.
constexpr auto kLongOutage = 8s;
constexpr int kCallers = 4;

struct StopFleet {
  StopFleet()
      : Entry(All.addDaemon({.Instance = "entry"})),
        Leaving(All.addDaemon({.Instance = "leaving",
                               .Service = "bookings",
                               .Flags = {"--drain-ms", "15000"}})),
        Staying(All.addDaemon({.Instance = "staying", .Service = "bookings"})) {
    All.configure(
        {{"fleet.toml", fleetFile()}, {"bookings.toml", serviceFile()}});
    LeavingBackend = &All.addBackend(Leaving);
    StayingBackend = &All.addBackend(Staying);
    for (const char *Instance : {"leaving", "staying"})
      REQUIRE(waitUntil([&] { return Entry.sees(Instance); }));
    REQUIRE(Fleet::serves(Entry, "/bookings/open"));
  }

  Fleet All;
  DaemonUnderTest &Entry;
  DaemonUnderTest &Leaving;
  DaemonUnderTest &Staying;
  BackendUnderTest *LeavingBackend = nullptr;
  BackendUnderTest *StayingBackend = nullptr;
};

} // namespace

TEST_SUITE_BEGIN("stop");

// Guards against daemons that exit while requests are still being answered.
TEST_CASE_FIXTURE(StopFleet,
                  "a planned stop of the entry daemon lets a running "
                  "request end") {
  LeavingBackend->setWorkTime(2s);
  StayingBackend->setWorkTime(2s);
  DaemonUnderTest &Stopping =
      All.addDaemon({.Instance = "stopping", .Flags = {"--drain-ms", "0"}});
  REQUIRE(Fleet::serves(Stopping, "/bookings/open"));
  Answer Received;
  std::thread Caller([&] {
    Received =
        send(Stopping.callerUrl(), {"POST", "/bookings/open", "", {}, "body"});
  });
  const bool Running =
      waitUntil([&] { return Stopping.status("calls_open") == 1; });
  Stopping.process().signal(SIGTERM);
  Caller.join();
  CHECK(Running);
  CHECK(Received.Outcome == "ran");
  CHECK(Received.Body == "bookings POST /open body\n");
  CHECK(Stopping.process().waitForExit() == 0);
}

// Guards against connections that the system has accepted for a stopping daemon
// and that are reset when it closes its listening socket.
TEST_CASE_FIXTURE(StopFleet, "a planned stop of the entry daemon cuts no "
                             "request while new connections arrive") {
  DaemonUnderTest &Stopping =
      All.addDaemon({.Instance = "stopping", .Flags = {"--drain-ms", "300"}});
  REQUIRE(Fleet::serves(Stopping, "/bookings/open"));
  std::mutex Mutex;
  std::vector<std::string> Cut;
  std::vector<std::thread> Callers;
  Callers.reserve(kCallers);
  for (int Caller = 0; Caller < kCallers; ++Caller)
    Callers.emplace_back([&] {
      for (;;) {
        const Answer Received =
            send(Stopping.callerUrl(), {"POST", "/bookings/open", "", {}, ""});
        if (Received.Arrival == http::ExchangeStatus::NotSent)
          return;
        if (Received.whole())
          continue;
        std::lock_guard Lock(Mutex);
        Cut.push_back(Received.Detail);
      }
    });
  Stopping.process().signal(SIGTERM);
  for (std::thread &Each : Callers)
    Each.join();
  CHECK(Stopping.process().waitForExit() == 0);
  CAPTURE(Cut.size());
  CHECK((Cut.empty() ? "" : Cut.front()) == "");
}

// Guards against entry daemons that go on choosing a leaving backend server.
TEST_CASE_FIXTURE(StopFleet, "a leaving backend server gets no new work after "
                             "3 s") {
  Load Callers({Entry.callerUrl()}, kCallers);
  REQUIRE(Callers.serveMore(kCallers));
  Leaving.process().signal(SIGTERM);
  REQUIRE(waitUntil([&] { return !Entry.sees("leaving"); }, kDrainTarget));
  // Requests that were routed before the entry daemon knew end meanwhile.
  REQUIRE(Callers.serveMore(4 * kCallers));
  const auto Before = LeavingBackend->executions().size();
  REQUIRE(Callers.serveMore(50 * kCallers));
  CHECK(LeavingBackend->executions().size() == Before);
  for (const Exchange &Each : Callers.stop())
    CHECK(Each.Received.whole());
}

// Guards against permits and routing that depend on the log.
TEST_CASE_FIXTURE(StopFleet, "requests with a key run through a log outage "
                             "that outlasts ownership without the log") {
  REQUIRE(Fleet::serves(Entry, "/bookings/orders", kGoldKey));
  All.logFault("outage=1");
  const auto End = std::chrono::steady_clock::now() + kLongOutage;
  while (std::chrono::steady_clock::now() < End)
    REQUIRE(Fleet::serves(Entry, "/bookings/orders", kGoldKey));
  const std::string Shards = page(Leaving.administrationUrl(), "/shards") +
                             page(Staying.administrationUrl(), "/shards") +
                             page(Entry.administrationUrl(), "/shards");
  CHECK(Shards.find("valid here") != std::string::npos);
}

TEST_SUITE_END();
