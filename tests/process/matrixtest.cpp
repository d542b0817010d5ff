#include "process/matrixarena.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>

using namespace process;

namespace {

using namespace std::chrono_literals;

constexpr int kCallers = 12;
/// Requests that must run before, during and after a fault.
constexpr int kProgress = 12;

/// Exit status of a publisher that another one has overtaken.
constexpr int kRejected = 3;

/// When the fault comes.
enum class Step { Before, Queued, Running, Responding, Idle };

constexpr std::pair<Step, const char *> kSteps[] = {
    {Step::Before, "before the request"},
    {Step::Queued, "while it is queued"},
    {Step::Running, "while it runs"},
    {Step::Responding, "while its response is on the way"},
    {Step::Idle, "while idle"}};

struct Fault {
  std::function<void(MatrixArena &)> Apply;
  /// Undoes the fault, once other work has gone on meanwhile.
  std::function<void(MatrixArena &)> Lift;
  /// Steps at which the fault surely takes the response from a request, so
  /// that its outcome is unknown. The fault lasts until that is seen.
  std::vector<Step> Unknown = {};
  /// Whether callers may lose their connections.
  bool CallersMayBreak = false;
};

void killEntry(MatrixArena &Arena) { Arena.Entry.process().kill(); }
void restartEntry(MatrixArena &Arena) { Arena.Entry.start(); }
void killServing(MatrixArena &Arena) { Arena.Serving.process().kill(); }
void restartServing(MatrixArena &Arena) { Arena.restartServing(); }
void killBackend(MatrixArena &Arena) { Arena.Backend.process().kill(); }
void restartBackend(MatrixArena &Arena) {
  Arena.Backend.start();
  Arena.Relay.setTarget(Arena.Backend.port());
}

void pauseServing(MatrixArena &Arena) {
  Arena.Serving.process().signal(SIGSTOP);
}
void resumeServing(MatrixArena &Arena) {
  // The pause must outlast the failure detection, else nothing is proved.
  REQUIRE(waitUntil([&] { return !Arena.Entry.sees("serving"); }));
  Arena.Serving.process().signal(SIGCONT);
}

void pauseBackend(MatrixArena &Arena) {
  Arena.Backend.process().signal(SIGSTOP);
}
void resumeBackend(MatrixArena &Arena) {
  Arena.Backend.process().signal(SIGCONT);
}

void stopServing(MatrixArena &Arena) {
  Arena.Serving.process().signal(SIGTERM);
}
void endServing(MatrixArena &Arena) {
  REQUIRE(Arena.Serving.process().waitForExit() == 0);
  Arena.restartServing();
}

void slowBackend(MatrixArena &Arena) { Arena.Backend.setWorkTime(300ms); }
void fastBackend(MatrixArena &Arena) { Arena.Backend.setWorkTime(5ms); }

void cutBackend(MatrixArena &Arena) { Arena.Relay.cut(); }
void silenceBackend(MatrixArena &Arena) { Arena.Relay.silenceOpen(); }
void nothing(MatrixArena &) {}

Fault logFault(const std::string &On, const std::string &Off) {
  return {[On](MatrixArena &Arena) { Arena.All.logFault(On); },
          [Off](MatrixArena &Arena) { Arena.All.logFault(Off); }};
}

void withdrawKey(MatrixArena &Arena) {
  REQUIRE(Arena.All.publish(
              {{"bookings.toml", MatrixArena::file({{"tin", kTinKey}})}}) == 0);
}
void restoreKey(MatrixArena &Arena) {
  REQUIRE(Arena.All.publish(
              {{"bookings.toml", MatrixArena::file({{"gold", kGoldKey},
                                                    {"tin", kTinKey}})}}) == 0);
}

/// Two operators at once; the log's order decides, and both end.
void raceOperators(MatrixArena &Arena) {
  const auto Publish = [&Arena](const char *Key) {
    return Arena.All.publish(
        {{"bookings.toml",
          MatrixArena::file({{"gold", kGoldKey}, {"tin", Key}})}});
  };
  int First = -1;
  std::thread Other([&] { First = Publish("one-new-key-of-tin"); });
  const int Second = Publish("another-new-key-of-tin");
  Other.join();
  CHECK((First == 0 || First == kRejected));
  CHECK((Second == 0 || Second == kRejected));
  CHECK((First == 0 || Second == 0));
}

/// Waits until requests are at the step.
void reach(Step Wanted, MatrixArena &Arena, const Load &Callers) {
  switch (Wanted) {
  case Step::Before:
  case Step::Idle:
    return;
  case Step::Queued:
    REQUIRE(waitUntil([&] { return Arena.Serving.status("queued") > 0; }));
    return;
  case Step::Running:
    REQUIRE(waitUntil([&] { return Arena.Serving.status("in_flight") > 0; }));
    return;
  case Step::Responding:
    REQUIRE(Callers.serveMore(1));
    Arena.Relay.holdResponses(true);
    REQUIRE(waitUntil([&] { return Arena.Relay.holdsResponse(); }));
    return;
  }
}

void runCell(MatrixArena &Arena, const Fault &Row, Step When) {
  const std::vector<std::string> Entries{Arena.Entry.callerUrl(),
                                         Arena.OtherEntry.callerUrl()};
  std::vector<Exchange> Exchanges;
  if (When == Step::Idle) {
    Load Earlier(Entries, kCallers);
    REQUIRE(Earlier.serveMore(kProgress));
    Exchanges = Earlier.stop();
  }
  const bool Idle = When == Step::Before || When == Step::Idle;
  if (Idle)
    Row.Apply(Arena);
  Load Callers(Entries, kCallers);
  int UnknownBefore = 0;
  if (!Idle) {
    REQUIRE(Callers.serveMore(kProgress));
    reach(When, Arena, Callers);
    UnknownBefore = Callers.unknown();
    Row.Apply(Arena);
    Arena.Relay.holdResponses(false);
  }
  CHECK(Callers.serveMore(kProgress));
  if (std::count(Row.Unknown.begin(), Row.Unknown.end(), When) > 0)
    CHECK(waitUntil([&] { return Callers.unknown() > UnknownBefore; }));
  Row.Lift(Arena);
  CHECK(Callers.serveMore(kProgress));
  for (Exchange &Each : Callers.stop())
    Exchanges.push_back(std::move(Each));
  Arena.check(std::move(Exchanges), Row.CallersMayBreak);
}

/// Runs all steps of a row. Whatever runs late is counted when the next cell
/// ends.
void runRow(const Fault &Row) {
  // A new fleet grants no permits for a while, so the rows of a suite share it.
  static MatrixArena Arena;
  for (const auto &[When, Text] : kSteps) {
    const std::string Name = Text;
    CAPTURE(Name);
    runCell(Arena, Row, When);
    REQUIRE(waitUntil([&] {
      return Arena.Entry.sees("serving") && Arena.OtherEntry.sees("serving");
    }));
  }
}

} // namespace

