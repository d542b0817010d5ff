#include "process/faultmatrix.h"
#include "process/slowcaller.h"

#include <doctest/doctest.h>

using namespace process;

namespace {

using namespace std::chrono_literals;

/// Time within which entry daemons must stop routing to a leaving backend
/// server.
constexpr auto kDrainTarget = 3s;
/// Longer than shard ownership stays valid without the log.
constexpr auto kLongOutage = 8s;
constexpr int kCallers = 4;

/// Exceeds what the sockets of a connection with a small receive buffer hold.
constexpr std::size_t kSlowBodyBytes = 8'000'000;

std::string serviceFileWithLargeBodies() {
  const std::string Section = "[backend]\n";
  std::string Result = serviceFile();
  return Result.replace(Result.find(Section), Section.size(),
                        Section + "body_limit_bytes = 16000000\n");
}

struct StopFleet {
  StopFleet()
      : Entry(Fleet.addDaemon({.Instance = "entry"})),
        Leaving(Fleet.addDaemon({.Instance = "leaving",
                                 .Service = "bookings",
                                 .Flags = {"--drain-ms", "15000"}})),
        Staying(
            Fleet.addDaemon({.Instance = "staying", .Service = "bookings"})) {
    Fleet.configure({{"fleet.toml", fleetFile()},
                     {"bookings.toml", serviceFileWithLargeBodies()}});
    LeavingBackend = &Fleet.addBackend(Leaving);
    StayingBackend = &Fleet.addBackend(Staying);
    for (const char *Instance : {"leaving", "staying"})
      REQUIRE(waitUntil([&] { return Entry.hasUsableMember(Instance); }));
    REQUIRE(FleetUnderTest::waitUntilServed(Entry, "/bookings/open"));
  }

  FleetUnderTest Fleet;
  DaemonUnderTest &Entry;
  DaemonUnderTest &Leaving;
  DaemonUnderTest &Staying;
  BackendUnderTest *LeavingBackend = nullptr;
  BackendUnderTest *StayingBackend = nullptr;
};

} // namespace

TEST_SUITE_BEGIN("stop");

// Guards against daemons that exit before running requests are completed.
TEST_CASE_FIXTURE(StopFleet,
                  "a planned stop of the entry daemon lets a running "
                  "request complete") {
  LeavingBackend->setWorkTime(2s);
  StayingBackend->setWorkTime(2s);
  DaemonUnderTest &Stopping =
      Fleet.addDaemon({.Instance = "stopping", .Flags = {"--drain-ms", "0"}});
  REQUIRE(FleetUnderTest::waitUntilServed(Stopping, "/bookings/open"));
  Response Received;
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

// Guards against a response that is cut because the daemon exits after the
// handler has returned but before the caller has read it.
TEST_CASE_FIXTURE(StopFleet, "a planned stop of the entry daemon lets a slow "
                             "caller read its response") {
  DaemonUnderTest &Stopping = Fleet.addDaemon(
      {.Instance = "stopping",
       .Flags = {"--drain-ms", "0", "--max-body-bytes", "16000000"}});
  REQUIRE(FleetUnderTest::waitUntilServed(Stopping, "/bookings/open"));
  // The backend server echoes the body.
  SlowCaller Caller(Stopping.callerUrl(),
                    "POST /bookings/open HTTP/1.1\r\nHost: test\r\n",
                    kSlowBodyBytes);
  REQUIRE(Caller.waitForResponse());
  REQUIRE(waitUntil([&] { return Stopping.status("calls_open") == 0; }));
  Stopping.process().signal(SIGTERM);
  // Longer than an idle daemon takes to exit.
  std::this_thread::sleep_for(700ms);
  const std::string Received = Caller.readToEnd();
  const std::string Head = Received.substr(0, 300);
  CAPTURE(Head);
  CHECK(Received.size() > kSlowBodyBytes);
  CHECK(Stopping.process().waitForExit() == 0);
}

// Guards against connections in the accept queue of a stopping daemon, which
// the kernel resets when the daemon closes its listening socket.
TEST_CASE_FIXTURE(StopFleet, "a planned stop of the entry daemon interrupts no "
                             "request while new connections arrive") {
  DaemonUnderTest &Stopping =
      Fleet.addDaemon({.Instance = "stopping", .Flags = {"--drain-ms", "300"}});
  REQUIRE(FleetUnderTest::waitUntilServed(Stopping, "/bookings/open"));
  std::mutex Mutex;
  std::vector<std::string> Interrupted;
  std::vector<std::thread> Callers;
  Callers.reserve(kCallers);
  for (int Caller = 0; Caller < kCallers; ++Caller)
    Callers.emplace_back([&] {
      for (;;) {
        const Response Received =
            send(Stopping.callerUrl(), {"POST", "/bookings/open", "", {}, ""});
        if (Received.Transfer == http::ExchangeStatus::NotSent)
          return;
        if (Received.complete())
          continue;
        std::lock_guard Lock(Mutex);
        Interrupted.push_back(Received.Detail);
      }
    });
  Stopping.process().signal(SIGTERM);
  for (std::thread &Each : Callers)
    Each.join();
  CHECK(Stopping.process().waitForExit() == 0);
  CAPTURE(Interrupted.size());
  CHECK((Interrupted.empty() ? "" : Interrupted.front()) == "");
}

// Guards against entry daemons that keep routing to a leaving backend server.
TEST_CASE_FIXTURE(StopFleet, "a leaving backend server gets no new work after "
                             "3 s") {
  LoadGenerator Callers({Entry.callerUrl()}, kCallers);
  REQUIRE(Callers.waitForServed(kCallers));
  const auto SignalledAt = std::chrono::steady_clock::now();
  Leaving.process().signal(SIGTERM);
  REQUIRE(waitUntil([&] { return !Entry.hasUsableMember("leaving"); },
                    kDrainTarget));
  // The router applies the changed member state up to one tick (10 ms) after
  // `/members` shows it, so the check starts at the target time.
  std::this_thread::sleep_until(SignalledAt + kDrainTarget);
  const auto Before = LeavingBackend->executions().size();
  REQUIRE(Callers.waitForServed(50 * kCallers));
  CHECK(LeavingBackend->executions().size() == Before);
  for (const Exchange &Each : Callers.stop())
    CHECK(Each.Received.complete());
}

// Guards against permits and routing that need the log to be reachable.
TEST_CASE_FIXTURE(StopFleet, "requests with a key run through a log outage "
                             "that outlasts ownership without the log") {
  REQUIRE(FleetUnderTest::waitUntilServed(Entry, "/bookings/orders", kGoldKey));
  Fleet.setLogFault("outage=1");
  const auto End = std::chrono::steady_clock::now() + kLongOutage;
  while (std::chrono::steady_clock::now() < End)
    REQUIRE(
        FleetUnderTest::waitUntilServed(Entry, "/bookings/orders", kGoldKey));
  const std::string Shards = fetchPage(Leaving.administrationUrl(), "/shards") +
                             fetchPage(Staying.administrationUrl(), "/shards") +
                             fetchPage(Entry.administrationUrl(), "/shards");
  CHECK(Shards.find("valid here") != std::string::npos);
}

TEST_SUITE_END();