// Every row guards against orders that are executed twice, "not run" said of
// executed orders, responses of other orders, responses that never come, and a
// fleet that does not recover.
TEST_SUITE_BEGIN("matrix 1");
TEST_CASE("matrix: kill -9 of the entry daemon") {
  runRow({killEntry, restartEntry, {}, true});
}
TEST_CASE("matrix: kill -9 of the serving daemon") {
  runRow({killServing, restartServing, {Step::Responding}});
}
TEST_CASE("matrix: kill -9 of the backend server") {
  runRow({killBackend, restartBackend});
}
TEST_SUITE_END();

TEST_SUITE_BEGIN("matrix 2");
TEST_CASE("matrix: pause of the serving daemon") {
  runRow({pauseServing, resumeServing});
}
TEST_CASE("matrix: pause of the backend server") {
  runRow({pauseBackend,
          resumeBackend,
          {Step::Before, Step::Queued, Step::Running, Step::Idle}});
}
TEST_CASE("matrix: planned stop of the serving daemon") {
  runRow({stopServing, endServing});
}
TEST_SUITE_END();

TEST_SUITE_BEGIN("matrix 3");
TEST_CASE("matrix: log outage") { runRow(logFault("outage=1", "outage=0")); }
TEST_CASE("matrix: open connections to the log silent") {
  runRow(logFault("silence_open=1", "silent=0"));
}
TEST_CASE("matrix: log slow") {
  runRow(logFault("delay_ms=1000", "delay_ms=0"));
}
TEST_CASE("matrix: responses of log appends lost") {
  runRow(logFault("lose_responses=1", "lose_responses=0"));
}
TEST_SUITE_END();

TEST_SUITE_BEGIN("matrix 4");
TEST_CASE("matrix: key withdrawn") { runRow({withdrawKey, restoreKey}); }
TEST_CASE("matrix: operators racing") { runRow({raceOperators, nothing}); }
TEST_CASE("matrix: backend server slow") { runRow({slowBackend, fastBackend}); }
TEST_CASE("matrix: connections to the backend server cut") {
  runRow({cutBackend, nothing, {Step::Responding}});
}
TEST_CASE("matrix: connections to the backend server silent") {
  runRow({silenceBackend, nothing, {Step::Responding}});
}
TEST_SUITE_END();
